"""Hosts of a day as processes, each with a port of its own at the store and a
proxy before its port for other hosts."""
import asyncio
import json
import os
import signal
import subprocess
import time

from day_web import PeerProxy
from hosts import GRACE_S

PORTS = 6


class DayHost:
    def __init__(self, program, folder, name, zone, base):
        self.program, self.folder, self.name = program, folder, name
        self.zone = zone
        self.front, self.ready, self.peers = base, base + 1, base + 2
        self.store_port, self.proxy_port = base + 4, base + 5
        self.process = None
        self.gone = False  # for good
        self.disturbed_until = time.monotonic()
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "data_centre": zone,
                       "processor_share": 0.25,
                       "callers": "127.0.0.1:%d" % self.front,
                       "readiness": "127.0.0.1:%d" % self.ready,
                       "address": "127.0.0.1",
                       "ports": [self.peers, base + 3],
                       "store": "127.0.0.1:%d" % self.store_port,
                       "advisor": "127.0.0.1:%d" % self.store_port,
                       "longest_lease_ms": 10000,
                       "stop_grace_s": GRACE_S}, file)

    async def prepare(self, store, ways, owners):
        store.addresses[b"127.0.0.1:%d" % self.peers] = \
            b"127.0.0.1:%d" % self.proxy_port
        await store.listen(self.name, self.store_port)
        await PeerProxy(self.name, self.proxy_port, self.peers, ways,
                        owners).open()

    def disturb(self, seconds=0.0):
        self.disturbed_until = max(self.disturbed_until,
                                   time.monotonic() + seconds)

    def start(self, owners):
        self.disturb()
        if self.process is not None:
            owners.processes.pop(self.process.pid, None)
        with open(os.path.join(self.folder, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                [self.program, "host", "--settings", self.settings],
                stdout=log, stderr=log)
        owners.processes[self.process.pid] = self.name

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        self.disturb()
        if self.runs():
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.ended(2)

    async def stop(self):
        """A planned stop, with its grace."""
        self.disturb(GRACE_S)
        self.send(signal.SIGTERM)
        if not await self.ended(GRACE_S):
            await self.kill()

    async def ended(self, seconds):
        end = time.monotonic() + seconds
        while self.runs() and time.monotonic() < end:
            await asyncio.sleep(0.05)
        return not self.runs()
