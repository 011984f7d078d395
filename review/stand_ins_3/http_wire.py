"""HTTP/1.1 with JSON bodies on one event loop: a server for stand-ins and a
client call."""
import asyncio
import json
import urllib.parse


class HttpServer:
    """Calls serve(method, path, query, headers, body) for each request. It
    returns a status and a document, or None to break the connection off."""

    def __init__(self, serve):
        self.serve = serve
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", port, backlog=512)

    def close(self):
        if self.server:
            self.server.close()

    async def on_connection(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except RuntimeError:
                pass  # the event loop has ended

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        text = await reader.readexactly(int(headers.get("content-length", 0)))
        path, _, query = target.partition("?")
        answer = await self.serve(
            method, path, dict(urllib.parse.parse_qsl(query)), headers,
            json.loads(text) if text else {})
        if answer is None:
            return False
        status, document = answer
        data = json.dumps(document).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
        await writer.drain()
        return True


async def call(port, method, path, body=None, headers=None, timeout=3.0):
    """Returns status and document; status 0 if there was no whole answer."""
    try:
        return await asyncio.wait_for(
            call_without_limit(port, method, path, body, headers or {}),
            timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError, IndexError):
        return 0, {}


async def call_without_limit(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % item for item in headers.items()]
        if body is not None:
            lines.append("Content-Type: application/json")
            lines.append("Content-Length: %d" % len(data))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            if line.lower().startswith("content-length:"):
                length = int(line.split(":", 1)[1])
        text = await reader.readexactly(length)
        return status, json.loads(text) if text else {}
    finally:
        writer.close()
