"""Tests of hop 1 with scripted responses of hop 2."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import SystemClock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.limits.tenants import TenantLimits
from almondshore.proxy.caller import CallerApp, Routes
from almondshore.proxy.pool import HopPool
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import CrashGuard
from almondshore.retries.policy import RetryPolicy
from almondshore.routing.choice import TargetChooser
from almondshore.routing.outlier import OutlierEjector
from almondshore.routing.table import RouteTable
from standins.addresses import allocate_address, format_address
from test.proxy.servers import ScriptedServer, build_response
from test.proxy.wsgicall import call

SECOND = timedelta(seconds=1)
ID = "x-almondshore-request-id: {id}"
ROUTE = {
    "methods": ["GET"],
    "path": "/a/*",
    "request_class": "urgent",
    "once": False,
    "timeout_ms": 3000,
}
ONCE_ROUTE = {**ROUTE, "methods": ["POST"], "path": "/once/*", "once": True}


def refusal(reason: str, outcome: str, status: str = "503 Service Unavailable") -> bytes:
    """Return a failure response of hop 2."""
    lines = (ID, f"x-almondshore-reason: {reason}", f"x-almondshore-outcome: {outcome}")
    return build_response(b"{}", *lines, status=status)


class OrderedChooser(TargetChooser):
    """Chooses the targets in the order of their names."""

    def choose(self, service, weights, exclude=()):
        candidates = sorted(self.members[service] - set(exclude))
        return self.loads[candidates[0]].record if candidates else None


class CallerTest(TestCase):
    def app(self, *addresses):
        clock, rng = SystemClock(), random.Random(1)
        ejector = OutlierEjector(clock=clock)
        chooser = OrderedChooser(clock=clock, rng=rng, zone="z1", ejector=ejector)
        records = [
            TargetRecord(f"t{n}", f"n{n}", "s", "v1", address, "z1", 10, 1, TargetState.UP)
            for n, address in enumerate(addresses)
        ]
        chooser.update("s", records)
        pool = HopPool(
            max_hosts=4, connections_per_host=4, connect_timeout=SECOND, max_response_bytes=10_000
        )
        self.addCleanup(pool.close)
        table = RouteTable([{"name": "s", "routes": [ROUTE, ONCE_ROUTE]}])
        return CallerApp(
            clock=clock,
            routes=lambda: Routes(True, table, {"s": {"v1": 1.0}}),
            chooser=chooser,
            tenants=TenantLimits(clock=clock, capacity=10),
            policy=RetryPolicy(clock=clock, rng=rng, budget=RetryBudget(clock=clock)),
            crash_guard=CrashGuard(clock=clock),
            once_client=None,
            pool=pool,
            max_body_bytes=1000,
        )

    def server(self, *script, close_after=False):
        server = ScriptedServer(list(script), close_after=close_after)
        self.addCleanup(server.close)
        return server

    def test_mismatched_response_is_not_delivered(self):
        """Guards against delivering the response to another request to a caller."""
        mismatched = build_response(b"secret", "x-almondshore-request-id: other-0")
        for response in (mismatched, build_response(b"secret")):
            server = self.server(response)
            result = call(self.app(server.address), "POST", "/once/1")
            self.assertEqual((502, "response-mismatched", "unknown"), result[:3])
            self.assertNotIn(b"secret", result.body)

    def test_truncated_response_is_an_error(self):
        """Guards against delivering a truncated response as a complete one."""
        server = self.server(build_response(b"half", ID, length=10), close_after=True)
        result = call(self.app(server.address), "POST", "/once/1")
        self.assertEqual((502, "response-truncated", "unknown"), result[:3])

    def test_unknown_outcome_of_earlier_attempt_is_kept(self):
        """Guards against ``not-run`` after an earlier attempt that may have run."""
        for second in (
            self.server(refusal("overloaded", "not-run")).address,
            format_address(allocate_address()),
        ):
            app = self.app(self.server(None).address, second)
            result = call(app, "GET", "/a/1")
            self.assertEqual("unknown", result.outcome, result)
            self.assertIn(result.reason, ("overloaded", "hop-unreachable"))

    def test_outcome_of_attempts_that_did_not_run(self):
        """Guards against ``unknown`` for a request that was certainly not run."""
        result = call(
            self.app(format_address(allocate_address()), format_address(allocate_address())),
            "GET",
            "/a/1",
        )
        self.assertEqual((502, "hop-unreachable", "not-run"), result[:3])

    def test_once_request_is_retried_only_after_not_run(self):
        """Guards against running a request twice because the result of its first run was lost."""
        success = build_response(b"done", ID)
        for script, expected, sent in (
            (refusal("overloaded", "not-run"), 200, 1),
            (refusal("target-lost", "unknown"), 502, 0),
            (None, 502, 0),
        ):
            first, second = self.server(script), self.server(success)
            app = self.app(first.address, second.address)
            self.assertEqual(expected, call(app, "POST", "/once/1").status)
            self.assertEqual(sent, len(second.requests))

    def test_malformed_outcome_of_hop_2(self):
        """Guards against taking a failure of hop 2 with a malformed outcome as ``not-run``."""
        for response in (refusal("overloaded", "maybe"), refusal("nonsense", "not-run")):
            result = call(self.app(self.server(response).address), "POST", "/once/1")
            self.assertEqual((502, "response-mismatched", "unknown"), result[:3])
