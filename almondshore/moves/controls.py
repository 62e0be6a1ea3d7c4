"""Corrections of a verdict for faults that affect all services and for differences in load."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from almondshore.core.messages import EvidenceRow
from almondshore.moves.evidence import BUCKET_COUNT

# Weight of one window in the moving average of a control service's rates.
WINDOW_WEIGHT = 0.02
# A window far above the long-term values gets a small weight; otherwise a lasting fault would soon
# raise them and count as normal.
UNUSUAL_FACTOR = 3.0
UNUSUAL_WINDOW_WEIGHT = 0.001
MAX_CONTROLS = 8
MIN_CONTROL_REQUESTS = 5
MIN_ERROR_RATE = 0.002
SLOW_QUANTILE = 0.95
# A target whose load exceeds another's by more than this factor may be slower because of its load.
MAX_CONCURRENT_LOAD_RATIO = 1.4
MAX_PAST_LOAD_RATIO = 1.25
MAX_REFUSED_SHARE = 0.01


class ControlService:
    """Long-term error rate and latency histogram of one control service."""

    def __init__(self) -> None:
        self.error_rate = 0.0
        self.buckets = [0.0] * BUCKET_COUNT

    def slow_share(self, row: EvidenceRow) -> float:
        """Return the share of a row's responses above the long-term ``SLOW_QUANTILE``."""
        total = sum(self.buckets)
        cumulative, slow_bucket = 0.0, BUCKET_COUNT
        for index, count in enumerate(self.buckets):
            cumulative += count
            if total and cumulative >= SLOW_QUANTILE * total:
                slow_bucket = index + 1
                break
        timed_responses = sum(row.latency_buckets)
        return sum(row.latency_buckets[slow_bucket:]) / timed_responses if timed_responses else 0.0

    def observe(self, row: EvidenceRow) -> tuple[float, float]:
        """Update the long-term values with those of a window.

        :return: factors by which the error rate and the share of slow responses of the window
            exceed the long-term values
        """
        rate = (row.errors + row.broken) / row.requests
        errors = rate / max(self.error_rate, MIN_ERROR_RATE)
        slow = self.slow_share(row) / (1 - SLOW_QUANTILE)
        weight = UNUSUAL_WINDOW_WEIGHT if max(errors, slow) > UNUSUAL_FACTOR else WINDOW_WEIGHT
        self.error_rate += weight * (rate - self.error_rate)
        timed_responses = sum(row.latency_buckets) or 1
        self.buckets = [
            long_term + weight * (count / timed_responses - long_term)
            for long_term, count in zip(self.buckets, row.latency_buckets, strict=True)
        ]
        return errors, slow


class ControlBaseline:
    """Compares the current rates of each control service with its long-term rates.

    The median over the services is used, so that a fault of one service, which also affects its
    callers, does not count as a fault of all services.
    """

    def __init__(self) -> None:
        self.controls: dict[str, ControlService] = {}

    def observe(self, rows: Iterable[EvidenceRow]) -> dict[bool, float]:
        """Add the control rows of a window.

        :return: factors, at least 1, by which current rates exceed the long-term ones: for
            slow responses under True, for errors under False
        """
        errors, slow = [], []
        for row in rows:
            if row.requests < MIN_CONTROL_REQUESTS:
                continue
            if row.service not in self.controls and len(self.controls) >= MAX_CONTROLS:
                continue
            control = self.controls.setdefault(row.service, ControlService())
            errors_factor, slow_factor = control.observe(row)
            errors.append(errors_factor)
            slow.append(slow_factor)
        return {True: _median_factor(slow), False: _median_factor(errors)}


def _median_factor(factors: list[float]) -> float:
    return max(1.0, median(factors)) if factors else 1.0


class SlotsInUse(NamedTuple):
    """Slots of the targets that receive the requests of each version."""

    new: int
    old: int


class LoadComparison(NamedTuple):
    """Whether latencies may be compared in a window.

    :ivar similar_to_old: whether the load of the new version's targets exceeds that of the old
        version's targets in this window by at most ``MAX_CONCURRENT_LOAD_RATIO``
    :ivar similar_to_past: whether it exceeds the past load of the old version's targets by at most
        ``MAX_PAST_LOAD_RATIO``
    :ivar few_refusals: whether the service refused at most ``MAX_REFUSED_SHARE`` of its requests
    """

    similar_to_old: bool
    similar_to_past: bool
    few_refusals: bool


class LoadBaseline:
    """Compares requests per slot, so that the effect of load does not count as a slow version.

    :ivar past_rate: moving average of the old version's requests per slot and window, from windows
        in which it got at least half of the requests
    """

    def __init__(self) -> None:
        self.past_rate = 0.0

    def observe(
        self, rows: Iterable[EvidenceRow], new: str, old: str, slots: SlotsInUse | None
    ) -> LoadComparison:
        """Add the rows of a service for a window and compare the loads of its versions."""
        rows = list(rows)
        offered = {new: 0, old: 0}
        for row in rows:
            offered[row.version] = offered.get(row.version, 0) + row.requests + row.refused
        total, refused = sum(offered.values()), sum(row.refused for row in rows)
        few_refusals = refused <= MAX_REFUSED_SHARE * total
        if slots is None or not few_refusals:
            return LoadComparison(False, False, few_refusals)
        new_rate = offered[new] / slots.new if slots.new else 0.0
        old_rate = offered[old] / slots.old if slots.old else 0.0
        comparison = LoadComparison(
            new_rate <= MAX_CONCURRENT_LOAD_RATIO * old_rate,
            new_rate <= MAX_PAST_LOAD_RATIO * self.past_rate,
            few_refusals,
        )
        if offered[old] >= total / 2:
            weight = WINDOW_WEIGHT if self.past_rate else 1.0
            self.past_rate += weight * (old_rate - self.past_rate)
        return comparison
