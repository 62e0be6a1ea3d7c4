"""Tests of the retry decision and its budget."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import (
    FAILURE_PROPERTIES,
    Outcome,
    Reason,
    failure_body,
    make_failure,
)
from almondshore.retries.policy import Attempt, GiveUp, GiveUpReason, Retry, RetryPolicy

DEPTH = 7
DEADLINE = timedelta(days=1)


class PolicyHarness:
    def __init__(self):
        self.clock = ManualClock()
        self.budget = RetryBudget(clock=self.clock)
        self.policy = RetryPolicy(clock=self.clock, rng=random.Random(1), budget=self.budget)

    def decide(self, reason, retries=0, idempotent=False, outermost=True, deadline=DEADLINE):
        failure = make_failure(reason)
        return self.policy.decide(Attempt("s", failure, retries, idempotent, outermost, deadline))


def give_up_reason(decision):
    return decision.reason if isinstance(decision, GiveUp) else None


class DecisionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = PolicyHarness()

    def test_non_idempotent_request_is_retried_only_when_not_run(self):
        """Guards against a request that runs twice because its first response was lost."""
        for reason, properties in FAILURE_PROPERTIES.items():
            harness = PolicyHarness()
            retried = isinstance(harness.decide(reason), Retry)
            self.assertEqual(
                properties.retryable_elsewhere and properties.outcome is Outcome.NOT_RUN,
                retried,
                reason,
            )

    def test_idempotent_request_is_retried_after_a_lost_target(self):
        """Guards against a read that fails although other targets could serve it."""
        self.assertIsInstance(self.harness.decide(Reason.TARGET_LOST, idempotent=True), Retry)

    def test_refusals_that_hold_everywhere_are_final(self):
        """Guards against sending a request to one target after another that none will run."""
        for reason in (Reason.TENANT_LIMITED, Reason.CRASH_SUSPECTED, Reason.NO_ROUTE):
            self.assertEqual(
                GiveUpReason.FINAL, give_up_reason(self.harness.decide(reason, idempotent=True))
            )

    def test_maximum_number_and_deadline_limit_retries(self):
        """Guards against retries that continue after the caller has given up."""
        self.assertEqual(
            GiveUpReason.MAX_RETRIES, give_up_reason(self.harness.decide(Reason.DRAINING, 2))
        )
        late = self.harness.decide(Reason.DRAINING, deadline=timedelta(milliseconds=9))
        self.assertEqual(GiveUpReason.DEADLINE, give_up_reason(late))

    def test_delays_are_random(self):
        """Guards against retries after a common failure that all arrive at the same time."""
        delays = {self.harness.decide(Reason.DRAINING).delay for _ in range(3)}
        self.assertEqual(3, len(delays))

    def test_error_body_names_reason_and_outcome(self):
        """Guards against an error response that does not say if the request may be repeated."""
        failure = make_failure(Reason.OVERLOADED, retry_after=timedelta(milliseconds=250))
        body = failure_body(failure, "id-1")
        self.assertEqual(503, failure.status)
        self.assertEqual(("overloaded", "not-run"), (body["error"], body["outcome"]))
        self.assertEqual(250, body["retry_after_ms"])


class StormTest(TestCase):
    def storm(self, requests, outermost_only):
        """Send requests 1 ms apart through a chain of services whose last target always fails.

        :return: number of runs at the last target
        """
        harnesses = [PolicyHarness() for _ in range(DEPTH)]
        self.runs = 0
        for _ in range(requests):
            for harness in harnesses:
                harness.clock.advance(timedelta(milliseconds=1))
            self.call(harnesses, 0, outermost_only)
        return self.runs

    def call(self, harnesses, depth, outermost_only):
        if depth == DEPTH:
            self.runs += 1
            return
        outermost = depth == 0 or not outermost_only
        if outermost:
            harnesses[depth].policy.record_first_attempt("s")
        for retries in range(3):
            self.call(harnesses, depth + 1, outermost_only)
            decision = harnesses[depth].decide(Reason.TARGET_LOST, retries, True, outermost)
            if isinstance(decision, GiveUp):
                return

    def test_chain_does_not_multiply_retries(self):
        """Guards against retries at each hop, which turn a failure at depth 7 into 3^7 calls."""
        self.assertTrue(self.storm(5000, outermost_only=True) <= 5000 * 1.1 + 3 * 5 + 3)

    def test_budget_bounds_a_chain_that_loses_the_attempt_header(self):
        """Guards against services that do not pass the attempt header on."""
        self.assertTrue(self.storm(5000, outermost_only=False) <= 5000 * 1.1**DEPTH * 1.05)

    def test_saved_retries_are_bounded(self):
        """Guards against a burst of retries after hours without failures."""
        harness = PolicyHarness()
        for _ in range(100_000):
            harness.policy.record_first_attempt("s")
        harness.clock.advance(timedelta(hours=5))
        granted = sum(isinstance(harness.decide(Reason.DRAINING), Retry) for _ in range(1000))
        self.assertEqual(53, granted)

    def test_service_with_few_requests_may_retry(self):
        """Guards against a service with one request per second that never gets a retry."""
        self.assertIsInstance(PolicyHarness().decide(Reason.DRAINING), Retry)

    def test_services_have_budgets_of_their_own(self):
        """Guards against a failing service that uses up the retries of the others."""
        harness = PolicyHarness()
        for _ in range(10):
            harness.decide(Reason.DRAINING)
        self.assertTrue(harness.budget.withdraw("other"))
        harness.budget.keep({"other"})
        self.assertEqual({"other"}, set(harness.budget.balances))
