#!/usr/bin/env python3
"""Plays one trouble of the lead again and again, as real processes.

Usage: lead_plays.py PROGRAM TROUBLE [--seed N] [--seconds S] [--logs FOLDER]

Three hosts, eight workers and jobs of long tasks. During each trouble a share
of the workers is out of reach. Names each task that starts while a run of it
is at work on another worker, and each other promise that the ledger sees
broken. Ends only processes that it started.
"""
import argparse
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

from hosts import PORTS_PER_HOST, Host, free_ports
from ledger import Job, Ledger
from proxy import Proxy
from store import Store
from targets import Worker
from web import call

HOSTS = 3
WORKERS = 8
WORK_S = (10, 14)
TASKS = 6
AWAY_S = 7
GAP_S = 8.5
START_S = 4


class LeadStore(Store):
    """Calls on_lead once, after the next write of the leader's row."""

    late = 0.0  # the share of the leader's writes that are done 1 to 6 s late
    on_lead = None

    def transact(self, body):
        leads = any(entry["table"] == "leader"
                    for entry in body.get("writes", []))
        if leads and self.random.random() < self.late:
            threading.Timer(self.random.uniform(1, 6), super().transact,
                            [body]).start()
            return None
        answer = super().transact(body)
        if leads and self.on_lead:
            hook, self.on_lead = self.on_lead, None
            hook()
        return answer


class TwiceLedger(Ledger):
    workers = ()
    twice = 0

    def on_start(self, worker, task, run, spec, checkpoint):
        for other in self.workers:
            for key in list(other.runs):
                if other is not worker and key[0] == task:
                    self.twice += 1
                    print("TWICE: %s run %d on %s, run %d on %s" % (
                        task, run, worker.name, key[1], other.name),
                          flush=True)
        return super().on_start(worker, task, run, spec, checkpoint)


class Plays:
    def __init__(self, arguments, folder):
        self.random = random.Random(arguments.seed)
        self.seconds = arguments.seconds
        self.trouble = getattr(self, arguments.trouble)
        base = free_ports((HOSTS + 1) * PORTS_PER_HOST + WORKERS * 2 + 1)
        self.store = LeadStore(base, arguments.seed)
        self.ledger = TwiceLedger(3)
        self.store.put("op", "config", {
            "version": 1, "limits": {"max_body_bytes": 262144},
            "services": [{"name": "desk", "admission_check": False}],
            "routes": [{
                "name": "r1", "host": "desk.example", "priority": 0,
                "path_prefix": "/plans/", "service": "desk",
                "max_attempts": 3, "slack_factor": 2.0,
                "target_latency_ms": 1000,
                "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 1500}}]})
        self.ways = []
        for i in range(WORKERS):
            port = base + 1 + i * 2
            self.ways.append(Proxy(port, port + 1))
            worker = Worker("w%d" % i, port + 1, port, self.store,
                            self.ledger, arguments.seed + i)
            worker.work_s, worker.long_share = WORK_S, 0
            self.ledger.workers += (worker,)
        first = base + 1 + WORKERS * 2
        self.hosts = [Host(arguments.program, folder, "h%d" % i,
                           first + i * PORTS_PER_HOST, self.store,
                           self.ledger.calm,
                           0) for i in range(HOSTS + 1)]
        self.spare = self.hosts.pop()

    def leader(self):
        name = self.store.leading([host.leads_as for host in self.hosts])
        return next((host for host in self.hosts if host.leads_as == name),
                    self.hosts[0])

    def cut_off(self, share=0.4):
        """Some workers, from all hosts."""
        ways = [way for way in self.ways if self.random.random() < share]
        for way in ways:
            way.silent = {"there", "back"}
            threading.Timer(AWAY_S, way.heal).start()

    def kill(self, host):
        host.process.kill()
        host.process.wait()

    def submit(self, count):
        for _ in range(count):
            job_id = "%016x" % self.random.getrandbits(64)
            job = Job("work", [{"count": TASKS, "cpu": 1000, "mem_mb": 64,
                                "estimate_ms": 12000}])
            self.ledger.jobs[job_id] = job
            for _ in range(3):
                host = self.random.choice(self.hosts)
                status, _ = call(host.front, "POST", "/plans/" + job_id,
                                 job.body, {"Host": "desk.example",
                                            "Request-Deadline-Ms": "3000"})
                if status == 200:
                    break

    def lost(self):
        """Answers lost, then the leader killed."""
        leader = self.leader()
        self.store.lost = 0.5
        self.submit(4)
        time.sleep(1)
        self.cut_off(0.6)
        self.kill(leader)
        time.sleep(0.6)
        self.store.lost = self.store.crowded = 0.0
        leader.start()

    def crowded(self):
        """The same, and answers with the version of a later write."""
        self.store.crowded = 0.5
        self.lost()

    def reads(self):
        """The leader killed while reads are answered 3 s late."""
        leader = self.leader()
        self.store.read_delay = 3.0
        self.cut_off()
        self.kill(leader)
        time.sleep(3)
        self.store.read_delay = 0.0
        leader.start()

    def frozen(self):
        """The leader stands still for 4 s from a renewal on."""
        leader = self.leader()

        def freeze():
            leader.send(signal.SIGSTOP)
            threading.Timer(4, leader.send, [signal.SIGCONT]).start()

        self.cut_off()
        self.store.on_lead = freeze

    def late(self):
        """Writes of the leader's row done late, and the leader stopped."""
        leader = self.leader()
        self.store.late = 0.7
        self.cut_off()
        leader.send(signal.SIGTERM)
        time.sleep(2.5)
        self.store.late = 0.0
        time.sleep(2)
        self.kill(leader)
        leader.start()

    def twins(self):
        """A second process of the leader's name, at another address."""
        with open(self.spare.settings, encoding="utf-8") as file:
            settings = json.load(file)
        settings["host"] = self.leader().leads_as
        with open(self.spare.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.cut_off()
        self.spare.start()
        time.sleep(5)
        self.kill(self.spare)

    def play(self):
        try:
            for host in self.hosts:
                host.start()
            time.sleep(START_S)
            self.submit(4)
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                self.trouble()
                self.submit(2)
                time.sleep(GAP_S)
        finally:
            for host in self.hosts + [self.spare]:
                if host.process and host.process.poll() is None:
                    host.process.kill()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("trouble", choices=["lost", "crowded", "reads",
                                            "frozen", "late", "twins"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--logs", default=None)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        if arguments.logs:
            os.makedirs(arguments.logs, exist_ok=True)
        plays = Plays(arguments, arguments.logs or folder)
        plays.play()
    ledger = plays.ledger
    print("%s, seed %d: %d starts, %d beside another run, %d promises broken"
          % (arguments.trouble, arguments.seed, ledger.starts, ledger.twice,
             len(ledger.broken)), flush=True)
    sys.stdout.flush()
    os._exit(1 if ledger.twice or ledger.broken else 0)


if __name__ == "__main__":
    main()
