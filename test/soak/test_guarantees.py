"""Tests of the checks that the soak makes."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallResult
from almondshore.http.messages import Response
from soak.guarantees import GuaranteeChecker, SentRequest


class GuaranteeCheckerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reset_checker()

    def reset_checker(self):
        self.clock = ManualClock()
        self.checker = GuaranteeChecker(clock=self.clock, drain=timedelta(seconds=2))
        self.sent = SentRequest("q1", "n1", "alpha", "beta", False)
        self.checker.sent["q1"] = self.sent

    def record_run(self, target="t1", service="beta", caller="alpha", request_id="q1"):
        self.checker.on_run(target, service, request_id, caller)

    def record_response(self, status, body=b""):
        self.checker.on_result(self.sent, CallResult(Response(status, (), body), None, True, False))

    def test_allowed_results_are_not_reported(self):
        """Guards against a check that reports a request that ran once, or an allowed 502."""
        self.record_run()
        self.record_response(200, b"q1" * 50)
        self.record_response(502)
        self.checker.check_recovery(60, 60)
        self.checker.check_restored("n1", "t1", {"spec": {}})
        self.checker.check_log("n1", "time=0 event=node_started node=n1")
        self.assertEqual([], self.checker.violations)

    def test_each_violation_is_reported(self):
        """Guards against a check that overlooks a violation, so that the soak always passes."""
        cases = (
            lambda: self.record_run(request_id="q9"),
            lambda: self.record_run(service="alpha"),
            lambda: self.record_run(caller="beta"),
            lambda: self.record_response(200, b"other"),
            lambda: self.record_response(404),
            lambda: self.checker.check_recovery(30, 60),
            lambda: self.checker.check_exits("n1", [1]),
            lambda: self.checker.check_log("n1", "time=0 event=stream_handler_failed error=x"),
            lambda: self.checker.check_memory("n1", 151.0),
            lambda: self.checker.check_config_applied("n1", "/added", 404),
            lambda: self.checker.check_restored("n1", "t1", None),
        )
        for case in cases:
            self.reset_checker()
            case()
            self.assertEqual(1, len(self.checker.violations), self.checker.violations)

    def test_404_is_left_to_the_check_of_tenants_where_it_decides(self):
        """Guards against reporting 404 on a route that only some versions have."""
        self.sent = self.sent._replace(is_denial_checked=True)
        self.record_response(404)
        self.assertEqual([], self.checker.violations)

    def test_second_run_and_run_of_a_refused_request_are_reported(self):
        """Guards against overlooking a non-idempotent request that ran twice or though refused."""
        self.record_run()
        self.record_run()
        self.record_response(503)
        self.assertEqual(2, len(self.checker.violations))
        self.reset_checker()
        self.record_response(503)
        self.record_run()
        self.assertEqual(1, len(self.checker.violations))

    def test_request_after_the_drain_is_reported(self):
        """Guards against overlooking a request that reaches a target after its drain time."""
        self.checker.on_departure_acknowledged("t1")
        self.clock.advance(timedelta(seconds=1.9))
        self.record_run()
        self.assertEqual([], self.checker.violations)
        self.clock.advance(timedelta(seconds=0.2))
        self.checker.sent["q2"] = self.sent._replace(request_id="q2")
        self.record_run(request_id="q2")
        self.assertEqual(1, len(self.checker.violations))
