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
    """Limits on the retries of one call.

    :ivar attempts: maximum number of calls, including the first one
    :ivar base: upper bound of the first delay, doubled for each further one
    :ivar cap: upper bound of any delay before ``retry_after`` is added
    :ivar total: no retry starts later than this after the first attempt
    """

    attempts: int = 3
    base: timedelta = timedelta(milliseconds=100)
    cap: timedelta = timedelta(seconds=2)
    total: timedelta = timedelta(seconds=5)


DEFAULT_POLICY = RetryPolicy()


class RetryingPlatform(Platform):
    """Platform client that retries calls which fail with ``Unavailable`` or ``RateLimited``.

    A retried write has the same write id, so a write whose response was lost succeeds on the retry.
    A call over the client's budget is not retried, nor is a watch, whose caller starts it again
    anyway. The budget belongs to ``inner``, so that each attempt takes a token.

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
        """Wait for changes under a prefix, without retries."""
        return self.inner.watch(prefix, after, timeout)

    def _retry(self, action: Callable[[], Result[T, PlatformError]]) -> Result[T, PlatformError]:
        deadline = self.clock.monotonic() + self.policy.total
        result = action()
        for attempt in range(self.policy.attempts - 1):
            delay = self._retry_delay(attempt, result)
            if delay is None or self.clock.monotonic() + delay > deadline:
                break
            self.sleep(delay)
            result = action()
        return result

    def _retry_delay(self, attempt: int, result: Result[T, PlatformError]) -> timedelta | None:
        """Return the delay before the next attempt, or None if the call is not retried."""
        if is_successful(result):
            return None
        error = result.failure()
        if not isinstance(error, Unavailable | RateLimited):
            return None
        bound = min(self.policy.cap, self.policy.base * 2**attempt)
        jitter = bound * self.rng.random()
        return jitter + error.retry_after if isinstance(error, RateLimited) else jitter
