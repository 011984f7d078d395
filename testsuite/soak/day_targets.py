"""Target stand-ins of a day, which know the host that each call comes from."""
import asyncio
import time

from day_judge import Run
from day_web import Server, hung_up

MAX_HOLD_MS = 10000
STOP_S = (0.05, 0.85)
CHECKPOINT_S = 0.5
GANG_S = 3.0
# A row is removed so long after its target fell silent.
SILENT_ROW_S = 4.5


class Target:
    def __init__(self, name, machine, zone, port, world):
        self.name, self.machine, self.zone = name, machine, zone
        self.port, self.world = port, world
        self.random = world.random
        self.capacity = 32000
        self.draining = False
        self.up = True
        self.hangs = False  # works on, and answers nobody
        self.errors = False  # refuses what it is asked
        self.row_away = False  # while it lives
        # Time to answer a stop, which takes effect at once, and a hold.
        self.stop_answer_s = self.hold_answer_s = 0.0
        # So many of the first stops of each run never arrive.
        self.unheard_stops = 0
        self.server = Server(port, self.serve, world.tasks)
        self.owners = {}  # connection -> host
        self.live()

    def live(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.rate = self.random.choice([0.98, 0.99, 1.0])
        self.fence, self.lease, self.ends = 0, 0, 0
        self.runs = {}  # (task, run) -> Run
        self.finished = []  # [number, Run]
        self.highest = {}
        self.lapsed_unread = set()
        self.ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000 * self.rate)

    def report(self):
        if self.row_away:
            return
        self.world.store.put("servers", self.name, {
            "service": "desk", "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "1", "slots": 64,
            "cold_left_ms": 0, "seq": int(time.time()),
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": self.capacity, "mem_mb": 131072},
            "labels": ["k1", "r1"], "machine": self.machine,
            "born": self.born,
            **({"remaining_ms": 2000} if self.draining else {})})

    def unlist(self):
        self.world.store.put("servers", self.name, None)

    def die(self):
        """Whatever runs here ends with it; it answers nothing any more."""
        for run in list(self.runs.values()):
            self.world.judge.on_end(run, "died")
        self.runs = {}
        self.up = False
        self.server.reset()

    def tick(self):
        now, clock = time.monotonic(), self.clock()
        if not self.up:
            return
        if self.lease <= clock:
            self.lapsed_unread |= {number for number, _ in self.finished}
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            self.world.judge.check_gone(run)
            if run.checkpointing and run.saves_at <= now and run.at_work():
                self.save(run)
            if run.ends_at <= now:
                self.end(run, run.ends_as)

    def save(self, run):
        run.saves_at = time.monotonic() + CHECKPOINT_S
        run.checkpoint = "%016x" % self.random.getrandbits(64)
        self.world.judge.on_saved(run)

    def end(self, run, how):
        del self.runs[(run.task, run.number)]
        self.ends += 1
        self.highest[run.task] = max(run.number,
                                     self.highest.get(run.task, 0))
        self.finished.append((self.ends, run))
        self.world.judge.on_end(run, how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    async def serve(self, writer, _method, path, _query, body, headers,
                    reader):
        if writer not in self.owners:
            self.owners[writer] = self.world.owners.of(writer)
        host = self.owners[writer]
        born = self.born

        async def carry_out(late):
            if not self.up or self.born != born and not late:
                return None
            return await self.obey(path, body, headers, host, late)
        if not self.up or self.hangs or self.misses(path, body):
            return await hung_up(reader)
        return await self.world.ways.carry((host, self.name), carry_out,
                                           reader)

    def misses(self, path, body):
        """Whether this is one of the first stops of a run."""
        run = path.endswith("/run-stop") and \
            self.runs.get((body["task"], body["run"]))
        if not run or run.unheard >= self.unheard_stops:
            return False
        run.unheard += 1
        return True

    async def obey(self, path, body, headers, host, late):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if self.errors and self.random.random() < 0.7:
            return 503, {"clock_ms": self.clock()}
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if path.endswith("/run-start"):
            return self.run_start(body, host, late)
        if path.endswith("/run-stop"):
            answer = self.run_stop(body)
            await asyncio.sleep(self.stop_answer_s)
            return answer
        answer = await self.hold(body)
        await asyncio.sleep(self.hold_answer_s)
        return answer

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline,
                                         self.clock() + MAX_HOLD_MS))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def run_start(self, body, host, late):
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, {"clock_ms": self.clock()}
        if body["run"] <= self.highest.get(body["task"], 0):
            self.extend(body["deadline_ms"])
            return self.refuse("old")
        if body["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        run = Run(self, body["task"], body["run"], host, late)
        run.checkpoint = body.get("checkpoint", "")
        entry = self.world.judge.on_start(run, body["spec"])
        if entry is None:
            entry = {}
        run.checkpointing = entry.get("checkpointing", False)
        run.saves_at = run.start + CHECKPOINT_S
        run.cpu = entry.get("cpu", 0)
        run.ends_as = "failed" if self.random.random() < \
            self.world.arguments.fails else "done"
        work_s = entry.get("work_s", 1.0) * self.random.uniform(0.8, 1.2)
        run.ends_at = run.start + work_s
        if entry.get("gang"):
            self.world.judge.join_gang(run, work_s)
        self.runs[key] = run
        used = sum(run.cpu for run in self.runs.values())
        if used > self.capacity:
            self.world.judge.breach("over capacity", "%s has %d of %d after %r"
                                    % (self.name, used, self.capacity, run))
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        run = self.runs.get(key)
        if run is None:
            self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        elif run.stop is None:
            run.stop = time.monotonic()
            run.ends_at = run.stop + self.random.uniform(*STOP_S)
            run.ends_as = "stopped"
            if run.checkpointing:
                self.save(run)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor, born = body.get("ack_cursor", 0), self.born
        for number, run in self.finished:
            if number <= cursor:
                self.world.judge.on_noted(run, number in self.lapsed_unread)
        self.finished = [end for end in self.finished if end[0] > cursor]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and born == self.born and self.up:
            try:
                await asyncio.wait_for(self.ended.wait(),
                                       max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        if born != self.born or not self.up:
            return None
        now = time.monotonic()
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[*key, run.checkpoint, run.percent(now), 0]
                                 for key, run in self.runs.items()],
                     "finished": [[number, run.task, run.number, run.end_how,
                                   run.checkpoint]
                                  for number, run in self.finished[:500]]}
