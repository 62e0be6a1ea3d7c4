"""Verdict on a version: comparison of its requests with those of the old version."""

import math
from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.messages import EvidenceRow
from almondshore.moves.controls import ControlBaseline, LoadBaseline, LoadComparison, SlotsInUse
from almondshore.moves.eprocess import (
    EProcess,
    OddsHypothesis,
    baseline_log_ratios,
    concurrent_log_ratios,
)
from almondshore.moves.evidence import BUCKET_COUNT

# Probability that a good version is rejected during a move, over all tests and all windows. The
# coordinator and the detectors of single nodes share it.
FALSE_POSITIVE_RATE = 0.001
COORDINATOR_ALPHA_SHARE = 0.8
LOCAL_ALPHA_SHARE = 0.2

ALL_ROUTES = "all routes"
MAX_ROUTES = 64

# A target runs about 10 requests at once. All of them break when it dies, so each counts one tenth.
BROKEN_WEIGHT = 0.1
SLOW_QUANTILE = 0.95
# Lower bound of the old version's past rate, used when the old version gets no requests.
MIN_BASELINE_RATE = 0.002
MIN_BASELINE_REQUESTS = 300
# If the old version gets less than this share of the requests, its past rate is used instead.
MIN_OLD_SHARE = 0.02


class FaultKind(StrEnum):
    """Kind of fault that a test counts; the value appears in evidence shown to operators."""

    ERRORS = "errors"
    BROKEN = "broken responses"
    SLOW = "slow responses"


HYPOTHESES = {
    FaultKind.ERRORS: OddsHypothesis(tolerance=1.5, odds_ratios=(4, 15, 100)),
    FaultKind.BROKEN: OddsHypothesis(tolerance=1.5, odds_ratios=(4, 15, 100)),
    # An odds ratio of 3 at the 95% quantile corresponds to a version that is about a third slower.
    FaultKind.SLOW: OddsHypothesis(tolerance=3.0, odds_ratios=(8, 25)),
}


# Most faults cause errors, so the tests of errors get half of the false positive rate.
FAULT_KIND_ALPHA_SHARES = {FaultKind.ERRORS: 0.5, FaultKind.BROKEN: 0.25, FaultKind.SLOW: 0.25}


class Regression(NamedTuple):
    """A detected regression: the new version is worse than the old one.

    :ivar window: number of the window in which a test reached its threshold
    :ivar evidence: counts and test value, for the operator
    """

    kind: FaultKind
    route: str
    window: int
    evidence: str


class RouteCounts:
    """Total counts of one version on one route."""

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.broken = 0
        self.buckets = [0] * BUCKET_COUNT

    def add(self, row: EvidenceRow) -> None:
        """Add the counts of a window on this route."""
        self.requests += row.requests
        self.errors += row.errors
        self.broken += row.broken
        self.buckets = list(map(int.__add__, self.buckets, row.latency_buckets))


class MoveVerdict:
    """Tests one new version against the old one, on each route and on all routes together.

    Half of the false positive rate is for the tests over all routes, the other half is divided
    among the routes. Each half is divided among the fault kinds by ``FAULT_KIND_ALPHA_SHARES``.

    :ivar thresholds: logarithm of the e-value at which a test detects a regression, by fault kind
        and whether the test is for a single route
    """

    def __init__(self, *, service: str, old: str, new: str, routes: int, alpha: float):
        self.service = service
        self.old = old
        self.new = new
        self.thresholds = {
            (kind, per_route): -math.log(alpha / 2 * share / (max(routes, 1) if per_route else 1))
            for kind, share in FAULT_KIND_ALPHA_SHARES.items()
            for per_route in (False, True)
        }
        self.routes = max(routes, 1)
        self.processes: dict[tuple[FaultKind, str], EProcess] = {}
        self.counts_by_route: dict[tuple[str, str], RouteCounts] = defaultdict(RouteCounts)
        self.controls = ControlBaseline()
        self.load_baseline = LoadBaseline()
        self.regression: Regression | None = None

    def observe(
        self,
        window: int,
        rows: Iterable[EvidenceRow],
        *,
        slots: SlotsInUse | None = None,
        warm: bool = True,
    ) -> None:
        """Update the tests with the evidence of a window.

        :param rows: rows of this service and control rows of other services
        :param slots: slots that serve each version; without them latencies are not compared
        :param warm: whether latencies are compared; the caches of a new version are cold at first
        """
        rows = list(rows)
        own = [row for row in rows if row.service == self.service]
        control_factors = self.controls.observe(row for row in rows if row.service != self.service)
        load_comparison = self.load_baseline.observe(own, self.new, self.old, slots)
        pairs = self._rows_by_route(own)
        totals: dict[FaultKind, list[float]] = {}
        for route, (new, old) in sorted(pairs.items()):
            for kind in FaultKind:
                if kind is FaultKind.SLOW and not warm:
                    continue
                log_ratios = self._log_ratios(
                    kind, new, old, control_factors[kind is FaultKind.SLOW], load_comparison
                )
                if log_ratios is not None:
                    self._update(kind, route, log_ratios)
                    total = totals.get(kind, [0.0] * len(log_ratios))
                    totals[kind] = list(map(float.__add__, total, log_ratios))
        for kind, log_ratios in totals.items():
            self._update(kind, ALL_ROUTES, log_ratios)
        for route, (new, old) in pairs.items():
            # Latencies during an overload would make a slow version look normal in later windows.
            baseline_row = (
                old
                if load_comparison.few_refusals
                else old._replace(latency_buckets=[0] * BUCKET_COUNT)
            )
            self.counts_by_route[self.new, route].add(new)
            self.counts_by_route[self.old, route].add(baseline_row)
        self._check_thresholds(window)

    def requests(self) -> dict[str, tuple[int, int]]:
        """Return the total requests on the new and on the old version, by route."""
        routes = {route for _, route in self.counts_by_route}
        return {
            route: (
                self.counts_by_route[self.new, route].requests,
                self.counts_by_route[self.old, route].requests,
            )
            for route in routes
        }

    def baseline(self) -> dict[str, tuple[int, int, int, list[int]]]:
        """Return the old version's requests, errors, broken responses and histogram by route."""
        return {
            route: (
                route_counts.requests,
                route_counts.errors,
                route_counts.broken,
                route_counts.buckets,
            )
            for (version, route), route_counts in self.counts_by_route.items()
            if version == self.old
        }

    def add_baseline(self, baseline: dict[str, tuple[int, int, int, list[int]]]) -> None:
        """Add the counts of the old version that a previous coordinator recorded."""
        for route, (requests, errors, broken, buckets) in baseline.items():
            if len(buckets) == BUCKET_COUNT:
                row = EvidenceRow(self.service, self.old, route, requests, errors, buckets, broken)
                self.counts_by_route[self.old, route].add(row)

    def _rows_by_route(self, rows: list[EvidenceRow]) -> dict[str, tuple[EvidenceRow, EvidenceRow]]:
        rows_by_key = {(row.version, row.route): row for row in rows}
        routes = {route for version, route in rows_by_key if version in (self.new, self.old)}
        counted = {route for _, route in self.counts_by_route}
        max_added_routes = max(MAX_ROUTES - len(counted), 0)
        selected_routes = (routes & counted) | set(sorted(routes - counted)[:max_added_routes])
        return {
            route: tuple(
                rows_by_key.get((version, route))
                or EvidenceRow(self.service, version, route, 0, 0, [0] * BUCKET_COUNT)
                for version in (self.new, self.old)
            )
            for route in selected_routes
        }

    def _log_ratios(
        self,
        kind: FaultKind,
        new: EvidenceRow,
        old: EvidenceRow,
        control_factor: float,
        load_comparison: LoadComparison,
    ) -> list[float] | None:
        """Return the log likelihood ratios of a window, or None if the data is insufficient."""
        old_counts = self.counts_by_route[self.old, new.route]
        slow_bucket = _slow_bucket(old_counts.buckets) if kind is FaultKind.SLOW else 0
        if slow_bucket is None:
            return None
        events, total = _count(kind, new, slow_bucket)
        old_events, old_total = _count(kind, old, slow_bucket)
        if not total:
            return None
        compares_latencies = kind is FaultKind.SLOW
        weight = BROKEN_WEIGHT if kind is FaultKind.BROKEN else 1.0
        hypothesis = HYPOTHESES[kind]
        if old_total >= MIN_OLD_SHARE * (total + old_total) and (
            not compares_latencies or load_comparison.similar_to_old
        ):
            log_ratios = concurrent_log_ratios(
                hypothesis,
                new=events,
                old=old_events,
                new_total=total,
                old_total=old_total,
            )
            return [weight * ratio for ratio in log_ratios]
        rate = _past_rate(kind, old_counts, slow_bucket)
        if rate is None or (compares_latencies and not load_comparison.similar_to_past):
            return None
        log_ratios = baseline_log_ratios(
            hypothesis, new=events, new_total=total, rate=rate * control_factor
        )
        return [weight * ratio for ratio in log_ratios]

    def _update(self, kind: FaultKind, route: str, log_ratios: list[float]) -> None:
        key = (kind, route)
        if key not in self.processes:
            self.processes[key] = EProcess(alternatives=len(log_ratios))
        self.processes[key].update(log_ratios)

    def _check_thresholds(self, window: int) -> None:
        if self.regression is not None:
            return
        worst = None
        for (kind, route), process in self.processes.items():
            value = process.log_value()
            threshold = self.thresholds[kind, route != ALL_ROUTES]
            if value >= threshold and (worst is None or value - threshold > worst[0]):
                worst = (value - threshold, kind, route, value)
        if worst is not None:
            _, kind, route, value = worst
            self.regression = Regression(kind, route, window, self._describe(kind, route, value))

    def _describe(self, kind: FaultKind, route: str, value: float) -> str:
        counts = []
        for version in (self.new, self.old):
            selected = [
                route_counts
                for (counted_version, counted_route), route_counts in self.counts_by_route.items()
                if counted_version == version and route in (counted_route, ALL_ROUTES)
            ]
            faulty = {
                FaultKind.ERRORS: sum(route_counts.errors for route_counts in selected),
                FaultKind.BROKEN: sum(route_counts.broken for route_counts in selected),
                FaultKind.SLOW: None,
            }[kind]
            total = sum(route_counts.requests for route_counts in selected)
            counts.append(f"{version} {'' if faulty is None else f'{faulty} of '}{total}")
        return f"{kind} on {route}: {', '.join(counts)} requests, e-value {math.exp(value):.3g}"


def _count(kind: FaultKind, row: EvidenceRow, slow_bucket: int) -> tuple[int, int]:
    if kind is FaultKind.ERRORS:
        return row.errors, row.requests
    if kind is FaultKind.BROKEN:
        return row.broken, row.requests
    return sum(row.latency_buckets[slow_bucket:]), sum(row.latency_buckets)


def _slow_bucket(buckets: list[int]) -> int | None:
    """Return the first bucket above ``SLOW_QUANTILE``.

    None if there are too few requests or the quantile is in the last bucket.
    """
    total = sum(buckets)
    if total < MIN_BASELINE_REQUESTS:
        return None
    cumulative = 0
    for index, count in enumerate(buckets[:-1]):
        cumulative += count
        if cumulative >= SLOW_QUANTILE * total:
            return index + 1
    return None


def _past_rate(kind: FaultKind, old_counts: RouteCounts, slow_bucket: int) -> float | None:
    """Return an upper estimate of the old version's rate, or None if it had too few requests."""
    if old_counts.requests < MIN_BASELINE_REQUESTS:
        return None
    if kind is FaultKind.SLOW:
        count, total = sum(old_counts.buckets[slow_bucket:]), sum(old_counts.buckets)
    elif kind is FaultKind.BROKEN:
        count, total = old_counts.broken, old_counts.requests
    else:
        count, total = old_counts.errors, old_counts.requests
    return max((count + 2 * math.sqrt(count + 1)) / total, MIN_BASELINE_RATE)
