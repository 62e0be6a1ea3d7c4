"""Choice of a target by the expected time to completion."""

import random
from collections.abc import Collection, Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.mesh.model import LoadReport, Target

ZERO = timedelta()
# Reports older than this say nothing about a target's present load.
REPORT_MAX_AGE = timedelta(seconds=2)
# Added for a target in another zone, as a share of the objective: traffic between zones is
# charged, so a farther target must be clearly faster.
ZONE_PENALTY_SHARE = 0.2
# A failed request costs the time it took and the retry, relative to the objective.
FAILURE_PENALTY_SHARE = 3.0
LEAVING_PENALTY_SHARE = 4.0
# Spreads the choices of nodes that hold the same reports, relative to the score.
JITTER = 0.1
DEFAULT_SERVICE_TIME = timedelta(milliseconds=100)


class _Load:
    """Load of one target as this node sees it."""

    __slots__ = ("own", "since_report", "report", "reported_at", "times")

    def __init__(self) -> None:
        self.own = 0
        self.since_report = 0
        self.report: LoadReport | None = None
        self.reported_at = ZERO
        self.times: dict[str, timedelta] = {}


class CompletionChooser:
    """Chooses the target that is expected to complete a request first.

    :param zone: own availability zone
    """

    def __init__(self, *, clock: Clock, rng: random.Random, zone: str):
        self.clock = clock
        self.rng = rng
        self.zone = zone
        self.loads: dict[str, _Load] = {}

    def choose(
        self,
        targets: Iterable[Target],
        *,
        route: str,
        objective: timedelta,
        exclude: Collection[str] = (),
    ) -> Target | None:
        """Return the best target, or None if all are excluded."""
        now = self.clock.monotonic()
        best, best_score = None, 0.0
        candidates = [target for target in targets if target.target not in exclude]
        usual = self._usual_time(candidates, route)
        for target in candidates:
            score = self._score(target, route, objective, usual, now)
            score *= 1.0 + JITTER * self.rng.random()
            if best is None or score < best_score:
                best, best_score = target, score
        return best

    def started(self, target: str) -> None:
        """Count a request that is being sent."""
        load = self.loads.setdefault(target, _Load())
        load.own += 1
        load.since_report += 1

    def finished(self, target: str, route: str, report: LoadReport | None) -> None:
        """Count the end of a request, and take in the load that was reported with it."""
        load = self.loads.get(target)
        if load is None:
            return
        load.own = max(0, load.own - 1)
        if report is not None:
            load.report = report
            load.reported_at = self.clock.monotonic()
            load.since_report = 0
            load.times[route] = report.service_time

    def report_age(self, target: str) -> timedelta | None:
        """Return how old the last report of a target's load is, None if there is none."""
        load = self.loads.get(target)
        if load is None or load.report is None:
            return None
        return self.clock.monotonic() - load.reported_at

    def expected_time(self, target: str, route: str) -> timedelta:
        """Return the time that a request may take at a target as it was last reported."""
        load = self.loads.get(target)
        if load is None or load.report is None:
            return DEFAULT_SERVICE_TIME
        needed = load.times.get(route, DEFAULT_SERVICE_TIME)
        queued = load.report.waiting / max(1, load.report.slots)
        return needed * (1.0 + queued)

    def has_free_slot(self, target: Target) -> bool:
        """Tell whether a target is known to have room, by a recent report of its load."""
        age = self.report_age(target.target)
        if age is None or age > REPORT_MAX_AGE:
            return False
        load = self.loads[target.target]
        held = load.report.running + load.report.waiting + load.since_report
        return max(held, load.own) < target.slots

    def keep(self, targets: set[str]) -> None:
        """Drop what is known of other targets."""
        for name in self.loads.keys() - targets:
            del self.loads[name]

    def _usual_time(self, targets: list[Target], route: str) -> timedelta:
        """Return the mean service time of a route, for targets not yet heard of."""
        known = [
            load.times[route]
            for target in targets
            if (load := self.loads.get(target.target)) is not None and route in load.times
        ]
        return sum(known, ZERO) / len(known) if known else DEFAULT_SERVICE_TIME

    def _score(
        self, target: Target, route: str, objective: timedelta, usual: timedelta, now: timedelta
    ) -> float:
        """Return the expected seconds to completion, with penalties."""
        load = self.loads.get(target.target)
        goal = objective.total_seconds()
        needed = usual.total_seconds()
        score = 0.0
        if target.zone != self.zone:
            score += goal * ZONE_PENALTY_SHARE
        if load is None:
            return score + needed
        needed = load.times.get(route, usual).total_seconds()
        held = float(load.own)
        report = load.report
        if report is not None:
            age = (now - load.reported_at) / REPORT_MAX_AGE
            fresh = max(0.0, 1.0 - age)
            held = max(held, fresh * (report.running + report.waiting) + load.since_report)
            score += goal * FAILURE_PENALTY_SHARE * report.failure_rate * fresh
            if report.leaving:
                score += goal * LEAVING_PENALTY_SHARE * fresh
        slots = max(1, target.slots)
        wait = max(0.0, (held + 1 - slots) / slots) * needed
        # A nearly full target is the likelier to be full when the request arrives.
        crowding = 0.15 * needed * min(1.0, held / slots)
        return score + needed + wait + crowding
