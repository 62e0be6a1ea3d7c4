"""Tests of the retry decision and its budget."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import KINDS, Outcome, Reason, failure_body, make_failure
from almondshore.retries.policy import Attempt, GiveUp, GiveUpReason, Retry, RetryPolicy

DEPTH = 7
DEADLINE = timedelta(days=1)


class Bed:
    def __init__(self):
        self.clock = ManualClock()
        self.budget = RetryBudget(clock=self.clock)
        self.policy = RetryPolicy(clock=self.clock, rng=random.Random(1), budget=self.budget)

    def decide(self, reason, retries=0, idempotent=False, outermost=True, deadline=DEADLINE):
        failure = make_failure(reason)
        return self.policy.decide(Attempt("s", failure, retries, idempotent, outermost, deadline))


def gave_up(answer):
    return answer.reason if isinstance(answer, GiveUp) else None


class DecisionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.bed = Bed()

    def test_non_idempotent_request_is_retried_only_when_not_run(self):
        """Guards against a push that runs twice because its first response was lost."""
        for reason, kind in KINDS.items():
            bed = Bed()
            retried = isinstance(bed.decide(reason), Retry)
            self.assertEqual(kind.elsewhere and kind.outcome is Outcome.NOT_RUN, retried, reason)

    def test_idempotent_request_is_retried_after_a_lost_target(self):
        """Guards against a read that fails although other targets are well."""
        self.assertIsInstance(self.bed.decide(Reason.TARGET_LOST, idempotent=True), Retry)

    def test_refusals_that_hold_everywhere_are_final(self):
        """Guards against a tenant over its limit, or a crash request, going round the targets."""
        for reason in (Reason.TENANT_LIMITED, Reason.CRASH_SUSPECTED, Reason.NO_ROUTE):
            self.assertEqual(GiveUpReason.FINAL, gave_up(self.bed.decide(reason, idempotent=True)))

    def test_number_and_deadline_bound_retries(self):
        """Guards against retries that go on after their caller has given up."""
        self.assertEqual(GiveUpReason.MAX_RETRIES, gave_up(self.bed.decide(Reason.DRAINING, 2)))
        late = self.bed.decide(Reason.DRAINING, deadline=timedelta(milliseconds=9))
        self.assertEqual(GiveUpReason.DEADLINE, gave_up(late))

    def test_delays_spread(self):
        """Guards against retries of one failure arriving at the same moment."""
        delays = {self.bed.decide(Reason.DRAINING).delay for _ in range(3)}
        self.assertEqual(3, len(delays))

    def test_error_body_names_reason_and_outcome(self):
        """Guards against a caller that cannot tell whether to resend."""
        failure = make_failure(Reason.OVERLOADED, retry_after=timedelta(milliseconds=250))
        body = failure_body(failure, "id-1")
        self.assertEqual(503, failure.status)
        self.assertEqual(("overloaded", "not-run"), (body["error"], body["outcome"]))
        self.assertEqual(250, body["retry_after_ms"])


class StormTest(TestCase):
    def storm(self, requests, outermost_only):
        """Send requests 1 ms apart along a chain whose last target always fails.

        :returns: runs of the last target
        """
        beds = [Bed() for _ in range(DEPTH)]
        self.runs = 0
        for _ in range(requests):
            for bed in beds:
                bed.clock.advance(timedelta(milliseconds=1))
            self.call(beds, 0, outermost_only)
        return self.runs

    def call(self, beds, depth, outermost_only):
        if depth == DEPTH:
            self.runs += 1
            return
        outermost = depth == 0 or not outermost_only
        if outermost:
            beds[depth].policy.record_first_attempt("s")
        for retries in range(3):
            self.call(beds, depth + 1, outermost_only)
            answer = beds[depth].decide(Reason.TARGET_LOST, retries, True, outermost)
            if isinstance(answer, GiveUp):
                return

    def test_chain_does_not_multiply_retries(self):
        """Guards against a failure at depth 7 that turns one call into 3 to the power of 7."""
        self.assertTrue(self.storm(5000, outermost_only=True) <= 5000 * 1.1 + 3 * 5 + 3)

    def test_budget_bounds_a_chain_that_loses_the_attempt_header(self):
        """Guards against services that do not pass the attempt header on."""
        self.assertTrue(self.storm(5000, outermost_only=False) <= 5000 * 1.1**DEPTH * 1.05)

    def test_quiet_period_saves_up_little(self):
        """Guards against a burst of retries after hours without failures."""
        bed = Bed()
        for _ in range(100_000):
            bed.policy.record_first_attempt("s")
        bed.clock.advance(timedelta(hours=5))
        granted = sum(isinstance(bed.decide(Reason.DRAINING), Retry) for _ in range(1000))
        self.assertEqual(53, granted)

    def test_quiet_service_may_retry(self):
        """Guards against a service with a call a second that never gets a retry."""
        self.assertIsInstance(Bed().decide(Reason.DRAINING), Retry)

    def test_services_have_budgets_of_their_own(self):
        """Guards against one failing service using up the retries of the others."""
        bed = Bed()
        for _ in range(10):
            bed.decide(Reason.DRAINING)
        self.assertTrue(bed.budget.withdraw("other"))
        bed.budget.keep({"other"})
        self.assertEqual({"other"}, set(bed.budget.balances))
