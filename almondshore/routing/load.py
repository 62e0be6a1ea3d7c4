"""Estimated load of targets, from this node's requests and the load reported with responses."""

from enum import Enum
from typing import NamedTuple

from almondshore.core.messages import TargetRecord

LOAD_HALF_LIFE_S = 1.0
# A report older than this is ignored, and the mean load of the tier is assumed instead.
REPORT_MAX_AGE_S = 5.0
TIER_REFRESH_INTERVAL_S = 0.05


class ResultKind(Enum):
    """How a request to a target ended."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class TargetResult(NamedTuple):
    """Result of a request to a target.

    :ivar busy: requests that hold a slot of the target, as reported by hop 2; None if not reported
    :ivar queued: requests in the target's queue, as reported by hop 2; None if not reported
    """

    kind: ResultKind
    busy: int | None = None
    queued: int | None = None


class TargetLoad:
    """Load of one target as known to this node; times are monotonic, in seconds.

    :ivar own_requests: requests of this node that are running or queued at the target
    :ivar other_requests: requests of other nodes at the target, from the last report
    :ivar reported_s: time of that report
    :ivar cold_since_s: time at which the target was listed; its ramp starts then
    :ivar listed: whether the target is still among the targets of its service
    """

    __slots__ = ("record", "own_requests", "other_requests", "reported_s", "cold_since_s", "listed")

    def __init__(self, record: TargetRecord, cold_since_s: float):
        self.record = record
        self.own_requests = 0
        self.other_requests = 0.0
        self.reported_s = float("-inf")
        self.cold_since_s = cold_since_s
        self.listed = True

    def update(self, result: TargetResult, now_s: float) -> None:
        """Update the load by other nodes from the result of a request."""
        if result.kind is ResultKind.FAILED:
            # A target that fails quickly would look idle, so it counts as full until its next
            # report.
            self.other_requests = max(self.other_requests, float(self.record.slots))
            self.reported_s = now_s
        elif result.busy is not None:
            self.other_requests = max(0.0, result.busy + (result.queued or 0) - self.own_requests)
            self.reported_s = now_s

    def utilisation(self, now_s: float, mean: float) -> float:
        """Return the estimated number of requests for each slot.

        As a report ages, the mean of the tier gradually replaces it, so that a target without a
        recent report looks neither idle nor full.

        :param mean: mean load by other nodes for each slot in the tier
        """
        slots = max(1, self.record.slots)
        age = now_s - self.reported_s
        if age >= REPORT_MAX_AGE_S:
            return self.own_requests / slots + mean
        weight = 0.5 ** (age / LOAD_HALF_LIFE_S)
        return (self.own_requests + weight * self.other_requests) / slots + (1.0 - weight) * mean


class Tier:
    """Targets of one version at the same distance.

    :ivar mean_load: mean load by other nodes for each slot, as of the last refresh
    :ivar mean_utilisation: mean utilisation of the targets, as of the last refresh
    """

    __slots__ = ("distance", "loads", "mean_load", "mean_utilisation", "refreshed_s")

    def __init__(self, distance: int):
        self.distance = distance
        self.loads: list[TargetLoad] = []
        self.mean_load = 0.0
        self.mean_utilisation = 0.0
        self.refreshed_s = float("-inf")

    def refresh(self, now_s: float) -> None:
        """Recompute the means if they are older than the refresh interval."""
        if now_s - self.refreshed_s < TIER_REFRESH_INTERVAL_S:
            return
        self.refreshed_s = now_s
        recent = [load for load in self.loads if now_s - load.reported_s < REPORT_MAX_AGE_S]
        slots = sum(load.record.slots for load in recent)
        self.mean_load = sum(load.other_requests for load in recent) / slots if slots else 0.0
        total = sum(load.utilisation(now_s, self.mean_load) for load in self.loads)
        self.mean_utilisation = total / len(self.loads) if self.loads else 0.0
