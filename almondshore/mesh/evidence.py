"""Counts and failure rate of the requests that the local target ran."""

import math
from collections.abc import Hashable, Iterable
from datetime import timedelta
from typing import Annotated

import msgspec

from almondshore.core.clock import Clock

MILLISECOND = timedelta(milliseconds=1)
# Weight of the newest result in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.1
# A request that is abandoned after this multiple of its expected service time counts as
# unanswered. Service times vary by a factor of two around the expected one, and senders retry a
# request somewhat later than this.
UNANSWERED_FACTOR = 2.5
# Without new results the rate decays, so that a target which failed is tried again.
FAILURE_RATE_HALF_LIFE = timedelta(seconds=2)
# Number of routes with counts of their own; the others are counted together as OTHER_ROUTES.
MAX_ROUTES = 64
OTHER_ROUTES = "other"

# Times are counted in buckets; the bounds of two neighbours differ by a factor of 1.19.
BUCKETS_PER_DOUBLING = 4

Total = Annotated[int, msgspec.Meta(ge=0)]
# Counts by the bucket of their time.
Histogram = dict[int, Total]


def bucket_of(time: timedelta) -> int:
    """Return the number of the bucket of a time."""
    return math.ceil(math.log2(max(time, MILLISECOND) / MILLISECOND) * BUCKETS_PER_DOUBLING)


def bucket_bound_ms(bucket: int) -> float:
    """Return the longest time of a bucket in milliseconds."""
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class RouteCounts(msgspec.Struct):
    """Results on one route.

    :ivar requests: requests with a result
    :ivar failures: those that failed; ``broken`` of these have no response
    :ivar times: service times of successes after the slow start
    :ivar unfinished: requests after the slow start that failed, or were given up before they had a
        result, by their time until then
    :ivar running: requests that run now, by their time so far
    """

    requests: Total = 0
    failures: Total = 0
    broken: Total = 0
    times: Histogram = {}
    unfinished: Histogram = {}
    running: Histogram = {}

    def add(self, other: "RouteCounts") -> None:
        """Add other counts to these."""
        self.requests += other.requests
        self.failures += other.failures
        self.broken += other.broken
        for total, part in (
            (self.times, other.times),
            (self.unfinished, other.unfinished),
            (self.running, other.running),
        ):
            for bucket, count in part.items():
                total[bucket] = total.get(bucket, 0) + count

    def is_continued_by(self, later: "RouteCounts") -> bool:
        """Return whether later counts include these, rather than those of a new process."""
        return (
            later.requests >= self.requests
            and later.failures >= self.failures
            and later.broken >= self.broken
            and sum(later.unfinished.values()) >= sum(self.unfinished.values())
        )


def sum_counts(parts: Iterable[RouteCounts]) -> RouteCounts:
    """Return the sum of counts."""
    total = RouteCounts()
    for part in parts:
        total.add(part)
    return total


def _increment(histogram: Histogram, bucket: int) -> None:
    histogram[bucket] = histogram.get(bucket, 0) + 1


class ResultRecorder:
    """Counts results by route and tracks the recent failure rate.

    :ivar sent: requests sent to the target, whatever became of them
    :ivar running: route of each request that runs, and the monotonic time since which it does
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.sent = 0
        self.running: dict[Hashable, tuple[str, timedelta]] = {}
        self.routes: dict[str, RouteCounts] = {}
        self.last_failure_rate = 0.0
        self.rate_updated_at = clock.monotonic()

    def reset(self) -> None:
        """Discard all results, after another target has replaced the local one."""
        self.sent = 0
        self.running.clear()
        self.routes.clear()
        self.last_failure_rate = 0.0

    def record_sent(self, request: Hashable, route: str) -> None:
        """Count a request that is sent to the target."""
        self.sent += 1
        self.running.setdefault(request, (route, self.clock.monotonic()))

    def record_rejected(self, request: Hashable) -> None:
        """Note that the target did not run a request that was sent to it."""
        self.running.pop(request, None)

    def record(self, request: Hashable, *, ok: bool, warm: bool, broken: bool = False) -> None:
        """Count a request that the target ran.

        :param warm: whether the target was past its slow start
        :param broken: whether it failed without a response
        """
        if request not in self.running:
            # It was sent to another target, which the local one has replaced.
            return
        route, started_at = self.running.pop(request)
        took = self.clock.monotonic() - started_at
        counts = self._counts(route)
        counts.requests += 1
        counts.failures += not ok
        counts.broken += broken
        if warm:
            _increment(counts.times if ok else counts.unfinished, bucket_of(took))
        self._update_failure_rate(ok)

    def record_abandoned(
        self, request: Hashable, *, expected: timedelta | None, warm: bool
    ) -> None:
        """Count an abandoned request, as a failure if the target had ample time to answer it.

        It changes the failure rate, which is used to choose targets, but not the failures by route,
        by which versions are judged: the target may be slow for a reason other than its version.

        :param warm: whether the target was past its slow start
        :param expected: expected service time of its route, None before the first observation
        """
        if request not in self.running:
            return
        route, started_at = self.running.pop(request)
        took = self.clock.monotonic() - started_at
        if warm:
            _increment(self._counts(route).unfinished, bucket_of(took))
        if expected is not None and took >= expected * UNANSWERED_FACTOR:
            self._update_failure_rate(False)

    def snapshot(self, *, warm: bool) -> dict[str, RouteCounts]:
        """Return the counts by route, with the requests that run now.

        :param warm: whether the target is past its slow start
        """
        now = self.clock.monotonic()
        routes = {route: sum_counts([counts]) for route, counts in self.routes.items()}
        for route, started_at in self.running.values() if warm else ():
            counts = routes.get(route if route in self.routes else OTHER_ROUTES)
            if counts is not None:
                _increment(counts.running, bucket_of(now - started_at))
        return routes

    def failure_rate(self) -> float:
        """Return the recent share of failures, which decays while there are no results."""
        age = self.clock.monotonic() - self.rate_updated_at
        return self.last_failure_rate * 0.5 ** (age / FAILURE_RATE_HALF_LIFE)

    def _counts(self, route: str) -> RouteCounts:
        counts = self.routes.get(route)
        if counts is None:
            if len(self.routes) >= MAX_ROUTES:
                route = OTHER_ROUTES
            counts = self.routes.setdefault(route, RouteCounts())
        return counts

    def _update_failure_rate(self, ok: bool) -> None:
        self.last_failure_rate = self.failure_rate()
        self.last_failure_rate += ((not ok) - self.last_failure_rate) * FAILURE_RATE_WEIGHT
        self.rate_updated_at = self.clock.monotonic()
