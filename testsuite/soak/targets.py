"""Stand-ins of workers over HTTP.

A worker obeys no fencing token below the highest it has seen, kills all that
runs when its lease is over by its own clock, which may be slow, and lists ends
until they may be forgotten. It may take long to answer each kind of order, and
while it lives its row may be away from the store, damaged, or name another
address. It does not guard its room: the ledger does, and names each promise
that was broken.
"""
import random
import threading
import time

from ledger import LATE_S
from web import WebServer

MAX_HOLD_MS = 10000
STOP_S = 0.2
CHECKPOINT_S = 0.15
# How long a task works, unless the soak says otherwise.
WORK_S = (0.1, 0.9)
# A share of the tasks works longer than a cancelled run may go on.
LONG_SHARE = 0.1
LONG_WORK_S = (5, 8)
# Nobody listens there.
NOBODYS_PORT = 9


class Run:
    def __init__(self, work_s, fails, entry, checkpoint):
        self.began = time.monotonic()
        self.ends_at = self.began + work_s
        self.how = "failed" if fails else "done"
        self.work_s = work_s
        self.cpu = entry.get("cpu", 0)
        self.gang = entry.get("gang", False)
        self.checkpointing = entry.get("checkpointing", False)
        self.checkpoint = checkpoint
        self.saves_at = self.began + CHECKPOINT_S
        self.too_long = False

    def percent(self):
        worked_s = time.monotonic() - self.began
        return min(99, int(100 * worked_s / self.work_s))


class Worker:
    def __init__(self, name, port, address, store, ledger, seed,
                 machine=None):
        self.name = name
        self.machine = machine or "m-" + name
        self.port = port
        self.address = address  # of the way to the port
        self.store = store
        self.ledger = ledger
        self.random = random.Random(seed)
        self.lock = threading.Condition()
        self.capacity = 16000
        self.draining = False
        self.drained_at = None  # when the store took the report
        self.answer_s = 0.0  # time to answer a start
        self.stop_answer_s = 0.0  # ... a stop, which takes effect at once
        # The shares of stops that are refused with an error and not carried
        # out, and that are carried out without an answer.
        self.refused_stops = 0.0
        self.unanswered_stops = 0.0
        self.hold_answer_s = 0.0  # ... a hold, beyond the wait for an end
        self.work_s = WORK_S
        self.long_share = LONG_SHARE
        self.start_late_s = 0.0  # before a start is carried out
        self.row = "whole"  # or "away", "damaged", "moved", "misplaced"
        self.hangs = False
        self.gone = False
        self.disturbed_at = time.monotonic() - LATE_S  # its way, last
        self.ticked_at = time.monotonic()
        self.began()
        self.server = WebServer(port, self.serve)
        threading.Thread(target=self.work, daemon=True).start()
        self.register()

    def began(self):
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.rate = self.random.choice([0.98, 0.99, 1.0])
        self.fence = 0
        self.lease = 0
        self.runs = {}  # (task, run) -> Run
        self.finished = []  # [number, task, run, how, checkpoint]
        self.ends = 0
        self.highest = {}  # task -> highest run that ended or was stopped
        self.lapsed_unread = set()  # numbers of ends before a lapse

    def clock(self):
        return int((time.monotonic() - self.start) * 1000 * self.rate)

    def register(self):
        with self.lock:
            if self.gone or self.row == "away":
                self.store.put("servers", self.name, None)
            elif self.row == "damaged":
                self.store.put("servers", self.name, "no entry")
            else:
                self.report()

    def report(self):
        self.store.put("servers", self.name, self.entry())
        if self.draining and self.drained_at is None:
            self.drained_at = time.monotonic()

    def entry(self):
        address = {"moved": self.port,
                   "misplaced": NOBODYS_PORT}.get(self.row, self.address)
        return {
            "service": "desk", "address": "127.0.0.1:%d" % address,
            "zone": "z1", "version": "1", "slots": 8, "cold_left_ms": 0,
            "state": "draining" if self.draining else "ready", "seq": 1,
            "capacity": {"cpu": self.capacity, "mem_mb": 64000},
            "labels": ["k1", "r1"], "machine": self.machine,
            "born": self.born}

    def keep_row(self, how):
        self.row = how
        self.register()

    def drain(self, draining):
        self.draining = draining
        self.drained_at = None
        self.register()

    def restart(self):
        """A crash: nothing is left of what was before."""
        with self.lock:
            self.lose_runs()
            self.began()
            self.lock.notify_all()
        self.register()

    def leave(self):
        """For good. What is at work dies."""
        with self.lock:
            self.gone = True
            self.lose_runs()
            self.runs = {}
            self.lock.notify_all()
        self.register()

    def leave_when_idle(self):
        while self.runs or self.finished:
            time.sleep(0.1)
        self.leave()

    def lose_runs(self):
        for task, run in list(self.runs):
            self.ledger.on_end(self, task, run, "crashed")
            self.ledger.pairs.on_end(self.name, task, run, "died")

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                # What is judged below is judged as of this moment, so that a
                # halt comes before it or is found by the next round.
                now, clock = time.monotonic(), self.clock()
                self.ledger.note_halt(now - self.ticked_at)
                self.ticked_at = now
                if self.lease <= clock and self.runs:
                    self.lapsed_unread |= {end[0] for end in self.finished}
                    for key in list(self.runs):
                        self.end(key, "lapsed")
                for key, run in list(self.runs.items()):
                    if run.checkpointing and run.saves_at <= now:
                        self.save(key)
                    if not run.too_long:
                        run.too_long = self.ledger.check_gone(self, *key, now)
                    if run.gang and run.how not in ("stopped", "failed"):
                        run.ends_at, run.how = self.ledger.gang_end(
                            *key, run.began, run.work_s)
                    if run.ends_at <= now and (run.how == "stopped" or
                                               not self.hangs):
                        self.end(key, run.how)

    def save(self, key):
        self.runs[key].saves_at = time.monotonic() + CHECKPOINT_S
        self.runs[key].checkpoint = "%016x" % self.random.getrandbits(64)
        self.ledger.on_saved(key[0], self.runs[key].checkpoint)

    def end(self, key, how):
        task, run = key
        checkpoint = self.runs.pop(key).checkpoint
        self.ends += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.finished.append([self.ends, task, run, how, checkpoint])
        self.ledger.on_end(self, task, run, how)
        self.ledger.pairs.on_end(self.name, task, run, how)
        self.lock.notify_all()

    def serve(self, _method, path, _query, body, headers):
        if headers.get("Expect-Instance", self.name) != self.name or \
                self.gone:
            return 421, {}
        if path.endswith("/run-start"):
            time.sleep(self.start_late_s)
        is_stop = path.endswith("/run-stop")
        if is_stop and self.random.random() < self.refused_stops:
            return 503, {"clock_ms": self.clock()}
        answer = self.obey(path, body)
        if is_stop and self.random.random() < self.unanswered_stops:
            time.sleep(self.stop_answer_s)
            return None
        time.sleep({"/run-start": self.answer_s,
                    "/run-stop": self.stop_answer_s,
                    "/hold": self.hold_answer_s}.get(
                        path.replace("/lycheestep", ""), 0.0))
        return answer

    def obey(self, path, body):
        with self.lock:
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            if path.endswith("/run-start"):
                return self.run_start(body)
            if path.endswith("/run-stop"):
                return self.run_stop(body)
            return self.hold(body)

    def extend(self, deadline):
        longest = self.clock() + MAX_HOLD_MS
        self.lease = max(self.lease, min(deadline, longest))

    def run_start(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, {"clock_ms": self.clock()}
        if body["run"] <= self.highest.get(body["task"], 0):
            self.extend(body["deadline_ms"])
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body["deadline_ms"])
        checkpoint = body.get("checkpoint", "")
        self.ledger.note_halt(time.monotonic() - self.ticked_at)
        entry = self.ledger.on_start(self, body["task"], body["run"],
                                     body["spec"], checkpoint) or {}
        self.ledger.pairs.on_start(self.name, body["task"], body["run"],
                                   self.start_late_s > 0)
        fails = self.random.random() < 0.03
        self.runs[key] = Run(self.work_time(), fails, entry, checkpoint)
        if sum(run.cpu for run in self.runs.values()) > self.capacity:
            self.ledger.breach("%s was given more than it has" % self.name)
        return 200, {"clock_ms": self.clock()}

    def work_time(self):
        is_long = self.random.random() < self.long_share
        return self.random.uniform(*(LONG_WORK_S if is_long else self.work_s))

    def run_stop(self, body):
        key = (body["task"], body["run"])
        self.ledger.pairs.on_stop(self.name, *key)
        if key in self.runs:
            if self.runs[key].how != "stopped":
                self.runs[key].ends_at = time.monotonic() + STOP_S
                self.runs[key].how = "stopped"
                if self.runs[key].checkpointing:
                    self.save(key)
        else:
            self.highest[body["task"]] = max(
                body["run"], self.highest.get(body["task"], 0))
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor = body.get("ack_cursor", 0)
        for number, task, run, how, _ in self.finished:
            if number <= cursor:
                self.ledger.pairs.on_noted(self.name, task, run)
            if number <= cursor and number not in self.lapsed_unread:
                self.ledger.on_noted(task, how)
        self.finished = [end for end in self.finished if end[0] > cursor]
        born, until = self.born, time.monotonic() + body.get("wait_ms",
                                                             0) / 1000
        while not self.finished and born == self.born:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if born != self.born:
            return None  # the process that was asked is no more
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[*key, run.checkpoint, run.percent(), 0]
                                 for key, run in self.runs.items()],
                     "finished": self.finished[:500]}
