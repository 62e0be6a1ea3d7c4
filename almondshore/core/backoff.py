"""Exponential backoff with full jitter."""

import random
from datetime import timedelta

BASE = timedelta(seconds=0.2)
CAP = timedelta(seconds=5)
MAX_DOUBLINGS = 16


def full_jitter(
    rng: random.Random, attempt: int, *, base: timedelta = BASE, cap: timedelta = CAP
) -> timedelta:
    """Return a random delay of up to ``base * 2**attempt``, at most ``cap``.

    :param attempt: number of failures so far, from 0
    """
    return min(cap, base * 2 ** min(attempt, MAX_DOUBLINGS)) * rng.random()
