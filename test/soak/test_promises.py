"""Tests of the soak's own checks: a broken promise must not pass unseen."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallResult
from almondshore.http.messages import Response
from soak.promises import Promises, Sent


class PromisesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.renew()

    def renew(self):
        self.clock = ManualClock()
        self.promises = Promises(clock=self.clock, drain=timedelta(seconds=2))
        self.sent = Sent("q1", "n1", "alpha", "beta", False)
        self.promises.sent["q1"] = self.sent

    def run_it(self, target="t1", service="beta", caller="alpha", request_id="q1"):
        self.promises.on_run(target, service, request_id, caller)

    def answer(self, status, body=b""):
        self.promises.on_result(
            self.sent, CallResult(Response(status, (), body), None, True, False)
        )

    def test_kept_promises_are_not_reported(self):
        """Guards against a check that fails on what is allowed."""
        self.run_it()
        self.answer(200, b"q1" * 50)
        self.answer(502)
        self.promises.check_recovery(60, 60)
        self.assertEqual([], self.promises.broken)

    def test_each_broken_promise_is_reported(self):
        """Guards against a soak that passes whatever happens."""
        cases = (
            lambda: self.run_it(request_id="q9"),
            lambda: self.run_it(service="alpha"),
            lambda: self.run_it(caller="beta"),
            lambda: self.answer(200, b"other"),
            lambda: self.answer(404),
            lambda: self.promises.check_recovery(30, 60),
            lambda: self.promises.check_in_force("n1", "/added", 404),
        )
        for case in cases:
            self.renew()
            case()
            self.assertEqual(1, len(self.promises.broken), self.promises.broken)

    def test_second_run_and_false_refusal(self):
        """Guards against a repeat of a non-idempotent request that goes unseen."""
        self.run_it()
        self.run_it()
        self.answer(503)
        self.assertEqual(2, len(self.promises.broken))
        self.renew()
        self.answer(503)
        self.run_it()
        self.assertEqual(1, len(self.promises.broken))

    def test_request_after_the_drain(self):
        """Guards against work for a leaving target that goes unseen."""
        self.promises.on_acknowledged("t1")
        self.clock.advance(timedelta(seconds=1.9))
        self.run_it()
        self.assertEqual([], self.promises.broken)
        self.clock.advance(timedelta(seconds=0.2))
        self.promises.sent["q2"] = self.sent._replace(request_id="q2")
        self.run_it(request_id="q2")
        self.assertEqual(1, len(self.promises.broken))
