"""Tests of the HTTP server: order, cancellation, limits and shutdown."""

from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.http.messages import Response
from almondshore.http.server import MAX_PIPELINED, MAX_UNREAD_BYTES
from test.http.loopback import RecordingHandler, open_socket, serve

GET = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"


def read_until_closed(sock):
    data = b""
    with eventlet.Timeout(5):
        while chunk := sock.recv(65536):
            data += chunk
    return data


class ServerTest(TestCase):
    def start(self, handler):
        server = serve(handler)
        self.addCleanup(server.close)
        sock = open_socket(server.address())
        self.addCleanup(sock.close)
        return server, sock

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against sending a fast response before an earlier, slower one."""
        handler = RecordingHandler(make_response=lambda exchange: None)
        _, sock = self.start(handler)
        sock.sendall(b"".join(GET % name for name in (b"a", b"b", b"c")))
        eventlet.sleep(0.05)
        for exchange in reversed(handler.exchanges):
            exchange.respond(Response(200, (), exchange.request.target))
        eventlet.sleep(0.05)
        data = sock.recv(65536)
        self.assertTrue(data.index(b"/a") < data.index(b"/b") < data.index(b"/c"))

    def test_client_disconnect_cancels_its_requests(self):
        """Guards against work for a client that has disconnected."""
        handler = RecordingHandler(make_response=lambda exchange: None)
        _, sock = self.start(handler)
        sock.sendall(GET % b"a")
        eventlet.sleep(0.05)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(handler.exchanges, handler.cancelled)

    def test_malformed_request_is_answered_after_earlier_requests(self):
        """Guards against a rejection that is sent in place of an earlier response."""
        _, sock = self.start(RecordingHandler())
        sock.sendall(GET % b"a" + b"nonsense\r\n\r\n")
        data = read_until_closed(sock)
        self.assertEqual(1, data.count(b"200 OK"))
        self.assertIn(b"400 Bad Request", data.partition(b"/a")[2])

    def test_requests_of_a_client_that_does_not_read_are_held_back(self):
        """Guards against unbounded memory for responses that the client does not read."""
        handler = RecordingHandler(make_response=lambda _exchange: Response(200, (), b"x" * 20_000))
        server, sock = self.start(handler)
        sock.sendall(b"".join(GET % b"%d" % number for number in range(1000)))
        eventlet.sleep(0.3)
        (connection,) = server.connections
        self.assertTrue(len(connection.stream.unsent) <= 2 * MAX_UNREAD_BYTES)
        data = b""
        with eventlet.Timeout(5):
            while data.count(b"200 OK") < 1000 or len(data) < 20_000_000:
                data += sock.recv(1 << 20)
        targets = [exchange.request.target for exchange in handler.exchanges]
        self.assertEqual([b"/%d" % number for number in range(1000)], targets)

    def test_malformed_request_after_queued_requests_is_answered_last(self):
        """Guards against a rejection that is sent in place of a held-back request's response."""
        handler = RecordingHandler(make_response=lambda exchange: None)
        _, sock = self.start(handler)
        count = 2 * MAX_PIPELINED
        sock.sendall(GET % b"a" * count + b"nonsense\r\n\r\n")
        eventlet.sleep(0.05)
        self.assertEqual(MAX_PIPELINED, len(handler.exchanges))
        for number in range(count):
            handler.exchanges[number].respond(Response(200))
        data = read_until_closed(sock)
        self.assertEqual(count, data.count(b"200 OK"))
        self.assertIn(b"400 Bad Request", data.rpartition(b"200 OK")[2])

    def test_slow_headers_and_idle_connections_are_closed(self):
        """Guards against connections that clients keep open without a request."""
        _, slow = self.start(RecordingHandler())
        slow.sendall(b"GET /a HT")
        self.assertIn(b"408", read_until_closed(slow))
        _, idle = self.start(RecordingHandler())
        self.assertEqual(b"", read_until_closed(idle))

    def test_draining_server_closes_after_the_response(self):
        """Guards against a response that is truncated by a shutdown."""
        handler = RecordingHandler(make_response=lambda exchange: None)
        server, sock = self.start(handler)
        sock.sendall(GET % b"a")
        eventlet.sleep(0.05)
        server.drain()
        server.close_idle()
        handler.exchanges[0].respond(Response(200, (), b"x" * 100_000))
        data = read_until_closed(sock)
        self.assertIn(b"Connection: close", data)
        self.assertEqual(100_000, len(data.partition(b"\r\n\r\n")[2]))

    def test_error_in_a_handler_closes_only_its_connection(self):
        """Guards against an error that stops a listener, or leaves its client waiting."""

        def fail_for_a(exchange):
            if exchange.request.target == b"/a":
                raise ValueError("unexpected")
            return Response(200)

        server, failed = self.start(RecordingHandler(make_response=fail_for_a))
        other = open_socket(server.address())
        self.addCleanup(other.close)
        failed.sendall(GET % b"a")
        self.assertEqual(b"", read_until_closed(failed))
        other.sendall(GET % b"b")
        with eventlet.Timeout(2):
            self.assertIn(b"200 OK", other.recv(4096))

    def test_sweep_goes_on_after_an_error(self):
        """Guards against idle connections that are never closed again after one error."""
        server, sock = self.start(RecordingHandler())
        eventlet.sleep(0.05)
        connection = next(iter(server.connections))
        with mock.patch.object(connection, "sweep", side_effect=ValueError("unexpected")):
            eventlet.sleep(0.8)
        self.assertEqual(b"", read_until_closed(sock))
