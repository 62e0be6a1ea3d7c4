"""Rows of benchmark result tables."""

from collections.abc import Iterable
from typing import NamedTuple


class BenchRow(NamedTuple):
    """A measured figure, the target it is compared with, and the verdict."""

    name: str
    target: str
    figure: str
    unit: str
    verdict: str


def make_row(name: str, target: str, figure: float, unit: str, limit: float | None) -> BenchRow:
    """Return a row whose verdict is "met" up to the limit; without a limit it has none."""
    verdict = "-" if limit is None else "met" if figure <= limit else "missed"
    return BenchRow(name, target, f"{figure:.2f}", unit, verdict)


def print_rows(rows: Iterable[BenchRow]) -> None:
    """Print rows as aligned columns."""
    for row in rows:
        print(f"{row.name:<32} {row.target:>10} {row.figure:>10} {row.unit:<12} {row.verdict}")
