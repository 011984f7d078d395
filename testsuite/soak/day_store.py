"""The store stand-in in an event loop, with a port for each host."""
import asyncio
import random
import time

from day_feeds import FeedFaults
from day_web import Server, hung_up
from store import Store

# The time that a transaction takes.
TRANSACTION_S = 0.004


class DayStore(Store):
    def __init__(self, seed, ways, bare_refusals):
        super().__init__(None, seed)
        self.ways = ways
        self.bare_refusals = bare_refusals
        self.changed = asyncio.Event()
        self.addresses = {}  # a host's own address -> that of its proxy
        self.servers = {}
        self.feed_faults = FeedFaults(random.Random(seed))

    async def listen(self, host, port):
        async def serve(_writer, _method, path, query, body, _headers,
                        reader):
            if path.endswith("/rows-feed"):
                if self.feed_faults.takes(query["table"]):
                    return await hung_up(reader)

            async def carry_out(_late):
                return await self.carry_out(path, query, body)
            return await self.ways.carry((host, "store"), carry_out, reader)
        self.servers[host] = Server(port, serve, self.ways.tasks)
        await self.servers[host].open()

    def close(self):
        for server in self.servers.values():
            server.close()

    async def carry_out(self, path, query, body):
        if path.endswith("/rows-tx"):
            await asyncio.sleep(TRANSACTION_S)
            status, answer = self.transact(body)
            if status == 412 and self.bare_refusals:
                del answer["now_ms"]
            return status, answer
        if path.endswith("/rows-get"):
            answer = self.read(query)
            if self.read_delay:
                await asyncio.sleep(self.random.uniform(0, self.read_delay))
            return answer
        if path.endswith("/rows-feed"):
            answer = await self.feed_later(query)
            await self.feed_faults.delay(query["table"])
            return answer
        if path.endswith("/advise"):
            return self.advise(body)
        return 404, {}

    async def feed_later(self, query):
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            left = end - time.monotonic()
            changed = self.changed
            status, answer = self.feed(dict(query, wait_ms=0))
            if status != 200 or answer["rows"] or left <= 0:
                return status, answer
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, key, value):
        if value is not None:
            for own, proxy in self.addresses.items():
                value = value.replace(own, proxy)
        super().write(key, value)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
