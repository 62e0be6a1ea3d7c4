"""Estimated load of targets, from own requests and from load reported on responses."""

from enum import Enum
from typing import NamedTuple

from almondshore.core.messages import TargetRecord

LOAD_HALF_LIFE_S = 1.0
# Evidence older than this says nothing about the present load; the mean of the group is used.
EVIDENCE_MAX_AGE_S = 5.0
GROUP_REFRESH_S = 0.05


class ResultKind(Enum):
    """What a finished request says about its target."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class TargetResult(NamedTuple):
    """Result of a request to a target.

    :ivar busy: requests in the target's slots as reported by hop 2, None if not reported
    :ivar queued: requests in the target's queue as reported by hop 2, None if not reported
    """

    kind: ResultKind
    busy: int | None = None
    queued: int | None = None


class TargetLoad:
    """Load of one target as this node sees it; times in seconds.

    :ivar own: requests of this node that the target holds now
    :ivar others: requests of other nodes, as last reported
    :ivar reported_s: time of that report
    :ivar cold_since_s: when the target appeared
    """

    __slots__ = ("record", "own", "others", "reported_s", "cold_since_s", "listed")

    def __init__(self, record: TargetRecord, cold_since_s: float):
        self.record = record
        self.own = 0
        self.others = 0.0
        self.reported_s = float("-inf")
        self.cold_since_s = cold_since_s
        self.listed = True

    def report(self, result: TargetResult, now_s: float) -> None:
        """Take over the load that came with a response."""
        if result.kind is ResultKind.FAILED:
            # A target that fails quickly looks idle; it counts as full until it is heard again.
            self.others = max(self.others, float(self.record.slots))
            self.reported_s = now_s
        elif result.busy is not None:
            self.others = max(0.0, result.busy + (result.queued or 0) - self.own)
            self.reported_s = now_s

    def utilisation(self, now_s: float, mean: float) -> float:
        """Return the estimated requests held for each slot.

        Reported load is drawn towards the mean of the group as it ages, so that a target that has
        not been heard of looks neither idle nor full.

        :param mean: mean load by other nodes for each slot in the group
        """
        slots = max(1, self.record.slots)
        age = now_s - self.reported_s
        if age >= EVIDENCE_MAX_AGE_S:
            return self.own / slots + mean
        weight = 0.5 ** (age / LOAD_HALF_LIFE_S)
        return (self.own + weight * self.others) / slots + (1.0 - weight) * mean


class Tier:
    """Targets of one version that are equally near; the mean load is refreshed now and then."""

    __slots__ = ("distance", "loads", "mean", "use", "refreshed_s")

    def __init__(self, distance: int):
        self.distance = distance
        self.loads: list[TargetLoad] = []
        self.mean = 0.0
        self.use = 0.0
        self.refreshed_s = float("-inf")

    def refresh(self, now_s: float) -> None:
        """Recompute the mean load and the utilisation if they are older than the interval."""
        if now_s - self.refreshed_s < GROUP_REFRESH_S:
            return
        self.refreshed_s = now_s
        heard = [load for load in self.loads if now_s - load.reported_s < EVIDENCE_MAX_AGE_S]
        slots = sum(load.record.slots for load in heard)
        self.mean = sum(load.others for load in heard) / slots if slots else 0.0
        total = sum(load.utilisation(now_s, self.mean) for load in self.loads)
        self.use = total / len(self.loads) if self.loads else 0.0
