"""Load: all targets of a service reject half of what arrives, and its callers try again."""

import random
from bisect import bisect_right
from collections import Counter
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.forwarding import MAX_REFUSALS
from almondshore.mesh.node import MAX_SAVED_RETRY_SHARE, RETRY_BUDGET_SHARE
from almondshore.retries.budget import RetryBudget

# The bound that nodes share, as valpadana-mesh states it: a ratio of the requests, and a floor.
RATIO, FLOOR, WINDOW_S = 0.2, 56, 10.0
NODES = 16
# Requests a second to the service and to the one that calls it, and calls for each of the latter.
DIRECT_PER_S, CALLERS_PER_S, CALLS = 74, 246, 1.4
REJECTED = 0.55
SECONDS = 30


class Rejecting:
    """Plays the arrivals at the service, first ones and others, under the nodes' budgets."""

    def __init__(self, share):
        self.clock, self.rng = ManualClock(), random.Random(1)
        floor = FLOOR * share / NODES
        self.budgets = [
            RetryBudget(
                clock=self.clock,
                ratio=RATIO * share,
                min_per_second=floor / WINDOW_S,
                max_saved=max(1.0, floor * MAX_SAVED_RETRY_SHARE),
            )
            for _ in range(NODES)
        ]
        self.requests: list[float] = []
        self.extra: list[float] = []
        self.ends: Counter[bool] = Counter()

    def play(self):
        per_s = DIRECT_PER_S + CALLERS_PER_S
        for _ in range(per_s * SECONDS):
            self.clock.advance(timedelta(seconds=1 / per_s))
            if self.rng.random() < DIRECT_PER_S / per_s:
                self.send(repeated=False)
            else:
                self.call_through(self.rng.choice(self.budgets))
        return self

    def call_through(self, budget):
        """Send a request to the calling service, and once more if one of its calls fails."""
        budget.deposit("calling")
        if not self.run_caller(repeated=False) and budget.withdraw("calling"):
            self.run_caller(repeated=True)

    def run_caller(self, *, repeated):
        calls = int(CALLS) + (self.rng.random() < CALLS % 1)
        # All are made, also after one has failed.
        taken = [self.send(repeated=repeated) for _ in range(calls)]
        return all(taken)

    def send(self, *, repeated):
        """Send a request to the service; returns whether a target took it."""
        budget = self.rng.choice(self.budgets)
        budget.deposit("rejecting")
        now = self.clock.monotonic().total_seconds()
        self.requests.append(now)
        if repeated:
            self.extra.append(now)
        for refusals in range(MAX_REFUSALS + 1):
            if self.rng.random() >= REJECTED:
                self.ends[True] += 1
                return True
            if refusals == MAX_REFUSALS or not budget.withdraw("rejecting"):
                break
            self.extra.append(now)
        self.ends[False] += 1
        return False

    def worst(self):
        """Return the largest part of the bound that any window uses."""
        shares = []
        for start in self.extra:
            allowed = RATIO * _within(self.requests, start) + FLOOR
            shares.append(_within(self.extra, start) / allowed)
        return max(shares)


def _within(times, start):
    return bisect_right(times, start + WINDOW_S) - bisect_right(times, start)


class AllTargetsRejectTest(TestCase):
    def test_retries_stay_within_the_shared_bound(self):
        """Guards against nodes that spend all of the bound on retries of their own.

        Calls that a repeated request makes again count too. Seen on valpadana-mesh, scale-1 --seed
        77060107396, with a part of 0.75: 1,693 retries in 10 s, 1,589 were allowed.
        """
        self.assertTrue(Rejecting(RETRY_BUDGET_SHARE).play().worst() <= 1.0)

    def test_retries_serve_more_requests_than_none(self):
        """Guards against a budget so small that rejected requests are given up at once."""
        ends = Rejecting(RETRY_BUDGET_SHARE).play().ends
        self.assertTrue(ends[True] / sum(ends.values()) > 1 - REJECTED + 0.04, ends)
