"""Stand-ins of workers over HTTP, and the ledger of what they did.

A worker obeys no fencing token below the highest it has seen, kills all that
runs when its lease is over by its own clock, which may be slow, and lists ends
until they may be forgotten. It does not guard its room: the ledger does, and
names each promise that was broken.
"""
import random
import threading
import time

from web import WebServer

MAX_HOLD_MS = 10000
STOP_S = 0.2
CANCEL_S = 3.0
# An order to a worker whose way was disturbed may be carried out so late.
LATE_S = 12.0


class Job:
    def __init__(self, spec, steps):
        self.spec = spec
        self.steps = steps
        self.accepted = False  # some call was answered 2xx
        self.doubtful = False  # some call got neither 2xx nor a refusal
        self.cancel_acked = None
        self.ended = None


class Ledger:
    """What callers and workers saw, and the promises checked against it."""

    def __init__(self, max_attempts):
        self.lock = threading.RLock()
        self.max_attempts = max_attempts
        self.jobs = {}
        self.running = {}  # task -> set of (worker, life, run)
        self.done = set()  # tasks that ended well anywhere
        self.noted = set()  # ... and whose end may be forgotten
        self.failures = {}  # task -> runs whose failure may be forgotten
        self.starts = 0
        self.broken = []

    def breach(self, text):
        with self.lock:
            self.broken.append(text)
            print("BROKEN: " + text, flush=True)

    def on_start(self, worker, task, run, spec):
        job_id, _, step, index = task.split(".")
        with self.lock:
            self.starts += 1
            job = self.jobs.get(job_id)
            name = "%s run %d on %s" % (task, run, worker.name)
            if job is None or job.spec != spec or \
                    int(index) >= job.steps[int(step)]["count"]:
                self.breach("nobody asked for " + name)
                return 0
            if self.running.get(task):
                self.breach("%s runs already on %s" % (name,
                                                       self.running[task]))
            if task in self.noted:
                self.breach(name + " started after its end was noted")
            if self.failures.get(task, 0) >= self.max_attempts:
                self.breach(name + " started beyond its attempts")
            for earlier in job.steps[int(step)].get("after", []):
                tasks = {"%s.0.%d.%d" % (job_id, earlier, i)
                         for i in range(job.steps[earlier]["count"])}
                if not tasks <= self.done:
                    self.breach(name + " started before its earlier steps")
            late = time.monotonic() - worker.disturbed_at < LATE_S
            if job.cancel_acked and not late and \
                    time.monotonic() > job.cancel_acked + CANCEL_S:
                self.breach(name + " started after its cancellation")
            self.running.setdefault(task, set()).add((worker.name,
                                                      worker.born, run))
            return job.steps[int(step)].get("cpu", 0)

    def on_end(self, worker, task, run, how):
        with self.lock:
            self.running.get(task, set()).discard((worker.name, worker.born,
                                                   run))
            if how != "done":
                return
            job_id, occurrence, step, _ = task.split(".")
            entry = self.jobs[job_id].steps[int(step)]
            # The end of one member of a gang stands for all of them.
            members = range(entry["count"]) if entry.get("gang") else \
                [int(task.rsplit(".", 1)[1])]
            self.done |= {"%s.%s.%s.%d" % (job_id, occurrence, step, i)
                          for i in members}

    def on_noted(self, task, how):
        with self.lock:
            if how == "done":
                self.noted.add(task)
            elif how == "failed":
                self.failures[task] = self.failures.get(task, 0) + 1


class Worker:
    def __init__(self, name, port, address, store, ledger, seed):
        self.name = name
        self.address = address
        self.store = store
        self.ledger = ledger
        self.random = random.Random(seed)
        self.lock = threading.Condition()
        self.capacity = 16000
        self.draining = False
        self.hangs = False
        self.gone = False
        self.disturbed_at = time.monotonic() - LATE_S  # its way, last
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
        self.runs = {}  # (task, run) -> [ends at or None, cpu, how]
        self.finished = []  # [number, task, run, how, checkpoint]
        self.ends = 0
        self.highest = {}  # task -> highest run that ended or was stopped
        self.lapsed_unread = set()  # numbers of ends before a lapse

    def clock(self):
        return int((time.monotonic() - self.start) * 1000 * self.rate)

    def register(self):
        self.store.put("servers", self.name, None if self.gone else {
            "service": "desk", "address": "127.0.0.1:%d" % self.address,
            "zone": "z1", "version": "1", "slots": 8, "cold_left_ms": 0,
            "state": "draining" if self.draining else "ready", "seq": 1,
            "capacity": {"cpu": self.capacity, "mem_mb": 64000},
            "labels": ["k1", "r1"], "machine": "m-" + self.name,
            "born": self.born})

    def restart(self):
        """A crash: nothing is left of what was before."""
        with self.lock:
            for task, run in list(self.runs):
                self.ledger.on_end(self, task, run, "crashed")
            self.began()
            self.lock.notify_all()
        self.register()

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now, clock = time.monotonic(), self.clock()
                if self.lease <= clock and self.runs:
                    self.lapsed_unread |= {end[0] for end in self.finished}
                    for key in list(self.runs):
                        self.end(key, "lapsed")
                for key, (ends_at, _, how) in list(self.runs.items()):
                    if ends_at <= now and (how == "stopped" or
                                           not self.hangs):
                        self.end(key, how)

    def end(self, key, how):
        task, run = key
        del self.runs[key]
        self.ends += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.finished.append([self.ends, task, run, how, ""])
        self.ledger.on_end(self, task, run, how)
        self.lock.notify_all()

    def serve(self, _method, path, _query, body, headers):
        if headers.get("Expect-Instance", self.name) != self.name or \
                self.gone:
            return 421, {}
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
        cpu = self.ledger.on_start(self, body["task"], body["run"],
                                   body["spec"])
        used = sum(run[1] for run in self.runs.values())
        if used + cpu > self.capacity:
            self.ledger.breach("%s was given more than it has" % self.name)
        fails = self.random.random() < 0.03
        self.runs[key] = [time.monotonic() + self.random.uniform(0.1, 0.9),
                          cpu, "failed" if fails else "done"]
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            if self.runs[key][2] != "stopped":
                self.runs[key][0] = time.monotonic() + STOP_S
                self.runs[key][2] = "stopped"
        else:
            self.highest[body["task"]] = max(
                body["run"], self.highest.get(body["task"], 0))
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor = body.get("ack_cursor", 0)
        for number, task, _, how, _ in self.finished:
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
                     "running": [[task, run, "", 50, 0]
                                 for task, run in self.runs],
                     "finished": self.finished[:500]}
