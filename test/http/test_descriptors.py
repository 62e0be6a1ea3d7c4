"""Tests of servers and clients whose process has no descriptors left."""

import errno
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.http import stream
from almondshore.http.client import CallFailure
from almondshore.http.messages import Response, encode_request
from test.http.loopback import RecordingHandler, call, new_pool, open_socket, serve, wait_until

REQUEST = encode_request(b"GET", b"/a", ((b"Host", b"h"),), b"")
NO_DESCRIPTOR = OSError(errno.EMFILE, "Too many open files")


class ExhaustedSocket:
    """A listening socket that accepts no connection while ``exhausted``."""

    def __init__(self, sock):
        self.sock = sock
        self.exhausted = True
        self.calls = 0

    def accept(self):
        self.calls += 1
        if self.exhausted:
            raise NO_DESCRIPTOR
        return self.sock.accept()

    def __getattr__(self, name):
        return getattr(self.sock, name)


class ServerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.server = serve(RecordingHandler())
        self.addCleanup(self.server.close)
        self.idle = open_socket(self.server.address())
        self.addCleanup(self.idle.close)
        wait_until(lambda: self.server.connections)
        eventlet.sleep(0.15)
        self.server.sock = ExhaustedSocket(self.server.sock)
        self.waiting = open_socket(self.server.address())
        self.addCleanup(self.waiting.close)

    def test_accepting_is_paused_and_goes_on(self):
        """Guards against a node that uses up its processor and stops serving its clients."""
        eventlet.sleep(0.5)
        self.assertTrue(2 <= self.server.sock.calls <= 8, self.server.sock.calls)
        self.server.sock.exhausted = False
        self.waiting.sendall(REQUEST)
        with eventlet.Timeout(2):
            self.assertIn(b"200 OK", self.waiting.recv(4096))

    def test_idle_connections_make_room(self):
        """Guards against idle clients that keep all others from being served."""
        with eventlet.Timeout(2):
            self.assertEqual(b"", self.idle.recv(1))

    def test_server_closes_while_it_is_paused(self):
        """Guards against a stop that leaves the listener open."""
        wait_until(lambda: self.server.listener is None)
        self.server.stop_accepting()
        eventlet.sleep(0.2)
        self.assertEqual((None, -1), (self.server.listener, self.server.sock.fileno()))


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.server = serve(RecordingHandler(lambda exchange: Response(200)))
        self.addCleanup(self.server.close)
        self.pool = new_pool()

    def test_call_without_a_descriptor_fails_as_not_sent(self):
        """Guards against a request whose connection is closed, or a target that counts as down."""
        with mock.patch.object(stream.socket, "socket", side_effect=NO_DESCRIPTOR):
            result = call(self.pool, self.server.address(), REQUEST)
            refused = []
            self.pool.check(self.server.address(), refused.append)
            wait_until(lambda: refused)
        self.assertEqual((CallFailure.NO_DESCRIPTOR, False), (result.failure, result.sent))
        self.assertEqual([False], refused)

    def test_idle_connection_makes_room_for_a_call(self):
        """Guards against calls that fail while descriptors are kept for idle connections."""
        other = serve(RecordingHandler(lambda exchange: Response(200)))
        self.addCleanup(other.close)
        self.assertEqual(200, call(self.pool, other.address(), REQUEST).response.status)
        self.create = stream.socket.socket
        with mock.patch.object(stream.socket, "socket", self.create_unless_idle):
            result = call(self.pool, self.server.address(), REQUEST)
        self.assertEqual(200, result.response.status)
        self.assertEqual([self.server.address()], list(self.pool.idle))

    def create_unless_idle(self, *args, **options):
        """Create a socket; fails for a new connection while another one is idle."""
        if self.pool.idle and not options:
            raise NO_DESCRIPTOR
        return self.create(*args, **options)
