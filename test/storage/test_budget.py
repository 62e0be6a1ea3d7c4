"""Tests of the client-side call budget."""

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.storage.budget import (
    NODE_RATES,
    RELAY_RATES,
    BudgetedPlatform,
    CallBucket,
    CallBudget,
    Rate,
    Rates,
)
from almondshore.storage.port import BudgetExceeded
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

STEPS_MS = st.lists(st.integers(0, 5000), min_size=1, max_size=200)

SMALL_RATES = Rates(reads=Rate(1 / 60, 2), writes=None)


class BudgetTest(TestCase):
    @given(
        steps=STEPS_MS, per_second=st.sampled_from([1 / 60, 0.5, 2, 5]), burst=st.integers(1, 10)
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_no_window_has_more_calls_than_its_budget(self, steps, per_second, burst):
        """Guards against many callers in one process that together exceed its call budget."""
        clock = ManualClock()
        bucket = CallBucket(clock=clock, rate=Rate(per_second, burst))
        taken_at = []
        for step in steps:
            clock.advance(timedelta(milliseconds=step))
            for _ in range(burst + 2):
                if bucket.take() is None:
                    taken_at.append(clock.monotonic().total_seconds())
        for first, start in enumerate(taken_at):
            for last in range(first, len(taken_at)):
                allowed = burst + (taken_at[last] - start) * per_second
                self.assertTrue(last - first + 1 <= allowed + 1e-6)

    @given(steps=STEPS_MS)
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_the_stated_wait_is_enough(self, steps):
        """Guards against callers that wait for the returned time and are refused again."""
        clock = ManualClock()
        bucket = CallBucket(clock=clock, rate=Rate(0.7, 3))
        for step in steps:
            clock.advance(timedelta(milliseconds=step))
            wait = bucket.take()
            if wait is not None:
                clock.advance(wait + timedelta(microseconds=2))
                self.assertIsNone(bucket.take())

    def test_reads_do_not_use_the_budget_of_writes(self):
        """Guards against many reads that prevent lease renewals."""
        clock = ManualClock()
        store = ObjectStore(clock=clock)
        budget = CallBudget(clock=clock, reads=Rate(1, 2), writes=Rate(1, 1))
        platform = BudgetedPlatform(inner=MemoryPlatform(store=store), budget=budget)
        for call in (platform.get, platform.list, platform.get, platform.list):
            call("k")
        self.assertEqual(
            BudgetExceeded(timedelta(seconds=1)), platform.watch("k", 0, timedelta()).failure()
        )
        self.assertTrue(is_successful(platform.create("k", b"v", "w")))
        self.assertIsInstance(platform.update("k", b"v", 1, "w2").failure(), BudgetExceeded)
        self.assertEqual((2, 1), (store.counts["read"], store.counts["write"]))

    def test_a_change_of_role_grants_no_tokens(self):
        """Guards against a node that exceeds its budget by becoming a relay and a node again."""
        clock = ManualClock()
        store = ObjectStore(clock=clock, reads_per_second=3)
        budget = CallBudget(clock=clock, **SMALL_RATES._asdict())
        platform = BudgetedPlatform(inner=MemoryPlatform(store=store), budget=budget)
        platform.get("k")
        platform.create("k", b"v", "w")
        for rates in (RELAY_RATES, SMALL_RATES) * 20:
            budget.set_rates(rates)
            self.assertIsInstance(platform.get("k").failure(), BudgetExceeded)
            self.assertIsInstance(platform.create("k", b"v", "w").failure(), BudgetExceeded)
        budget.set_rates(RELAY_RATES)
        clock.advance(timedelta(seconds=1))
        allowed = [is_successful(platform.get("k")) for _ in range(6)]
        self.assertEqual([True] * 3 + [False] * 3, allowed)
        budget.set_rates(SMALL_RATES)
        clock.advance(timedelta(milliseconds=900))
        self.assertIsInstance(platform.get("k").failure(), BudgetExceeded)
        self.assertEqual((4, 1, 1), tuple(store.counts.values()))

    def test_an_ordinary_node_can_take_a_lease_at_its_second_try(self):
        """Guards against a zone that stays without a relay after its only relay is gone.

        A first attempt that finds the lease held takes one call; the second one takes two more.
        """
        clock = ManualClock()
        budget = CallBudget(clock=clock, **NODE_RATES._asdict())
        platform = BudgetedPlatform(
            inner=MemoryPlatform(store=ObjectStore(clock=clock)), budget=budget
        )
        platform.get("lease")
        platform.get("lease")
        self.assertTrue(is_successful(platform.create("lease", b"v", "w")))

    def test_a_rate_refusal_holds_further_calls(self):
        """Guards against nodes that keep calling a platform which is over its rate limit."""
        clock = ManualClock()
        store = ObjectStore(clock=clock, reads_per_second=1)
        budget = CallBudget(clock=clock, reads=Rate(10, 10), writes=Rate(1, 1))
        platform = BudgetedPlatform(inner=MemoryPlatform(store=store), budget=budget)
        errors = [type(platform.get("k").failure()).__name__ for _ in range(5)]
        self.assertEqual(["NotFound", "RateLimited"] + ["BudgetExceeded"] * 3, errors)
        self.assertEqual(1, store.counts["refused"])
        store.limits["read"] = 100
        clock.advance(timedelta(seconds=1))
        errors = [type(platform.get("k").failure()).__name__ for _ in range(3)]
        self.assertEqual(["NotFound"] + ["BudgetExceeded"] * 2, errors)
