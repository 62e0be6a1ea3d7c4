"""Guards of the verdict: what other services and the load explain is not a version's fault."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from almondshore.core.messages import EvidenceRow
from almondshore.moves.evidence import BUCKETS

# Weight of one window in the moving average of a control service's rates.
DECAY = 0.02
# A window far above the long-term values hardly moves them, or a fault would soon pass as usual.
UNUSUAL_FACTOR = 3.0
UNUSUAL_DECAY = 0.001
MAX_CONTROLS = 8
MIN_REQUESTS = 5
MIN_ERROR_RATE = 0.002
SLOW_QUANTILE = 0.95
# A target with this much more load than another may well be slower for it.
MAX_LOAD_RATIO = 1.4
MAX_USUAL_RATIO = 1.25
MAX_REFUSED_SHARE = 0.01


class Control:
    """Long-term error rate and latency histogram of one service."""

    def __init__(self) -> None:
        self.error_rate = 0.0
        self.buckets = [0.0] * BUCKETS

    def slow_share(self, row: EvidenceRow) -> float:
        """Return the share of a row's responses above the long-term quantile."""
        total = sum(self.buckets)
        seen, limit = 0.0, BUCKETS
        for index, count in enumerate(self.buckets):
            seen += count
            if total and seen >= SLOW_QUANTILE * total:
                limit = index + 1
                break
        timed = sum(row.latency_buckets)
        return sum(row.latency_buckets[limit:]) / timed if timed else 0.0

    def observe(self, row: EvidenceRow) -> tuple[float, float]:
        """Move the long-term values towards those of a window.

        :returns: factors by which its error rate and its share of slow responses exceed them
        """
        rate = (row.errors + row.broken) / row.requests
        errors = rate / max(self.error_rate, MIN_ERROR_RATE)
        slow = self.slow_share(row) / (1 - SLOW_QUANTILE)
        weight = UNUSUAL_DECAY if max(errors, slow) > UNUSUAL_FACTOR else DECAY
        self.error_rate += weight * (rate - self.error_rate)
        timed = sum(row.latency_buckets) or 1
        self.buckets = [
            known + weight * (count / timed - known)
            for known, count in zip(self.buckets, row.latency_buckets, strict=True)
        ]
        return errors, slow


class ControlGuard:
    """Compares each control service's present rates with its long-term ones.

    The median over the services is used: a fault of one service that shows at its callers does
    not look like a fault of everything.
    """

    def __init__(self) -> None:
        self.controls: dict[str, Control] = {}

    def observe(self, rows: Iterable[EvidenceRow]) -> dict[bool, float]:
        """Take in the control rows of a window.

        :returns: factors, at least 1, by which present rates exceed the long-term ones: for
            slow responses under True, for errors under False
        """
        errors, slow = [], []
        for row in rows:
            if row.requests < MIN_REQUESTS:
                continue
            if row.service not in self.controls and len(self.controls) >= MAX_CONTROLS:
                continue
            control = self.controls.setdefault(row.service, Control())
            errors_factor, slow_factor = control.observe(row)
            errors.append(errors_factor)
            slow.append(slow_factor)
        return {True: _middle(slow), False: _middle(errors)}


def _middle(factors: list[float]) -> float:
    return max(1.0, median(factors)) if factors else 1.0


class SlotsInUse(NamedTuple):
    """Slots of the targets among which each version's requests are spread."""

    new: int
    old: int


class Loads(NamedTuple):
    """Whether latencies may be compared in a window.

    :ivar alike: the new version's targets carry hardly more load than the old version's now
    :ivar usual: they carry hardly more than the old version's targets did before
    :ivar calm: the service refuses hardly any requests
    """

    alike: bool
    usual: bool
    calm: bool


class LoadGuard:
    """Compares request rates for each slot, so that load is not mistaken for slowness."""

    def __init__(self) -> None:
        self.before = 0.0

    def observe(
        self, rows: Iterable[EvidenceRow], new: str, old: str, slots: SlotsInUse | None
    ) -> Loads:
        """Take in a service's rows of a window."""
        rows = list(rows)
        asked = {new: 0, old: 0}
        for row in rows:
            asked[row.version] = asked.get(row.version, 0) + row.requests + row.refused
        total, refused = sum(asked.values()), sum(row.refused for row in rows)
        calm = refused <= MAX_REFUSED_SHARE * total
        if slots is None or not calm:
            return Loads(False, False, calm)
        new_rate = asked[new] / slots.new if slots.new else 0.0
        old_rate = asked[old] / slots.old if slots.old else 0.0
        loads = Loads(
            new_rate <= MAX_LOAD_RATIO * old_rate, new_rate <= MAX_USUAL_RATIO * self.before, calm
        )
        if asked[old] >= total / 2:
            weight = DECAY if self.before else 1.0
            self.before += weight * (old_rate - self.before)
        return loads
