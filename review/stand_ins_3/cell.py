"""A small deployment on loopback addresses: store, workers, and hosts that run
as processes with the command of the deploy file."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile

from store import Store
from workers import Worker

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target/src/lycheestep/lycheestep")
RESTART_S = 0.5
LOWEST_PORT, HIGHEST_PORT = 21000, 32000
GIVEN_PORTS = set()
PREFIX = "/orders/"
HOST_HEADER = "desk.example"


class CannotRun(Exception):
    pass


def end_on_sigterm():
    """Lets a case that is stopped end the processes that it started."""
    def stop(_number, _frame):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, stop)


def free_ports(count):
    """Ports that are free now, below those of outgoing connections. None is
    given twice."""
    ports = []
    first = LOWEST_PORT + os.getpid() * 37 % 8000
    for port in range(first, HIGHEST_PORT):
        if len(ports) == count:
            return ports
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        GIVEN_PORTS.add(port)
    raise CannotRun("no free ports")


class Host:
    """A host, with the settings that deploy/settings.json.template makes."""

    def __init__(self, name, folder, store_port, advisor_port):
        self.name = name
        self.front, self.ready, self.peers, self.metrics = free_ports(4)
        self.process = None
        self.wanted = False
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.settings = os.path.join(folder, name + ".json")
        settings = {
            "host": name, "data_centre": "z1", "processor_share": 0.25,
            "callers": "127.0.0.1:%d" % self.front,
            "readiness": "127.0.0.1:%d" % self.ready,
            "address": "127.0.0.1", "ports": [self.peers, self.metrics],
            "store": "127.0.0.1:%d" % store_port, "store_row_bytes": 65536,
            "longest_lease_ms": 10000, "stop_grace_s": 6}
        if advisor_port:
            settings["advisor"] = "127.0.0.1:%d" % advisor_port
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        if self.process and self.process.poll() is None:
            return  # a second process would be left behind
        self.wanted = True
        self.process = subprocess.Popen(
            [PROGRAM, "host"], cwd=REPOSITORY, stdout=self.log,
            stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "LYCHEESTEP_NODE_FILE": self.settings})

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill_and_restart(self):
        self.send(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(RESTART_S)
        self.start()


class Cell:
    def __init__(self, ledger, plan, hosts=3, workers=12, queue=None,
                 capacity=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the deploy file's build has not run")
        end_on_sigterm()
        self.ledger = ledger
        self.folder = tempfile.mkdtemp(prefix="review-cell-")
        self.store = Store()
        self.hosts = []
        self.store_ports = free_ports(hosts)
        for i, port in enumerate(self.store_ports):
            self.hosts.append(Host("h%d" % i, self.folder, port, None))
        capacity = capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
        self.workers = []
        for i, port in enumerate(free_ports(workers)):
            self.workers.append(
                Worker("w%02d" % i, "m%02d" % i, "r%d" % (i // 6), port,
                       self.store, ledger, plan, capacity))
        self.queue = {"name": "orders", "host": HOST_HEADER,
                      "path_prefix": PREFIX, "service": "desk",
                      "priority": 1, "max_attempts": 3, "slack_factor": 2.0,
                      "target_latency_ms": 1000}
        self.queue.update(queue or {})
        self.queues = [self.queue]

    async def open(self):
        self.store.put("op", "config", {
            "version": 3, "routes": self.queues,
            "services": [{"name": "desk", "admission_check": False}],
            "limits": {"max_body_bytes": 262144}})
        for host, port in zip(self.hosts, self.store_ports):
            await self.store.open_for(host.name, port)
        for worker in self.workers:
            await worker.open()
        for host in self.hosts:
            host.start()

    def host_named(self, name):
        return next(host for host in self.hosts if host.name == name)

    def last_writer(self):
        """The host that wrote to the store under a condition last."""
        return self.host_named(self.store.last_conditional_writer)

    def close(self):
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                host.process.wait()
            host.log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder)
