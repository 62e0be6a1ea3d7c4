"""Tests that malformed requests on a raw socket are refused and do not reach a target."""

from test.process.processtest import ProcessTest
from test.process.raw import read_all, send_raw

POST = b"POST /schedule/x HTTP/1.1\r\nhost: a\r\n"
SMUGGLED_REQUEST = b"GET /schedule/hidden HTTP/1.1\r\nhost: a\r\n\r\n"
MAX_BODY_BYTES = 16 * 1024 * 1024


class BadInputTest(ProcessTest):
    zones = {"node-a1": "zone-a"}

    @classmethod
    def start_targets(cls):
        cls.target = cls.deployment.start_target(
            cls.deployment.nodes["node-a1"], "counter-app", "v1"
        )
        cls.targets = [cls.target]

    def setUp(self):
        super().setUp()
        self.address = self.deployment.nodes["node-a1"].addresses.caller

    def runs(self):
        return self.deployment.runs_of(self.target)["runs"]

    def check_refused(self, data, *statuses):
        """Check that the request is refused and that no other request is parsed from its data.

        ``SMUGGLED_REQUEST`` follows the data on the same connection and must be neither answered
        nor run.
        """
        before = self.runs()
        received = read_all(self.address, data + SMUGGLED_REQUEST)
        self.assertIn(int(received.split()[1]), statuses, (data[:200], received))
        self.assertEqual(1, received.count(b"HTTP/1."), (data[:200], received))
        self.assertNotIn(b"Traceback", received)
        self.assertEqual(before, self.runs(), data[:200])

    def test_ambiguous_length(self):
        """Guards against a second request hidden in a body whose length is ambiguous."""
        chunked = b"transfer-encoding: chunked\r\n"
        end = b"\r\n0\r\n\r\n"
        for lines in (
            b"content-length: 5\r\n" + chunked + end,
            chunked + b"content-length: 5\r\n" + end,
            b"content-length: 0\r\ncontent-length: 30\r\n\r\n",
            b"content-length: 2\r\ncontent-length: 2\r\n\r\nab",
            b"content-length: 2, 2\r\n\r\nab",
            b"content-length: -2\r\n\r\nab",
            b"content-length: +2\r\n\r\nab",
            b"content-length: 0x2\r\n\r\nab",
            b"content-length : 2\r\n\r\nab",
            b"no colon\r\ncontent-length: 2\r\n\r\nab",
            b"x: a\r\n content-length: 2\r\n\r\nab",
            chunked + chunked + end,
            b"transfer-encoding: gzip, chunked\r\n" + end,
            b"transfer-encoding: xchunked\r\n" + end,
            b"transfer-encoding: identity\r\n\r\n",
            chunked + b"\r\nzz\r\nab\r\n0\r\n\r\n",
        ):
            self.check_refused(POST + lines, 400)

    def test_truncated_body(self):
        """Guards against a push of a partial schedule when a caller dies while sending the body."""
        for rest in (
            b"content-length: 10\r\n\r\nab",
            b"transfer-encoding: chunked\r\n\r\na\r\nab",
            b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
            b"transfer-encoding: chunked\r\n\r\n",
        ):
            before = self.runs()
            response = send_raw(self.address, POST + rest, end=True)
            self.assertEqual(400, response.status, (rest, response))
            self.assertIn("x-almondshore-outcome: not-run", response.head)
            self.assertEqual(before, self.runs(), rest)

    def test_oversized(self):
        """Guards against a body or header that exhausts the memory of a node."""
        self.check_refused(POST + b"content-length: 99999999\r\n\r\n", 413)
        size = MAX_BODY_BYTES + 1
        body = b"x" * size
        for rest in (
            b"content-length: %d\r\n\r\n%s" % (size, body),
            b"transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (size, body),
        ):
            before = self.runs()
            self.assertEqual(413, send_raw(self.address, POST + rest).status)
            self.assertEqual(before, self.runs())
        many = b"".join(b"x-%d: a\r\n" % number for number in range(150))
        self.check_refused(POST + many + b"\r\n", 431)
        self.check_refused(POST + b"x: " + b"a" * 70000 + b"\r\n\r\n", 400, 431)

    def test_paths(self):
        """Guards against a path that a target resolves to a route of another service."""
        for path in (
            b"/schedule/../push/x",
            b"/schedule/%2e%2E/push/x",
            b"/schedule/./x",
            b"/schedule/..%2fpush",
            b"/schedule/..%5Cpush",
            b"/schedule/..\\push",
            b"/schedule/%00",
            b"http://a/schedule/x",
        ):
            self.check_refused(b"GET " + path + b" HTTP/1.1\r\nhost: a\r\n\r\n", 400)

    def test_internal_headers_from_outside(self):
        """Guards against a caller that sets the attempt, deadline or target of its request."""
        spoofed = (
            b"x-almondshore-target: other\r\nX-Almondshore-Deadline-Ms: 1\r\n"
            b"x_almondshore_attempt: 7\r\nx-almondshore-once-operation: claim\r\n"
            b"connection: x-secret, close\r\nx-secret: s\r\nkeep-alive: timeout=1\r\n"
            b"te: trailers\r\nproxy-authorization: p\r\nx-kept: k\r\n"
        )
        response = send_raw(self.address, b"GET /schedule/x HTTP/1.1\r\n" + spoofed + b"\r\n")
        self.assertEqual(200, response.status, response)
        seen = self.deployment.runs_of(self.target)["last_headers"]
        self.assertEqual("k", seen["x-kept"])
        self.assertEqual("0", seen["x-almondshore-attempt"])
        self.assertTrue(int(seen["x-almondshore-deadline-ms"]) > 1, seen)
        for name in ("x-secret", "keep-alive", "te", "proxy-authorization"):
            self.assertNotIn(name, seen)
        internal = {name for name in seen if name.startswith("x-almondshore-")}
        self.assertEqual(
            {f"x-almondshore-{name}" for name in ("attempt", "deadline-ms", "request-id")},
            internal,
        )
