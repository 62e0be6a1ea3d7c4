"""Tests of a node process whose callers send legal requests in order to exhaust it.

The crowds and bounds follow from the smallest host, which has 150 MB of memory, and from callers
that open a few hundred connections; the test lowers the process's limit on descriptors. Nothing is
checked about times or about the share of requests that are served.
"""

import contextlib
import os
import resource
import tempfile
from pathlib import Path

import eventlet
from testtools import TestCase

from almondshore.platform import names
from soak.cluster import MAX_BODY_BYTES, SERVICES, Cluster
from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until

# The smallest host has 150 MB; the rest is for the kernel's buffers and fragmentation.
MAX_PROCESS_MB = 90
# Limit of the process, and how many of them it may use for all purposes together.
DESCRIPTOR_LIMIT = 512
MAX_DESCRIPTORS = 480
# A node serves a few hundred connections of ordinary callers.
CALLERS = 400
# More connections than the process has descriptors for.
EXCESS_CALLERS = 700
PIPELINING_CALLERS = 16
PIPELINED_REQUESTS = 2000
MAX_HEADER_BYTES = 16384
INTERNAL_HEADER_BYTES = 64 * 1024
SEND_S = 3.0
HOLD_S = 1.0
ORDINARY_ATTEMPTS = 60
ORDINARY_PAUSE_S = 0.5
ORDINARY_PATH = "/alpha/ordinary"
PIECE_BYTES = 64 * 1024
POST = b"POST /once/alpha/x HTTP/1.1\r\nHost: h.example\r\n"
GET = b"GET /alpha/x HTTP/1.1\r\nHost: h.example\r\n"

# Header lines that take much more memory than bytes on the wire.
HEADER_LINES = {
    "short": b"a:\r\n",
    "two letters": b"aa:b\r\n",
    "blanks": b"ab:  c \r\n",
    "symbols": b"!#: \xff\r\n",
    "connection": b"Connection: aa\r\n",
}
# Number of callers and size of the body of each.
BODIES = ((CALLERS, 200_000), (32, 4_000_000), (8, MAX_BODY_BYTES))


def head_of(line, size=MAX_HEADER_BYTES):
    """Return a request without its last line, whose header stays within a size."""
    # The parser counts the colon, a blank and the end of a line for each field.
    counted = len(line) + 2
    return GET + line * ((size - 200) // counted)


def body_pieces(size, *, chunk=0, missing=1):
    """Yield a request with a body of a size, without its last bytes.

    :param chunk: size of its chunks, 0 for a stated length
    :param missing: number of bytes that are not sent
    """
    if not chunk:
        yield POST + b"Content-Length: %d\r\n\r\n" % size
        piece, count = b"x" * PIECE_BYTES, size - missing
    else:
        yield POST + b"Transfer-Encoding: chunked\r\n\r\n"
        unit = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
        # The end of a body in chunks is not sent, except for one that lacks no byte.
        piece, count = unit * max(1, PIECE_BYTES // len(unit)), size // chunk * len(unit)
    for start in range(0, count, len(piece)):
        yield piece[: count - start]
    if chunk and not missing:
        yield b"0\r\n\r\n"


class HostileCallersTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(folder=Path(folder.name), hosts=1, seed=1)
        self.addCleanup(self.cluster.close)
        (self.node,) = self.cluster.hosts
        pid = self.node.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
        self.cluster.version += 1
        config = stored_config(self.cluster.version, SERVICES)
        config["limits"] = {**config["limits"], "max_body_bytes": MAX_BODY_BYTES}
        once = {**config["routes"]["r-alpha"], "route_type": "non_idempotent"}
        config["routes"]["once-alpha"] = {**once, "path_prefix": "/once/alpha/"}
        self.cluster.store.put(names.CONFIG_KIND, names.CONFIG_NAME, config)
        handle = self.node.target_standin.handle

        def answer_ordinary(exchange):
            """Leave the requests of the crowd unanswered, so that they are held."""
            if exchange.request.target in (ORDINARY_PATH.encode(), b"/health"):
                handle(exchange)

        self.node.target_standin.handle = answer_ordinary
        self.sockets = []
        self.addCleanup(self.close_sockets)
        self.max_descriptors = 0
        wait_until(self.answers_ordinary, seconds=20)

    def close_sockets(self):
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.close()
        self.sockets.clear()

    def answers_ordinary(self):
        return self.cluster.probe_route(self.node, ORDINARY_PATH) == 200

    def count_descriptors(self):
        """Note the number of descriptors that the process has open."""
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{self.node.process.pid}/fd"))
            self.max_descriptors = max(self.max_descriptors, count)

    def play(self, name, callers, make_pieces, listener="outbound"):
        """Let callers send, leave their connections open and check the process."""
        pool = eventlet.GreenPool(callers)
        for _ in range(callers):
            pool.spawn_n(self.send, listener, make_pieces)
        for _ in range(int((SEND_S + HOLD_S) / 0.1)):
            self.count_descriptors()
            eventlet.sleep(0.1)
        pool.waitall()
        answered = False
        for _ in range(ORDINARY_ATTEMPTS):
            self.count_descriptors()
            answered = self.node.process.poll() is None and self.answers_ordinary()
            if answered:
                break
            eventlet.sleep(ORDINARY_PAUSE_S)
        self.close_sockets()
        where = (name, listener, callers, round(self.node.peak_memory_mb()), self.max_descriptors)
        self.assertEqual([], self.node.unexpected_exits, where)
        self.assertIs(None, self.node.process.poll(), where)
        self.assertLess(self.node.peak_memory_mb(), MAX_PROCESS_MB, where)
        self.assertLessEqual(self.max_descriptors, MAX_DESCRIPTORS, where)
        self.assertTrue(answered, where)

    def send(self, listener, make_pieces):
        """Send on a new connection for a limited time and leave it open, without reading."""
        with contextlib.suppress(OSError), eventlet.Timeout(SEND_S, False):
            sock = eventlet.connect(self.node.addresses[listener])
            self.sockets.append(sock)
            for piece in make_pieces():
                sock.sendall(piece)

    def test_many_header_lines(self):
        """Guards against headers whose fields take far more memory than their bytes."""
        for name, line in HEADER_LINES.items():
            for form, end in (("complete", b"\r\n"), ("incomplete", b"")):
                data = head_of(line) + end
                self.play(f"{name}, {form}", CALLERS, lambda data=data: (data,))

    def test_many_header_lines_in_pieces(self):
        """Guards against headers that are held while they arrive in pieces."""
        data = head_of(HEADER_LINES["two letters"])
        pieces = [data[start : start + 1024] for start in range(0, len(data), 1024)]
        self.play("pieces", CALLERS, lambda: pieces)

    def test_many_header_lines_on_other_listeners(self):
        """Guards against callers that reach a listener meant for nodes or for the platform."""
        for listener in ("inbound", "ready", "control", "metrics"):
            for form, end in (("complete", b"\r\n"), ("incomplete", b"")):
                data = head_of(HEADER_LINES["two letters"], INTERNAL_HEADER_BYTES) + end
                self.play(form, CALLERS, lambda data=data: (data,), listener)

    def test_stalled_bodies_with_a_length(self):
        """Guards against bodies that stop just before their end and stay in memory."""
        for callers, size in BODIES:
            self.play(f"body of {size}", callers, lambda size=size: body_pieces(size))

    def test_stalled_bodies_in_chunks(self):
        """Guards against bodies in chunks, large or tiny, that stop just before their end."""
        for chunk in (16, 65536):
            for callers, size in BODIES:
                self.play(
                    f"body of {size} in chunks of {chunk}",
                    callers,
                    lambda size=size, chunk=chunk: body_pieces(size, chunk=chunk),
                )

    def test_complete_bodies(self):
        """Guards against complete bodies that wait for a target."""
        for chunk in (0, 65536):
            for callers, size in BODIES:
                self.play(
                    f"complete body of {size}, chunks of {chunk}",
                    callers,
                    lambda size=size, chunk=chunk: body_pieces(size, chunk=chunk, missing=0),
                )

    def test_bodies_on_other_listeners(self):
        """Guards against stalled bodies on listeners that have limits of their own."""
        for listener in ("inbound", "ready", "control", "metrics"):
            self.play("body", CALLERS, lambda: body_pieces(200_000), listener)

    def test_pipelined_requests(self):
        """Guards against requests sent ahead whose headers and responses nobody counts."""
        for name, request in (
            ("small", GET + b"\r\n"),
            ("tiny, without a route", b"GET / HTTP/1.1\r\n\r\n"),
            ("many headers", head_of(HEADER_LINES["two letters"]) + b"\r\n"),
            ("large headers", GET + b"x: " + b"y" * 16000 + b"\r\n\r\n"),
            ("bodies", POST + b"Content-Length: 60000\r\n\r\n" + b"x" * 60000),
        ):
            pieces = max(1, PIECE_BYTES // len(request))
            data = request * pieces
            count = PIPELINED_REQUESTS // pieces
            self.play(name, PIPELINING_CALLERS, lambda data=data, count=count: [data] * count)

    def test_more_connections_than_descriptors(self):
        """Guards against callers that leave no descriptor for the node's own connections."""
        for name, data in (("idle", b""), ("incomplete", b"GET /alpha/x HTTP/1.1\r\n")):
            self.play(name, EXCESS_CALLERS, lambda data=data: (data,))
