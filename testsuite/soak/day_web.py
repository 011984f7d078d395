"""HTTP for stand-ins and callers in one event loop, ways that can be cut one by
one, and a proxy for the hosts' own messages.

A way is a pair of names: (host, "store"), (host, target) or (host, host).
"""
import asyncio
import json
import os
import socket
import struct
import urllib.parse

# What may befall a request on a way.
LOST = "lost"  # never arrives; the connection stays open
HELD = "held"  # arrives when the way is whole again, if the caller waits
MUTE = "mute"  # is carried out, and the answer never arrives
LATE = "late"  # is carried out seconds later, and there is no answer
RESET = "reset"  # the connection breaks off before
RESET_BACK = "reset back"  # the connection breaks off after
BUSY = "busy"  # is refused with 429
DOWN = "down"  # is refused with 503
SLOW = "slow"  # waits before it is carried out

BLOCK = 65536
# Of the system's interface for sockets.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
INODE_AT = 84


class Tasks:
    """What goes on beside a play. An error of one of them is the play's."""

    def __init__(self):
        self.open = set()
        self.error = None  # the first

    def begin(self, work):
        task = asyncio.ensure_future(work)
        self.open.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task):
        self.open.discard(task)
        if not task.cancelled():
            self.error = self.error or task.exception()

    async def end(self):
        """Also those that begin meanwhile."""
        while self.open:
            for task in self.open:
                task.cancel()
            await asyncio.wait(self.open, timeout=1)


class Cut:
    def __init__(self, kind, share=1.0, seconds=0.0):
        self.kind, self.share, self.seconds = kind, share, seconds


class Ways:
    """Which ways are cut, and how. Cuts of one way may overlap."""

    def __init__(self, chance, tasks):
        self.chance, self.tasks = chance, tasks
        self.cuts = {}  # way -> [Cut]
        self.proxies = []

    def cut(self, ways, cut):
        for way in ways:
            self.cuts.setdefault(way, []).append(cut)
        self.reset_held(cut, ways)

    def heal(self, ways, cut):
        for way in ways:
            if cut in self.cuts.get(way, []):
                self.cuts[way].remove(cut)
        for proxy in self.proxies:
            proxy.heal(ways, cut)

    def reset_held(self, cut, ways):
        if cut.kind in (RESET, RESET_BACK):
            for proxy in self.proxies:
                proxy.reset(ways)

    def on(self, way):
        """The cut that befalls a request now, or None."""
        for cut in reversed(self.cuts.get(way, [])):
            if cut.share >= 1 or self.chance.random() < cut.share:
                return cut
        return None

    async def carry(self, way, carry_out, reader):
        """The answer of carry_out() or None to break the connection off. On a
        silent way it comes back only when the caller has hung up."""
        cut = self.on(way)
        if cut is None:
            return await carry_out(False)
        kind = cut.kind
        if kind == BUSY:
            return 429, {}
        if kind == DOWN:
            return 503, {}
        if kind == RESET:
            return None
        if kind == LOST:
            return await hung_up(reader)
        if kind == HELD:
            while cut in self.cuts.get(way, []):
                if reader.at_eof():
                    return None
                await asyncio.sleep(0.02)
        if kind == LATE:
            self.tasks.begin(later(
                self.chance.uniform(0.5, cut.seconds), carry_out))
            return await hung_up(reader)
        if kind == SLOW:
            await asyncio.sleep(cut.seconds)
        answer = await carry_out(False)
        if kind == MUTE:
            return await hung_up(reader)
        return None if kind == RESET_BACK else answer


async def later(seconds, carry_out):
    await asyncio.sleep(seconds)
    await carry_out(True)


async def hung_up(reader):
    while not reader.at_eof():
        await asyncio.sleep(0.05)


class Owners:
    """Which host a connection comes from: the system tells the inode of its
    other end, and the host's open files have it."""

    def __init__(self):
        self.processes = {}  # process id -> host's name
        self.names = {}  # inode -> host's name
        self.diagnosis = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                                       NETLINK_SOCK_DIAG)

    def of(self, writer):
        inode = self.inode(writer.get_extra_info("peername")[1],
                           writer.get_extra_info("sockname")[1])
        if inode not in self.names:
            self.look()
        return self.names.get(inode)

    def inode(self, port, remote):
        """Of the socket on loopback with this port and remote port."""
        address = socket.inet_aton("127.0.0.1").ljust(16, b"\0")
        ends = struct.pack("!HH", port, remote) + address * 2 + \
            struct.pack("=III", 0, 2 ** 32 - 1, 2 ** 32 - 1)
        body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                           2 ** 32 - 1) + ends
        self.diagnosis.send(struct.pack("=IHHII", 16 + len(body),
                                        SOCK_DIAG_BY_FAMILY, 1, 0, 0) + body)
        answer = self.diagnosis.recv(BLOCK)
        if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
            return 0  # the other end is gone
        return struct.unpack_from("=I", answer, INODE_AT)[0]

    def look(self):
        self.names = {}
        for process, name in list(self.processes.items()):
            folder = "/proc/%d/fd/" % process
            try:
                for entry in os.listdir(folder):
                    text = os.readlink(folder + entry)
                    if text.startswith("socket:["):
                        self.names[int(text[8:-1])] = name
            except OSError:
                continue  # it has ended


class Server:
    """Calls serve(connection, method, path, query, body, headers, reader)."""

    def __init__(self, port, serve, tasks):
        self.port, self.serve, self.tasks = port, serve, tasks
        self.writers = set()
        self.listener = None

    async def open(self):
        self.listener = await asyncio.start_server(
            self.accept, "127.0.0.1", self.port, backlog=512)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.listener.close()
        self.reset()

    def accept(self, reader, writer):
        self.writers.add(writer)
        self.tasks.begin(self.answer_all(reader, writer))

    async def answer_all(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the caller has left
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, reader, writer):
        method, path, headers = read_head(await reader.readuntil(
            b"\r\n\r\n"))
        text = await reader.readexactly(int(headers.get("content-length", 0)))
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        given = await self.serve(writer, method, parts.path, query,
                                 json.loads(text) if text else {}, headers,
                                 reader)
        if given is None:
            return False
        data = json.dumps(given[1]).encode()
        writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (given[0], len(data)) +
                     data)
        await writer.drain()
        return True


def read_head(data):
    lines = data.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return method, path, {name.lower(): value
                          for name, value in headers.items()}


async def call(port, method, path, body=None, timeout=3.0):
    """Status and document; status 0 when there was no whole answer."""
    try:
        return await asyncio.wait_for(call_at(port, method, path, body),
                                      timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, {}


async def call_at(port, method, path, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        text = b"" if body is None else json.dumps(body).encode()
        writer.write(b"%s %s HTTP/1.1\r\nHost: desk.example\r\n"
                     b"Request-Deadline-Ms: 3000\r\nContent-Type: "
                     b"application/json\r\nConnection: close\r\n"
                     b"Content-Length: %d\r\n\r\n" %
                     (method.encode(), path.encode(), len(text)) + text)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split(" ", 2)[1])
        length = [line.split(":")[1] for line in head.lower().split("\r\n")
                  if line.startswith("content-length:")]
        data = await reader.readexactly(int(length[0])) if length \
            else await reader.read()
        return status, json.loads(data) if data else {}
    finally:
        writer.transport.abort()


class PeerProxy:
    """Stands before one host's port for other hosts. What it loses or holds
    breaks the connection when the way is whole again, unless it was held."""

    def __init__(self, name, port, upstream, ways, owners):
        self.name, self.port, self.upstream = name, port, upstream
        self.ways, self.owners = ways, owners
        self.open_pairs = {}  # source's name -> {(writer, writer)}
        self.listener = None
        ways.proxies.append(self)

    async def open(self):
        self.listener = await asyncio.start_server(self.accept, "127.0.0.1",
                                                   self.port)

    def close(self):
        self.listener.close()
        for pairs in self.open_pairs.values():
            for pair in pairs:
                drop(pair)

    def reset(self, ways):
        for source, pairs in self.open_pairs.items():
            if (source, self.name) in ways:
                for pair in list(pairs):
                    drop(pair)

    def heal(self, ways, cut):
        if cut.kind != HELD:
            self.reset(ways)

    def accept(self, reader, writer):
        self.ways.tasks.begin(self.carry(reader, writer))

    async def carry(self, reader, writer):
        source = self.owners.of(writer)
        try:
            answers, server = await asyncio.open_connection("127.0.0.1",
                                                            self.upstream)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, server)
        pairs = self.open_pairs.setdefault(source, set())
        pairs.add(pair)
        try:
            await asyncio.gather(self.pump(source, reader, server),
                                 self.pump(source, answers, writer))
        finally:
            drop(pair)
            pairs.discard(pair)

    async def pump(self, source, reader, writer):
        way = (source, self.name)
        try:
            while data := await reader.read(BLOCK):
                cuts = self.ways.cuts.get(way, [])
                while any(cut.kind == HELD for cut in cuts):
                    await asyncio.sleep(0.02)
                if any(cut.kind in (LOST, MUTE) for cut in cuts):
                    continue
                if any(cut.kind in (RESET, RESET_BACK) for cut in cuts):
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


def drop(pair):
    for writer in pair:
        writer.transport.abort()
