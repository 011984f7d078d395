"""Stand-ins of workers, after PROTOCOL.md. A worker obeys no fencing token below
the highest that it has seen, kills all that runs when its lease is over by its
own clock, and lists ends until they may be forgotten."""
import asyncio
import time

from http_wire import HttpServer

MAX_HOLD_MS = 10000
STOP_S = 0.3
MAX_ENDS = 500
HEARTBEAT_S = 1.5
# The length of a run that does not end by itself, and its startup.
LASTS = float("inf")
STARTUP_S = 0.3


class Run:
    def __init__(self, seconds, how, checkpoint):
        self.began = time.monotonic()
        self.seconds = seconds
        self.ends_at = self.began + seconds
        self.how = how
        self.checkpoint = checkpoint

    def percent(self):
        worked = time.monotonic() - self.began
        if self.seconds == LASTS:
            return 100 if worked > STARTUP_S else 0
        return max(0, min(99, int(100 * worked / max(self.seconds, 0.001))))

    def load(self):
        """The tail in milliseconds of a task that lasts, the processors in use,
        in thousandths, of any other."""
        return 100 if self.seconds == LASTS else 500


class Worker:
    """plan(task, run) says how long a run works and how it ends."""

    def __init__(self, name, machine, rack, port, store, ledger, plan,
                 capacity):
        self.name, self.machine, self.rack = name, machine, rack
        self.port = port
        self.store, self.ledger, self.plan = store, ledger, plan
        self.capacity = capacity
        self.kind = "a"
        self.state = "ready"
        self.seq = 0
        self.listed = True
        self.gone = False
        self.server = HttpServer(self.serve)
        self.lives = 0
        self.begin_life()

    def begin_life(self):
        self.lives += 1
        self.life = "%s/%d" % (self.name, self.lives)  # in the ledger
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.lapsed = True
        self.runs = {}  # (task, run) -> Run
        self.finished = []  # [number, task, run, how, checkpoint]
        self.ends = 0
        self.highest = {}  # task -> highest run that ended or was stopped
        self.ended = asyncio.Event()

    async def open(self):
        await self.server.listen(self.port)
        asyncio.ensure_future(self.work())
        asyncio.ensure_future(self.heartbeat())

    def clock(self):
        return int((time.monotonic() - self.start) * 1000)

    def entry(self):
        return {"service": "desk", "address": "127.0.0.1:%d" % self.port,
                "zone": "z1", "version": "1", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "machine": self.machine,
                "capacity": self.capacity, "labels": [self.kind, self.rack],
                "born": self.born}

    def crash(self):
        """Nothing is left of what was before, at the same address."""
        for task, run in self.runs:
            self.ledger.on_crash(self.life, task, run)
        self.ended.set()
        self.begin_life()

    def lose(self):
        """A crash for good: nobody listens, and the entry goes once three
        heartbeats are missing."""
        self.crash()
        self.server.close()
        self.listed = False
        self.gone = True
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.put, "servers", self.name, None)

    async def heartbeat(self):
        while True:
            self.seq += 1
            if self.listed:
                self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now, clock = time.monotonic(), self.clock()
            if self.lease <= clock and not self.lapsed:
                self.lapsed = True
                self.ledger.on_lapse(self.life)
                for key in list(self.runs):
                    self.end(key, "lapsed")
            for key, run in list(self.runs.items()):
                if run.ends_at <= now:
                    self.end(key, run.how)

    def end(self, key, how):
        task, run = key
        checkpoint = self.runs.pop(key).checkpoint
        self.ends += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.finished.append([self.ends, task, run, how, checkpoint])
        self.ledger.on_end(self.life, task, run, how, self.ends)
        self.ended.set()
        self.ended = asyncio.Event()

    async def serve(self, _method, path, _query, headers, body):
        if self.gone:
            return None
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if path == "/lycheestep/run-start":
            return self.run_start(body)
        if path == "/lycheestep/run-stop":
            return self.run_stop(body)
        if path == "/lycheestep/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))
        if self.lease > self.clock():
            self.lapsed = False

    def run_start(self, body):
        task, run = body["task"], body["run"]
        clock = {"clock_ms": self.clock()}
        if (task, run) in self.runs:
            return 200, clock
        if body["deadline_ms"] <= self.clock() and self.lease <= self.clock():
            return 409, dict(clock, reason="late")
        self.extend(body["deadline_ms"])
        if run <= self.highest.get(task, 0):
            return 409, dict(clock, reason="old")
        seconds, how = self.plan(task, run)
        self.runs[(task, run)] = Run(seconds, how, body.get("checkpoint", ""))
        self.ledger.on_start(self.life, task, run, body)
        return 200, clock

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            found = self.runs[(task, run)]
            if found.how != "stopped":
                found.how = "stopped"
                found.ends_at = time.monotonic() + STOP_S
        else:
            self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor = body.get("ack_cursor", 0)
        for end in self.finished:
            if end[0] <= cursor:
                self.ledger.on_noted(self.life, *end[:4])
        self.finished = [end for end in self.finished if end[0] > cursor]
        born = self.born
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and self.born == born:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.born != born:
            return None  # the process that was asked is gone
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[*key, run.checkpoint, run.percent(),
                                  run.load()]
                                 for key, run in self.runs.items()],
                     "finished": self.finished[:MAX_ENDS]}
