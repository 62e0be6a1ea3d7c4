"""Tests of peers that send bytes without end in a head, in a body or between responses."""

import time
from datetime import timedelta
from unittest import mock

import eventlet
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.http import buffering, client, parsing
from almondshore.http.client import CallFailure, ResponseMatch
from almondshore.http.messages import encode_request
from almondshore.http.parsing import (
    MAX_RESPONSE_HEAD_BYTES,
    ParseError,
    RequestLimits,
    RequestParser,
    ResponseParser,
)
from almondshore.http.server import ServerLimits
from test.http.loopback import RawServer, RecordingHandler, call, new_pool, open_socket, serve

LIMITS = RequestLimits(max_header_bytes=1024, max_body_bytes=4096)
REQUEST = encode_request(b"GET", b"/a", ((b"Host", b"h"),), b"")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Far above every limit on bytes that are not part of a body.
ENDLESS_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 16 * 1024

ENDLESS_RESPONSES = {
    "reason": (b"HTTP/1.1 200 ", b"a" * PIECE_BYTES),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"a" * PIECE_BYTES),
    "header value": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * PIECE_BYTES),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "chunk size": (CHUNKED, b"0" * PIECE_BYTES),
    "chunk extension": (CHUNKED + b"1;", b"a" * PIECE_BYTES),
    "tiny chunks": (CHUNKED, b"1;" + b"e" * 2000 + b"\r\na\r\n"),
    "trailer lines": (CHUNKED + b"0\r\n", b"X: a\r\n" * 1000),
    "trailer value": (CHUNKED + b"0\r\nX: ", b"a" * PIECE_BYTES),
}


def feed_until_rejected(parser, start, piece):
    """Feed a start and then the same piece again and again.

    :return: number of bytes after which the parser raised ``ParseError``, None if it did not
    """
    total = 0
    try:
        parser.feed(start or piece)
        while total < ENDLESS_BYTES:
            parser.feed(piece)
            total += len(piece)
    except ParseError:
        return total
    return None


class ResponseParserTest(TestCase):
    def test_bytes_outside_a_body_are_bounded(self):
        """Guards against memory and time spent on a head, chunk or trailer that does not end."""
        for name, (start, piece) in ENDLESS_RESPONSES.items():
            fed = feed_until_rejected(ResponseParser(), start, piece)
            self.assertIsNotNone(fed, name)
            self.assertTrue(fed <= 4 * MAX_RESPONSE_HEAD_BYTES, (name, fed))

    def test_trailers_are_not_headers(self):
        """Guards against a signature or id that a target sends after the body."""
        parser = ResponseParser()
        parser.feed(CHUNKED + b"1\r\na\r\n0\r\nResponse-Signature: s\r\n\r\n")
        response = parser.complete.popleft()
        self.assertEqual((b"a", None), (response.body, response.header(b"response-signature")))

    def test_response_to_a_head_request_has_no_body(self):
        """Guards against waiting until the deadline for a body that is never sent."""
        parser = ResponseParser(head=True)
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
        self.assertEqual([(200, b"")], [(item.status, item.body) for item in parser.complete])

    @given(
        st.sampled_from(sorted(ENDLESS_RESPONSES)),
        st.lists(st.integers(1, 3000), min_size=1, max_size=8),
    )
    @settings(max_examples=40, deadline=None)
    def test_the_bound_holds_for_any_split_into_reads(self, name, sizes):
        """Guards against a bound that a target passes by sending in small pieces."""
        start, piece = ENDLESS_RESPONSES[name]
        parser, data, position = ResponseParser(), start + piece * 40, 0
        with mock.patch.object(parsing, "MAX_RESPONSE_HEAD_BYTES", 4096):
            try:
                while position < len(data):
                    size = sizes[position % len(sizes)]
                    parser.feed(data[position : position + size])
                    position += size
            except ParseError:
                return
        self.fail(f"{name}: {len(data)} bytes were accepted")


class RequestParserTest(TestCase):
    def test_bytes_outside_a_body_are_bounded(self):
        """Guards against a caller that keeps a request alive without sending its body."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "target": (b"GET /", b"a" * 500),
            "header lines": (b"GET / HTTP/1.1\r\n", b"X: a\r\n" * 50),
            "chunk extension": (head + b"1;", b"a" * 500),
            "trailer lines": (head + b"0\r\n", b"X: a\r\n" * 50),
        }
        for name, (start, piece) in cases.items():
            fed = feed_until_rejected(RequestParser(limits=LIMITS), start, piece)
            self.assertIsNotNone(fed, name)
            self.assertTrue(fed <= 4 * LIMITS.max_header_bytes, (name, fed))

    def test_trailers_do_not_become_headers(self):
        """Guards against a caller that sets the headers of nodes behind its body."""
        parser = RequestParser(limits=LIMITS)
        parser.feed(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\nX-Almondshore-Terms: {}\r\n\r\n"
        )
        request = parser.complete.popleft()
        self.assertEqual((b"a", None), (request.body, request.header(b"x-almondshore-terms")))


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = new_pool()

    def endless(self, start, piece, pause=0.0, pieces=100_000):
        def script(sock):
            sock.recv(65536)
            try:
                sock.sendall(start)
                for _ in range(pieces):
                    sock.sendall(piece)
                    eventlet.sleep(pause)
            except OSError:
                self.closed_by_client = True

        self.closed_by_client = False
        server = RawServer(script)
        self.addCleanup(server.close)
        return server.address

    def test_endless_response_fails_before_its_timeout(self):
        """Guards against reading from a faulty target until the deadline of the request."""
        for name in ("header lines", "chunk extension", "trailer lines"):
            address = self.endless(*ENDLESS_RESPONSES[name])
            result = call(self.pool, address, REQUEST, timeout=5.0)
            self.assertEqual((CallFailure.MALFORMED, True), (result.failure, result.sent), name)

    def test_endless_body_is_cut_at_the_limit(self):
        """Guards against a process that is killed because one response fills its memory."""
        address = self.endless(b"HTTP/1.1 200 OK\r\n\r\n", b"a" * PIECE_BYTES)
        with mock.patch.object(parsing, "MAX_RESPONSE_BYTES", 256 * 1024):
            result = call(self.pool, address, REQUEST, timeout=5.0)
        self.assertEqual((CallFailure.TOO_LARGE, True), (result.failure, result.sent))

    def test_many_large_responses_share_one_bound(self):
        """Guards against memory that grows with the number of endless responses at once."""
        results = []
        address = self.endless(b"HTTP/1.1 200 OK\r\n\r\n", b"a" * PIECE_BYTES)
        with (
            mock.patch.object(buffering, "MAX_HELD_BYTES", 1024 * 1024),
            mock.patch.object(buffering, "GUARANTEED_BYTES", 64 * 1024),
        ):
            for _ in range(8):
                self.pool.call(
                    address, REQUEST, timeout=timedelta(seconds=5), on_done=results.append
                )
            most = 0
            with eventlet.Timeout(8):
                while len(results) < 8:
                    most = max(most, self.pool.memory.held_bytes)
                    eventlet.sleep(0.001)
        self.assertEqual({CallFailure.TOO_LARGE}, {result.failure for result in results})
        self.assertTrue(most <= 1024 * 1024 + 8 * 128 * 1024, most)
        self.assertEqual(0, self.pool.memory.held_bytes)

    def test_slow_bytes_end_with_the_total_time(self):
        """Guards against a watch that waits for ever for a response sent byte by byte."""
        address = self.endless(b"HTTP/1.1 200 OK\r\n\r\n", b"a", pause=0.05)
        started = time.monotonic()
        with mock.patch.object(client, "MAX_STALL_FACTOR", 4):
            result = call(
                self.pool,
                address,
                REQUEST,
                timeout=0.3,
                stall_timeout=timedelta(milliseconds=200),
            )
        self.assertEqual(CallFailure.TIMED_OUT, result.failure)
        self.assertTrue(time.monotonic() - started < 2.0)

    def test_endless_responses_to_other_requests_fail_the_call(self):
        """Guards against a target that repeats an old response until the deadline."""
        address = self.endless(b"", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", pause=0.005)
        result = call(
            self.pool, address, REQUEST, timeout=5.0, match=lambda response: ResponseMatch.OTHER
        )
        self.assertEqual(CallFailure.MALFORMED, result.failure)


class ServerTest(TestCase):
    def test_many_large_requests_share_one_bound(self):
        """Guards against a process that is killed when callers send many large bodies."""
        limits = ServerLimits(
            RequestLimits(4096, 64 * 1024 * 1024), timedelta(seconds=5), timedelta(seconds=5)
        )
        server = serve(RecordingHandler(), limits)
        self.addCleanup(server.close)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n"
        statuses = []

        def send():
            sock = open_socket(server.address())
            try:
                sock.sendall(head)
                for _ in range(64):
                    sock.sendall(b"a" * PIECE_BYTES)
                    eventlet.sleep(0)
            except OSError:
                # The server has rejected the request and stopped reading.
                pass
            statuses.append(sock.recv(12))

        with (
            mock.patch.object(buffering, "MAX_HELD_BYTES", 1024 * 1024),
            mock.patch.object(buffering, "GUARANTEED_BYTES", 64 * 1024),
            eventlet.Timeout(8),
        ):
            for _ in range(6):
                eventlet.spawn(send)
            while len(statuses) < 5:
                eventlet.sleep(0.01)
        self.assertEqual({b"HTTP/1.1 503"}, set(statuses))
        self.assertTrue(server.memory.held_bytes <= 2 * 1024 * 1024, server.memory.held_bytes)

    def test_slow_request_body_is_rejected(self):
        """Guards against connections that callers hold open with a body sent byte by byte."""
        server = serve(RecordingHandler())
        self.addCleanup(server.close)
        sock = open_socket(server.address())
        self.addCleanup(sock.close)
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
        started, data = time.monotonic(), b""
        with eventlet.Timeout(8):
            while not data and time.monotonic() - started < 6:
                try:
                    sock.sendall(b"a")
                    with eventlet.Timeout(0.1, False):
                        data = sock.recv(65536)
                except OSError:
                    break
        self.assertIn(b"408 Request Timeout", data)
