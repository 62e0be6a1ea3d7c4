"""Tests of what the server holds for its clients, and of whom it refuses or closes first."""

from datetime import timedelta
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.http import buffering, server
from almondshore.http.buffering import MAX_HELD_BYTES, MemoryBudget, max_held_bytes
from almondshore.http.connection import MAX_PENDING_BYTES, MAX_PIPELINED
from almondshore.http.messages import Response
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import ServerLimits
from test.http.loopback import RecordingHandler, open_socket, serve, wait_until

LIMITS = ServerLimits(
    RequestLimits(16384, 64 * 1024 * 1024), timedelta(seconds=5), timedelta(seconds=10)
)
GET = b"GET / HTTP/1.1\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
KB = 1024


class HostilePeersTest(TestCase):
    def serve(self, make_response=lambda _exchange: None, **options):
        handler = RecordingHandler(make_response)
        instance = serve(handler, LIMITS, **options)
        self.addCleanup(instance.close)
        return instance, handler

    def connect(self, instance, data=b""):
        """Open a connection, send on it and wait until the server has read the data."""
        sock = open_socket(instance.address())
        # An eventlet socket without a reference is closed.
        self.addCleanup(lambda: sock.close())
        eventlet.sleep(0.05)
        if data:
            sock.sendall(data)
            eventlet.sleep(0.05)
        return sock

    def read(self, sock):
        with eventlet.Timeout(3):
            return sock.recv(4096)

    def test_requests_sent_ahead_are_not_parsed_ahead(self):
        """Guards against thousands of parsed requests for each read."""
        instance, handler = self.serve()
        self.connect(instance, GET * 3000)
        (connection,) = instance.connections
        self.assertEqual(MAX_PIPELINED, len(handler.exchanges))
        self.assertTrue(len(connection.parser.complete) <= 8 * KB // len(GET))
        self.assertTrue(connection.stream.paused)

    def test_all_requests_sent_ahead_are_answered(self):
        """Guards against requests that are left in a buffer when responses are sent at once."""
        instance, handler = self.serve(lambda _exchange: Response(200))
        sock = self.connect(instance)
        sock.sendall(GET * 5000 + POST % (100 * KB) + b"x" * 100 * KB + GET)
        received = b""
        with eventlet.Timeout(10):
            while received.count(b"200 OK") < 5002:
                received += sock.recv(1 << 16)
        self.assertEqual(100 * KB, len(handler.exchanges[-2].request.body))

    def test_requests_with_many_headers_are_handled_one_by_one(self):
        """Guards against 32 requests in progress on a connection, each with 16 KB of headers."""
        instance, handler = self.serve()
        request = GET[:-2] + b"aa:b\r\n" * 2000 + b"\r\n"
        self.connect(instance, request * 20)
        (connection,) = instance.connections
        self.assertEqual(1, len(handler.exchanges))
        self.assertTrue(connection.held_bytes < 3 * MAX_PENDING_BYTES, connection.held_bytes)

    def test_the_largest_holder_is_refused_first(self):
        """Guards against small requests that are refused because of large ones."""
        with mock.patch.object(buffering, "MAX_HELD_BYTES", 512 * KB):
            instance, handler = self.serve()
            small = self.connect(instance, POST % (100 * KB) + b"x" * 90 * KB)
            large = self.connect(instance, POST % (250 * KB) + b"x" * 240 * KB)
            self.connect(instance, POST % (250 * KB) + b"x" * 200 * KB)
            self.connect(instance, POST % (250 * KB) + b"x" * 180 * KB)
            response = self.read(large)
            small.sendall(b"x" * 10 * KB)
            wait_until(lambda: handler.exchanges)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After: 1\r\n", response)
        self.assertEqual(100 * KB, len(handler.exchanges[0].request.body))
        self.assertTrue(instance.memory.evictions >= 1)

    def test_a_request_in_progress_is_closed_without_an_answer(self):
        """Guards against a refusal that promises that a request has not run."""
        with mock.patch.object(buffering, "MAX_HELD_BYTES", 512 * KB):
            instance, handler = self.serve()
            running = self.connect(instance, POST % (400 * KB) + b"x" * 400 * KB)
            wait_until(lambda: handler.exchanges)
            self.connect(instance, POST % (250 * KB) + b"x" * 240 * KB)
            received = self.read(running)
        self.assertEqual(b"", received)
        self.assertEqual(handler.exchanges[:1], handler.cancelled)
        self.assertIs(None, handler.exchanges[0].on_cancel)

    def test_stalled_bodies_make_room(self):
        """Guards against bodies without progress that keep others out until their timeout."""
        with (
            mock.patch.object(buffering, "MAX_HELD_BYTES", 512 * KB),
            mock.patch.object(buffering, "STALLED_AFTER", timedelta(seconds=0.2)),
        ):
            instance, handler = self.serve()
            stalled = self.connect(instance, POST % (400 * KB) + b"x" * 399 * KB)
            eventlet.sleep(0.4)
            self.connect(instance, POST % (360 * KB) + b"x" * 360 * KB)
            wait_until(lambda: handler.exchanges)
        self.assertIn(b"HTTP/1.1 503 ", self.read(stalled))

    def test_a_connection_beyond_the_bound_replaces_the_longest_idle(self):
        """Guards against callers whose connections leave no descriptors for the node."""
        with mock.patch.object(server, "max_connections", lambda: 3):
            instance, _ = self.serve(lambda _exchange: Response(200))
            first, *others = [self.connect(instance) for _ in range(3)]
            eventlet.sleep(0.15)
            newest = open_socket(instance.address())
            self.addCleanup(newest.close)
            self.assertEqual(b"", self.read(first))
            for sock in (newest, *others):
                sock.sendall(GET)
                self.assertIn(b"200 OK", self.read(sock))

    def test_a_large_budget_serves_the_largest_body(self):
        """Guards against hosts with enough memory that refuse a single body within the limits."""
        size = 64 * KB * KB
        instance, handler = self.serve(
            lambda _exchange: Response(200), memory=MemoryBudget(max_bytes=max_held_bytes(200))
        )
        sock = self.connect(instance)
        sock.sendall(POST % size)
        for _ in range(64):
            sock.sendall(b"x" * KB * KB)
        self.assertIn(b"200 OK", self.read(sock))
        self.assertEqual(size, len(handler.exchanges[0].request.body))
        self.assertEqual(MAX_HELD_BYTES, max_held_bytes(0))
