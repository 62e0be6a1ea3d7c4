"""Admission control for snapshots, so that a herd of returning nodes is served in turn."""

import random
from datetime import timedelta

from almondshore.core.clock import Clock

SNAPSHOTS_PER_SECOND = 50
MAX_RETRY_AFTER = timedelta(seconds=5)


class SnapshotAdmission:
    """A token bucket of snapshots; tells those it refuses when to return.

    Refused callers are spread over the time that serving all of them takes, with full jitter and
    at most ``max_retry_after``, so that they do not return together.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        rate: float = SNAPSHOTS_PER_SECOND,
        max_retry_after: timedelta = MAX_RETRY_AFTER,
    ):
        self.clock = clock
        self.rng = rng
        self.rate = rate
        self.max_retry_after = max_retry_after
        self.tokens = rate
        self.refused = 0
        self.refilled = clock.monotonic()

    def admit(self) -> timedelta | None:
        """Take a token.

        :returns: None if admitted, else the time after which the caller may ask again
        """
        now = self.clock.monotonic()
        elapsed = (now - self.refilled).total_seconds()
        self.refilled = now
        self.tokens = min(self.rate, self.tokens + elapsed * self.rate)
        if elapsed > 0:
            self.refused = max(0, self.refused - int(elapsed * self.rate))
        if self.tokens >= 1:
            self.tokens -= 1
            return None
        self.refused += 1
        window = min(self.max_retry_after, timedelta(seconds=1 + self.refused / self.rate))
        return window * self.rng.uniform(0.1, 1)
