"""What the scripts of the review share: a small deployment on loopback.

The hosts are the project's own program, started with the command of the
deploy file. The platform's store is the one of testsuite/soak, with the limits
of the page on the size of a call. Workers follow the platform's page: leases,
fencing tokens, instances, run ends that are listed until they may be
forgotten, and an entry in the store that is renewed with each heartbeat.
"""
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

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(TOP, "testsuite", "soak"))

from store import Store  # noqa: E402
from web import WebServer, call  # noqa: E402

PROGRAM = os.path.join(TOP, "target", "src", "lycheestep", "lycheestep")

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds and limits of the sites' settings.
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000
STOP_S = 0.2
CHECKPOINT_S = 0.5
TX_S = 0.004
# A channel on which an answer was lost stays open and silent for this long.
SILENT_S = 3
ROW_BYTES = 65536
MAX_ENTRIES = 100
GRACE_S = 6
FINISH_S = 14
MISSED_HEARTBEATS = 3
WEB_HOST = "desk.example"


def free_ports(count):
    """The first of so many free ports in a row, below those that the system
    gives to outgoing connections."""
    start = 12000 + os.getpid() * 173 % 9000
    for first in range(start, 32000 - count, 83):
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
    raise NotRun("no free ports")


class NotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def note(self, text, *, show=False):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.began, text)
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()
        if show:
            print(line, flush=True)


class LimitedStore(Store):
    """The store with the platform's limits on a call, and 4 ms a
    transaction. on_commit is called with each transaction that took effect."""

    def __init__(self, port, record):
        super().__init__(port, 1)
        self.record = record
        self.on_commit = None
        self.lost_share, self.late_s = 0, (0, 0)

    def lose_answers(self, share, late_s):
        """From now on this share of the writes gets no answer and is done
        later, by a time between the two of late_s, if its condition still
        holds then."""
        self.lost_share, self.late_s = share, late_s

    def transact(self, body):
        entries = sum(len(body.get(kind, []))
                      for kind in ("expected_rev", "writes", "remove"))
        longest = max([len(entry["value"]) * 3 // 4
                       for entry in body.get("writes", [])] or [0])
        if entries > MAX_ENTRIES or longest > ROW_BYTES:
            self.record.note("store refuses a call of %d entries, the longest "
                             "value has %d bytes" % (entries, longest))
            return 400, {}
        time.sleep(TX_S)
        if self.random.random() < self.lost_share:
            timer = threading.Timer(self.random.uniform(*self.late_s),
                                    self.apply, (body,))
            timer.daemon = True
            timer.start()
            time.sleep(SILENT_S)
            return None
        return self.apply(body)

    def apply(self, body):
        answer = super().transact(body)
        if answer[0] == 200 and self.on_commit:
            self.on_commit(body)
        return answer


class Run:
    def __init__(self, task, number, cpu, ends_at, how):
        self.task, self.number, self.cpu = task, number, cpu
        self.began_at = time.monotonic()
        self.ends_at, self.how = ends_at, how
        self.checkpointing = False

    def saved(self):
        """The newest checkpoint; empty if there is none."""
        worked_s = time.monotonic() - self.began_at
        count = int(worked_s / CHECKPOINT_S) if self.checkpointing else 0
        return "%08x%08x" % (count, hash(self.task) % 2**32) if count else ""


class Worker:
    """One worker. The cell decides what each run takes and how it ends."""

    def __init__(self, cell, name, port, kind="a", rack="r1", cpu=32000):
        self.cell, self.name, self.port = cell, name, port
        self.kind, self.rack, self.cpu = kind, rack, cpu
        self.lock = threading.Condition()
        self.order_s = 0.0  # how long it takes to answer a start
        self.hold_s = 0.0  # how long the answer to a hold is on its way
        self.seq = 0
        self.beat_at = 0.0
        self.state = "ready"
        self.server = None
        self.up = False
        self.begin()

    def begin(self):
        """A new lifetime, which knows nothing of an earlier one."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.fence = self.lease = self.ends = 0
            self.runs, self.finished, self.highest = {}, [], {}
            self.up = True
        self.server = WebServer(self.port, self.serve)
        threading.Thread(target=self.work, args=(self.born,),
                         daemon=True).start()
        threading.Thread(target=self.beat, args=(self.born,),
                         daemon=True).start()

    def crash(self):
        """The process ends: what runs is lost and calls get no answer."""
        with self.lock:
            self.up = False
            self.runs.clear()
            self.lock.notify_all()
        self.server.close()
        self.cell.record.note("%s crashed" % self.name)
        silent_s = time.monotonic() - self.beat_at
        timer = threading.Timer(HEARTBEAT_S * MISSED_HEARTBEATS - silent_s,
                                self.expire, (self.born,))
        timer.daemon = True
        timer.start()

    def expire(self, born):
        if self.born == born and not self.up:
            self.cell.store.put("servers", self.name, None)

    def alive(self, born):
        return self.up and self.born == born

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def entry(self):
        return {"service": "desk", "address": "127.0.0.1:%d" % self.port,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
                "labels": [self.kind, self.rack],
                "machine": "m-" + self.name, "born": self.born,
                "clock_ms": self.clock()}

    def beat(self, born):
        """Writes the entry at the start and with each heartbeat."""
        while self.alive(born):
            self.seq += 1
            self.beat_at = time.monotonic()
            self.cell.store.put("servers", self.name, self.entry())
            time.sleep(HEARTBEAT_S)

    def work(self, born):
        while self.alive(born):
            time.sleep(0.01)
            with self.lock:
                if self.lease <= self.clock():
                    for key in list(self.runs):
                        self.end(key, "lapsed")
                now = time.monotonic()
                for key, run in list(self.runs.items()):
                    if run.ends_at <= now:
                        self.end(key, run.how)

    def end(self, key, how):
        """Within the lock."""
        run = self.runs.pop(key)
        self.ends += 1
        self.highest[run.task] = max(run.number,
                                     self.highest.get(run.task, 0))
        self.finished.append([self.ends, run.task, run.number, how,
                              run.saved()])
        self.cell.record.note("%s: %s run %d ended %s" % (
            self.name, run.task, run.number, how))
        self.cell.on_end(self, run, how)
        self.lock.notify_all()

    def serve(self, _method, path, _query, body, headers):
        if not self.up:
            return None
        if headers.get("Expect-Instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        if path.endswith("/run-start") and self.order_s:
            time.sleep(self.order_s)
        with self.lock:
            if not self.up:
                return None
            if body.get("fencing_token", 0) < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body.get("fencing_token", 0)
            if path.endswith("/run-start"):
                return self.run_start(body)
            if path.endswith("/run-stop"):
                return self.run_stop(body)
            answer = self.hold(body)
        if self.hold_s:
            time.sleep(self.hold_s)
        return answer

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
        cpu, work_s, how = self.cell.plan(self, *key)
        run = Run(key[0], key[1], cpu, time.monotonic() + work_s, how)
        self.runs[key] = run
        self.cell.record.note("%s (kind %s, born %d): %s run %d starts" % (
            self.name, self.kind, self.born, *key))
        self.cell.on_start(self, run)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        run = self.runs.get(key)
        if run is None:
            self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        elif run.how != "stopped":
            run.ends_at, run.how = time.monotonic() + STOP_S, "stopped"
        return 200, {"clock_ms": self.clock()}

    def percent(self, run):
        whole = run.ends_at - run.began_at
        done = (time.monotonic() - run.began_at) / max(whole, 0.001)
        return min(99, int(done * 100))

    def hold(self, body):
        self.extend(body.get("deadline_ms", 0))
        cursor = body.get("ack_cursor", 0)
        self.finished = [end for end in self.finished if end[0] > cursor]
        born = self.born
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and self.alive(born):
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.alive(born):
            return None
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[run.task, run.number, run.saved(),
                                  self.percent(run), run.cpu]
                                 for run in self.runs.values()],
                     "finished": self.finished[:500]}


class Host:
    """One host of the system, as the deploy file starts it."""

    def __init__(self, cell, name, base):
        self.cell, self.name = cell, name
        self.front, self.ready = base, base + 1
        self.settings = os.path.join(cell.folder, name + ".json")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "data_centre": "z1",
                       "processor_share": 0.25,
                       "callers": "127.0.0.1:%d" % self.front,
                       "readiness": "127.0.0.1:%d" % self.ready,
                       "address": "127.0.0.1",
                       "ports": [base + 2, base + 3],
                       "store": "127.0.0.1:%d" % cell.store_port,
                       "longest_lease_ms": MAX_HOLD_MS,
                       "stop_grace_s": GRACE_S}, file)

    def start(self):
        with open(os.path.join(self.cell.folder, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "host"], cwd=TOP, stdout=log, stderr=log,
                env=dict(os.environ, LYCHEESTEP_NODE_FILE=self.settings))
        self.cell.record.note("%s started" % self.name)

    def send(self, number):
        if self.process.poll() is None:
            self.cell.record.note("%s gets %s" % (
                self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        return call(self.ready, "GET", "/lycheestep/ready")[0] == 200


class Job:
    def __init__(self, body):
        self.body = body
        self.accepted_at = None
        self.refused = True
        self.state = None


class Cell:
    """A small deployment and what its callers and workers saw. A case derives
    from it and gives plan, on_start and on_end."""

    PORTS_PER_HOST = 4

    def __init__(self, folder, record, hosts, workers, max_attempts=3):
        self.folder, self.record = folder, record
        self.random = random.Random(os.getpid())
        self.lock = threading.RLock()
        self.broken = []
        self.jobs = {}
        base = free_ports(1 + hosts * self.PORTS_PER_HOST + workers)
        self.store_port = base
        self.store = LimitedStore(base, record)
        self.store.put("op", "config", {
            "version": 3,
            "routes": [{"name": "r1", "host": WEB_HOST,
                        "path_prefix": "/plans/", "kind": "non_idempotent",
                        "timeout_ms": 3000, "target_latency_ms": 1000,
                        "priority": 1, "service": "desk",
                        "max_attempts": max_attempts, "slack_factor": 2.0}],
            "services": [{"name": "desk", "admission_check": False}],
            "limits": {"max_body_bytes": 262144}})
        self.hosts = [Host(self, "h%d" % i,
                           base + 1 + i * self.PORTS_PER_HOST)
                      for i in range(hosts)]
        self.worker_port = base + 1 + hosts * self.PORTS_PER_HOST
        self.workers = []

    def add_worker(self, **options):
        number = len(self.workers)
        name = "i-%08x" % (number * 2654435761 % 2**32)
        worker = Worker(self, name, self.worker_port + number, **options)
        self.workers.append(worker)
        return worker

    # What a case decides.

    def plan(self, worker, task, run):
        raise NotImplementedError

    def on_start(self, worker, run):
        pass

    def on_end(self, worker, run, how):
        pass

    def breach(self, text):
        with self.lock:
            self.broken.append(text)
        self.record.note("BROKEN: " + text, show=len(self.broken) <= 5)

    # Hosts and callers.

    def start_hosts(self):
        for host in self.hosts:
            host.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all(host.is_ready() for host in self.hosts):
                return
            time.sleep(0.1)
        raise NotRun("the hosts do not become ready")

    def request(self, method, job_id, body=None, host=None):
        chosen = host or self.random.choice(self.hosts)
        return call(chosen.front, method, "/plans/" + job_id, body,
                    {"Host": WEB_HOST, "Request-Deadline-Ms": "3000"})

    def submit(self, steps, **fields):
        """Hands a job in, at most five times as the sites' clients do."""
        job_id = "%016x" % self.random.getrandbits(64)
        job = Job({"spec": "work of " + job_id, "steps": steps, **fields})
        self.jobs[job_id] = job
        for _ in range(5):
            status, _ = self.request("POST", job_id, job.body)
            self.record.note("POST %s: %d" % (job_id, status))
            if status == 200:
                job.accepted_at = time.monotonic()
                return job_id
            time.sleep(0.3)
        return job_id

    def state(self, job_id):
        status, answer = self.request("GET", job_id)
        state = answer.get("state") if status == 200 else None
        self.record.note("GET %s: %d %s" % (job_id, status, state))
        return state

    def unfinished(self):
        """The accepted jobs that are not shown as over, by state."""
        found = {}
        for job_id, job in list(self.jobs.items()):
            if job.accepted_at is None or job.state:
                continue
            state = self.state(job_id)
            if state in ("done", "failed", "cancelled"):
                job.state = state
            else:
                found[job_id] = state
        return found

    def leader(self):
        """The host whose name stands in the leader's row."""
        with self.store.lock:
            rows = [value for key, (value, _) in self.store.rows.items()
                    if key[0] != "servers" and key[2] == "leader"]
        for host in self.hosts:
            if rows and host.name.encode() in rows[0]:
                return host
        raise NotRun("no host leads")

    def end_all(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()


def play(script, make_cell):
    """Plays a case: make_cell(folder, record) returns a cell with a method
    play(trouble). Exits with the code that the review asks for."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    path = os.path.join(os.path.dirname(os.path.abspath(script)),
                        "record.txt")
    record = Record(path)
    cell = None
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        folder = os.environ.get("REVIEW_LOGS") or temporary
        try:
            cell = make_cell(folder, record)
            cell.play(trouble)
            code = BROKEN if cell.broken else HELD
        except (Exception, KeyboardInterrupt) as error:
            record.note("not run: %r" % error, show=True)
        finally:
            if cell is not None:
                cell.end_all()
    record.note("trouble=%s, %d times broken, exit code %d" % (
        trouble, len(cell.broken) if cell else 0, code), show=True)
    sys.stdout.flush()
    os._exit(code)
