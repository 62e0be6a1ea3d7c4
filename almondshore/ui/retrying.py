"""Retries of platform calls, with a limited number of attempts."""

from collections.abc import Callable
from datetime import timedelta

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.storage.port import RateLimited, Unavailable

MAX_ATTEMPTS = 4
FIRST_DELAY = timedelta(milliseconds=200)
# Limits the delay that the platform asks for: an error helps a waiting operator more than a longer
# delay.
MAX_DELAY = timedelta(seconds=5)


class Retrier:
    """Retries platform calls that got no response or were rate limited.

    Only for calls that are safe to repeat. The delay doubles with each attempt; a rate-limited call
    waits as long as the platform asks, up to ``MAX_DELAY``.

    :ivar wait: sleeps for a duration
    """

    def __init__(self, *, wait: Callable[[timedelta], None]):
        self.wait = wait

    def __call__(self, call: Callable[[], Result]) -> Result:
        """Call until the platform responds, at most ``MAX_ATTEMPTS`` times.

        :return: the last result
        """
        delay = FIRST_DELAY
        for _ in range(MAX_ATTEMPTS - 1):
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
