"""Compares the results of the two versions of a rollout."""

import math
from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from almondshore.mesh.evidence import (
    BUCKETS_PER_DOUBLING,
    Histogram,
    RouteCounts,
    bucket_bound_ms,
)
from almondshore.mesh.peers import Evidence
from almondshore.moves.eprocess import (
    EProcess,
    OddsHypothesis,
    concurrent_log_ratios,
    known_rate_log_ratios,
)

# Upper bound of the probability that a version is found faulty that is worse than the old one only
# by what the hypotheses tolerate; for one that is as good it is far smaller.
FALSE_POSITIVE_RATE = 0.05
# Weight of the start of the tests at the last step of a rollout.
LAST_STEP_WEIGHT = 0.25
# Fewer bad results may be the doing of a single request or host.
MIN_BAD_RESULTS = 4
# The old version's results at the same time are the reference while there are at least as many as
# of the new one. Otherwise it is their rate in the last windows in which there were, or in all of
# the past.
REFERENCE_WINDOWS = 12
MIN_REFERENCE_RESULTS = 150
MIN_PAST_RESULTS = 40
# Bounds of a past rate of bad results.
MIN_PAST_RATE, MAX_PAST_RATE = 0.02, 0.9
# Rate of failures that is assumed while nothing is known of the old version.
ASSUMED_FAILURE_RATE = 0.03
# A request is slow if it takes longer than nearly all of the old version do, and several times as
# long as usual: hosts differ in speed, and their times vary by a factor of two.
SLOW_QUANTILE = 0.95
SLOW_BUCKETS_ABOVE_MEDIAN = 2 * BUCKETS_PER_DOUBLING
# Requests are given up a little earlier, when another target has answered them.
UNFINISHED_BUCKETS_BELOW_SLOW = BUCKETS_PER_DOUBLING // 2
# Windows in which the bad results of single targets are compared.
RECENT_WINDOWS = 8
# If the other targets have at least so many results, which are more likely at the usual rate of bad
# ones than at this share of the worst target's, the fault is that target's and not the version's.
MIN_OTHER_RESULTS = 5
OTHER_RATE_SHARE = 0.4


class Signal(StrEnum):
    """Kind of bad result that a test counts."""

    FAILED = "failed"
    SLOW = "were slow"


HYPOTHESES = {
    Signal.FAILED: OddsHypothesis(tolerance=1.5, odds_ratios=(4, 15, 100)),
    Signal.SLOW: OddsHypothesis(tolerance=2.5, odds_ratios=(12, 40)),
}

# Route of the tests of all routes together; the name of a route is not empty.
ALL_ROUTES = ""
CountsByRoute = dict[str, RouteCounts]
Key = tuple[Signal, str]


class Rate(NamedTuple):
    """Number of bad results among all."""

    bad: int = 0
    total: int = 0

    def plus(self, other: "Rate") -> "Rate":
        """Return the sum of two rates."""
        return Rate(self.bad + other.bad, self.total + other.total)


RatesByKey = dict[Key, Rate]


class VersionJudge:
    """Tests whether the new version of a rollout has more bad results than the old one.

    Each observation adds a window of results. A test compares the two versions on one route, or on
    all of them, in the same window, so that trouble which affects both does not count.

    :param version: the new version
    :param windows: expected number of observations; a test starts anew with each of them, so that
        good results of the past do not outweigh a fault that shows late
    :ivar seen: last counts of each target by route
    :ivar old_targets: targets of the old version
    :ivar recent: results of the new version by target, in the last windows
    :ivar references: results of the old version in the last windows in which it got most requests
    """

    def __init__(self, *, version: str, windows: int):
        self.version = version
        self.windows = windows
        self.seen: dict[str, CountsByRoute] = {}
        self.old_targets: set[str] = set()
        self.tests: dict[Key, EProcess] = {}
        self.recent: deque[dict[str, RatesByKey]] = deque(maxlen=RECENT_WINDOWS)
        self.references: deque[RatesByKey] = deque(maxlen=REFERENCE_WINDOWS)

    def observe(self, evidence: Iterable[Evidence]) -> str:
        """Add the results since the last observation.

        :return: description of the version's fault, empty if none is found
        """
        evidence = list(evidence)
        past = self._past_results(evidence)
        slow_buckets = {route: find_slow_bucket(counts) for route, counts in past.items()}
        new: dict[str, RatesByKey] = {}
        old: RatesByKey = {}
        for item in evidence:
            is_new = item.version == self.version
            if is_new or item.target in self.seen:
                rates = self._window(item, slow_buckets)
                add_rates(new.setdefault(item.target, {}) if is_new else old, rates)
            self.seen[item.target] = item.routes
        self.recent.append(new)
        self._update_tests(new.values(), old, past, slow_buckets)
        return self._find_fault()

    def start_last_step(self) -> None:
        """Expect faults that only show under load, as the new version gets all requests."""
        for test in self.tests.values():
            test.start_anew()

    def _past_results(self, evidence: list[Evidence]) -> CountsByRoute:
        """Return all results of the old version."""
        past: CountsByRoute = {}
        self.old_targets.update(item.target for item in evidence if item.version != self.version)
        latest = self.seen | {item.target: item.routes for item in evidence}
        for target in self.old_targets:
            for route, counts in latest[target].items():
                past.setdefault(route, RouteCounts()).add(counts)
        return past

    def _window(self, item: Evidence, slow_buckets: dict[str, int | None]) -> RatesByKey:
        """Return the results of a target since the last observation."""
        earlier = self.seen.get(item.target, {})
        rates: RatesByKey = {}
        for route, counts in item.routes.items():
            before = earlier.get(route)
            if before is None or not before.is_continued_by(counts):
                before = RouteCounts()
            rates[Signal.FAILED, route] = failed_since(before, counts)
            slow_bucket = slow_buckets.get(route)
            if slow_bucket is not None:
                rates[Signal.SLOW, route] = slow_since(before, counts, slow_bucket)
        return rates

    def _update_tests(
        self,
        new: Iterable[RatesByKey],
        old: RatesByKey,
        past: CountsByRoute,
        slow_buckets: dict[str, int | None],
    ) -> None:
        """Add a window to the tests of its routes, and to those of all routes."""
        results: RatesByKey = {}
        for rates in new:
            add_rates(results, rates)
        if _count(old) >= _count(results):
            self.references.append(old)
        totals: dict[Signal, list[float]] = {}
        for (signal, route), rate in results.items():
            if not rate.total:
                continue
            counts = past.get(route, RouteCounts())
            all_results = _all_results(signal, counts, slow_buckets.get(route))
            reference = self._reference_rate((signal, route), all_results)
            log_ratios = compare(signal, rate, old.get((signal, route), Rate()), reference)
            self._test(signal, route).update(log_ratios)
            total = totals.get(signal, [0.0] * len(log_ratios))
            totals[signal] = [left + right for left, right in zip(total, log_ratios, strict=True)]
        for signal, log_ratios in totals.items():
            self._test(signal, ALL_ROUTES).update(log_ratios)

    def _reference_rate(self, key: Key, all_results: Rate) -> float:
        """Return a rate of bad results of the old version, of late if enough are known."""
        lately = Rate()
        for window in self.references:
            lately = lately.plus(window.get(key, Rate()))
        if lately.total >= MIN_REFERENCE_RESULTS:
            return upper_rate(lately)
        return upper_rate(all_results)

    def _test(self, signal: Signal, route: str) -> EProcess:
        if (signal, route) not in self.tests:
            self.tests[signal, route] = EProcess(
                alternatives=len(HYPOTHESES[signal].odds_ratios),
                starts_each_window=self.windows,
                reserved_weight=LAST_STEP_WEIGHT,
            )
        return self.tests[signal, route]

    def _find_fault(self) -> str:
        for (signal, route), test in self.tests.items():
            if test.log_value() < self._threshold(route):
                continue
            rates = list(self._recent_rates(signal, route).values())
            bad, total = sum(rate.bad for rate in rates), sum(rate.total for rate in rates)
            if bad >= MIN_BAD_RESULTS and not is_of_one_target(rates, self._usual_rate(signal)):
                return f"{bad} of {total} recent requests {signal} on {route or 'all routes'}"
        return ""

    def _usual_rate(self, signal: Signal) -> float:
        """Return the rate of bad results of the old version on all routes."""
        usual = Rate()
        for window in self.references:
            for key, rate in window.items():
                usual = usual.plus(rate) if key[0] is signal else usual
        return upper_rate(usual)

    def _threshold(self, route: str) -> float:
        """Return the logarithm of the value at which a test finds a fault.

        The tests of all routes together share half of the false positive rate.
        """
        parts = 2 * len(Signal)
        if route != ALL_ROUTES:
            parts *= max(1, len({name for _, name in self.tests} - {ALL_ROUTES}))
        return math.log(parts / FALSE_POSITIVE_RATE)

    def _recent_rates(self, signal: Signal, route: str) -> dict[str, Rate]:
        """Return the results of the last windows by target."""
        rates: dict[str, Rate] = {}
        for window in self.recent:
            for target, by_key in window.items():
                for key, rate in by_key.items():
                    if key[0] is signal and route in (ALL_ROUTES, key[1]):
                        rates[target] = rates.get(target, Rate()).plus(rate)
        return rates


def compare(signal: Signal, new: Rate, old: Rate, reference: float) -> list[float]:
    """Return the log likelihood ratios of a window.

    :param reference: rate of bad results of the old version before
    """
    hypothesis = HYPOTHESES[signal]
    if old.total >= new.total:
        return concurrent_log_ratios(
            hypothesis, new=new.bad, old=old.bad, new_total=new.total, old_total=old.total
        )
    return known_rate_log_ratios(hypothesis, new=new.bad, new_total=new.total, rate=reference)


def failed_since(before: RouteCounts, after: RouteCounts) -> Rate:
    """Return the failures between two counts of a target.

    Requests that broke count as one: the death of a target breaks all that it runs.
    """
    uncounted = max(0, after.broken - before.broken - 1)
    return Rate(
        after.failures - before.failures - uncounted,
        after.requests - before.requests - uncounted,
    )


def slow_since(before: RouteCounts, after: RouteCounts, slow_bucket: int) -> Rate:
    """Return the slow requests between two counts of a target.

    :param slow_bucket: bucket from which on a time is slow
    """
    earlier, later = slow_requests(before, slow_bucket), slow_requests(after, slow_bucket)
    bad = max(0, later.bad - earlier.bad)
    return Rate(bad, max(bad, later.total - earlier.total))


def slow_requests(counts: RouteCounts, slow_bucket: int) -> Rate:
    """Return how many requests of all that have a time are slow.

    A request that runs, failed or was given up counts as slow if it has taken that long already;
    otherwise it is not known what it would take, and it is left out.
    """
    quick = sum(count for bucket, count in counts.times.items() if bucket < slow_bucket)
    slow = sum(
        count
        for times, least in (
            (counts.times, slow_bucket),
            (counts.running, slow_bucket),
            (counts.unfinished, slow_bucket - UNFINISHED_BUCKETS_BELOW_SLOW),
        )
        for bucket, count in times.items()
        if bucket >= least
    )
    return Rate(slow, slow + quick)


def _all_results(signal: Signal, counts: RouteCounts, slow_bucket: int | None) -> Rate:
    if signal is Signal.FAILED:
        return Rate(counts.failures, counts.requests)
    return slow_requests(counts, slow_bucket) if slow_bucket is not None else Rate()


def _count(rates: RatesByKey) -> int:
    return sum(rate.total for key, rate in rates.items() if key[0] is Signal.FAILED)


def add_rates(total: RatesByKey, part: RatesByKey) -> None:
    """Add rates to a total."""
    for key, rate in part.items():
        total[key] = total.get(key, Rate()).plus(rate)


def find_slow_bucket(past: RouteCounts) -> int | None:
    """Return the first bucket of slow times, None if the old version had too few results."""
    total = sum(past.times.values())
    if total < MIN_PAST_RESULTS:
        return None
    return max(
        _quantile_bucket(past.times, total * SLOW_QUANTILE) + 1,
        _quantile_bucket(past.times, total * 0.5) + SLOW_BUCKETS_ABOVE_MEDIAN,
    )


def upper_rate(rate: Rate) -> float:
    """Return an upper estimate of a rate of bad results; an assumed one if there are few."""
    if rate.total < MIN_PAST_RESULTS:
        return ASSUMED_FAILURE_RATE
    estimate = (rate.bad + math.sqrt(rate.bad + 1)) / rate.total
    return min(MAX_PAST_RATE, max(MIN_PAST_RATE, estimate))


def median_ms(times: Histogram) -> int:
    """Return an upper estimate of the median time in milliseconds, 0 without any."""
    if not times:
        return 0
    return int(bucket_bound_ms(_quantile_bucket(times, sum(times.values()) * 0.5)))


def is_of_one_target(rates: list[Rate], usual: float) -> bool:
    """Return whether the bad results are those of a single target.

    The results of the other targets decide whether they are more like the usual ones, or have a
    good part of the rate of the worst target.

    :param usual: rate of bad results of the old version
    """
    worst = max(rates, key=lambda rate: rate.bad)
    bad = sum(rate.bad for rate in rates) - worst.bad
    total = sum(rate.total for rate in rates) - worst.total
    if total < MIN_OTHER_RESULTS:
        return False
    part = OTHER_RATE_SHARE * worst.bad / worst.total
    if part <= usual:
        return False
    log_ratio = bad * math.log(part / usual)
    log_ratio += (total - bad) * (math.log1p(-part) - math.log1p(-usual))
    return log_ratio < 0.0


def _quantile_bucket(times: Histogram, rank: float) -> int:
    """Return the bucket that contains the result of a rank."""
    below = 0
    for bucket in sorted(times):
        below += times[bucket]
        if below >= rank:
            return bucket
    return max(times)
