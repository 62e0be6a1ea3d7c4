"""Tests of the HTTP client with servers that truncate, mix up, delay or corrupt responses."""

from datetime import timedelta

import eventlet
from testtools import TestCase

from almondshore.http.client import CallFailure, ResponseMatch
from almondshore.http.messages import Response, encode_request
from standins.addresses import allocate_address
from test.http.loopback import RawServer, RecordingHandler, call, new_pool, serve, wait_until

REQUEST = encode_request(b"GET", b"/a", ((b"Host", b"h"),), b"")
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nId: %s\r\n\r\n%s"


def match_id(response):
    response_id = response.header(b"id")
    if response_id is None:
        return ResponseMatch.UNIDENTIFIED
    return ResponseMatch.OWN if response_id == b"own" else ResponseMatch.OTHER


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = new_pool()

    def raw(self, *pieces, pause=0.0, end=True):
        def script(sock):
            sock.recv(65536)
            for piece in pieces:
                sock.sendall(piece)
                eventlet.sleep(pause)
            if end:
                sock.close()
            else:
                eventlet.sleep(5)

        server = RawServer(script)
        self.addCleanup(server.close)
        return server.address

    def test_connections_are_reused(self):
        """Guards against a new connection for each request, which costs the target time."""
        handler = RecordingHandler()
        server = serve(handler)
        self.addCleanup(server.close)
        for _ in range(3):
            self.assertEqual(200, call(self.pool, server.address(), REQUEST).response.status)
        self.assertEqual(1, self.pool.opened)
        result = call(self.pool, server.address(), REQUEST, max_idle_time=timedelta())
        self.assertFalse(result.reused)
        self.assertEqual(2, self.pool.opened)

    def test_address_that_is_none_is_reported_as_not_sent(self):
        """Guards against a request that ends its handler since another program named its target."""
        for address in (
            ("127.0.0.1", 70_000),
            ("127.0.0.1", -1),
            ("no address", 80),
            ("\ud800", 80),
        ):
            result = call(self.pool, address, REQUEST)
            self.assertEqual((CallFailure.NOT_CONNECTED, False), (result.failure, result.sent))

    def test_response_that_stops_in_its_head_is_truncated(self):
        """Guards against a response that ends in its head and counts as one with an empty body.

        Callers of another operator got such a response as a complete one with status 200.
        """
        heads = (
            b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\nX: y\r\n\r\n",
            b"HTTP/1.0 200 OK\nId: own\nTransfer-Encoding: chunked\n\n",
        )
        for head in heads:
            for cut in range(1, len(head)):
                result = call(self.pool, self.raw(head[:cut]), REQUEST, match=match_id)
                self.assertIsNone(result.response, head[:cut])
                self.assertTrue(result.sent)

    def test_refused_connection_is_reported_as_not_sent(self):
        """Guards against treating a request as possibly executed although it was never sent."""
        result = call(self.pool, allocate_address(), REQUEST)
        self.assertEqual((CallFailure.NOT_CONNECTED, False), (result.failure, result.sent))

    def test_failures_are_distinguished(self):
        """Guards against delivering a truncated or corrupt response as a complete one."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
        cases = {
            CallFailure.CLOSED: (),
            CallFailure.TRUNCATED: (head,),
            CallFailure.MALFORMED: (b"\x00\x01 spoilt\r\n\r\n",),
        }
        for failure, pieces in cases.items():
            result = call(self.pool, self.raw(*pieces), REQUEST)
            self.assertEqual((failure, True), (result.failure, result.sent))

    def test_response_to_another_request_is_discarded(self):
        """Guards against delivering a late response to the next request on the connection."""
        address = self.raw(RESPONSE % (b"other", b"x"), RESPONSE % (b"own", b"y"), pause=0.02)
        result = call(self.pool, address, REQUEST, match=match_id)
        self.assertEqual(b"y", result.response.body)
        self.assertEqual({}, self.pool.idle)

    def test_bytes_after_the_response_close_the_connection(self):
        """Guards against reading excess bytes as the response to the next request."""
        address = self.raw(RESPONSE % (b"own", b"x"), b"excess", pause=0.02, end=False)
        self.assertEqual(b"x", call(self.pool, address, REQUEST).response.body)
        eventlet.sleep(0.1)
        self.assertEqual({}, self.pool.idle)

    def test_silent_server_times_out_and_cancel_closes_connection(self):
        """Guards against a request that outlives its timeout or its caller."""
        result = call(self.pool, self.raw(end=False), REQUEST, timeout=0.1)
        self.assertEqual(CallFailure.TIMED_OUT, result.failure)
        handler = RecordingHandler(make_response=lambda exchange: None)
        server = serve(handler)
        self.addCleanup(server.close)
        pending = self.pool.call(
            server.address(), REQUEST, timeout=timedelta(seconds=5), on_done=self.fail
        )
        eventlet.sleep(0.05)
        pending.cancel()
        eventlet.sleep(0.05)
        self.assertEqual(1, len(handler.cancelled))

    def test_keep_alive_timeout_of_the_server_is_respected(self):
        """Guards against sending a request while the server closes the idle connection."""
        keep_alive = ((b"Keep-Alive", b"timeout=1"),)
        server = serve(RecordingHandler(make_response=lambda exchange: Response(200, keep_alive)))
        self.addCleanup(server.close)
        call(self.pool, server.address(), REQUEST)
        eventlet.sleep(0.02)
        call(self.pool, server.address(), REQUEST)
        self.assertEqual(2, self.pool.opened)

    def test_copy_of_a_refusal_is_not_the_answer_to_the_next_request(self):
        """Guards against telling a caller 'not run' for a request that a target is running.

        A faulty target writes an earlier refusal once more on a kept connection: at once, while
        the connection is idle, or after it has received the next request.
        """
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n%s\r\n"
        for header in (b"", b"Id: own\r\n"):
            for pause in (None, 0.0, 0.05):
                answered = self._refused_then_answered(refusal % header, pause)
                self.assertEqual((200, b"y"), answered, (header, pause))

    def _refused_then_answered(self, refusal, pause):
        """Return the answer to a request sent after a refusal, which the target repeats.

        :param pause: seconds after the next request at which it is repeated, None for at once
        """
        connections = []

        def script(sock):
            connections.append(sock)
            sock.recv(65536)
            if len(connections) == 1:
                sock.sendall(refusal * (2 if pause is None else 1))
                if not sock.recv(65536):
                    return
                eventlet.sleep(pause or 0.0)
                sock.sendall(refusal)
            eventlet.sleep(0.02)
            sock.sendall(RESPONSE % (b"next", b"y"))

        def match_next(response):
            match = match_id(response)
            if match is ResponseMatch.UNIDENTIFIED:
                return match
            own = response.header(b"id") == b"next"
            return ResponseMatch.OWN if own else ResponseMatch.OTHER

        server = RawServer(script)
        self.addCleanup(server.close)
        call(self.pool, server.address, REQUEST, match=match_id)
        response = call(self.pool, server.address, REQUEST, match=match_next).response
        return response.status, response.body


class ConnectionCheckTest(TestCase):
    def test_refused_connections_are_told_from_others(self):
        """Guards against a crashed target that counts as running, and the other way round."""
        pool, results = new_pool(), []
        server = RawServer(lambda _sock: None)
        pool.check(server.address, results.append)
        wait_until(lambda: results)
        server.close()
        pool.check(server.address, results.append)
        wait_until(lambda: len(results) == 2)
        self.assertEqual([False, True], results)
