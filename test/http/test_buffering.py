"""Tests of the memory that is held for the messages of peers."""

import gc
import tracemalloc
from collections import deque
from datetime import timedelta
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.http import buffering
from almondshore.http.buffering import MAX_HELD_BYTES, MemoryBudget
from almondshore.http.client import CallFailure
from almondshore.http.messages import Response, encode_request
from almondshore.http.parsing import RequestLimits, RequestParser, ResponseParser
from almondshore.http.server import ServerLimits
from test.http.loopback import (
    RawServer,
    RecordingHandler,
    call,
    new_pool,
    open_socket,
    serve,
    wait_until,
)

BODY_BYTES = 1024 * 1024
READ_BYTES = 64 * 1024
LIMITS = ServerLimits(
    RequestLimits(4096, 64 * 1024 * 1024), timedelta(seconds=5), timedelta(seconds=5)
)
REQUEST = encode_request(b"GET", b"/a", ((b"Host", b"h"),), b"")
REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Memory beside the body: a read, its pieces and the parser.
SLACK_BYTES = 512 * 1024


def chunked(chunk_bytes, total_bytes):
    """Return the reads of a body in chunks of one size."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    data = chunk * (total_bytes // chunk_bytes)
    return [data[start : start + READ_BYTES] for start in range(0, len(data), READ_BYTES)]


def peak_memory(parser, reads):
    """Return the largest memory that a parser takes while it is fed."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for data in reads:
            parser.feed(data)
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


class ParserMemoryTest(TestCase):
    def test_a_body_takes_the_memory_of_its_bytes_in_chunks_of_any_size(self):
        """Guards against a process that is killed by a body in small chunks.

        Each chunk was kept as an object, so that 2 bytes took about 50.
        """
        for chunk_bytes in (1, 2, 16, 200, 65536):
            reads = chunked(chunk_bytes, BODY_BYTES)
            for parser, head in (
                (ResponseParser(), RESPONSE_HEAD),
                (RequestParser(limits=LIMITS.request), REQUEST_HEAD),
            ):
                parser.feed(head)
                peak = peak_memory(parser, reads)
                where = (type(parser).__name__, chunk_bytes, peak)
                self.assertTrue(peak <= 2 * BODY_BYTES + SLACK_BYTES, where)
                self.assertTrue(parser.held_bytes() >= BODY_BYTES, where)

    def test_the_count_covers_the_memory_of_header_fields(self):
        """Guards against a bound that short header lines pass."""
        for parser, head in (
            (ResponseParser(), b"HTTP/1.1 200 OK\r\n"),
            (RequestParser(limits=RequestLimits(65536, 4096)), b"GET / HTTP/1.1\r\n"),
        ):
            parser.feed(head)
            peak = peak_memory(parser, [b"X: a\r\n" * 9000])
            where = (type(parser).__name__, peak, parser.held_bytes())
            self.assertTrue(peak <= parser.held_bytes() + SLACK_BYTES, where)

    def test_a_large_body_is_copied_once_when_it_is_complete(self):
        """Guards against a body that takes several times its memory at its end."""
        for parser, head in (
            (ResponseParser(), b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"),
            (
                RequestParser(limits=LIMITS.request),
                b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
            ),
        ):
            parser.feed(head % BODY_BYTES)
            reads = [b"x" * READ_BYTES] * (BODY_BYTES // READ_BYTES)
            peak = peak_memory(parser, reads)
            self.assertEqual(BODY_BYTES, len(parser.complete[0].body))
            self.assertTrue(peak <= 2 * BODY_BYTES + SLACK_BYTES, peak)


class ReleaseTest(TestCase):
    def test_finished_and_broken_messages_are_released_at_once(self):
        """Guards against memory that no bound counts, until the garbage collector finds it."""
        body = b"x" * BODY_BYTES

        def answer(exchange):
            exchange.on_cancel = lambda: exchange.request
            return Response(200, (), exchange.request.body)

        server = serve(RecordingHandler(answer), LIMITS)
        server.handler.exchanges = deque(maxlen=0)
        self.addCleanup(server.close)
        broken = RawServer(
            lambda sock: (sock.sendall(RESPONSE_HEAD + b"%x\r\n" % BODY_BYTES + body), sock.close())
        )
        self.addCleanup(broken.close)
        pool = new_pool()
        request = encode_request(b"POST", b"/", ((b"Host", b"h"),), body)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(8):
            self.assertEqual(200, call(pool, server.address(), request).response.status)
            self.assertIs(None, call(pool, broken.address, REQUEST).response)
        held, _ = tracemalloc.get_traced_memory()
        self.assertTrue(held < 3 * BODY_BYTES, held)


class ServerMemoryTest(TestCase):
    def serve(self, make_response=lambda _exchange: None, **options):
        handler = RecordingHandler(make_response)
        server = serve(handler, LIMITS, **options)
        self.addCleanup(server.close)
        return server, handler

    def connect(self, server):
        sock = open_socket(server.address())
        self.addCleanup(sock.close)
        return sock

    def test_requests_count_until_their_response_is_sent(self):
        """Guards against complete bodies that fill the memory while they wait for a response."""
        server, handler = self.serve()
        sock = self.connect(server)
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        sock.sendall(b"x" * BODY_BYTES)
        wait_until(lambda: handler.exchanges)
        self.assertTrue(server.memory.held_bytes >= BODY_BYTES)
        handler.exchanges[0].respond(Response(200))
        wait_until(lambda: server.memory.held_bytes < 1024)

    def test_unread_responses_count(self):
        """Guards against large responses to clients that do not read them."""
        server, _ = self.serve(lambda _exchange: Response(200, (), b"x" * 16 * BODY_BYTES))
        sock = self.connect(server)
        sock.sendall(REQUEST)
        wait_until(lambda: server.memory.held_bytes > 4 * BODY_BYTES)
        sock.close()
        wait_until(lambda: server.memory.held_bytes == 0)

    def test_a_body_that_cannot_be_held_is_refused_by_its_stated_length(self):
        """Guards against bodies that are received in part and then refused, or fill the memory."""
        server, handler = self.serve()
        sock = self.connect(server)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        sock.sendall(head % (MAX_HELD_BYTES + 1))
        with eventlet.Timeout(5):
            response = sock.recv(4096)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After: 1\r\n", response)
        self.assertEqual(([], 1), (handler.exchanges, server.memory.refusals))

    def test_small_requests_are_served_while_the_memory_is_used_up(self):
        """Guards against large bodies of one client that make all others fail."""
        memory = MemoryBudget()
        memory.resize(0, 2 * MAX_HELD_BYTES)
        server, _ = self.serve(
            lambda exchange: Response(200, (), exchange.request.body), memory=memory
        )
        sock = self.connect(server)
        body = b"x" * 100_000
        sock.sendall(encode_request(b"POST", b"/", ((b"Host", b"h"),), body))
        with eventlet.Timeout(5):
            self.assertIn(b"HTTP/1.1 200 OK", sock.recv(4096))


class ClientMemoryTest(TestCase):
    def endless(self, head, piece):
        def script(sock):
            sock.recv(65536)
            try:
                sock.sendall(head)
                while True:
                    sock.sendall(piece)
            except OSError:
                # The client has closed the connection.
                return

        server = RawServer(script)
        self.addCleanup(server.close)
        return server.address

    def test_an_endless_response_in_small_chunks_ends_at_the_bound(self):
        """Guards against a faulty target that ends the process with one response."""
        address = self.endless(RESPONSE_HEAD, b"2\r\nxx\r\n" * 8192)
        pool = new_pool()
        with mock.patch.object(buffering, "MAX_HELD_BYTES", BODY_BYTES):
            result = call(pool, address, REQUEST, timeout=10.0)
        self.assertEqual(CallFailure.TOO_LARGE, result.failure)
        self.assertEqual((0, 1), (pool.memory.held_bytes, pool.memory.refusals))

    def test_state_is_received_while_the_memory_is_used_up(self):
        """Guards against a node that loses the store because clients send large bodies."""

        def script(sock):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            sock.sendall(b"x" * BODY_BYTES)

        server = RawServer(script)
        self.addCleanup(server.close)
        pool = new_pool()
        pool.memory.resize(0, 2 * MAX_HELD_BYTES)
        refused = call(pool, server.address, REQUEST)
        received = call(
            pool,
            server.address,
            REQUEST,
            guaranteed_bytes=buffering.GUARANTEED_STATE_BYTES,
        )
        self.assertEqual(CallFailure.TOO_LARGE, refused.failure)
        self.assertEqual(BODY_BYTES, len(received.response.body))
