"""Row of a benchmark's table."""

from collections.abc import Iterable
from typing import NamedTuple


class BenchRow(NamedTuple):
    """One measured figure, the target it is held against, and the verdict."""

    name: str
    target: str
    figure: str
    unit: str
    verdict: str


def make_row(name: str, target: str, figure: float, unit: str, limit: float | None) -> BenchRow:
    """Return a row; without a limit it has no verdict."""
    verdict = "-" if limit is None else "met" if figure <= limit else "missed"
    return BenchRow(name, target, f"{figure:.2f}", unit, verdict)


def print_rows(rows: Iterable[BenchRow]) -> None:
    """Print a table."""
    for row in rows:
        print(f"{row.name:<32} {row.target:>10} {row.figure:>10} {row.unit:<12} {row.verdict}")
