"""Control services: what degrades at the same time elsewhere is not a version's fault."""

from collections.abc import Iterable
from statistics import median

from almondshore.core.messages import EvidenceRow
from almondshore.moves.evidence import BUCKETS

# Weight of one window in the moving average of a control service's rates.
DECAY = 0.02
MAX_CONTROLS = 8
MIN_REQUESTS = 5
MIN_ERROR_RATE = 0.002
SLOW_QUANTILE = 0.95


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

    def add(self, row: EvidenceRow) -> None:
        """Move the long-term values towards those of a window."""
        rate = (row.errors + row.broken) / row.requests
        self.error_rate += DECAY * (rate - self.error_rate)
        timed = sum(row.latency_buckets) or 1
        self.buckets = [
            known + DECAY * (count / timed - known)
            for known, count in zip(self.buckets, row.latency_buckets, strict=True)
        ]


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
            rate = (row.errors + row.broken) / row.requests
            errors.append(rate / max(control.error_rate, MIN_ERROR_RATE))
            slow.append(control.slow_share(row) / (1 - SLOW_QUANTILE))
            control.add(row)
        return {True: _middle(slow), False: _middle(errors)}


def _middle(factors: list[float]) -> float:
    return max(1.0, median(factors)) if factors else 1.0
