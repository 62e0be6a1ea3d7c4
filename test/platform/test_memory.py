"""Tests of the memory of a node process whose peers send more than it can hold."""

import contextlib
import tempfile
from pathlib import Path

import eventlet
from testtools import TestCase

from soak.cluster import MAX_BODY_BYTES, Cluster
from test.http.loopback import wait_until

# A machine has 150 MB; the rest is for the kernel's buffers and fragmentation.
MAX_PROCESS_MB = 90
PEER_COUNTS = (1, 6, 32)
PIECE_BYTES = 64 * 1024
SEND_S = 1.0
SMALL_REQUESTS = 10
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n"
REQUEST = b"POST /once/%b/x HTTP/1.1\r\nHost: h.example\r\n"


def repeated(piece):
    """Return a piece as often as it takes to fill one write."""
    return piece * max(1, PIECE_BYTES // len(piece))


def chunks(size):
    return repeated(b"%x\r\n" % size + b"x" * size + b"\r\n")


# What follows the first line, and what is sent again and again after it.
BODIES = {
    "length": (b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES, b"x" * PIECE_BYTES),
    "chunk of 1": (CHUNKED, chunks(1)),
    "chunk of 2": (CHUNKED, chunks(2)),
    "chunk of 16": (CHUNKED, chunks(16)),
    "chunk of 200": (CHUNKED, chunks(200)),
    "chunk of 64 K": (CHUNKED, chunks(PIECE_BYTES)),
    "header lines": (b"", repeated(b"X: a\r\n")),
    "trailers": (CHUNKED + b"0\r\n", repeated(b"X: a\r\n")),
}
RESPONSES = {
    "until close": (b"\r\n", b"x" * PIECE_BYTES),
    "interim responses": (b"\r\n", repeated(b"HTTP/1.1 100 Continue\r\n\r\n")),
}


class ProcessMemoryTest(TestCase):
    """Node ``n0`` has the peers that send too much; ``n1`` and its target are sound."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(folder=Path(folder.name), hosts=2, seed=1)
        self.addCleanup(self.cluster.close)
        self.node, self.sound = self.cluster.hosts
        path = f"/{self.sound.service}/x"
        wait_until(lambda: self.send_small(path) == 200, seconds=15)

    def send_small(self, path):
        return self.cluster.probe_route(self.node, path, self.sound.service)

    def play(self, send, name, peers):
        """Let peers send, and check the memory and the requests to the sound target."""
        pool = eventlet.GreenPool()
        for _ in range(peers):
            pool.spawn_n(send)
        path = f"/{self.sound.service}/x"
        statuses = []
        for _ in range(SMALL_REQUESTS):
            statuses.append(self.send_small(path))
            eventlet.sleep(SEND_S / SMALL_REQUESTS)
        pool.waitall()
        where = (name, peers, round(self.node.peak_memory_mb()))
        self.assertEqual([200] * SMALL_REQUESTS, statuses, where)
        self.assertTrue(self.node.peak_memory_mb() < MAX_PROCESS_MB, where)
        self.assertIs(None, self.node.process.poll(), where)

    def test_callers(self):
        """Guards against a process that is killed because callers send bodies of any form."""

        def sender(start, piece):
            def send():
                sock = eventlet.connect(self.node.addresses["outbound"])
                first = REQUEST % self.node.service.encode()
                with (
                    contextlib.closing(sock),
                    eventlet.Timeout(SEND_S, False),
                    contextlib.suppress(OSError),
                ):
                    sock.sendall(first + start)
                    while True:
                        sock.sendall(piece)

            return send

        for name, (start, piece) in BODIES.items():
            for peers in PEER_COUNTS:
                self.play(sender(start, piece), name, peers)

    def test_targets(self):
        """Guards against a process that is killed because its target sends bodies of any form."""
        path = f"/{self.node.service}/x"

        def respond(exchange):
            stream = exchange.connection.stream
            stream.write(RESPONSE + self.start)
            while not stream.closed:
                if len(stream.unsent) < PIECE_BYTES:
                    stream.write(self.piece)
                eventlet.sleep(0)

        standin = self.node.target_standin
        standin.handle = lambda exchange: eventlet.spawn(respond, exchange)
        for name, (self.start, self.piece) in {**BODIES, **RESPONSES}.items():
            for peers in PEER_COUNTS:
                send = lambda: self.cluster.probe_route(  # noqa: E731
                    self.node, path, self.node.service
                )
                self.play(send, name, peers)
