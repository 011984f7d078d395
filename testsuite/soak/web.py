"""A small HTTP server for stand-ins, and a client call without surprises."""
import http.client
import http.server
import json
import socket
import threading
import urllib.parse


class WebServer:
    """Calls serve(method, path, query, body, headers) for each request; it
    returns a status and a document, or None to break the connection off."""

    def __init__(self, port, serve):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                text = self.rfile.read(length)
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                body = json.loads(text) if text else {}
                given = serve(self.command, parts.path, query, body,
                              self.headers)
                if given is None:
                    self.close_connection = True
                    return
                status, document = given
                data = json.dumps(document).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.send_header("Content-Type", "application/json")
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True  # the caller has left

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP,
                                           socket.TCP_NODELAY, 1)

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass  # a connection that was reset

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", port), Handler)
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def call(port, method, path, body=None, headers=None, timeout=3.0):
    """Status and document; status 0 when there was no whole answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()
