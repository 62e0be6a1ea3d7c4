"""Simulation of retries along a chain of calls whose last target always fails."""

import random
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import Reason, make_failure
from almondshore.retries.policy import Attempt, Retry, RetryPolicy

DEPTH = 7
REQUESTS = 5000
REQUEST_INTERVAL = timedelta(milliseconds=1)
DEADLINE = timedelta(days=1)


class Chain:
    """A chain of calls, with a retry policy at each hop.

    :ivar runs: number of requests that the last target has run
    """

    def __init__(self, *, forward_header: bool):
        """Create a chain.

        :param forward_header: whether the services forward the attempt header, so that only the
            outermost hop retries
        """
        self.forward_header = forward_header
        self.clock = ManualClock()
        self.policies = [
            RetryPolicy(
                clock=self.clock, rng=random.Random(depth), budget=RetryBudget(clock=self.clock)
            )
            for depth in range(DEPTH)
        ]
        self.runs = 0

    def run(self) -> float:
        """Send ``REQUESTS`` requests.

        :return: runs of the last target per request
        """
        for _ in range(REQUESTS):
            self.clock.advance(REQUEST_INTERVAL)
            self._call(0)
        return self.runs / REQUESTS

    def _call(self, depth: int) -> None:
        if depth == DEPTH:
            self.runs += 1
            return
        outermost = depth == 0 or not self.forward_header
        policy = self.policies[depth]
        if outermost:
            policy.record_first_attempt("s")
        failure = make_failure(Reason.TARGET_LOST)
        for retries in range(policy.max_retries + 1):
            self._call(depth + 1)
            attempt = Attempt("s", failure, retries, True, outermost, DEADLINE)
            if not isinstance(policy.decide(attempt), Retry):
                return


def runs_without_budget(retries: int) -> int:
    """Return the runs of the last target per request if every hop retries without a budget."""
    return (retries + 1) ** DEPTH
