"""Load of targets as estimated from their reports, which may be old."""

from collections.abc import Iterable
from datetime import timedelta
from math import exp, sqrt
from typing import NamedTuple

from almondshore.mesh.model import LoadReport, Target
from almondshore.placement.cost import DEFAULT_SERVICE_TIME

DEFAULT_SERVICE_S = DEFAULT_SERVICE_TIME.total_seconds()
# Time constant with which the mean load of the targets replaces the load in a report. Queues at
# four fifths of their capacity differ after it about as much as at random.
LOAD_MEMORY_S = 1.0
# Time constant with which a report loses its weight in the mean load.
MEAN_MEMORY_S = 5.0
# Load for each slot that is assumed of a zone without reports if the others have more: a zone that
# gets no requests must not look as full as the others. The assumption weighs as much as these
# slots, so that one full target does not make a zone look full.
USUAL_LOAD = 0.6
USUAL_SLOTS = 20.0
# Variance of the number of requests at a target with a fresh report.
MIN_VARIANCE = 0.5
# Difference of a reported service time from the mean of which half counts, by the variance of the
# route's requests: 1 for a lognormal spread of 0.5. The report is a moving average over about 12
# requests, and all senders that see the same fast target would fill its slots.
HALF_COUNTED_BY_VARIANCE = 3.5
# Number of targets below which that difference is smaller in proportion: the smallest of a few
# reported times is less a matter of chance, and few targets serve the requests of few nodes.
MANY_TARGETS = 12
# Time constant with which the mean replaces a reported service time, so that a target which was
# slow is tried again.
SPEED_MEMORY_S = 30.0


class MeanLoad(NamedTuple):
    """Mean load of the targets of a choice.

    :ivar others_per_slot: requests of other nodes for each slot, by zone
    :ivar service_s: median of the service times of the route, the lower one of two
    :ivar noise: difference of a service time from that median of which half counts, as a share
    :ivar mix_s: mean service time of the requests that targets run, None if not reported
    """

    others_per_slot: dict[str, float]
    service_s: float
    noise: float
    mix_s: float | None


class LoadEstimate(NamedTuple):
    """Estimated load of one target.

    :ivar outstanding: requests that it runs and that wait
    :ivar spread: standard deviation of their number
    :ivar service_s: service time of the route there
    :ivar mix_s: mean service time of those requests
    """

    outstanding: float
    spread: float
    service_s: float
    mix_s: float


class ReportedLoad:
    """Load of one target as known to this node.

    :ivar own_requests: requests of this node that have not ended
    :ivar since_report: requests of this node that were sent after the last report
    :ivar since_cost: their expected service times, relative to the means of their routes
    :ivar others: requests of other nodes in the last report
    :ivar reported_s: monotonic time of that report in seconds
    :ivar service_times: last reported service time in seconds by route, with the time of the report
    """

    __slots__ = (
        "own_requests",
        "since_report",
        "since_cost",
        "report",
        "others",
        "reported_s",
        "service_times",
    )

    def __init__(self) -> None:
        self.own_requests = 0
        self.since_report = 0
        self.since_cost = 0.0
        self.report: LoadReport | None = None
        self.others = 0.0
        self.reported_s = 0.0
        self.service_times: dict[str, tuple[float, float]] = {}

    def start(self, cost: float) -> None:
        """Count a request that is being sent.

        :param cost: its expected service time, relative to the mean of its route
        """
        self.own_requests += 1
        self.since_report += 1
        self.since_cost += cost

    def end(self) -> None:
        """Count the end of a request."""
        self.own_requests = max(0, self.own_requests - 1)

    def store(self, report: LoadReport, route: str, now_s: float) -> None:
        """Store a report that came with the response to a request of a route."""
        self.report = report
        self.reported_s = now_s
        self.others = max(0.0, float(report.running + report.waiting - self.own_requests))
        self.since_report = 0
        self.since_cost = 0.0
        self.service_times[route] = (report.service_time.total_seconds(), now_s)

    def service_time(self, route: str) -> timedelta:
        """Return the last reported service time of a route."""
        known = self.service_times.get(route)
        return DEFAULT_SERVICE_TIME if known is None else timedelta(seconds=known[0])

    def rate_wait_s(self, now_s: float) -> float:
        """Return the seconds until the target's rate limit is expected to allow a request."""
        report = self.report
        if report is None or not report.rate_limit:
            return 0.0
        wait_s = report.rate_wait.total_seconds() - (now_s - self.reported_s)
        return max(0.0, wait_s) + self.since_report / report.rate_limit

    def estimate(self, route: str, target: Target, means: MeanLoad, now_s: float) -> LoadEstimate:
        """Return the estimated load at a time."""
        service_s = self._service_s(route, means, now_s)
        usual_mix_s = service_s
        if means.mix_s is not None:
            # Reports are in whole milliseconds, so that the mean of a fast route is 0.
            speed = service_s / means.service_s if means.service_s > 0.0 else 1.0
            usual_mix_s = means.mix_s * speed
        others = means.others_per_slot[target.zone] * max(1, target.slots)
        own = self.own_requests + max(0.0, self.since_cost - self.since_report)
        report = self.report
        if report is None:
            return LoadEstimate(others + own, sqrt(MIN_VARIANCE + others), service_s, usual_mix_s)
        weight = exp((self.reported_s - now_s) / LOAD_MEMORY_S)
        spread = sqrt(MIN_VARIANCE + others * (1.0 - weight * weight))
        others += (self.others - others) * weight
        mix_s = usual_mix_s
        if report.work:
            requests = report.running / 2.0 + report.waiting
            mix_s += (report.work.total_seconds() / requests - mix_s) * weight if requests else 0.0
        return LoadEstimate(others + own, spread, service_s, mix_s)

    def _service_s(self, route: str, means: MeanLoad, now_s: float) -> float:
        """Return the service time of a route, closer to the mean the less is known of it."""
        known = self.service_times.get(route)
        mean_s = means.service_s
        if known is None or mean_s <= 0.0 or known[0] <= 0.0:
            return mean_s
        ratio = known[0] / mean_s
        difference = ratio - 1.0 if ratio > 1.0 else 1.0 / ratio - 1.0
        square = difference * difference
        share = square / (square + means.noise * means.noise)
        return mean_s * ratio ** (share * exp((known[1] - now_s) / SPEED_MEMORY_S))


UNKNOWN_LOAD = ReportedLoad()


def mean_load(
    targets: Iterable[Target],
    loads: Iterable[ReportedLoad],
    *,
    route: str,
    variance: float,
    now_s: float,
) -> MeanLoad:
    """Return the mean load of targets, in which recent reports count most.

    :param variance: mean square of the relative error of an expected service time
    """
    count = 0
    work_s = requests = all_others = all_slots = 0.0
    zones: dict[str, list[float]] = {}
    service_times = []
    for target, load in zip(targets, loads, strict=True):
        count += 1
        zone = zones.get(target.zone)
        if zone is None:
            zone = zones[target.zone] = [0.0, 0.0]
        known = load.service_times.get(route)
        if known is not None:
            service_times.append(known[0])
        report = load.report
        if report is None:
            continue
        weight = exp((load.reported_s - now_s) / MEAN_MEMORY_S)
        zone[0] += weight * load.others
        zone[1] += weight * report.slots
        if report.work:
            work_s += weight * report.work.total_seconds()
            requests += weight * (report.running / 2.0 + report.waiting)
    for others, slots in zones.values():
        all_others += others
        all_slots += slots
    usual = min(USUAL_LOAD, all_others / all_slots) if all_slots else 0.0
    service_times.sort()
    return MeanLoad(
        {
            zone: (others + usual * USUAL_SLOTS) / (slots + USUAL_SLOTS)
            for zone, (others, slots) in zones.items()
        },
        service_times[(len(service_times) - 1) // 2] if service_times else DEFAULT_SERVICE_S,
        HALF_COUNTED_BY_VARIANCE * variance * min(1.0, count / MANY_TARGETS),
        work_s / requests if requests else None,
    )
