"""Admission control for snapshots: many nodes that reconnect at once are served in turn."""

import random
from datetime import timedelta

from almondshore.core.clock import Clock

SNAPSHOTS_PER_SECOND = 50
MAX_RETRY_AFTER = timedelta(seconds=5)


class SnapshotAdmission:
    """Token bucket for snapshots that gives refused callers a time to retry after.

    The retry delays are spread with jitter over the time that serving all refused callers takes,
    at most ``max_retry_after``, so that the callers do not retry at the same moment.

    :ivar rate: snapshots per second, and the capacity of the bucket
    :ivar refused: estimate of the refused callers that still wait to retry
    :ivar refilled: monotonic time of the last refill
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
        """Take a token if one is available.

        :return: None if the snapshot may be sent, else the delay before the caller may retry
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
