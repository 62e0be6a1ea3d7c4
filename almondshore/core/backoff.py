"""Exponential backoff with full jitter."""

import random
from datetime import timedelta

BASE_DELAY = timedelta(seconds=0.2)
MAX_DELAY = timedelta(seconds=5)
# Bounds the exponent, so that a long run of failures cannot overflow the timedelta.
MAX_DOUBLINGS = 16


def full_jitter(
    rng: random.Random, attempt: int, *, base: timedelta = BASE_DELAY, cap: timedelta = MAX_DELAY
) -> timedelta:
    """Return a random delay of up to ``base * 2**attempt``, at most ``cap``.

    :param attempt: number of failures so far, from 0
    """
    return min(cap, base * 2 ** min(attempt, MAX_DOUBLINGS)) * rng.random()
