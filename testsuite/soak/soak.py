#!/usr/bin/env python3
"""Runs hosts as separate processes among faults and checks their promises.

Usage: soak.py PROGRAM [--seed N] [--seconds S] [--calm S] [--hosts N]
[--workers N] [--slow S] [--slow-stop S] [--refused-stops X]
[--unanswered-stops X] [--slow-hold S] [--late-start S] [--work LEAST MOST]
[--load X] [--cancelled X] [--waves N] [--cancelled-within S]
[--retention-ms N] [--forgets-after S] [--logs FOLDER]

First a calm series: nothing but slow workers, workers that drain and waves of
cancellations, so that no check with a time bound has an excuse. Then faults
come in series that overlap, from outside: signals to the processes, proxies on
their ways to the store and to workers, a store and workers that misbehave. The
verdict rests on what callers and workers saw. Ends only processes that it
started.
"""
import argparse
import os
import random
import signal
import sys
import tempfile
import time

from callers import CANCELLED_WITHIN_S, WAVE_CANCELLED, Callers
from faults import (LEAD_CHANGES_AFTER_S, ROWS_AWAY_S, WORK_BEGINS_AFTER_S,
                    Faults)
from former_runs import FormerRuns
from halts import Halts
from hosts import GRACE_S, PORTS_PER_HOST, Host, free_ports
from ledger import CONTACT_S, Ledger
from pairs import senders_in
from proxy import Proxy
from store import Store
from targets import Worker
from web import call

# After the last fault every accepted job ends within this.
SETTLE_S = 90
MAX_ATTEMPTS = 3
# What a series has to have played at least.
LEAST_LEADERS_STOPPED = 3
LEAST_CANCELLED_ENDS = 20
# Longer than a stalled way delays the write of a submission.
RETENTION_MS = 15000
QUEUE = {"name": "r1", "host": "desk.example", "path_prefix": "/plans/",
         "service": "desk", "priority": 0, "max_attempts": MAX_ATTEMPTS,
         "slack_factor": 2.0, "target_latency_ms": 1000,
         "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 1500}}


class Soak:
    def __init__(self, arguments, folder):
        self.arguments = arguments
        self.random = random.Random(arguments.seed)
        count = arguments.hosts * PORTS_PER_HOST + arguments.workers * 3 + 1
        base = free_ports(count)
        self.store = Store(base, arguments.seed)
        self.ledger = Ledger(MAX_ATTEMPTS)
        self.version = 0
        self.configure()
        self.workers, self.worker_ways = [], []
        for i in range(arguments.workers):
            port = base + 1 + i * 2
            self.worker_ways.append(Proxy(port, port + 1))
            self.workers.append(Worker("w%d" % i, port + 1, port, self.store,
                                       self.ledger, arguments.seed + i))
        first = base + 1 + arguments.workers * 2
        self.hosts = [Host(arguments.program, folder, "h%d" % i,
                           first + i * PORTS_PER_HOST, self.store,
                           self.ledger.calm,
                           arguments.retention_ms)
                      for i in range(arguments.hosts)]
        self.callers = Callers(self.hosts, self.ledger, arguments.seed,
                               arguments.load, arguments.cancelled_within,
                               arguments.cancelled, arguments.waves)
        self.faults = Faults(self.hosts, self.workers, self.worker_ways,
                             self.store, self.ledger, arguments.seed)
        last = first + arguments.hosts * PORTS_PER_HOST
        self.former_runs = FormerRuns(
            self.faults, list(range(last, last + arguments.workers)),
            arguments.seed)
        self.halts = Halts(self.ledger)

    def configure(self, service="desk"):
        with self.store.lock:
            self.version += self.random.randint(1, 4)
            queue = dict(QUEUE, target_latency_ms=1000 + self.version,
                         service=service)
            self.store.put("op", "config", {
                "version": self.version, "routes": [queue],
                "services": [{"name": service, "admission_check": False}],
                "limits": {"max_body_bytes": 262144}})

    def leave_service(self):
        """For a while, no queue leads to the workers' service."""
        self.configure("spare")
        self.faults.later(self.random.uniform(1, 6), self.configure)

    def play(self):
        for host in self.hosts:
            host.start()
        self.await_ready()
        time.sleep(CONTACT_S)
        self.callers.start()
        self.play_calm_series()
        self.faults.play(self.arguments.seconds,
                         self.faults.all() + [self.configure,
                                              self.leave_service])
        self.callers.stop()
        self.settle()
        self.ledger.judge()

    def play_calm_series(self):
        arguments = self.arguments
        for worker in self.workers[1::2]:
            worker.answer_s = arguments.slow
            worker.stop_answer_s = arguments.slow_stop
            worker.hold_answer_s = arguments.slow_hold
            worker.start_late_s = arguments.late_start
            worker.refused_stops = arguments.refused_stops
            worker.unanswered_stops = arguments.unanswered_stops
        for worker in self.workers:
            if arguments.work:
                worker.work_s, worker.long_share = arguments.work, 0
        if arguments.forgets_after:
            time.sleep(arguments.forgets_after)
            print("the store forgets", flush=True)
            self.faults.forget_often(arguments.calm, arguments.read_delay)
        faults = {"mixed": self.faults.of_calm_times(),
                  "drain": [self.faults.drain_worker],
                  "lead": self.faults.of_the_lead(),
                  "series": [self.faults.stop_leaders],
                  "misplaced": [self.faults.rows_misplaced],
                  "rows": [self.faults.rows_away],
                  "damaged": [self.faults.rows_damaged],
                  "service": [self.lose_service],
                  "halted": [self.halts.stand_still],
                  "none": [self.faults.nothing]}
        for name, play in self.former_runs.plays().items():
            faults[name] = [play]
        self.ledger.in_calm_series = True
        self.faults.play(arguments.calm, faults[arguments.calm_faults])
        self.ledger.in_calm_series = False
        self.check_enough_played()

    def check_enough_played(self):
        """A series that judged next to nothing shows nothing."""
        kind = self.arguments.calm_faults
        if kind == "series" and \
                self.faults.leaders_stopped < LEAST_LEADERS_STOPPED:
            self.ledger.breach("only %d leaders were stopped"
                               % self.faults.leaders_stopped)
        if kind == "halted" and not self.halts.halts:
            self.ledger.breach("the play never stood still")
        if kind in ("series", "misplaced") and \
                self.ledger.cancelled_ends < LEAST_CANCELLED_ENDS:
            self.ledger.breach("only %d ends of cancelled runs were judged"
                               % self.ledger.cancelled_ends)

    def lose_service(self):
        """The same, longer and while the lead changes."""
        time.sleep(WORK_BEGINS_AFTER_S)
        self.configure("spare")
        time.sleep(LEAD_CHANGES_AFTER_S)
        self.faults.change_lead()
        time.sleep(ROWS_AWAY_S)
        self.configure()

    def await_ready(self):
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            if all(call(host.ready, "GET", "/lycheestep/ready")[0] == 200
                   for host in self.hosts):
                return
            time.sleep(0.1)
        self.ledger.breach("the hosts do not become ready")

    def settle(self):
        """Ends all faults and waits until every accepted job is over."""
        if self.arguments.seconds:
            time.sleep(GRACE_S + 2.5)  # timers of the last faults
        for way in self.worker_ways + [host.store_way
                                       for host in self.hosts]:
            way.heal()
        for host in self.hosts:
            if self.arguments.seconds:
                host.send(signal.SIGCONT)
            if host.process.poll() is not None:
                host.start()
        self.await_ready()
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            open_jobs = self.callers.ask_for_open()
            if not open_jobs:
                return
            time.sleep(0.5)
        for job_id, state in sorted(open_jobs.items())[:10]:
            self.ledger.breach("job %s is still %s" % (job_id, state))


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--calm", type=float, default=10,
                        help="seconds of the calm series before the faults")
    parser.add_argument("--calm-faults", default="mixed",
                        choices=["mixed", "drain", "lead", "series", "rows",
                                 "damaged", "misplaced", "service", "none",
                                 "halted",
                                 "successor", "successor-cut",
                                 "second-entry", "second-entry-cut",
                                 "clockless",
                                 "clockless-kill", "clockless-busy",
                                 "clockless-down", "busy", "lost-kill",
                                 "frozen"])
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--slow", type=float, default=0.3,
                        help="seconds that every second worker takes to "
                        "answer a start")
    parser.add_argument("--slow-stop", type=float, default=0,
                        help="the same of a stop")
    parser.add_argument("--refused-stops", type=float, default=0,
                        help="the share of stops that they refuse with an "
                        "error")
    parser.add_argument("--unanswered-stops", type=float, default=0,
                        help="the share of stops that they carry out without "
                        "an answer")
    parser.add_argument("--slow-hold", type=float, default=0,
                        help="the same of a hold")
    parser.add_argument("--late-start", type=float, default=0,
                        help="seconds before they carry a start out")
    parser.add_argument("--work", type=float, nargs=2,
                        help="the least and most seconds that a task works, "
                        "all of them; else most are short and a share long")
    parser.add_argument("--load", type=float, default=1,
                        help="share of the callers beside the waves")
    parser.add_argument("--cancelled", type=float, default=WAVE_CANCELLED,
                        help="share of a wave's jobs")
    parser.add_argument("--waves", type=int, help="as many and no more")
    parser.add_argument("--cancelled-within", type=float,
                        default=CANCELLED_WITHIN_S,
                        help="seconds after a job of a wave was accepted")
    parser.add_argument("--retention-ms", type=int, default=RETENTION_MS,
                        help="0: as the program has it")
    parser.add_argument("--forgets-after", type=float, default=0,
                        help="in the calm series the store forgets and "
                        "answers reads late from this second on")
    parser.add_argument("--read-delay", type=float, default=0.5)
    parser.add_argument("--logs", help="keep the hosts' logs in this folder")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.logs or temporary
        os.makedirs(folder, exist_ok=True)
        soak = Soak(arguments, folder)
        try:
            soak.play()
        finally:
            soak.callers.over.set()
            for host in soak.hosts:
                if host.process is not None and host.process.poll() is None:
                    host.process.kill()
                    host.process.wait()
        ledger = soak.ledger
        ended = [job.ended for job in ledger.jobs.values() if job.ended]
        print(ledger.pairs.report(senders_in(folder)))
        print(ledger.summary())
        print("seed %d: %d jobs, %d accepted and over (%d done), %d starts, "
              "%d promises broken" % (arguments.seed, len(ledger.jobs),
                                      len(ended), ended.count("done"),
                                      ledger.starts, len(ledger.broken)))
        sys.exit(1 if ledger.broken else 0)


main()
