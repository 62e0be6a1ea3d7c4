"""The selection by expected completion as it was while an old load report counted as idle."""

from datetime import timedelta

from almondshore.mesh.model import LoadReport, Target
from almondshore.placement.cost import Features
from almondshore.routing.completion import (
    DEFAULT_SERVICE_TIME,
    FAILURE_PENALTY_SHARE,
    JITTER_SHARE,
    REPORT_MAX_AGE_S,
    ZONE_PENALTY_SHARE,
)
from bench.load_choosers import ReportedLoadChooser

# Penalty for a target with all slots taken, as a share of the service time there.
NEAR_FULL_SHARE = 0.15
DEFAULT_SERVICE_S = DEFAULT_SERVICE_TIME.total_seconds()


class FormerChooser(ReportedLoadChooser):
    """Chooses the shortest expected time by counts of requests; reports fade to an idle target.

    :ivar service_times: last reported service time in seconds, by target and route
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.service_times: dict[tuple[str, str], float] = {}

    def _pick(self, targets: list[Target], route: str, objective: timedelta) -> Target:
        """Return the target with the lowest score."""
        known = [
            self.service_times[target.target, route]
            for target in targets
            if (target.target, route) in self.service_times
        ]
        mean_s = sum(known) / len(known) if known else DEFAULT_SERVICE_S
        now_s = self.clock.monotonic().total_seconds()
        objective_s = objective.total_seconds()

        def score(target: Target) -> float:
            total = self._score(target, route, objective_s, mean_s, now_s)
            return total * (1.0 + JITTER_SHARE * self.rng.random())

        return min(targets, key=score)

    def _learn(
        self, target: str, route: str, report: LoadReport, features: Features | None
    ) -> None:
        """Store the service time of the route at the target."""
        self.service_times[target, route] = report.service_time.total_seconds()

    def _score(
        self, target: Target, route: str, objective_s: float, mean_s: float, now_s: float
    ) -> float:
        name = target.target
        score = objective_s * ZONE_PENALTY_SHARE * (target.zone != self.zone)
        service_s = self.service_times.get((name, route), mean_s)
        outstanding = float(self.active[name])
        if name in self.reports:
            report, reported_at = self.reports[name]
            freshness = max(0.0, 1.0 - (now_s - reported_at.total_seconds()) / REPORT_MAX_AGE_S)
            load = freshness * (report.running + report.waiting) + self.since_report[name]
            outstanding = max(outstanding, load)
            score += objective_s * FAILURE_PENALTY_SHARE * report.failure_rate * freshness
        wait_s = max(0.0, (outstanding + 1 - target.slots) / target.slots) * service_s
        near_full_s = NEAR_FULL_SHARE * service_s * min(1.0, outstanding / target.slots)
        return score + service_s + wait_s + near_full_s
