"""Bounded repetition of calls that the platform did not answer."""

from collections.abc import Callable
from datetime import timedelta

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.storage.port import RateLimited, Unavailable

ATTEMPTS = 4
FIRST_DELAY = timedelta(milliseconds=200)
# An operator waits for the command; beyond this an error is more useful.
MAX_DELAY = timedelta(seconds=5)


class Retrier:
    """Repeats calls; the calls must be safe to repeat.

    :ivar wait: waits for a duration
    """

    def __init__(self, *, wait: Callable[[timedelta], None]):
        self.wait = wait

    def __call__(self, call: Callable[[], Result]) -> Result:
        """Call until there is an answer, at most ``ATTEMPTS`` times."""
        delay = FIRST_DELAY
        for _ in range(ATTEMPTS - 1):
            result = call()
            if is_successful(result):
                return result
            match result.failure():
                case Unavailable():
                    self.wait(delay)
                case RateLimited(retry_after):
                    self.wait(min(retry_after, MAX_DELAY))
                case _:
                    return result
            delay *= 2
        return call()
