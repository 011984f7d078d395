"""A stand-in of the users' row store, advisor and list of workers over HTTP.

Speaks what the platform's page says: conditional transactions, reads, feeds
that end in the history's loss. Faults are set from outside while it runs.
"""
import base64
import json
import random
import threading
import time

from web import WebServer

HISTORY_S = 20


class Store:
    def __init__(self, port, seed):
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.history = []  # (version, time, key, value or None)
        self.version = 0
        self.forgotten = 0  # feeds from before this version start anew
        self.random = random.Random(seed)
        # Faults: calls refused, answers lost, calls slowed, in seconds; reads
        # whose answer is as old as it is late.
        self.down = False
        self.lost = 0.0
        # The share of writes whose answer has the version of a later one.
        self.crowded = 0.0
        self.delay = 0.0
        self.read_delay = 0.0
        # Hosts that are told to come later, by name; refusals of writes that
        # don't tell the time; what is done once when a write is refused, and
        # when the leader's row has been written; neither is answered yet.
        self.busy_for = set()
        self.clockless_refusals = False
        self.on_refusal = None
        self.on_renewal = None
        # Without a port, calls come by another way.
        self.server = WebServer(port, self.serve) if port else None

    def serve(self, method, path, query, body, headers):
        if self.down:
            return 503, {}
        if self.delay:
            time.sleep(self.delay)
        if path.endswith("/rows-tx"):
            answer = self.transact(body)
            if self.random.random() < self.lost:
                return None  # done, and the answer is lost
            return answer
        if path.endswith("/rows-get"):
            answer = self.read(query)
            time.sleep(self.read_delay)
            return answer
        if path.endswith("/rows-feed"):
            return self.feed(query)
        if path.endswith("/advise"):
            return self.advise(body)
        return 404, {}

    def open_for(self, host, port):
        """A port for calls of this host alone."""
        def serve(*request):
            return (429, {}) if host in self.busy_for else self.serve(*request)
        WebServer(port, serve)

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def row(self, key):
        value, version = self.rows.get(key, (None, 0))
        found = {"table": key[0], "part": key[1], "key": key[2],
                 "ver": version}
        if value is not None:
            found["value"] = base64.b64encode(value).decode()
        return found

    def write(self, key, value):
        """Within the lock, after self.version was raised."""
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.history.append((self.version, time.monotonic(), key, value))

    def put(self, table, key, document):
        """What the operator or a worker writes; None removes."""
        value = None if document is None else json.dumps(document).encode()
        with self.lock:
            self.version += 1
            self.write((table, "", key), value)
            self.lock.notify_all()

    def leading(self, names):
        """The host that the leader's row names, if it is one of NAMES."""
        with self.lock:
            value, _ = self.rows.get(("leader", "", "leader"), (b"", 0))
        return next((name for name in names if name.encode() in value), None)

    def transact(self, body):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        with self.lock:
            conditions = body.get("expected_rev", [])
            keys = [key_of(entry) for entry in conditions]
            held = all(self.rows.get(key, (None, 0))[1] == entry["ver"]
                       for key, entry in zip(keys, conditions))
            if not held:
                refusal = {"rows": [self.row(key) for key in keys],
                           "ver": self.version, "now_ms": self.now_ms()}
                self.note("on_refusal")
                if self.clockless_refusals:
                    del refusal["now_ms"]
                return 412, refusal
            self.version += 1
            for entry in body.get("writes", []):
                self.write(key_of(entry), base64.b64decode(entry["value"]))
            for entry in body.get("remove", []):
                self.write(key_of(entry), None)
            if self.random.random() < self.crowded:
                self.version += 1
                self.write(("crowd", "", "row"), b"")
            self.lock.notify_all()
            if any(key_of(entry)[0] == "leader"
                   for entry in body.get("writes", [])):
                self.note("on_renewal")
            return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def note(self, event):
        action = getattr(self, event)
        setattr(self, event, None)
        if action is not None:
            action()

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        first = query.get("from", "")
        limit = int(query.get("limit", 500))
        with self.lock:
            keys = sorted(key for key in self.rows
                          if key[0] == table and key[1] == part
                          and key[2] >= first)
            return 200, {"rows": [self.row(key) for key in keys[:limit]],
                         "has_more": len(keys) > limit,
                         "ver": self.version, "now_ms": self.now_ms()}

    def forget(self):
        """Drops the history, as the platform may at any time."""
        with self.lock:
            self.forgotten = self.version
            self.history.clear()

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                if after < self.forgotten:
                    return 410, {}
                changed = {}
                for version, _, key, value in self.history:
                    if version > after and key[0] == table:
                        changed[key] = (version, value)
                left = end - time.monotonic()
                if changed or left <= 0 or self.down:
                    break
                self.lock.wait(left)
            rows = []
            for key, (version, value) in changed.items():
                row = {"table": key[0], "part": key[1], "key": key[2],
                       "ver": version}
                if value is None:
                    row["tombstone"] = True
                else:
                    row["value"] = base64.b64encode(value).decode()
                rows.append(row)
            rows.sort(key=lambda row: row["ver"])
            self.trim()
            return 200, {"rows": rows, "ver": self.version,
                         "now_ms": self.now_ms()}

    def trim(self):
        oldest = time.monotonic() - HISTORY_S
        while self.history and self.history[0][1] < oldest:
            self.forgotten = self.history.pop(0)[0]

    def advise(self, body):
        """Half of the workers are fit for a step, always the same ones."""
        good = []
        for worker in body["workers"]:
            text = body["step"] + worker
            if worker == "w0" or sum(text.encode()) % 2 == 0:
                good.append([worker, "ticket"])
        return 200, {"good": good, "valid_ms": 1500}
