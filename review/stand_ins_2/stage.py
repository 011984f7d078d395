"""Runs hosts of the deploy file's program among stand-ins for one case.

The store stand-in and the HTTP helpers are those of testsuite/soak.
"""
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "testsuite" / "soak"))

from hosts import free_ports  # noqa: E402
from store import Store  # noqa: E402
from web import call  # noqa: E402
from worker import Worker  # noqa: E402

PROGRAM = "target/src/lycheestep/lycheestep"
HOSTS = 2
PORTS_PER_HOST = 4
HOST_NAME = "desk.example"
STARTUP_LIMIT_S = 15
GRACE_S = 6

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main):
    """Runs a case; an error of its own is no broken rule."""
    def give_up(*_):
        for stage in Stage.running:
            stage.finish(COULD_NOT_RUN, "the case was ended or has an error")
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    try:
        main()
    except BaseException:  # also the end that free_ports makes
        traceback.print_exc()
    give_up()


class Stage:
    """The store, the workers and the hosts of a small deployment."""

    running = []

    def __init__(self, folder, workers, routes):
        Stage.running.append(self)
        self.processes = []
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w",
                           encoding="utf-8")
        self.lock = threading.Lock()
        self.events = []  # (time in s, event, fields)
        self.work = {}  # job id -> behaviour of its runs
        base = free_ports(1 + len(workers) + 1 + HOSTS * PORTS_PER_HOST)
        self.store = Store(base, 1)
        self.store.put("op", "config", self.config(routes))
        self.workers = [Worker(self, port=base + 1 + i, **worker)
                        for i, worker in enumerate(workers)]
        self.unused_port = base + 1 + len(workers)
        self.folder = tempfile.TemporaryDirectory()
        self.fronts = []
        self.settings = []
        for i in range(HOSTS):
            self.add_host(i, self.unused_port + 1 + i * PORTS_PER_HOST)

    @staticmethod
    def config(routes):
        return {"version": 1,
                "routes": [dict({"host": HOST_NAME, "kind": "non_idempotent",
                                 "timeout_ms": 3000, "service": "desk"},
                                **route) for route in routes],
                "services": [{"name": "desk", "health_path": "/health",
                              "max_conns": 64, "protocol": "h1", "tls": False,
                              "admission_check": False, "standby": False}],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 262144,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    def add_host(self, number, base):
        """Like a process of the deploy file, with the template's settings."""
        settings = {"host": "edge-z1-%d" % (number + 1), "data_centre": "z1",
                    "processor_share": 0.25,
                    "callers": "127.0.0.1:%d" % base,
                    "readiness": "127.0.0.1:%d" % (base + 1),
                    "address": "127.0.0.1", "ports": [base + 2, base + 3],
                    "store": "127.0.0.1:%d" % self.store.server.server
                    .server_address[1],
                    "store_row_bytes": 65536, "longest_lease_ms": 10000,
                    "stop_grace_s": GRACE_S}
        path = os.path.join(self.folder.name, settings["host"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.settings.append(path)
        self.processes.append(None)
        self.start_host(number)
        self.fronts.append((base, base + 1))

    def start_host(self, number):
        path = self.settings[number]
        with open(path + ".log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                [PROGRAM, "host"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "HOME": self.folder.name, "LANG": "C.UTF-8",
                     "LYCHEESTEP_NODE_FILE": path})

    def leader(self):
        """The number of the host whose name is in the leader's row."""
        names = ["edge-z1-%d" % (i + 1) for i in range(HOSTS)]
        name = self.store.leading(names)
        return names.index(name) if name else None

    def note(self, event, **fields):
        """Writes what a client, a worker or the platform saw."""
        with self.lock:
            at = time.monotonic() - self.began
            self.events.append((at, event, fields))
            text = " ".join("%s=%s" % item for item in fields.items())
            print("%8.3f %s %s" % (at, event, text), file=self.record,
                  flush=True)

    def now(self):
        return time.monotonic() - self.began

    def behaviour(self, task, run):
        """How long the run works (None: until it is stopped), and its end."""
        return self.work[task.split(".")[0]](task, run)

    def wait_until_ready(self):
        until = time.monotonic() + STARTUP_LIMIT_S
        while time.monotonic() < until:
            if all(call(ready, "GET", "/lycheestep/ready")[0] == 200
                   for _, ready in self.fronts):
                time.sleep(2)  # one host leads and holds the workers
                return
            time.sleep(0.2)
        self.finish(COULD_NOT_RUN, "the hosts are not ready")

    def submit(self, prefix, job, steps, behaviour, **fields):
        """Submits until a host accepts, as clients do; the time of the ack."""
        self.work[job] = behaviour
        body = dict({"spec": "work of " + job, "steps": steps}, **fields)
        for attempt in range(8):
            front = self.fronts[attempt % HOSTS][0]
            status, _ = call(front, "POST", prefix + job, body,
                             {"Host": HOST_NAME,
                              "Request-Deadline-Ms": "3000"})
            self.note("submitted", job=job, steps=json.dumps(
                steps, separators=(",", ":")), status=status)
            if status == 200:
                return self.now()
            time.sleep(0.3)
        return self.finish(COULD_NOT_RUN, "a submission was not accepted")

    def state(self, prefix, job):
        status, answer = call(self.fronts[0][0], "GET", prefix + job, None,
                              {"Host": HOST_NAME})
        state = answer.get("state", "") if status == 200 else status
        self.note("asked", job=job, state=state)
        return state

    def finish(self, result, reason):
        """Ends all processes and the script."""
        self.note("result", exit=result, reason=reason)
        print(reason)
        processes = [process for process in self.processes if process]
        for process in processes:
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        for process in processes:
            try:
                process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("HOST_LOGS"):
            for path in pathlib.Path(self.folder.name).glob("*.log"):
                target = pathlib.Path(os.environ["HOST_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.record.close()
        sys.stdout.flush()
        os._exit(result)
