"""Tests of the connection pool between hops."""

from datetime import timedelta

from testtools import TestCase

from almondshore.proxy.pool import ExchangeFailure, ExchangeFailureKind, HopPool, Reply
from test.proxy.servers import ScriptedServer, build_response

SECOND = timedelta(seconds=1)


class HopPoolTest(TestCase):
    def serve(self, *scripts, close_after=False):
        server = ScriptedServer(*scripts, close_after=close_after)
        self.addCleanup(server.close)
        pool = HopPool(
            max_hosts=4, connections_per_host=4, connect_timeout=SECOND, max_response_bytes=1000
        )
        self.addCleanup(pool.close)
        return server, pool

    def exchange(self, server, pool, request_id=""):
        return pool.exchange(server.address, "GET", "/", [], b"", SECOND * 5, request_id)

    def test_connection_is_reused_after_a_complete_response(self):
        """Guards against a new connection for each request."""
        server, pool = self.serve([build_response(b"a"), build_response(b"b")])
        bodies = [self.exchange(server, pool).body for _ in range(2)]
        self.assertEqual([b"a", b"b"], bodies)
        self.assertEqual([0, 0], [number for number, _ in server.requests])

    def test_truncated_response_is_a_failure(self):
        """Guards against accepting a truncated response as complete."""
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        for truncated in (
            build_response(b"ab", length=10),
            chunked + b"a\r\nab",
            chunked + b"2\r\nab\r\n",
        ):
            server, pool = self.serve([truncated], close_after=True)
            result = self.exchange(server, pool)
            self.assertIsInstance(result, ExchangeFailure)
            self.assertEqual(
                (ExchangeFailureKind.CONNECTION_LOST, True), (result.kind, result.responded)
            )

    def test_failures_are_distinguished(self):
        """Guards against ``not-sent`` for a request that may have been run."""
        server, pool = self.serve([None])
        self.assertEqual(
            ExchangeFailure(ExchangeFailureKind.CONNECTION_LOST, False, ""),
            self.exchange(server, pool)._replace(detail=""),
        )
        server.close()
        self.assertEqual(ExchangeFailureKind.NOT_SENT, self.exchange(server, pool).kind)

    def test_connection_with_unread_bytes_is_not_reused(self):
        """Guards against reading the rest of a response as the next response."""
        too_large = build_response(b"x" * 200_000)
        surplus = build_response(b"a") + build_response(b"s" * 100_000)
        for first, expected in ((too_large, ExchangeFailure), (surplus, Reply)):
            server, pool = self.serve([first], [build_response(b"second")])
            self.assertIsInstance(self.exchange(server, pool), expected)
            self.assertEqual(b"second", self.exchange(server, pool).body)
            self.assertEqual([0, 1], [number for number, _ in server.requests])

    def test_connection_is_not_reused_after_a_mismatched_response(self):
        """Guards against a connection on which each response belongs to the previous request."""
        mismatched = build_response(b"crossed", "x-almondshore-request-id: other")
        own = build_response(b"own", "x-almondshore-request-id: mine")
        server, pool = self.serve([mismatched, own], [own])
        result = self.exchange(server, pool, "mine")
        self.assertEqual(ExchangeFailureKind.MISMATCHED, result.kind)
        self.assertEqual(b"own", self.exchange(server, pool, "mine").body)
        self.assertEqual([0, 1], [number for number, _ in server.requests])
