"""Counts the requests that reach the targets of a service in a rollout."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.mesh.peers import Evidence

ZERO = timedelta()
# Time over which the recent rate is measured, and the least of it that gives a rate.
RATE_WINDOW = timedelta(seconds=3)
MIN_RATE_WINDOW = timedelta(seconds=0.7)
# Requests of the new version that are needed to tell from them how many are sent in all.
MIN_NEW_ARRIVALS = 30


class Arrivals(NamedTuple):
    """Requests that reached targets since the order.

    :ivar new: those that reached the new version
    :ivar total: those that reached either version, as far as they were counted
    :ivar counted_for: time over which they were counted
    :ivar rate: requests per second at both versions, lately; 0 if it is not known yet
    :ivar full_rate: requests per second that the new version is expected to get as the only one,
        which is more than ``rate`` if the old one does not take all that are sent
    """

    new: int = 0
    total: int = 0
    counted_for: timedelta = ZERO
    rate: float = 0.0
    full_rate: float = 0.0

    def projected(self, elapsed: timedelta, remaining: timedelta) -> float:
        """Return how many requests both versions are expected to get by the deadline."""
        counted_s = self.counted_for.total_seconds()
        mean_rate = self.total / counted_s if counted_s else self.rate
        not_counted = max(ZERO, elapsed - self.counted_for)
        # A burst may be over before the deadline.
        future = min(self.rate, mean_rate) * remaining.total_seconds()
        return self.total + mean_rate * not_counted.total_seconds() + future


class ArrivalMeter:
    """Adds up the requests that nodes report as sent to their targets.

    :param version: the new version
    :ivar shares_s: sum of the shares of the new version over the seconds observed
    """

    def __init__(self, *, version: str):
        self.version = version
        self.sent: dict[str, int] = {}
        self.new = 0
        self.total = 0
        self.shares_s = 0.0
        self.started_at: timedelta | None = None
        self.observed_at = ZERO
        self.samples: deque[tuple[timedelta, int]] = deque()

    def observe(self, evidence: Iterable[Evidence], *, share: float, now: timedelta) -> Arrivals:
        """Add the requests since the last observation.

        :param share: share of the requests that the new version has been getting
        """
        if self.started_at is None:
            self.started_at = self.observed_at = now
        for item in evidence:
            self._add(item)
        self.shares_s += share * (now - self.observed_at).total_seconds()
        self.observed_at = now
        self.samples.append((now, self.total))
        while now - self.samples[0][0] > RATE_WINDOW and len(self.samples) > 2:
            self.samples.popleft()
        rate, counted_for = self._rate(), now - self.started_at
        mean_rate = self.total / counted_for.total_seconds() if rate else 0.0
        full_rate = max(rate, mean_rate, self._offered_rate())
        return Arrivals(self.new, self.total, counted_for, rate, full_rate)

    def _add(self, item: Evidence) -> None:
        earlier = self.sent.get(item.target)
        is_new = item.version == self.version
        if earlier is None:
            # Targets of the new version have got no requests from before the order.
            added = item.sent if is_new else 0
        else:
            added = item.sent - earlier if item.sent >= earlier else item.sent
        self.sent[item.target] = item.sent
        self.total += added
        if is_new:
            self.new += added

    def _rate(self) -> float:
        (since, before), (now, total) = self.samples[0], self.samples[-1]
        span = now - since
        return (total - before) / span.total_seconds() if span >= MIN_RATE_WINDOW else 0.0

    def _offered_rate(self) -> float:
        """Return the requests per second that senders have, 0 if that is not known."""
        if self.new < MIN_NEW_ARRIVALS or not self.shares_s:
            return 0.0
        return self.new / self.shares_s
