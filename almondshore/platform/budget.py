"""Client-side budget of platform calls."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.platform.port import (
    BudgetExceeded,
    Platform,
    PlatformError,
    StoredObject,
    WatchResult,
)


class CallKind(StrEnum):
    """Kind of a platform call; a watch is a read."""

    READ = "read"
    WRITE = "write"


class Rate(NamedTuple):
    """Limit of a token bucket.

    :ivar per_second: tokens added each second
    :ivar burst: most tokens held, and the tokens held at first
    """

    per_second: float
    burst: float


class TokenBucket:
    """A token bucket on the given clock."""

    def __init__(self, *, clock: Clock, rate: Rate):
        self.clock = clock
        self.rate = rate
        self.tokens = rate.burst
        self.filled_at = clock.monotonic()

    def take(self) -> timedelta | None:
        """Take one token.

        :returns: None if a token was taken, else the time until one is there
        """
        now = self.clock.monotonic()
        added = (now - self.filled_at).total_seconds() * self.rate.per_second
        self.tokens = min(self.rate.burst, self.tokens + added)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return None
        return timedelta(seconds=(1 - self.tokens) / self.rate.per_second)


class CallBudget:
    """Token buckets for the reads and the writes of one process."""

    def __init__(self, *, clock: Clock, reads: Rate, writes: Rate):
        self.buckets = {
            CallKind.READ: TokenBucket(clock=clock, rate=reads),
            CallKind.WRITE: TokenBucket(clock=clock, rate=writes),
        }

    def take(self, kind: CallKind) -> Result[None, BudgetExceeded]:
        """Take a token for one call."""
        wait = self.buckets[kind].take()
        return Success(None) if wait is None else Failure(BudgetExceeded(wait))


class BudgetedPlatform(Platform):
    """Passes calls on to another platform client while the budget lasts."""

    def __init__(self, *, inner: Platform, budget: CallBudget):
        self.inner = inner
        self.budget = budget

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        taken = self.budget.take(CallKind.READ)
        return self.inner.get(key) if is_successful(taken) else taken

    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object that must not exist."""
        taken = self.budget.take(CallKind.WRITE)
        return self.inner.create(key, value, write_id) if is_successful(taken) else taken

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is the given one."""
        taken = self.budget.take(CallKind.WRITE)
        if not is_successful(taken):
            return taken
        return self.inner.update(key, value, revision, write_id)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        taken = self.budget.take(CallKind.READ)
        return self.inner.list(prefix) if is_successful(taken) else taken

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix."""
        taken = self.budget.take(CallKind.READ)
        return self.inner.watch(prefix, after, timeout) if is_successful(taken) else taken
