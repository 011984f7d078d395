"""A TCP proxy on loopback that delays, stalls, resets, silences or cuts one
way."""
import select
import socket
import struct
import threading
import time

BLOCK = 65536


class Proxy:
    def __init__(self, port, upstream):
        self.upstream = upstream
        self.delay = 0.0  # seconds before each block is passed on
        self.held = set()  # connections whose bytes wait, and come late
        self.silent = set()  # of "there" and "back"; nothing passes that way
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()

    def heal(self):
        """What was held up while silent is lost, as behind a partition."""
        self.delay = 0.0
        self.held = set()
        if self.silent:
            self.silent = set()
            self.reset()

    def stall(self):
        """Holds what the open connections carry; new ones work."""
        with self.lock:
            self.held = set(self.pairs)

    def reset(self):
        """Breaks all connections off."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            self.drop(pair)

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(client,),
                             daemon=True).start()

    def connect(self, client):
        try:
            server = socket.create_connection(("127.0.0.1", self.upstream), 5)
        except OSError:
            client.close()
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        with self.lock:
            self.pairs.add(pair)
        threading.Thread(target=self.pump, args=(pair, client, server,
                                                 "there"),
                         daemon=True).start()
        self.pump(pair, server, client, "back")

    def pump(self, pair, source, sink, way):
        try:
            while True:
                select.select([source], [], [])
                data = source.recv(BLOCK)
                if not data:
                    break
                if self.delay:
                    time.sleep(self.delay)
                while pair in self.held and way == "there":
                    time.sleep(0.02)
                if way in self.silent:
                    continue  # lost; the connection stays open
                sink.sendall(data)
        except (OSError, ValueError):
            pass
        self.drop(pair)

    def drop(self, pair):
        with self.lock:
            if pair not in self.pairs:
                return
            self.pairs.discard(pair)
        for end in pair:
            try:
                # Resets instead of closing.
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()
