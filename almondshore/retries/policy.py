"""Decides whether a failed request is retried at another target."""

import random
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import FAILURE_PROPERTIES, Failure, Outcome

MAX_RETRIES = 2
# Upper bound of the random delay before the first retry; it doubles with each further retry.
BASE_DELAY = timedelta(milliseconds=5)
# With less time than this before the deadline, a retry would most likely be wasted work.
MIN_TIME_LEFT = timedelta(milliseconds=10)


class Attempt(NamedTuple):
    """A failed attempt of a request.

    :ivar retries: number of retries so far
    :ivar idempotent: whether the request may be run more than once
    :ivar outermost: whether this hop 1 is the first in the chain of calls, that is, the request
        arrived without an attempt header
    :ivar deadline: monotonic time after which the response is of no use
    """

    service: str
    failure: Failure
    retries: int
    idempotent: bool
    outermost: bool
    deadline: timedelta


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    INNER_HOP = "inner-hop"
    FINAL = "final"
    NOT_IDEMPOTENT = "not-idempotent"
    MAX_RETRIES = "max-retries"
    DEADLINE = "deadline"
    BUDGET = "budget"


class Retry(NamedTuple):
    """Send the request to another target after the delay."""

    delay: timedelta


class GiveUp(NamedTuple):
    """Return the failure to the caller."""

    reason: GiveUpReason


class RetryPolicy:
    """Allows retries only at the outermost hop 1, so that a chain of calls does not multiply them.

    The number of retries, the deadline and the retry budget of the service limit them too.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        budget: RetryBudget,
        max_retries: int = MAX_RETRIES,
        base_delay: timedelta = BASE_DELAY,
        min_time_left: timedelta = MIN_TIME_LEFT,
    ):
        self.clock = clock
        self.rng = rng
        self.budget = budget
        self.max_retries = max_retries
        self.base_delay = base_delay
        self.min_time_left = min_time_left

    def record_first_attempt(self, service: str) -> None:
        """Add a first attempt at the outermost hop 1 to the retry budget of its service."""
        self.budget.deposit(service)

    def decide(self, attempt: Attempt) -> Retry | GiveUp:
        """Decide on a failed attempt; the retry budget is charged only if it is retried."""
        if not attempt.outermost:
            return GiveUp(GiveUpReason.INNER_HOP)
        if not FAILURE_PROPERTIES[attempt.failure.reason].retryable_elsewhere:
            return GiveUp(GiveUpReason.FINAL)
        if attempt.failure.outcome is not Outcome.NOT_RUN and not attempt.idempotent:
            return GiveUp(GiveUpReason.NOT_IDEMPOTENT)
        if attempt.retries >= self.max_retries:
            return GiveUp(GiveUpReason.MAX_RETRIES)
        delay = self.base_delay * (self.rng.random() * 2**attempt.retries)
        if self.clock.monotonic() + delay + self.min_time_left > attempt.deadline:
            return GiveUp(GiveUpReason.DEADLINE)
        if not self.budget.withdraw(attempt.service):
            return GiveUp(GiveUpReason.BUDGET)
        return Retry(delay)
