"""Client-side budget of platform calls."""

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result

from almondshore.core.clock import Clock
from almondshore.core.token_bucket import TokenBucket
from almondshore.storage.port import (
    BudgetExceeded,
    Platform,
    PlatformError,
    RateLimited,
    StoredObject,
    WatchResult,
)

T = TypeVar("T")


class CallKind(StrEnum):
    """Kind of a platform call; a watch is a read."""

    READ = "read"
    WRITE = "write"


class Rate(NamedTuple):
    """Limit of a token bucket.

    :ivar per_second: tokens added each second, more than 0
    :ivar burst: capacity of the bucket, which starts full
    """

    per_second: float
    burst: float


class Rates(NamedTuple):
    """Limits on the platform calls of a process.

    :ivar writes: None if writes share the bucket of the reads
    """

    reads: Rate
    writes: Rate | None


RELAY_RATES = Rates(reads=Rate(5, 5), writes=Rate(2, 2))
# Taking a lease needs 2 calls; with a burst of 2, a node whose first attempt found the lease held
# could never make both. 19,000 nodes without any relay make at most 950 calls a second.
NODE_RATES = Rates(reads=Rate(1 / 20, 6), writes=None)


class CallBucket:
    """A token bucket for calls on the given clock, which can be suspended.

    :ivar bucket: during a suspension it is refilled up to the end of the suspension
    """

    def __init__(self, *, clock: Clock, rate: Rate):
        self.clock = clock
        self.bucket = TokenBucket(rate=rate.per_second, burst=rate.burst, now_s=self._now_s())

    def take(self) -> timedelta | None:
        """Take one token.

        :return: None if a token was taken, else the time until one may be available
        """
        now_s = self._now_s()
        suspended_s = self.bucket.updated_s - now_s
        wait_s = suspended_s if suspended_s > 0 else self.bucket.take(now_s)
        return timedelta(seconds=wait_s) if wait_s else None

    def suspend(self, duration: timedelta) -> None:
        """Grant no tokens for a duration, and keep at most one of the accumulated tokens.

        Otherwise every client would send a full burst at the end of the suspension.
        """
        ends_s = (self.clock.monotonic() + duration).total_seconds()
        self.bucket.updated_s = max(self.bucket.updated_s, ends_s)
        self.bucket.tokens = min(self.bucket.tokens, 1.0)

    def with_rate(self, rate: Rate) -> "CallBucket":
        """Return a bucket of another rate with the tokens and the suspension of this one."""
        self.bucket.refill(self._now_s())
        changed = CallBucket(clock=self.clock, rate=rate)
        changed.bucket.tokens = min(rate.burst, self.bucket.tokens)
        changed.bucket.updated_s = self.bucket.updated_s
        return changed

    def _now_s(self) -> float:
        return self.clock.monotonic().total_seconds()


class CallBudget:
    """Token buckets for the reads and the writes of one process."""

    def __init__(self, *, clock: Clock, reads: Rate, writes: Rate | None):
        read_bucket = CallBucket(clock=clock, rate=reads)
        write_bucket = CallBucket(clock=clock, rate=writes) if writes else read_bucket
        self.buckets = {CallKind.READ: read_bucket, CallKind.WRITE: write_bucket}

    def set_rates(self, rates: Rates) -> None:
        """Change the limits, e.g. when a node becomes a relay; keeps tokens and suspensions."""
        reads = self.buckets[CallKind.READ].with_rate(rates.reads)
        writes = self.buckets[CallKind.WRITE].with_rate(rates.writes) if rates.writes else reads
        self.buckets = {CallKind.READ: reads, CallKind.WRITE: writes}

    def call(
        self, kind: CallKind, action: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        """Make a call if a token is available, else fail with ``BudgetExceeded``.

        A call that fails with ``RateLimited`` suspends calls of its kind for ``retry_after``.
        """
        wait = self.buckets[kind].take()
        if wait is not None:
            return Failure(BudgetExceeded(wait))
        result = action()
        if not is_successful(result) and isinstance(result.failure(), RateLimited):
            self.buckets[kind].suspend(result.failure().retry_after)
        return result


class BudgetedPlatform(Platform):
    """Platform client that limits the calls to another client by a budget."""

    def __init__(self, *, inner: Platform, budget: CallBudget):
        self.inner = inner
        self.budget = budget

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self.budget.call(CallKind.READ, lambda: self.inner.get(key))

    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object that must not exist."""
        return self.budget.call(CallKind.WRITE, lambda: self.inner.create(key, value, write_id))

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is the given one."""
        return self.budget.call(
            CallKind.WRITE, lambda: self.inner.update(key, value, revision, write_id)
        )

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        return self.budget.call(CallKind.READ, lambda: self.inner.list(prefix))

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix."""
        return self.budget.call(CallKind.READ, lambda: self.inner.watch(prefix, after, timeout))
