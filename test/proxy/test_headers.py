"""Tests of header validation and forwarding."""

from testtools import TestCase

from almondshore.proxy.headers import check_request, forwardable, parse_load


class HeadersTest(TestCase):
    def test_refused_requests(self):
        """Guards against a body length that servers interpret differently."""
        for status, headers in (
            (400, [("Content-Length", "1"), ("transfer-encoding", "chunked")]),
            (400, [("content-length", "1"), ("Content-Length", "1")]),
            (400, [("content-length", "٣")]),
            (400, [("content-length", "1_0")]),
            (400, [("transfer-encoding", "chunked, chunked")]),
            (400, [("content-length ", "1")]),
            (400, [("x", "a\r\nb")]),
            (400, [("idempotency-key", " ")]),
            (400, [("idempotency-key", "k" * 201)]),
            (413, [("content-length", "11")]),
            (431, [(f"x-{number}", "") for number in range(101)]),
        ):
            problem = check_request(headers, 10)
            self.assertEqual(status, problem and problem.status, headers)
        self.assertIsNone(check_request([("content-length", "10"), ("x", "ü")], 10))

    def test_forwardable(self):
        """Guards against forwarding hop-by-hop and internal headers."""
        dropped = [
            ("Connection", "close, X-Named"),
            ("x-named", "1"),
            ("Keep-Alive", "1"),
            ("TE", "trailers"),
            ("Transfer-Encoding", "chunked"),
            ("Upgrade", "h2c"),
            ("Host", "a"),
            ("Content-Length", "1"),
            ("X-Almondshore-Target", "t"),
            ("x_almondshore_target", "t"),
            ("X-Almondshore_Attempt", "1"),
        ]
        self.assertEqual([("x-kept", "1")], forwardable([*dropped, ("X-Kept", " 1 ")]))

    def test_malformed_load(self):
        """Guards against failing a request because of a malformed load report."""
        self.assertEqual((10, 2, 0), parse_load("10/2/0"))
        for value in ("", "1/2", "1/2/x", "1/2/-3", "1/2/3/4"):
            self.assertIsNone(parse_load(value), value)
