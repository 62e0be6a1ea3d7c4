"""Verdict on a version: comparison of its requests with those of the old version."""

import math
from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.messages import EvidenceRow
from almondshore.moves.controls import ControlGuard, LoadGuard, Loads, SlotsInUse
from almondshore.moves.eprocess import Alternative, EProcess, baseline_ratio, concurrent_ratio
from almondshore.moves.evidence import BUCKETS

# Probability that a good version is condemned in a move, over all tests and all windows.
FALSE_POSITIVE_RATE = 0.001
COORDINATOR_ALPHA_SHARE = 0.8
LOCAL_ALPHA_SHARE = 0.2

ALL_ROUTES = "all routes"
MAX_ROUTES = 64

# A target runs about 10 requests; its death breaks all of them, so each counts for a tenth.
BROKEN_UNIT = 0.1
SLOW_QUANTILE = 0.95
# Rates of the old version below this are not told apart from it when no old requests run.
MIN_BASELINE_RATE = 0.002
MIN_BASELINE_REQUESTS = 300
# With less than this share of the requests on the old version its past rate is used instead.
MIN_OLD_SHARE = 0.02


class Kind(StrEnum):
    """What a test counts."""

    ERRORS = "errors"
    BROKEN = "broken responses"
    SLOW = "slow responses"


ALTERNATIVES = {
    Kind.ERRORS: Alternative(tolerance=1.5, ratios=(4, 15, 100)),
    Kind.BROKEN: Alternative(tolerance=1.5, ratios=(4, 15, 100)),
    # Odds of 3 at the 95% quantile correspond to a version that is about a third slower.
    Kind.SLOW: Alternative(tolerance=3.0, ratios=(8, 25)),
}


# Most faults show as errors, so their tests get half of the false positive rate.
KIND_SHARES = {Kind.ERRORS: 0.5, Kind.BROKEN: 0.25, Kind.SLOW: 0.25}


class Regression(NamedTuple):
    """The new version is worse than the old one.

    :ivar evidence: counts and test value, for the operator
    """

    kind: Kind
    route: str
    window: int
    evidence: str


class Tally:
    """Counts of one version on one route so far."""

    def __init__(self) -> None:
        self.requests = 0
        self.errors = 0
        self.broken = 0
        self.buckets = [0] * BUCKETS

    def add(self, row: EvidenceRow) -> None:
        """Add the counts of a window."""
        self.requests += row.requests
        self.errors += row.errors
        self.broken += row.broken
        self.buckets = list(map(int.__add__, self.buckets, row.latency_buckets))


class MoveVerdict:
    """Tests one new version against the old one, on each route and on all routes together.

    Half of the false positive rate goes to the test over all routes, half is split over the
    routes, and each half over the kinds by ``KIND_SHARES``.
    """

    def __init__(self, *, service: str, old: str, new: str, routes: int, alpha: float):
        self.service = service
        self.old = old
        self.new = new
        self.thresholds = {
            (kind, single): -math.log(alpha / 2 * share / (max(routes, 1) if single else 1))
            for kind, share in KIND_SHARES.items()
            for single in (False, True)
        }
        self.routes = max(routes, 1)
        self.processes: dict[tuple[Kind, str], EProcess] = {}
        self.tallies: dict[tuple[str, str], Tally] = defaultdict(Tally)
        self.controls = ControlGuard()
        self.loads = LoadGuard()
        self.regression: Regression | None = None

    def observe(
        self,
        window: int,
        rows: Iterable[EvidenceRow],
        *,
        slots: SlotsInUse | None = None,
        warm: bool = True,
    ) -> None:
        """Take in a window.

        :param slots: slots that serve each version; without them latencies are not compared
        :param warm: whether latencies count; while a version is new its caches are cold
        """
        rows = list(rows)
        own = [row for row in rows if row.service == self.service]
        inflation = self.controls.observe(row for row in rows if row.service != self.service)
        loads = self.loads.observe(own, self.new, self.old, slots)
        pairs = self._pair(own)
        totals: dict[Kind, list[float]] = {}
        for route, (new, old) in sorted(pairs.items()):
            for kind in Kind:
                if kind is Kind.SLOW and not warm:
                    continue
                ratios = self._ratios(kind, new, old, inflation[kind is Kind.SLOW], loads)
                if ratios is not None:
                    self._update(kind, route, ratios)
                    known = totals.get(kind, [0.0] * len(ratios))
                    totals[kind] = list(map(float.__add__, known, ratios))
        for kind, ratios in totals.items():
            self._update(kind, ALL_ROUTES, ratios)
        for route, (new, old) in pairs.items():
            # Latencies of an overload would hide a slow version from later comparisons.
            past = old if loads.calm else old._replace(latency_buckets=[0] * BUCKETS)
            self.tallies[self.new, route].add(new)
            self.tallies[self.old, route].add(past)
        self._judge(window)

    def requests(self) -> dict[str, tuple[int, int]]:
        """Return the requests on the new and on the old version so far, by route."""
        routes = {route for _, route in self.tallies}
        return {
            route: (
                self.tallies[self.new, route].requests,
                self.tallies[self.old, route].requests,
            )
            for route in routes
        }

    def baseline(self) -> dict[str, tuple[int, int, int, list[int]]]:
        """Return the counts of the old version by route."""
        return {
            route: (tally.requests, tally.errors, tally.broken, tally.buckets)
            for (version, route), tally in self.tallies.items()
            if version == self.old
        }

    def add_baseline(self, baseline: dict[str, tuple[int, int, int, list[int]]]) -> None:
        """Take over the counts of the old version from a predecessor."""
        for route, (requests, errors, broken, buckets) in baseline.items():
            if len(buckets) == BUCKETS:
                row = EvidenceRow(self.service, self.old, route, requests, errors, buckets, broken)
                self.tallies[self.old, route].add(row)

    def _pair(self, rows: list[EvidenceRow]) -> dict[str, tuple[EvidenceRow, EvidenceRow]]:
        found = {(row.version, row.route): row for row in rows}
        routes = {route for version, route in found if version in (self.new, self.old)}
        known = {route for _, route in self.tallies}
        room = max(MAX_ROUTES - len(known), 0)
        chosen = (routes & known) | set(sorted(routes - known)[:room])
        return {
            route: tuple(
                found.get((version, route))
                or EvidenceRow(self.service, version, route, 0, 0, [0] * BUCKETS)
                for version in (self.new, self.old)
            )
            for route in chosen
        }

    def _ratios(
        self, kind: Kind, new: EvidenceRow, old: EvidenceRow, inflation: float, loads: Loads
    ) -> list[float] | None:
        """Return the log likelihood ratios of a window, or None if it says nothing."""
        past = self.tallies[self.old, new.route]
        limit = _slow_bucket(past.buckets) if kind is Kind.SLOW else 0
        if limit is None:
            return None
        events, total = _count(kind, new, limit)
        old_events, old_total = _count(kind, old, limit)
        if not total:
            return None
        timed = kind is Kind.SLOW
        unit = BROKEN_UNIT if kind is Kind.BROKEN else 1.0
        alternative = ALTERNATIVES[kind]
        if old_total >= MIN_OLD_SHARE * (total + old_total) and (not timed or loads.alike):
            ratios = concurrent_ratio(
                alternative,
                new=events,
                old=old_events,
                new_total=total,
                old_total=old_total,
            )
            return [unit * ratio for ratio in ratios]
        rate = _past_rate(kind, past, limit)
        if rate is None or (timed and not loads.usual):
            return None
        ratios = baseline_ratio(alternative, new=events, new_total=total, rate=rate * inflation)
        return [unit * ratio for ratio in ratios]

    def _update(self, kind: Kind, route: str, ratios: list[float]) -> None:
        key = (kind, route)
        if key not in self.processes:
            self.processes[key] = EProcess(alternatives=len(ratios))
        self.processes[key].update(ratios)

    def _judge(self, window: int) -> None:
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

    def _describe(self, kind: Kind, route: str, value: float) -> str:
        counts = []
        for version in (self.new, self.old):
            tallies = [
                tally
                for (found, on), tally in self.tallies.items()
                if found == version and route in (on, ALL_ROUTES)
            ]
            bad = {
                Kind.ERRORS: sum(tally.errors for tally in tallies),
                Kind.BROKEN: sum(tally.broken for tally in tallies),
                Kind.SLOW: None,
            }[kind]
            total = sum(tally.requests for tally in tallies)
            counts.append(f"{version} {'' if bad is None else f'{bad} of '}{total}")
        return f"{kind} on {route}: {', '.join(counts)} requests, e-value {math.exp(value):.3g}"


def _count(kind: Kind, row: EvidenceRow, slow_bucket: int) -> tuple[int, int]:
    if kind is Kind.ERRORS:
        return row.errors, row.requests
    if kind is Kind.BROKEN:
        return row.broken, row.requests
    return sum(row.latency_buckets[slow_bucket:]), sum(row.latency_buckets)


def _slow_bucket(buckets: list[int]) -> int | None:
    """Return the first bucket above the quantile that separates slow responses."""
    total = sum(buckets)
    if total < MIN_BASELINE_REQUESTS:
        return None
    seen = 0
    for index, count in enumerate(buckets[:-1]):
        seen += count
        if seen >= SLOW_QUANTILE * total:
            return index + 1
    return None


def _past_rate(kind: Kind, past: Tally, slow_bucket: int) -> float | None:
    """Return an upper estimate of the old version's rate, or None if too little was seen."""
    if past.requests < MIN_BASELINE_REQUESTS:
        return None
    if kind is Kind.SLOW:
        count, total = sum(past.buckets[slow_bucket:]), sum(past.buckets)
    elif kind is Kind.BROKEN:
        count, total = past.broken, past.requests
    else:
        count, total = past.errors, past.requests
    return max((count + 2 * math.sqrt(count + 1)) / total, MIN_BASELINE_RATE)
