"""A stand-in of the platform's row store, after PROTOCOL.md: atomic conditional
transactions, reads of pages, feeds, and limits on the rate of calls. Each host
calls it at a port of its own, so that the store knows who calls."""
import asyncio
import base64
import json
import time

from http_wire import HttpServer

MAX_ENTRIES = 100
MAX_PAGE = 500
HISTORY_S = 20.0


class Rate:
    """At most so many calls in a second."""

    def __init__(self, per_s):
        self.per_s = per_s
        self.left = per_s
        self.at = time.monotonic()

    def take(self):
        now = time.monotonic()
        self.left = min(self.per_s, self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Store:
    def __init__(self, tx_ms=4.0, writes_per_s=600, reads_per_s=2000,
                 row_bytes=65536):
        self.rows = {}  # (table, part, key) -> (value in base64, version)
        self.version = 0
        self.history = []  # (version, time, key, value or None)
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.answer_s = tx_ms / 1000
        self.slow_factor = 1.0
        self.writes, self.reads = Rate(writes_per_s), Rate(reads_per_s)
        self.row_bytes = row_bytes
        self.next_write_at = 0.0
        self.refused_hosts = set()  # these get 503 for each call
        self.silent_hosts = set()  # these get no answer, and nothing is done
        self.last_conditional_writer = None
        self.on_transaction = None  # called with the host and the body

    async def open_for(self, host, port):
        async def serve(method, path, query, _headers, body):
            return await self.serve(host, method, path, query, body)
        server = HttpServer(serve)
        await server.listen(port)
        return server

    async def serve(self, host, method, path, query, body):
        if host in self.silent_hosts:
            await asyncio.sleep(3600)
        if host in self.refused_hosts:
            return 503, {}
        if path == "/lycheestep/rows-tx" and method == "POST":
            return await self.transact(host, body)
        if path == "/lycheestep/rows-get":
            if not self.reads.take():
                return 429, {}
            await asyncio.sleep(self.answer_s * self.slow_factor)
            return self.read(query)
        if path == "/lycheestep/rows-feed":
            if not self.reads.take():
                return 429, {}
            return await self.feed(query)
        return 404, {}

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    def row(self, key):
        value, version = self.rows.get(key, (None, 0))
        found = {"table": key[0], "part": key[1], "key": key[2],
                 "ver": version}
        if value is not None:
            found["value"] = value
        return found

    def write(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.history.append((self.version, time.monotonic(), key, value))

    def put(self, table, key, document):
        """What the operator or a worker writes; None removes the row."""
        self.version += 1
        text = None if document is None else json.dumps(document).encode()
        self.write((table, "", key),
                   None if text is None else base64.b64encode(text).decode())
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()
        oldest = time.monotonic() - HISTORY_S
        while self.history and self.history[0][1] < oldest:
            self.forgotten = self.history.pop(0)[0]

    async def transact(self, host, body):
        conditions = body.get("expected_rev", [])
        writes, removals = body.get("writes", []), body.get("remove", [])
        if len(conditions) + len(writes) + len(removals) > MAX_ENTRIES:
            return 400, {}
        if any(len(entry["value"]) * 3 // 4 > self.row_bytes + 2
               for entry in writes):
            return 400, {}
        parts = {entry.get("part", "")
                 for entry in conditions + writes + removals}
        if len(parts) > 1 and not body.get("across"):
            return 400, {}
        if not self.writes.take():
            return 429, {}
        # One transaction after the other.
        lasts = self.answer_s * self.slow_factor * (2 if len(parts) > 1 else 1)
        now = time.monotonic()
        self.next_write_at = max(now, self.next_write_at) + lasts
        await asyncio.sleep(self.next_write_at - now)
        if host in self.silent_hosts:
            return None
        return self.apply(host, conditions, writes, removals)

    def apply(self, host, conditions, writes, removals):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        keys = [key_of(entry) for entry in conditions]
        held = all(self.rows.get(key, (None, 0))[1] == entry["ver"]
                   for key, entry in zip(keys, conditions))
        if not held:
            return 412, {"rows": [self.row(key) for key in keys],
                         "ver": self.version, "now_ms": self.now_ms()}
        self.version += 1
        for entry in writes:
            self.write(key_of(entry), entry["value"])
        for entry in removals:
            self.write(key_of(entry), None)
        if conditions:
            self.last_conditional_writer = host
        if self.on_transaction:
            self.on_transaction(host, len(writes))
        answer = {"ver": self.version, "now_ms": self.now_ms()}
        self.notify()
        return 200, answer

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", MAX_PAGE)), MAX_PAGE)
        keys = sorted(key for key in self.rows
                      if key[0] == table and key[1] == part and
                      key[2] >= first and (last is None or key[2] < last))
        return 200, {"rows": [self.row(key) for key in keys[:limit]],
                     "has_more": len(keys) > limit,
                     "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            changes = {}
            for version, _, key, value in reversed(self.history):
                if version <= after:
                    break
                if key[0] == table:
                    changes.setdefault(key, (version, value))
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for key, (version, value) in changes.items():
            row = {"table": key[0], "part": key[1], "key": key[2],
                   "ver": version}
            row.update({"tombstone": True} if value is None
                       else {"value": value})
            rows.append(row)
        rows.sort(key=lambda row: row["ver"])
        answer = {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
        await asyncio.sleep(self.answer_s * self.slow_factor)
        return 200, answer
