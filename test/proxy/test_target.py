"""Tests of hop 2 with scripted responses of targets."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import SystemClock
from almondshore.limits.admission import SlotQueue
from almondshore.proxy.gate import SlotGate
from almondshore.proxy.pool import HopPool
from almondshore.proxy.target import Endpoint, TargetApp
from almondshore.retries.crash import CrashGuard
from standins.addresses import allocate_address, format_address
from test.proxy.servers import ScriptedServer, build_response
from test.proxy.wsgicall import call

SECOND = timedelta(seconds=1)
HOP_HEADERS = (
    ("x-almondshore-request-id", "r1-0"),
    ("x-almondshore-target", "t"),
    ("x-almondshore-class", "urgent"),
    ("x-almondshore-deadline-ms", "3000"),
)


class TargetTest(TestCase):
    def app(self, address):
        clock = SystemClock()
        pool = HopPool(
            max_hosts=4, connections_per_host=4, connect_timeout=SECOND, max_response_bytes=1000
        )
        self.addCleanup(pool.close)
        gate = SlotGate(queue=SlotQueue(clock=clock, slots=2, queue_limit=2))
        self.runs = []
        return TargetApp(
            clock=clock,
            endpoints={"t": Endpoint("t", "s", "v1", address, gate, 1)},
            pool=pool,
            max_body_bytes=1000,
            once_app=None,
            crash_guard=CrashGuard(clock=clock),
            on_run=self.runs.append,
        )

    def call_target(self, response, close_after=False):
        server = ScriptedServer([response], close_after=close_after)
        self.addCleanup(server.close)
        app = self.app(server.address)
        result = call(app, "POST", "/a", headers=HOP_HEADERS)
        self.assertTrue(app.endpoints["t"].gate.queue.is_idle())
        return result

    def test_complete_response(self):
        """Guards against a response without the request id and outcome that hop 1 checks."""
        result = self.call_target(
            build_response(b"ok", "x-almondshore-request-id: spoofed", "x-kept: k")
        )
        self.assertEqual((200, "", "run"), result[:3])
        self.assertEqual(b"ok", result.body)
        self.assertEqual("r1-0", result.headers["x-almondshore-request-id"])
        self.assertEqual("k", result.headers["x-kept"])
        self.assertEqual([True], [run.ok for run in self.runs])

    def test_outcome_of_failures(self):
        """Guards against ``not-run`` for a request that the target may have run."""
        refused = build_response(b"", "x-almondshore-outcome: not-run", status="503 Busy")
        truncated = build_response(b"ab", length=10)
        for response, expected in (
            (None, (502, "target-lost", "unknown")),
            (truncated, (502, "response-truncated", "run")),
            (build_response(b"x" * 200_000), (502, "response-truncated", "run")),
            (refused, (503, "overloaded", "not-run")),
        ):
            self.assertEqual(expected, self.call_target(response, close_after=True)[:3])

    def test_request_to_unreachable_target(self):
        """Guards against a missing ``not-run``, without which no other target is tried."""
        unreachable = (502, "target-unreachable", "not-run")
        app = self.app(format_address(allocate_address()))
        self.assertEqual(unreachable, call(app, "POST", "/a", headers=HOP_HEADERS)[:3])
        app.endpoints = {}
        self.assertEqual(unreachable, call(app, "POST", "/a", headers=HOP_HEADERS)[:3])
        self.assertEqual([], self.runs)

    def test_malformed_internal_headers(self):
        """Guards against running a request without a request id, deadline, class or target."""
        app = self.app(format_address(allocate_address()))
        for name, _ in HOP_HEADERS:
            headers = [item for item in HOP_HEADERS if item[0] != name]
            result = call(app, "POST", "/a", headers=headers)
            self.assertEqual((400, "bad-request", "not-run"), result[:3], name)

    def test_draining_target_refuses(self):
        """Guards against sending new requests to a target that is shutting down."""
        app = self.app(format_address(allocate_address()))
        app.endpoints["t"].gate.drain()
        result = call(app, "POST", "/a", headers=HOP_HEADERS)
        self.assertEqual((503, "draining", "not-run"), result[:3])
