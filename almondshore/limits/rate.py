"""Limits on the number of requests per second that one target gets."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.token_bucket import TokenBucket

ZERO = timedelta()
# Requests that may start at once are those of this time, and at least one.
BURST_TIME = timedelta(milliseconds=250)
# Lower bound of a rate: without any requests the end of a limit would not be noticed.
MIN_RATE = 0.25
# Window in which the requests of a cold target are counted. It exceeds the second of the bound, as
# requests may reach the target closer together than they were sent.
COLD_WINDOW = timedelta(milliseconds=1100)


class ColdLimit(NamedTuple):
    """What a cold target may get.

    :ivar rate: requests per second
    :ivar burst: requests that may start at once, at least 1
    :ivar most: requests that may start within any ``COLD_WINDOW``
    :ivar left: time until the limit ends, None if it is not known
    """

    rate: float
    burst: float
    most: int
    left: timedelta | None = None


class RateLimit:
    """A token bucket without a limit until one is set, and a second one while the target is cold.

    A request may start when both allow it.

    :ivar stated: bucket of the stated limit, None without a limit
    :ivar cold_limit: returns the limit of a cold target, None while it is warm; None where targets
        have no such limit
    :ivar cold: bucket of that limit, None while the target is warm
    :ivar starts: times of the requests of the last ``COLD_WINDOW``, whatever the limit then was
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.stated: TokenBucket | None = None
        self.cold_limit: Callable[[], ColdLimit | None] | None = None
        self.cold: TokenBucket | None = None
        self.starts: deque[timedelta] = deque()

    def set_rate(self, rate: float | None) -> None:
        """Set or remove the stated limit; what may start at once is kept."""
        if rate is None:
            self.stated = None
            return
        rate = max(MIN_RATE, rate)
        burst = max(1.0, rate * BURST_TIME.total_seconds())
        now_s = self.clock.monotonic().total_seconds()
        if self.stated is None:
            self.stated = TokenBucket(rate=rate, burst=burst, now_s=now_s, tokens=0.0)
            return
        self.stated.refill(now_s)
        self.stated.change_limits(rate, burst)

    def effective_rate(self) -> float | None:
        """Return the lower one of the stated limit and that of a cold target."""
        self._current_cold_limit()
        return min(
            (bucket.rate for bucket in (self.stated, self.cold) if bucket is not None), default=None
        )

    def take(self) -> bool:
        """Count a request that starts, if it may; returns whether it may."""
        cold = self._current_cold_limit()
        if cold is not None and (self.cold.tokens < 1.0 or len(self.starts) >= cold.most):
            return False
        if self.stated is not None and self.stated.take(self.clock.monotonic().total_seconds()):
            return False
        self.record_start()
        return True

    def record_start(self) -> None:
        """Count a request that the target gets in any case, as a health check."""
        if self.cold_limit is not None:
            now = self.clock.monotonic()
            self._forget_old_starts(now)
            self.starts.append(now)
            if self.cold is not None:
                self.cold.tokens -= 1.0

    def wait(self, ahead: int = 0) -> timedelta:
        """Return the time until a request may start.

        :param ahead: requests that start before it
        """
        wait = ZERO
        if self.stated is not None:
            self.stated.refill(self.clock.monotonic().total_seconds())
            wait = timedelta(seconds=self.stated.wait_s(ahead + 1))
        cold = self._current_cold_limit()
        return wait if cold is None else max(wait, self._cold_wait(cold, ahead))

    def _cold_wait(self, cold: ColdLimit, ahead: int) -> timedelta:
        wait = timedelta(seconds=self.cold.wait_s(ahead + 1))
        excess = len(self.starts) + ahead + 1 - cold.most
        if excess > 0 and self.starts:
            last_to_pass = self.starts[min(excess, len(self.starts)) - 1]
            wait = max(wait, last_to_pass + COLD_WINDOW - self.clock.monotonic())
        return wait if cold.left is None else min(wait, cold.left)

    def _current_cold_limit(self) -> ColdLimit | None:
        """Return the limit of a cold target with its bucket refilled, None if there is none."""
        if self.cold_limit is None:
            return None
        cold = self.cold_limit()
        if cold is None:
            self.cold = None
            return None
        now = self.clock.monotonic()
        now_s = now.total_seconds()
        self._forget_old_starts(now)
        bucket = self.cold
        if bucket is None:
            # The target has become cold: nothing is saved up from before.
            self.cold = TokenBucket(rate=cold.rate, burst=cold.burst, now_s=now_s, tokens=0.0)
            return cold
        if bucket.rate != cold.rate or bucket.burst != cold.burst:
            bucket.change_limits(cold.rate, cold.burst)
        bucket.refill(now_s)
        return cold

    def _forget_old_starts(self, now: timedelta) -> None:
        oldest = now - COLD_WINDOW
        while self.starts and self.starts[0] <= oldest:
            self.starts.popleft()
