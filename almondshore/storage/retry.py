"""Retries of platform calls with full jitter."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.storage.port import (
    Platform,
    PlatformError,
    RateLimited,
    StoredObject,
    Unavailable,
    WatchResult,
)

T = TypeVar("T")


class RetryPolicy(NamedTuple):
    """Bounds of the retries of one call.

    :ivar attempts: calls made at most, the first one included
    :ivar base: upper bound of the first wait, doubled for each further one
    :ivar cap: upper bound of any wait
    :ivar total: no retry starts later than this after the first attempt
    """

    attempts: int = 3
    base: timedelta = timedelta(milliseconds=100)
    cap: timedelta = timedelta(seconds=2)
    total: timedelta = timedelta(seconds=5)


DEFAULT_POLICY = RetryPolicy()


class RetryingPlatform(Platform):
    """Repeats calls that got no answer or a rate refusal.

    A repeated write carries the same write id, so a write whose answer was lost succeeds when it
    is repeated. A call over the client's budget is not repeated, nor is a watch, whose caller
    starts it again anyway. Put the budget inside, so that each attempt takes its token.

    :param sleep: waits for a duration
    """

    def __init__(
        self,
        *,
        inner: Platform,
        clock: Clock,
        rng: random.Random,
        sleep: Callable[[timedelta], None],
        policy: RetryPolicy = DEFAULT_POLICY,
    ):
        self.inner = inner
        self.clock = clock
        self.rng = rng
        self.sleep = sleep
        self.policy = policy

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self._retry(lambda: self.inner.get(key))

    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object that must not exist."""
        return self._retry(lambda: self.inner.create(key, value, write_id))

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is the given one."""
        return self._retry(lambda: self.inner.update(key, value, revision, write_id))

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        return self._retry(lambda: self.inner.list(prefix))

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix, without a retry."""
        return self.inner.watch(prefix, after, timeout)

    def _retry(self, action: Callable[[], Result[T, PlatformError]]) -> Result[T, PlatformError]:
        give_up_at = self.clock.monotonic() + self.policy.total
        result = action()
        for attempt in range(self.policy.attempts - 1):
            wait = self._wait(attempt, result)
            if wait is None or self.clock.monotonic() + wait > give_up_at:
                break
            self.sleep(wait)
            result = action()
        return result

    def _wait(self, attempt: int, result: Result[T, PlatformError]) -> timedelta | None:
        """Return how long to wait before the next attempt, or None if there is to be none."""
        if is_successful(result):
            return None
        error = result.failure()
        if not isinstance(error, Unavailable | RateLimited):
            return None
        bound = min(self.policy.cap, self.policy.base * 2**attempt)
        jitter = bound * self.rng.random()
        return jitter + error.retry_after if isinstance(error, RateLimited) else jitter
