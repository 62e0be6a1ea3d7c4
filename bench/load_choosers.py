"""Simple policies of target selection, as baselines."""

import random
from collections import Counter
from collections.abc import Collection, Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.mesh.model import Address, LoadReport, Target
from almondshore.placement.cost import DEFAULT_SERVICE_TIME, CostModel, Features
from bench.load_parts import Chooser


class RandomChooser(Chooser):
    """Chooses any target with equal probability."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        zone: str,
        node: Address | None = None,
        link_mbps: float = 0.0,
    ):
        self.clock = clock
        self.rng = rng
        self.zone = zone
        self.node = node

    def choose(
        self,
        targets: Iterable[Target],
        *,
        route: str,
        objective: timedelta,
        exclude: Collection[str] = (),
        features: Features | None = None,
    ) -> Target | None:
        """Return a target, or None if all are excluded."""
        left = [target for target in targets if target.target not in exclude]
        return self._pick(left, route, objective) if left else None

    def started(self, target: str, features: Features | None = None) -> None:
        """Do nothing; the choice does not depend on load."""

    def finished(
        self,
        target: str,
        route: str,
        report: LoadReport | None,
        features: Features | None = None,
    ) -> None:
        """Do nothing; the choice does not depend on load."""

    def _pick(self, targets: list[Target], route: str, objective: timedelta) -> Target:
        """Return one of the targets that are not excluded, at least one."""
        return self.rng.choice(targets)


class LeastActiveChooser(RandomChooser):
    """Chooses the target with the fewest running requests of this node.

    Ties go to targets in the zone of the node, then to a random one.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.active: Counter[str] = Counter()

    def started(self, target: str, features: Features | None = None) -> None:
        """Count a request that is sent to the target."""
        self.active[target] += 1

    def finished(
        self,
        target: str,
        route: str,
        report: LoadReport | None,
        features: Features | None = None,
    ) -> None:
        """Count the end of a request."""
        self.active[target] -= 1

    def _pick(self, targets: list[Target], route: str, objective: timedelta) -> Target:
        return min(targets, key=self._rank)

    def _rank(self, target: Target) -> tuple[int, bool, float]:
        return self.active[target.target], target.zone != self.zone, self.rng.random()


class ReportedLoadChooser(LeastActiveChooser):
    """Base of the policies that use the last report of each target.

    :ivar reports: last report of each target and its monotonic time
    :ivar since_report: requests of this node that were sent to a target after its last report
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.reports: dict[str, tuple[LoadReport, timedelta]] = {}
        self.since_report: Counter[str] = Counter()

    def started(self, target: str, features: Features | None = None) -> None:
        """Count a request that is sent to the target."""
        super().started(target)
        self.since_report[target] += 1

    def finished(
        self,
        target: str,
        route: str,
        report: LoadReport | None,
        features: Features | None = None,
    ) -> None:
        """Count the end of a request and store the report."""
        super().finished(target, route, report, features)
        if report is not None:
            self.reports[target] = report, self.clock.monotonic()
            self.since_report[target] = 0
            self._learn(target, route, report, features)

    def _learn(
        self, target: str, route: str, report: LoadReport, features: Features | None
    ) -> None:
        """Learn from a report; does nothing unless a policy overrides it."""


class TwoChoicesChooser(ReportedLoadChooser):
    """Chooses the one of two random targets with the fewer outstanding requests for each slot."""

    def _pick(self, targets: list[Target], route: str, objective: timedelta) -> Target:
        return min(self.rng.sample(targets, min(2, len(targets))), key=self._outstanding)

    def _outstanding(self, target: Target) -> float:
        name = target.target
        reported = 0
        if name in self.reports:
            report = self.reports[name][0]
            reported = report.running + report.waiting
        return max(self.active[name], reported + self.since_report[name]) / target.slots


class LeastWorkChooser(ReportedLoadChooser):
    """Chooses the target with the least work left for each slot, in its zone if that is equal.

    A target ends the work in its report at the rate of its slots.

    :ivar costs: learned service times of requests
    :ivar sent_s: expected seconds of the requests that were sent after the last report
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.costs = CostModel()
        self.sent_s: dict[str, float] = {}

    def started(self, target: str, features: Features | None = None) -> None:
        """Add the expected service time of a request that is sent to the target."""
        super().started(target)
        expected = self.costs.expected(features) if features is not None else DEFAULT_SERVICE_TIME
        self.sent_s[target] = self.sent_s.get(target, 0.0) + expected.total_seconds()

    def _learn(
        self, target: str, route: str, report: LoadReport, features: Features | None
    ) -> None:
        """Learn from the service time of the request that the report came with."""
        self.sent_s[target] = 0.0
        if features is not None and report.ran:
            self.costs.observe(features, report.ran)

    def _rank(self, target: Target) -> tuple[float, bool, float]:
        name = target.target
        work_s = 0.0
        if name in self.reports:
            report, reported_at = self.reports[name]
            age_s = (self.clock.monotonic() - reported_at).total_seconds()
            work_s = max(0.0, report.work.total_seconds() - age_s * target.slots)
        work_s += self.sent_s.get(name, 0.0)
        return work_s / target.slots, target.zone != self.zone, self.rng.random()
