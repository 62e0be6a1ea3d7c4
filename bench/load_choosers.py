"""Simple policies of target selection, as baselines."""

import random
from collections import Counter
from collections.abc import Collection, Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.mesh.model import LoadReport, Target
from bench.load_model import Chooser


class RandomChooser(Chooser):
    """Chooses any target with equal probability."""

    def __init__(self, *, clock: Clock, rng: random.Random, zone: str):
        self.rng = rng
        self.zone = zone

    def choose(
        self,
        targets: Iterable[Target],
        *,
        route: str,
        objective: timedelta,
        exclude: Collection[str] = (),
    ) -> Target | None:
        """Return a target, or None if all are excluded."""
        left = [target for target in targets if target.target not in exclude]
        return self._pick(left) if left else None

    def started(self, target: str) -> None:
        """Do nothing; the choice does not depend on load."""

    def finished(self, target: str, route: str, report: LoadReport | None) -> None:
        """Do nothing; the choice does not depend on load."""

    def _pick(self, targets: list[Target]) -> Target:
        return self.rng.choice(targets)


class LeastActiveChooser(RandomChooser):
    """Chooses the target with the fewest running requests of this node.

    Ties go to targets in the zone of the node, then to a random one.
    """

    def __init__(self, *, clock: Clock, rng: random.Random, zone: str):
        super().__init__(clock=clock, rng=rng, zone=zone)
        self.active: Counter[str] = Counter()

    def started(self, target: str) -> None:
        """Count a request that is sent to the target."""
        self.active[target] += 1

    def finished(self, target: str, route: str, report: LoadReport | None) -> None:
        """Count the end of a request."""
        self.active[target] -= 1

    def _pick(self, targets: list[Target]) -> Target:
        return min(targets, key=self._rank)

    def _rank(self, target: Target) -> tuple[int, bool, float]:
        return self.active[target.target], target.zone != self.zone, self.rng.random()
