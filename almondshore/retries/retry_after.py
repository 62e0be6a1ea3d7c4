"""When a caller whose request was refused should return."""

import random
from datetime import timedelta

ZERO = timedelta()
# Time until another target may be found if none is known.
NO_TARGET_RETRY_AFTER = timedelta(milliseconds=250)
MIN_RETRY_AFTER = timedelta(milliseconds=50)
# The retry time is at most this share of the time left until the caller's deadline.
DEADLINE_SHARE = 0.3
# A caller returns within this share of the time in which its request can still be on time: the
# rest is for its wait in the queue, where it comes before requests that arrived later.
ON_TIME_SHARE = 0.4
# Retry times are lengthened by a random share of up to this much, so that callers that were
# refused at the same moment do not all return at once.
JITTER = 0.5


def retry_after(
    *,
    rng: random.Random,
    stated: timedelta,
    slack: timedelta | None,
    time_left: timedelta,
) -> timedelta:
    """Return the time, with jitter, after which a refused caller should return.

    A caller often returns only once. In an overload that lasts, a return that is still on time is
    worth more to it than a later one, and no less likely to be served.

    :param stated: time after which the target expects to have room, zero if not known
    :param slack: time for which the request may still wait and be on time; None if it is not load
        that keeps it from being served, so that an early return is of no use
    :param time_left: time until the caller's deadline
    """
    wait = max(MIN_RETRY_AFTER, stated or NO_TARGET_RETRY_AFTER)
    if slack is not None and slack * ON_TIME_SHARE >= MIN_RETRY_AFTER:
        wait = min(wait, slack * ON_TIME_SHARE)
    wait *= 1.0 + JITTER * rng.random()
    return min(wait, max(MIN_RETRY_AFTER, time_left * DEADLINE_SHARE))
