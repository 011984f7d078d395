"""Hosts as processes, each with its own way to the store."""
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from proxy import Proxy

PORTS_PER_HOST = 6
GRACE_S = 6
# Ports are reserved in blocks of so many, one lock file each. All are below
# those that the system gives to outgoing connections, as it may do between a
# look and the use.
PORT_BLOCK = 50
LOWEST_PORT, HIGHEST_PORT = 20000, 32000
RESERVED = []  # lock files; each is held until this process ends


def free_ports(count):
    """The first of so many free ports in a row, which nobody else who asks here
    is given as long as this process lives."""
    starts = range(LOWEST_PORT, HIGHEST_PORT - count + 1, PORT_BLOCK)
    # Processes of the same moment look in different places.
    begin = os.getpid() * 7 % len(starts)
    for first in [*starts[begin:], *starts[:begin]]:
        ports = range(first, first + count)
        locks = reserve(ports)
        if locks and are_free(ports):
            RESERVED.extend(locks)
            return first
        for lock in locks:
            lock.close()
    sys.exit("no free ports")


def reserve(ports):
    """The lock files of all blocks that these ports touch, or none."""
    locks = []
    try:
        for block in range(ports[0] // PORT_BLOCK,
                           ports[-1] // PORT_BLOCK + 1):
            locks.append(open(os.path.join(
                tempfile.gettempdir(), "lycheestep-ports-%d" %
                (block * PORT_BLOCK)), "ab"))
            fcntl.flock(locks[-1], fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        for lock in locks:
            lock.close()
        return []
    return locks


def are_free(ports):
    probes = []
    try:
        for port in ports:
            probes.append(socket.socket())
            probes[-1].bind(("127.0.0.1", port))
        return True
    except OSError:
        return False
    finally:
        for probe in probes:
            probe.close()


class Host:
    def __init__(self, program, folder, name, base, store, calm,
                 retention_ms):
        self.program, self.folder, self.name = program, folder, name
        self.leads_as = name  # what the leader's row calls it
        self.front, self.ready, self.peers = base, base + 1, base + 2
        self.store_way = Proxy(base + 4, base + 5)
        store.open_for(name, base + 5)
        self.calm = calm
        self.process = None
        # Not to be called, and when it was last disturbed but by a stop.
        self.stopping_at = None
        self.disturbed_at = 0.0
        self.settings = os.path.join(folder, name + ".json")
        settings = {"host": name, "data_centre": "z1",
                    "processor_share": 0.25,
                    "callers": "127.0.0.1:%d" % self.front,
                    "readiness": "127.0.0.1:%d" % self.ready,
                    "address": "127.0.0.1",
                    "ports": [self.peers, base + 3],
                    "store": "127.0.0.1:%d" % (base + 4),
                    "advisor": "127.0.0.1:%d" % (base + 4),
                    "longest_lease_ms": 10000,
                    "stop_grace_s": GRACE_S}
        if retention_ms:
            settings["job_retention_ms"] = retention_ms
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def rename(self):
        """The next process is another host, as far as the others know."""
        with open(self.settings, encoding="utf-8") as file:
            settings = json.load(file)
        settings["host"] += "n"
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.leads_as = settings["host"]

    def start(self):
        self.calm.disturb()
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
        if number != signal.SIGHUP:
            self.calm.disturb()
        if self.process.poll() is None:
            self.process.send_signal(number)
