"""Compares target selection by class of request: ``python -m bench.load_comparison``."""

from collections.abc import Callable, Iterator
from statistics import fmean, quantiles
from typing import NamedTuple

from cyclopts import App

from almondshore.routing.completion import CompletionChooser
from bench.load import Seeds
from bench.load_choosers import (
    LeastActiveChooser,
    LeastWorkChooser,
    RandomChooser,
    TwoChoicesChooser,
)
from bench.load_former import FormerChooser
from bench.load_patterns import PATTERNS
from bench.load_scenarios import Scenario, simulate

POLICIES: dict[str, Callable] = {
    "expected completion": CompletionChooser,
    "former": FormerChooser,
    "least requests": LeastActiveChooser,
    "least work": LeastWorkChooser,
    "two choices": TwoChoicesChooser,
    "random": RandomChooser,
}
COLUMNS = ("pattern", "class", "choice", "mean ms", "p99 ms", "on time", "cross-zone")

app = App(help="Compare policies of target selection by class of request.")


class ClassFigures(NamedTuple):
    """Figures of one class of requests over all seeds.

    :ivar on_time: share of the requests
    :ivar cross_zone: share of all sent requests that went to a target in another zone
    """

    kind: str
    mean_ms: float
    p99_ms: float
    on_time: float
    cross_zone: float

    def cells(self) -> list[str]:
        """Return the figures as text, in the order of ``COLUMNS``."""
        shares = f"{self.on_time:.3f}", f"{self.cross_zone:.3f}"
        return [f"{self.mean_ms:,.0f}", f"{self.p99_ms:,.0f}", *shares]


@app.default
def main(*, seeds: Seeds = 3, pattern: str = "") -> None:
    """Simulate the patterns with each policy and print a Markdown table.

    :param seeds: number of seeds for each pattern and policy
    :param pattern: only the patterns whose name contains this
    """
    print(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}")
    for scenario in PATTERNS:
        name = scenario.__name__.replace("_", " ")
        if pattern not in name:
            continue
        rows = [
            (figures.kind, policy, figures.cells())
            for policy in POLICIES
            for figures in measure(scenario, policy, seeds)
        ]
        for kind, policy, cells in sorted(rows, key=lambda row: row[0]):
            print(f"| {' | '.join([name, kind, policy, *cells])} |", flush=True)


def measure(scenario: Scenario, policy: str, seeds: int) -> Iterator[ClassFigures]:
    """Simulate a pattern with a policy, once for each seed, and yield the figures by class."""
    systems = [simulate(scenario, seed, chooser=POLICIES[policy]) for seed in range(1, seeds + 1)]
    cross_zone = fmean(system.cross_zone / sum(system.sent.values()) for system in systems)
    for kind in sorted(systems[0].ends_by_kind):
        ends = [system.ends_by_kind[kind] for system in systems]
        times = [time.total_seconds() for item in systems for time in item.times_by_kind[kind]]
        yield ClassFigures(
            kind,
            fmean(times) * 1000.0,
            quantiles(times, n=100)[-1] * 1000.0,
            fmean(item["on time"] / sum(item.values()) for item in ends),
            cross_zone,
        )


if __name__ == "__main__":
    app()
