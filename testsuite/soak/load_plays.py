#!/usr/bin/env python3
"""Plays hosts that all start at one moment, while the store refuses or loses a
share of the reads, and prints how long they take until one of them has loaded.

Usage: load_plays.py PROGRAM [--seed N] [--hosts N] [--jobs N] [--share X]
[--kind refused|silent|slow] [--page-rows N] [--disturbed S] [--rounds N]
[--bound S] [--logs FOLDER]

The jobs are handed in before, and wait, as there are no workers. A host that
has taken the lead and not loaded serves nobody. Ends only processes that it
started.
"""
import argparse
import os
import random
import re
import sys
import tempfile
import threading
import time

from hosts import PORTS_PER_HOST, Host, free_ports
from ledger import Calm
from store import Store
from web import call

READY_S = 60
GIVE_UP_S = 40
SUBMITTERS = 16
# A read without an answer lasts longer than a host waits for it.
SILENT_S = 1.5
SLOW_S = 0.65
QUEUE = {"name": "r1", "host": "desk.example", "path_prefix": "/plans/",
         "service": "desk", "priority": 0, "max_attempts": 3,
         "slack_factor": 2.0, "target_latency_ms": 1000}


class DisturbedStore(Store):
    share, kind, page_rows = 0.0, "refused", 500

    def read(self, query):
        limit = min(self.page_rows, int(query.get("limit", 500)))
        query = dict(query, limit=limit)
        if self.random.random() >= self.share:
            return super().read(query)
        if self.kind == "refused":
            return 503, {}
        time.sleep(SILENT_S if self.kind == "silent" else SLOW_S)
        return None if self.kind == "silent" else super().read(query)


class Play:
    def __init__(self, arguments, folder):
        self.arguments = arguments
        self.random = random.Random(arguments.seed)
        base = free_ports(arguments.hosts * PORTS_PER_HOST + 1)
        self.store = DisturbedStore(base, arguments.seed)
        self.store.page_rows = arguments.page_rows
        self.store.put("op", "config", {
            "version": 3, "routes": [QUEUE],
            "services": [{"name": "desk", "admission_check": False}],
            "limits": {"max_body_bytes": 262144}})
        self.hosts = [Host(arguments.program, folder, "h%d" % i,
                           base + 1 + i * PORTS_PER_HOST, self.store, Calm(),
                           0) for i in range(arguments.hosts)]

    def play(self):
        for host in self.hosts:
            host.start()
        self.await_ready()
        self.hand_in()
        took = []
        for _ in range(self.arguments.rounds):
            self.end()
            self.store.share = self.arguments.share
            self.store.kind = self.arguments.kind
            calm = threading.Timer(self.arguments.disturbed, setattr,
                                   (self.store, "share", 0.0))
            calm.start()
            took.append(self.time_load())
            calm.cancel()
            self.store.share = 0.0
            self.await_ready()
        return took

    def time_load(self):
        """Seconds from the start of all hosts until one has loaded."""
        sizes = [os.path.getsize(self.log(host)) for host in self.hosts]
        begun = time.monotonic()
        for host in self.hosts:
            host.start()
        found = {}
        while time.monotonic() - begun < GIVE_UP_S:
            for host, size in zip(self.hosts, sizes):
                with open(self.log(host), encoding="utf-8") as file:
                    file.seek(size)
                    text = file.read()
                for event in ("leading", "leader-loaded"):
                    if re.search(r"event=%s( |$)" % event, text, re.M):
                        found.setdefault(event, time.monotonic() - begun)
            if "leader-loaded" in found:
                break
            time.sleep(0.02)
        print("leading %.2f s, loaded %.2f s after the start" % (
            found.get("leading", GIVE_UP_S),
            found.get("leader-loaded", GIVE_UP_S)), flush=True)
        return found.get("leader-loaded", GIVE_UP_S)

    def log(self, host):
        return os.path.join(host.folder, host.name + ".log")

    def await_ready(self):
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if all(call(host.ready, "GET", "/lycheestep/ready")[0] == 200
                   for host in self.hosts):
                return
            time.sleep(0.1)
        sys.exit("the hosts do not become ready")

    def hand_in(self):
        ids = ["%016x" % self.random.getrandbits(64)
               for _ in range(self.arguments.jobs)]
        body = {"spec": "work", "steps": [{"count": 1, "cpu": 500,
                                           "mem_mb": 64,
                                           "estimate_ms": 500}]}

        def submit(own):
            for job_id in own:
                host = self.hosts[int(job_id, 16) % len(self.hosts)]
                call(host.front, "POST", "/plans/" + job_id, body,
                     {"Host": "desk.example", "Request-Deadline-Ms": "3000"})
        threads = [threading.Thread(target=submit, args=(ids[i::SUBMITTERS],))
                   for i in range(SUBMITTERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("%d rows in the store" % len(self.store.rows), flush=True)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=3000)
    parser.add_argument("--share", type=float, default=0.5,
                        help="of reads that the store disturbs")
    parser.add_argument("--kind", default="refused",
                        choices=["refused", "silent", "slow"])
    parser.add_argument("--page-rows", type=int, default=500,
                        help="rows that the store answers a read with, at "
                        "most")
    parser.add_argument("--disturbed", type=float, default=12,
                        help="seconds from the start of the hosts")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--bound", type=float, default=9,
                        help="seconds within which one has loaded")
    parser.add_argument("--logs", help="keep the hosts' logs in this folder")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.logs or temporary
        os.makedirs(folder, exist_ok=True)
        play = Play(arguments, folder)
        try:
            took = play.play()
        finally:
            play.end()
    late = sum(seconds > arguments.bound for seconds in took)
    print("seed %d, %s %.2f for %.1f s: loaded after %s s, %d of %d over %.1f "
          "s" % (arguments.seed, arguments.kind, arguments.share,
                 arguments.disturbed, " ".join("%.2f" % seconds
                                               for seconds in took),
                 late, len(took), arguments.bound))
    sys.exit(1 if late else 0)


main()
