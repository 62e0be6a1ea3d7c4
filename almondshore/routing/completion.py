"""Choice of a target by the expected time to completion."""

import random
from collections.abc import Collection, Iterable
from datetime import timedelta
from math import exp, log1p
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.mesh.model import Address, LoadReport, Target
from almondshore.placement.cost import DEFAULT_SERVICE_TIME, CostModel, Features
from almondshore.routing.reported import UNKNOWN_LOAD, MeanLoad, ReportedLoad, mean_load

# The failure rate in a report loses most of its weight linearly up to this age.
REPORT_MAX_AGE_S = 2.0
REPORT_MAX_AGE = timedelta(seconds=REPORT_MAX_AGE_S)
# Penalty for a target in another zone, as a share of the objective: traffic between zones is
# charged, so a target there must be clearly faster.
ZONE_PENALTY_SHARE = 0.2
# The same penalty for large bodies of requests and responses, each of which costs as much as
# hundreds of small ones: they leave the zone only when its targets would hardly meet the objective.
LARGE_ZONE_PENALTY_SHARE = 0.6
LARGE_BODY_BYTES = 16 * 1024
# Penalty for a failure rate of 1, as a share of the objective: a failed request costs the time it
# took and that of the retry.
FAILURE_PENALTY_SHARE = 3.0
# Penalty for a target that is about to leave, as a share of the objective.
LEAVING_PENALTY_SHARE = 4.0
# Share of both penalties that fades slowly, with its time constant: a node that sees a target every
# few seconds only still prefers the ones that do not fail.
OLD_PENALTY_SHARE = 0.1
OLD_PENALTY_MEMORY_S = 10.0
# Random addition to a score, as a share of it. It spreads the choices of nodes that have received
# the same reports.
JITTER_SHARE = 0.1
# Weight of the newest response in the mean size of the responses of a route.
SIZE_GAIN = 0.1
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# Excess of requests over slots, in standard deviations, from which on its uncertainty is neglected.
MAX_SMOOTHED = 20.0
# The unit in which the cost model keeps ratios of service times.
UNIT_COST = timedelta(seconds=1)


class CompletionChooser:
    """Chooses the target with the shortest expected time to completion, plus penalties.

    The expected time is the wait for a slot, the service time of this request at the target's
    speed, and the time of its body and its response on the links. As a report ages, the mean load
    of the targets replaces the load in it, so that a target without a recent report looks neither
    idle nor full.

    :param zone: availability zone of this node
    :param node: address of this node, whose own target responds without using a link
    :param link_mbps: bandwidth of this node's link, 0 if unknown
    :ivar response_bytes: mean size of the responses by route
    :ivar costs: service times that targets reported, as they would be at a target of mean speed
    """

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
        self.link_mbps = link_mbps
        self.response_bytes: dict[str, float] = {}
        self.loads: dict[str, ReportedLoad] = {}
        self.costs = CostModel()

    def choose(
        self,
        targets: Iterable[Target],
        *,
        route: str,
        objective: timedelta,
        exclude: Collection[str] = (),
        features: Features | None = None,
    ) -> Target | None:
        """Return the target with the lowest score, or None if all are excluded.

        :param features: what is known of the request, None if only its route is
        """
        candidates = [target for target in targets if target.target not in exclude]
        if not candidates:
            return None
        now_s = self.clock.monotonic().total_seconds()
        loads = [self.loads.get(target.target, UNKNOWN_LOAD) for target in candidates]
        means = mean_load(
            candidates, loads, route=route, variance=self.costs.variance(route), now_s=now_s
        )
        terms = _Request(
            route,
            objective.total_seconds(),
            self._zone_penalty_share(route, features) * objective.total_seconds(),
            1.0 if features is None else self.costs.relative(features),
            (features.body_bytes if features is not None else 0) * BITS_PER_BYTE / BITS_PER_MEGABIT,
            self.response_bytes.get(route, 0.0) * BITS_PER_BYTE / BITS_PER_MEGABIT,
        )
        random_share = self.rng.random
        best, best_score = None, 0.0
        for target, load in zip(candidates, loads, strict=True):
            score = self._score(target, load, terms, means, now_s)
            score *= 1.0 + JITTER_SHARE * random_share()
            if best is None or score < best_score:
                best, best_score = target, score
        return best

    def started(self, target: str, features: Features | None = None) -> None:
        """Count a request that is being sent."""
        cost = 1.0 if features is None else self.costs.relative(features)
        self.loads.setdefault(target, ReportedLoad()).start(cost)

    def finished(
        self,
        target: str,
        route: str,
        report: LoadReport | None,
        features: Features | None = None,
    ) -> None:
        """Count the end of a request and store the load reported with its response, if any."""
        load = self.loads.get(target)
        if load is None:
            return
        load.end()
        if report is None:
            return
        load.store(report, route, self.clock.monotonic().total_seconds())
        if features is not None and report.ran and report.service_time:
            self._observe_cost(features, report)

    def record_size(self, route: str, size: int) -> None:
        """Record the size in bytes of a response of a route."""
        mean = self.response_bytes.get(route, float(size))
        self.response_bytes[route] = mean + (size - mean) * SIZE_GAIN

    def report_age(self, target: str) -> timedelta | None:
        """Return the age of the last load report of a target, or None if there is none."""
        load = self.loads.get(target)
        if load is None or load.report is None:
            return None
        return self.clock.monotonic() - timedelta(seconds=load.reported_s)

    def expected_time(self, target: str, route: str, features: Features | None = None) -> timedelta:
        """Return the expected time of a request at a target, according to its last load report."""
        load = self.loads.get(target)
        if load is None or load.report is None:
            return DEFAULT_SERVICE_TIME
        service_time = load.service_time(route)
        queued = load.report.waiting / max(1, load.report.slots)
        cost = 1.0 if features is None else self.costs.relative(features)
        return service_time * (cost + queued)

    def rate_limit(self, target: str) -> float | None:
        """Return the rate limit in the last report of a target, None for none."""
        load = self.loads.get(target)
        return load.report.rate_limit if load is not None and load.report is not None else None

    def has_free_slot(self, target: Target) -> bool:
        """Return whether a recent report shows that a target has a free slot."""
        age = self.report_age(target.target)
        if age is None or age > REPORT_MAX_AGE:
            return False
        load = self.loads[target.target]
        if load.rate_wait_s(self.clock.monotonic().total_seconds()) > 0.0:
            return False
        outstanding = load.report.running + load.report.waiting + load.since_report
        return max(outstanding, load.own_requests) < target.slots

    def keep(self, targets: set[str]) -> None:
        """Drop the loads of all targets but these."""
        for name in self.loads.keys() - targets:
            del self.loads[name]

    def _observe_cost(self, features: Features, report: LoadReport) -> None:
        """Learn from the service time of a request, relative to the speed of its target.

        The report's service time is the mean of the route there; of all targets it is the same, but
        for their speeds.
        """
        self.costs.observe(features, report.ran / report.service_time * UNIT_COST)

    def _zone_penalty_share(self, route: str, features: Features | None) -> float:
        body_bytes = features.body_bytes if features is not None else 0
        size = max(self.response_bytes.get(route, 0.0), body_bytes)
        return LARGE_ZONE_PENALTY_SHARE if size >= LARGE_BODY_BYTES else ZONE_PENALTY_SHARE

    def _transfer_time_s(self, target: Target, request: "_Request", outstanding: float) -> float:
        """Return the seconds that the bodies take on the links of this host and the target's.

        A link carries the bodies of all nodes' requests. The responses to requests that were sent
        to the target before share its link.
        """
        if target.node == self.node:
            return 0.0
        body = request.body_megabits
        own = body / self.link_mbps if body and self.link_mbps else 0.0
        if not target.link_mbps:
            return own
        response = request.response_megabits * (1.0 + outstanding)
        return own + (body + response) / target.link_mbps

    def _score(
        self,
        target: Target,
        load: ReportedLoad,
        request: "_Request",
        means: MeanLoad,
        now_s: float,
    ) -> float:
        """Return the expected seconds to completion plus penalties; lower is better."""
        outstanding, spread, service_s, mix_s = load.estimate(request.route, target, means, now_s)
        score = service_s * request.cost
        if target.zone != self.zone:
            score += request.zone_penalty_s
        report = load.report
        if report is not None:
            age_s = now_s - load.reported_s
            if report.failure_rate or report.leaving:
                penalty = FAILURE_PENALTY_SHARE * report.failure_rate
                penalty += LEAVING_PENALTY_SHARE * report.leaving
                fresh = max(0.0, 1.0 - age_s / REPORT_MAX_AGE_S)
                old = OLD_PENALTY_SHARE * exp(-age_s / OLD_PENALTY_MEMORY_S)
                score += request.objective_s * penalty * max(fresh, old)
        slots = max(1, target.slots)
        excess = (outstanding + 1.0 - slots) / spread
        # The mean excess if the number of requests is not known exactly; linear where it is large.
        excess = log1p(exp(excess)) if excess < MAX_SMOOTHED else excess
        wait_s = excess * spread / slots * mix_s
        if report is not None and report.rate_limit:
            wait_s = max(wait_s, load.rate_wait_s(now_s))
        score += wait_s
        if request.body_megabits or request.response_megabits:
            score += self._transfer_time_s(target, request, outstanding)
        return score


class _Request(NamedTuple):
    """What the score of a target depends on besides the target.

    :ivar zone_penalty_s: penalty of a target in another zone
    :ivar cost: expected service time relative to the route's mean
    """

    route: str
    objective_s: float
    zone_penalty_s: float
    cost: float
    body_megabits: float
    response_megabits: float
