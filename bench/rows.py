"""Row of a benchmark's table."""

from typing import NamedTuple


class BenchRow(NamedTuple):
    """One measured figure, the target it is held against, and the verdict."""

    name: str
    target: str
    figure: str
    unit: str
    verdict: str
