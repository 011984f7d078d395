"""A stand-in of a worker, as PROTOCOL.md describes it.

It obeys no fencing token below the highest one that it has seen, ends all runs
when its lease is over, keeps ends until a cursor reaches them, and starts
whatever it is told to start (`admission_check` is false). What a run does is
decided by the case, in Stage.behaviour.
"""
import threading
import time

from web import WebServer

MAX_HOLD_MS = 10000
STOP_S = 0.1
HEARTBEAT_S = 1.5
# The platform removes the entry of a worker that is silent for this long.
EXPIRY_S = 3 * HEARTBEAT_S


class Run:
    def __init__(self, work_s, how):
        self.began = time.monotonic()
        self.ends_at = None if work_s is None else self.began + work_s
        self.how = how
        self.work_s = work_s

    def percent(self):
        if self.work_s is None:
            return 100
        worked_s = time.monotonic() - self.began
        return min(99, int(100 * worked_s / self.work_s))


class Worker:
    def __init__(self, stage, name, port, cpu, kind, rack="r1"):
        self.stage = stage
        self.name = name
        self.port = port
        self.cpu = cpu
        self.kind = kind
        self.rack = rack
        self.machine = "m-" + name
        self.lock = threading.Condition()
        self.reaches_store = True
        self.is_up = True
        self.sequence = 0
        self.is_listed = False
        self.begin_life()
        self.register()
        self.server = WebServer(port, self.serve)
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}  # (task, run) -> Run
        self.finished = []  # [number, task, run, how, checkpoint]
        self.ends = 0
        self.highest = {}  # task -> highest run that ended or was stopped

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def entry(self):
        return {"service": "desk", "address": "127.0.0.1:%d" % self.port,
                "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "seq": self.sequence,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": [self.kind, self.rack], "machine": self.machine,
                "born": self.born}

    def register(self):
        if self.is_up and self.reaches_store:
            self.sequence += 1
            self.registered_at = time.monotonic()
            self.is_listed = True
            self.stage.store.put("servers", self.name, self.entry())

    def beat(self):
        while True:
            if time.monotonic() - self.registered_at >= HEARTBEAT_S:
                self.register()
            silence = time.monotonic() - self.registered_at
            if self.is_listed and silence >= EXPIRY_S:
                self.is_listed = False
                self.stage.store.put("servers", self.name, None)
                self.stage.note("entry-expired", worker=self.name)
            time.sleep(0.05)

    def crash(self):
        with self.lock:
            self.is_up = False
            for task, run in self.runs:
                self.stage.note("run-crashed", task=task, run=run,
                                worker=self.name)
            self.runs.clear()
            self.lock.notify_all()

    def start_again(self, kind):
        """A new life under the same id, which may be of another kind."""
        with self.lock:
            self.kind = kind
            self.begin_life()
            self.is_up = True
        self.register()

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                if self.lease <= self.clock():
                    for key in list(self.runs):
                        self.end(key, "lapsed")
                now = time.monotonic()
                for key, run in list(self.runs.items()):
                    if run.ends_at is not None and run.ends_at <= now:
                        self.end(key, run.how)

    def end(self, key, how):
        task, number = key
        del self.runs[key]
        self.ends += 1
        self.highest[task] = max(number, self.highest.get(task, 0))
        self.finished.append([self.ends, task, number, how, ""])
        self.stage.note("run-ended", task=task, run=number, worker=self.name,
                        how=how)
        self.lock.notify_all()

    def serve(self, _method, path, _query, body, headers):
        with self.lock:
            if not self.is_up:
                return None
            if headers.get("Expect-Instance", self.name) != self.name:
                return 421, {"clock_ms": self.clock()}
            token = body.get("fencing_token", 0)
            if token < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = token
            if path.endswith("/run-start"):
                return self.run_start(body)
            if path.endswith("/run-stop"):
                return self.run_stop(body)
            if path.endswith("/hold"):
                return self.hold(body)
            return 200, {"clock_ms": self.clock()}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline,
                                         self.clock() + MAX_HOLD_MS))

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
        self.runs[key] = Run(*self.stage.behaviour(body["task"], body["run"]))
        self.stage.note("run-started", task=body["task"], run=body["run"],
                        worker=self.name, kind=self.kind)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        run = self.runs.get(key)
        if run is None:
            self.highest[body["task"]] = max(
                body["run"], self.highest.get(body["task"], 0))
        elif run.how != "stopped":
            run.ends_at, run.how = time.monotonic() + STOP_S, "stopped"
            self.stage.note("run-stopping", task=body["task"],
                            run=body["run"], worker=self.name)
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor = body.get("ack_cursor", 0)
        self.finished = [end for end in self.finished if end[0] > cursor]
        born = self.born
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and self.is_up and born == self.born:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.is_up or born != self.born:
            return None  # the process that was asked is no more
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[*key, "", run.percent(), 0]
                                 for key, run in self.runs.items()],
                     "finished": self.finished[:500]}
