"""Hosts as processes, each with its own way to the store."""
import json
import os
import signal
import socket
import subprocess
import sys
import time

from proxy import Proxy

PORTS_PER_HOST = 6
GRACE_S = 6


def free_ports(count):
    """The first of so many free ports in a row, below those that the system
    gives to outgoing connections, as it may do between a look and the use."""
    # Soaks of the same moment look in different places.
    start = 20000 + os.getpid() * 173 % 9000
    for first in range(start, 32000, 83):
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
    sys.exit("no free ports")


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
