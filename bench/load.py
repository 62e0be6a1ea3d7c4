"""Simulates load patterns with the product's target selection and baselines: ``bench.load``."""

from collections.abc import Callable
from pathlib import Path
from statistics import fmean
from typing import Annotated, NamedTuple

import pygal
from cyclopts import App, Parameter, validators
from rich.console import Console
from rich.table import Table

from almondshore.routing.completion import CompletionChooser
from bench.load_choosers import LeastActiveChooser, RandomChooser
from bench.load_parts import Chooser
from bench.load_scenarios import SCENARIOS, Scenario, simulate

POLICIES: dict[str, Callable[..., Chooser]] = {
    "expected completion": CompletionChooser,
    "least active": LeastActiveChooser,
    "random": RandomChooser,
}
# Worth of a response after its objective, relative to one on time; users state 0.1 to 0.3.
LATE_WORTH = 0.2
ENDS = ("on time", "late", "refused", "failed", "left")
COLUMNS = ("pattern", "choice", "worth", "lowest", *ENDS)
Seeds = Annotated[int, Parameter(validator=validators.Number(gte=1, lte=1000))]

app = App(help="Simulate load patterns and compare policies of target selection.")


class PolicyFigures(NamedTuple):
    """Means over all seeds for one load pattern and one selection policy.

    :ivar worth: mean worth of a request, 0 to 1
    :ivar lowest: mean worth of a request with the worst seed
    :ivar shares: share of the requests by end, one of ``ENDS``
    """

    pattern: str
    policy: str
    worth: float
    lowest: float
    shares: dict[str, float]

    def cells(self) -> list[str]:
        """Return the figures as text, in the order of ``COLUMNS``."""
        numbers = [self.worth, self.lowest, *(self.shares[end] for end in ENDS)]
        return [self.pattern, self.policy, *(f"{number:.3f}" for number in numbers)]


@app.default
def main(*, seeds: Seeds = 5, out: Path = Path("build")) -> None:
    """Simulate all patterns, print a table, and write ``load.md`` and ``load.svg``.

    :param seeds: number of seeds for each pattern and policy
    :param out: directory for the results
    """
    results = [measure(scenario, policy, seeds) for scenario in SCENARIOS for policy in POLICIES]
    table = Table(*COLUMNS)
    for figures in results:
        table.add_row(*figures.cells())
    Console(width=120).print(table)
    out.mkdir(parents=True, exist_ok=True)
    (out / "load.md").write_text(markdown(results))
    (out / "load.svg").write_bytes(plot(results, seeds).render())
    print(f"{seeds} seeds each; written to {out / 'load.md'} and {out / 'load.svg'}")


def measure(scenario: Scenario, policy: str, seeds: int) -> PolicyFigures:
    """Simulate a pattern with a policy, once for each seed."""
    systems = [simulate(scenario, seed, chooser=POLICIES[policy]) for seed in range(1, seeds + 1)]
    worths = [system.share("on time") + LATE_WORTH * system.share("late") for system in systems]
    return PolicyFigures(
        scenario.__name__.replace("_", " "),
        policy,
        fmean(worths),
        min(worths),
        {end: fmean(system.share(end) for system in systems) for end in ENDS},
    )


def markdown(results: list[PolicyFigures]) -> str:
    """Return the figures as a Markdown table."""
    rows = [COLUMNS, ["---"] * len(COLUMNS), *(figures.cells() for figures in results)]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def plot(results: list[PolicyFigures], seeds: int) -> pygal.Bar:
    """Return a bar chart of the worth by pattern, with a series for each policy."""
    chart = pygal.Bar(
        title=f"Mean worth of a request, {seeds} seeds",
        range=(0, 1),
        x_label_rotation=30,
        js=(),
        x_labels=[scenario.__name__.replace("_", " ") for scenario in SCENARIOS],
    )
    for policy in POLICIES:
        chart.add(policy, [item.worth for item in results if item.policy == policy])
    return chart


if __name__ == "__main__":
    app()
