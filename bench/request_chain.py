"""Retries along a chain of calls whose last target always fails."""

import random
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import Reason, make_failure
from almondshore.retries.policy import Attempt, Retry, RetryPolicy

DEPTH = 7
REQUESTS = 5000
GAP = timedelta(milliseconds=1)
DEADLINE = timedelta(days=1)


class Chain:
    """Hops of a chain of calls, each with a retry policy.

    :ivar runs: runs of the last target
    """

    def __init__(self, *, header: bool):
        """Create a chain.

        :param header: whether the services pass the attempt header on
        """
        self.header = header
        self.clock = ManualClock()
        self.policies = [
            RetryPolicy(
                clock=self.clock, rng=random.Random(depth), budget=RetryBudget(clock=self.clock)
            )
            for depth in range(DEPTH)
        ]
        self.runs = 0

    def run(self) -> float:
        """Send the requests and return the runs of the last target for each."""
        for _ in range(REQUESTS):
            self.clock.advance(GAP)
            self._call(0)
        return self.runs / REQUESTS

    def _call(self, depth: int) -> None:
        if depth == DEPTH:
            self.runs += 1
            return
        outermost = depth == 0 or not self.header
        policy = self.policies[depth]
        if outermost:
            policy.record_first_attempt("s")
        failure = make_failure(Reason.TARGET_LOST)
        for retries in range(policy.max_retries + 1):
            self._call(depth + 1)
            attempt = Attempt("s", failure, retries, True, outermost, DEADLINE)
            if not isinstance(policy.decide(attempt), Retry):
                return


def unbounded_runs(retries: int) -> int:
    """Return the runs for each request if every hop retries without a budget."""
    return (retries + 1) ** DEPTH
