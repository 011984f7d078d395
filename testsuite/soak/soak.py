#!/usr/bin/env python3
"""Runs hosts as separate processes among faults and checks their promises.

Usage: soak.py PROGRAM [--seed N] [--seconds S] [--hosts N] [--workers N]

Faults come in series that overlap, from outside: signals to the processes,
proxies on their ways to the store and to workers, a store and workers that
misbehave. The verdict rests on what callers and workers saw, and on no time
but generous limits. Ends only processes that it started.
"""
import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from proxy import Proxy
from store import Store
from targets import Job, Ledger, Worker
from web import call

PORTS_PER_HOST = 6
GRACE_S = 6
# After the last fault every accepted job ends within this.
SETTLE_S = 90
MAX_ATTEMPTS = 3
TRIES = 8
QUEUE = {"name": "r1", "host": "desk.example", "path_prefix": "/plans/",
         "service": "desk", "priority": 0, "max_attempts": MAX_ATTEMPTS,
         "slack_factor": 2.0, "target_latency_ms": 1000,
         "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 1500}}


def free_ports(count):
    """The first of so many free ports in a row, below those that the system
    gives to outgoing connections, as it may do between a look and the use."""
    # Soaks of the same moment look in different places.
    start = 20000 + os.getpid() * 173 % 9000
    for first in range(start, 32000, 83):
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    sys.exit("no free ports")


class Host:
    def __init__(self, program, folder, name, base, store_port):
        self.program, self.folder, self.name = program, folder, name
        self.front, self.ready, self.peers = base, base + 1, base + 2
        self.store_way = Proxy(base + 4, store_port)
        self.process = None
        # Not to be called, and when it was last disturbed but by a stop.
        self.stopping_at = None
        self.disturbed_at = 0.0
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "data_centre": "z1",
                       "processor_share": 0.25,
                       "callers": "127.0.0.1:%d" % self.front,
                       "readiness": "127.0.0.1:%d" % self.ready,
                       "address": "127.0.0.1",
                       "ports": [self.peers, base + 3],
                       "store": "127.0.0.1:%d" % (base + 4),
                       "advisor": "127.0.0.1:%d" % (base + 4),
                       "longest_lease_ms": 10000,
                       "stop_grace_s": GRACE_S}, file)

    def start(self):
        with open(os.path.join(self.folder, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                [self.program, "host", "--settings", self.settings],
                stdout=log, stderr=log)
        self.stopping_at = None
        self.disturbed_at = time.monotonic()

    def send(self, number):
        if number != signal.SIGTERM:
            self.disturbed_at = time.monotonic()
        if self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, arguments, folder):
        self.random = random.Random(arguments.seed)
        self.seconds = arguments.seconds
        count = arguments.hosts * PORTS_PER_HOST + arguments.workers * 2 + 1
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
                           first + i * PORTS_PER_HOST, base)
                      for i in range(arguments.hosts)]
        self.over = threading.Event()
        self.lock = threading.Lock()

    def configure(self):
        self.version += self.random.randint(1, 4)
        queue = dict(QUEUE, target_latency_ms=1000 + self.version)
        self.store.put("op", "config", {
            "version": self.version, "routes": [queue],
            "services": [{"name": "desk", "admission_check": False}],
            "limits": {"max_body_bytes": 262144}})

    def play(self):
        for host in self.hosts:
            host.start()
        self.await_ready()
        callers = [threading.Thread(target=self.submit_all, args=(i,))
                   for i in range(6)]
        for caller in callers:
            caller.start()
        self.disturb()
        self.over.set()
        for caller in callers:
            caller.join()
        self.settle()
        self.judge()

    def await_ready(self):
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            if all(call(host.ready, "GET", "/lycheestep/ready")[0] == 200
                   for host in self.hosts):
                return
            time.sleep(0.1)
        self.ledger.breach("the hosts do not become ready")

    # Callers.

    def submit_all(self, number):
        chance = random.Random(self.random.random() + number)
        while not self.over.is_set():
            job_id = "%016x" % chance.getrandbits(64)
            steps = [{"count": chance.randint(1, 4), "cpu": 2000,
                      "mem_mb": 64, "estimate_ms": 500}]
            if chance.random() < 0.4:
                steps.append(dict(steps[0], after=[0]))
            if chance.random() < 0.2:
                steps[0]["gang"] = True
            job = Job("work of " + job_id, steps)
            with self.ledger.lock:
                self.ledger.jobs[job_id] = job
            self.submit(job_id, job, chance)
            if job.accepted and chance.random() < 0.15:
                time.sleep(chance.uniform(0, 0.6))
                self.cancel(job_id, job, chance)
            time.sleep(chance.uniform(0, 0.5))

    def call_some_host(self, chance, method, job_id, body=None):
        now = time.monotonic()
        usable = [host for host in self.hosts
                  if host.stopping_at is None or now < host.stopping_at]
        host = chance.choice(usable or self.hosts)
        sent = time.monotonic()
        status, answer = call(host.front, method, "/plans/" + job_id, body,
                              {"Host": "desk.example",
                               "Request-Deadline-Ms": "3000"})
        stopped = host.stopping_at
        cut_off = status == 0 and stopped is not None and \
            sent < stopped and host.disturbed_at < sent - 3 and \
            time.monotonic() - sent < 2.5
        if cut_off:
            self.ledger.breach("%s cut a call off while it stopped"
                               % host.name)
        return status, answer

    def submit(self, job_id, job, chance):
        body = {"spec": job.spec, "steps": job.steps}
        for _ in range(TRIES):
            status, _ = self.call_some_host(chance, "POST", job_id, body)
            if status == 200:
                job.accepted = True
                return
            if status not in (429, 503):
                job.doubtful = True
            time.sleep(chance.uniform(0.1, 0.5))

    def cancel(self, job_id, job, chance):
        for _ in range(TRIES):
            status, _ = self.call_some_host(chance, "DELETE", job_id)
            if status in (200, 410):
                job.cancel_acked = time.monotonic()
                return
            time.sleep(0.3)

    # Faults.

    def disturb(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            fault = self.random.choice([
                self.kill, self.kill, self.pause, self.stop, self.stop,
                self.reload, self.cut_store_way, self.cut_store_way,
                self.cut_worker_way, self.store_down, self.store_loses,
                self.store_slow, self.store_forgets, self.change_config,
                self.crash_worker, self.hang_worker, self.drain_worker])
            print("fault: " + fault.__name__, flush=True)
            fault()
            time.sleep(self.random.uniform(0.2, 2.0))

    def later(self, seconds, action, *arguments):
        timer = threading.Timer(seconds, action, arguments)
        timer.daemon = True
        timer.start()

    def any_running(self):
        return self.random.choice(
            [host for host in self.hosts if host.process.poll() is None] or
            self.hosts)

    def restart(self, host):
        host.process.wait()
        host.start()

    def kill(self):
        host = self.any_running()
        host.send(signal.SIGKILL)
        self.later(self.random.uniform(0.2, 2), self.restart, host)

    def pause(self):
        host = self.any_running()
        host.send(signal.SIGSTOP)
        self.later(self.random.uniform(0.5, 6), host.send, signal.SIGCONT)

    def stop(self):
        host = self.any_running()
        if host.stopping_at is not None:
            return
        host.stopping_at = time.monotonic()
        host.send(signal.SIGTERM)
        self.later(GRACE_S, self.end_and_restart, host, host.process)

    def end_and_restart(self, host, process):
        if process is not host.process:
            return  # another fault has replaced it
        quiet = time.monotonic() - host.disturbed_at > GRACE_S + 3
        if process.poll() is None and quiet:
            self.ledger.breach(host.name + " outlived its grace time")
        host.send(signal.SIGKILL)
        self.restart(host)

    def reload(self):
        self.any_running().send(signal.SIGHUP)

    def disturb_way(self, way):
        how = self.random.choice(["delay", "reset", "stall", "there", "back",
                                  "both"])
        if how == "stall":
            way.stall()
        elif how == "delay":
            way.delay = self.random.uniform(0.02, 0.3)
        elif how == "reset":
            way.reset()
        else:
            way.silent = {"there", "back"} if how == "both" else {how}
        self.later(self.random.uniform(0.5, 6), way.heal)

    def cut_store_way(self):
        host = self.random.choice(self.hosts)
        self.disturb_way(host.store_way)

    def cut_worker_way(self):
        number = self.random.randrange(len(self.workers))
        self.workers[number].disturbed_at = time.monotonic()
        self.disturb_way(self.worker_ways[number])

    def store_down(self):
        self.store.down = True
        self.later(self.random.uniform(0.5, 5), setattr, self.store, "down",
                   False)

    def store_loses(self):
        self.store.lost = 0.3
        self.later(self.random.uniform(1, 4), setattr, self.store, "lost", 0.0)

    def store_slow(self):
        self.store.delay = self.random.uniform(0.05, 0.25)
        self.later(self.random.uniform(1, 4), setattr, self.store, "delay",
                   0.0)

    def store_forgets(self):
        self.store.forget()

    def change_config(self):
        self.configure()

    def crash_worker(self):
        self.random.choice(self.workers).restart()

    def hang_worker(self):
        worker = self.random.choice(self.workers)
        worker.hangs = True
        self.later(self.random.uniform(1, 6), setattr, worker, "hangs", False)

    def drain_worker(self):
        worker = self.random.choice(self.workers)
        worker.draining = True
        worker.register()
        self.later(self.random.uniform(2, 5), self.undrain, worker)

    def undrain(self, worker):
        worker.draining = False
        worker.register()

    # The end.

    def settle(self):
        """Ends all faults and waits until every accepted job is over."""
        time.sleep(GRACE_S + 2.5)  # timers of the last faults
        for way in self.worker_ways + [host.store_way
                                       for host in self.hosts]:
            way.heal()
        for host in self.hosts:
            host.send(signal.SIGCONT)
            if host.process.poll() is not None:
                host.start()
        self.await_ready()
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            open_jobs = self.open_jobs()
            if not open_jobs:
                return
            time.sleep(0.5)
        for job_id, state in sorted(open_jobs.items())[:10]:
            self.ledger.breach("job %s is still %s" % (job_id, state))

    def open_jobs(self):
        found = {}
        for job_id, job in list(self.ledger.jobs.items()):
            if not job.accepted or job.ended:
                continue
            status, answer = call(random.choice(self.hosts).front, "GET",
                                  "/plans/" + job_id, None,
                                  {"Host": "desk.example"})
            state = answer.get("state") if status == 200 else status
            if state in ("done", "failed", "cancelled"):
                job.ended = state
            else:
                found[job_id] = state
        return found

    def judge(self):
        started = {task.split(".")[0] for task in
                   set(self.ledger.running) | self.ledger.done}
        for job_id, job in self.ledger.jobs.items():
            if not job.accepted and not job.doubtful and job_id in started:
                self.ledger.breach("job %s was refused and ran" % job_id)
            tasks = {"%s.0.%d.%d" % (job_id, step, i)
                     for step, entry in enumerate(job.steps)
                     for i in range(entry["count"])}
            if job.ended == "done" and not tasks <= self.ledger.done:
                self.ledger.breach("job %s is shown as done" % job_id)
            if job.ended == "cancelled" and job.cancel_acked is None and \
                    not job.doubtful:
                self.ledger.breach("job %s was cancelled by nobody" % job_id)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--logs", help="keep the hosts' logs in this folder")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.logs or temporary
        os.makedirs(folder, exist_ok=True)
        soak = Soak(arguments, folder)
        try:
            soak.play()
        finally:
            for host in soak.hosts:
                if host.process is not None and host.process.poll() is None:
                    host.process.kill()
                    host.process.wait()
        ledger = soak.ledger
        ended = [job.ended for job in ledger.jobs.values() if job.ended]
        print("seed %d: %d jobs, %d accepted and over (%d done), %d starts, "
              "%d promises broken" % (arguments.seed, len(ledger.jobs),
                                      len(ended), ended.count("done"),
                                      ledger.starts, len(ledger.broken)))
        sys.exit(1 if ledger.broken else 0)


main()
