"""Tests of retried platform calls."""

import random
from datetime import timedelta
from types import SimpleNamespace

from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.storage.budget import BudgetedPlatform, CallBudget, Rate
from almondshore.storage.port import BudgetExceeded, Conflict, RateLimited, Unavailable
from almondshore.storage.retry import RetryingPlatform, RetryPolicy
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

DOWN = Failure(Unavailable("down"))
LIMITED = Failure(RateLimited(timedelta(seconds=1)))


class RetryTest(TestCase):
    def test_each_attempt_takes_a_token(self):
        """Guards against retries that bypass the budget when all callers fail at once."""
        clock, rng = ManualClock(), random.Random(1)
        store = ObjectStore(clock=clock, reads_per_second=1)
        budget = CallBudget(clock=clock, reads=Rate(1, 5), writes=Rate(1, 5))
        inner = BudgetedPlatform(inner=MemoryPlatform(store=store), budget=budget)
        platform = RetryingPlatform(inner=inner, clock=clock, rng=rng, sleep=clock.advance)
        for _ in range(200):
            platform.get("k")
        allowed = 5 + clock.monotonic().total_seconds()
        self.assertTrue(store.counts["read"] + store.counts["refused"] <= allowed)
        self.assertTrue(store.counts["refused"] >= 1)

    def call(self, *results, seed=1, policy=RetryPolicy()):  # noqa: B008
        """Read an object from a platform that returns ``results`` in turn.

        :return: the final result, the delays between attempts, the number of results not used
        """
        clock, waits, left = ManualClock(), [], list(results)

        def sleep(wait):
            waits.append(wait)
            clock.advance(wait)

        platform = RetryingPlatform(
            inner=SimpleNamespace(get=lambda key: left.pop(0)),
            clock=clock,
            rng=random.Random(seed),
            sleep=sleep,
            policy=policy,
        )
        return platform.get("k"), waits, len(left)

    def test_retries_are_bounded_in_number(self):
        """Guards against retries that multiply the load of an outage."""
        result, waits, left = self.call(DOWN, DOWN, DOWN, Success("late"))
        self.assertEqual((DOWN, 2, 1), (result, len(waits), left))
        self.assertEqual(Success("v"), self.call(DOWN, Success("v"))[0])

    def test_refusals_that_would_recur_are_not_retried(self):
        """Guards against calls spent on a conflict, or on a budget that is exhausted."""
        for error in (Conflict("k", None), BudgetExceeded(timedelta(seconds=1))):
            self.assertEqual((Failure(error), [], 1), self.call(Failure(error), Success("v")))

    def test_waits_spread_over_the_whole_interval(self):
        """Guards against nodes that retry at the same time after a common failure."""
        waits = [self.call(DOWN, DOWN, Success("v"), seed=seed)[1] for seed in range(400)]
        for index, bound_ms in enumerate((100, 200)):
            shares = [wait[index] / timedelta(milliseconds=bound_ms) for wait in waits]
            quarters = [sum(low <= 4 * share < low + 1 for share in shares) for low in range(4)]
            self.assertEqual(400, sum(quarters))
            self.assertTrue(min(quarters) > 60, quarters)

    def test_a_rate_refusal_is_retried_after_its_delay_within_the_total(self):
        """Guards against retries before ``retry_after``, and against callers blocked too long."""
        result, waits, _ = self.call(LIMITED, Success("v"))
        self.assertEqual(Success("v"), result)
        self.assertTrue(waits[0] >= timedelta(seconds=1))
        short = RetryPolicy(total=timedelta(milliseconds=900))
        self.assertEqual((LIMITED, [], 1), self.call(LIMITED, Success("v"), policy=short))
