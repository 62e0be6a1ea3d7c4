"""Throttling of requests at their sender, by how many of them the targets accept."""

import random
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock

# Attempts and acceptances lose half of their weight in this time.
HALF_LIFE = timedelta(seconds=1)
# Requests that are sent for each one that is accepted; the sender refuses the rest. The excess
# shows when targets have room again.
SENT_PER_ACCEPTED = 2.0
# Attempts that a sender always makes, within the half-life, before it throttles.
FREE_ATTEMPTS = 4.0
# A refused request is sent to a further target only while at least this share of first attempts
# is accepted: below it, most further attempts are refused as well and load the links and hosts.
MIN_RETRIED_SHARE = 0.5
MAX_KEYS = 1024


class ThrottleKey(NamedTuple):
    """Requests that targets accept or refuse alike."""

    service: str
    route: str
    urgency: int


class _Counts:
    __slots__ = ("accepted", "attempts", "updated")

    def __init__(self, now: timedelta) -> None:
        self.attempts = self.accepted = 0.0
        self.updated = now


class SendThrottle:
    """Refuses requests at their sender while targets refuse most of them.

    A request that is refused by its target has crossed two hosts for nothing, and its body a link.

    :param rng: decides which requests are refused
    """

    def __init__(self, *, clock: Clock, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self.counts: dict[ThrottleKey, _Counts] = {}

    def allows(self, key: ThrottleKey) -> bool:
        """Return whether a request may be sent."""
        counts = self._decayed(key)
        if counts is None:
            return True
        excess = counts.attempts - FREE_ATTEMPTS - SENT_PER_ACCEPTED * counts.accepted
        return excess <= 0 or self.rng.random() >= excess / (counts.attempts + 1.0)

    def allows_further_attempt(self, key: ThrottleKey) -> bool:
        """Return whether a request that a target has refused may be sent to another one."""
        counts = self._decayed(key)
        if counts is None or counts.attempts < FREE_ATTEMPTS:
            return True
        return counts.accepted >= counts.attempts * MIN_RETRIED_SHARE

    def record(self, key: ThrottleKey, *, accepted: bool) -> None:
        """Record whether a request was accepted by the first target that it was sent to."""
        counts = self._decayed(key)
        if counts is None:
            if len(self.counts) >= MAX_KEYS:
                del self.counts[next(iter(self.counts))]
            counts = self.counts[key] = _Counts(self.clock.monotonic())
        counts.attempts += 1.0
        counts.accepted += accepted

    def _decayed(self, key: ThrottleKey) -> _Counts | None:
        counts = self.counts.get(key)
        if counts is not None:
            now = self.clock.monotonic()
            factor = 0.5 ** ((now - counts.updated) / HALF_LIFE)
            counts.attempts *= factor
            counts.accepted *= factor
            counts.updated = now
        return counts
