"""Simulated service for the benchmark of moves: targets, requests and faults."""

import random
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import ManualClock
from almondshore.moves.plan import target_count
from almondshore.rules.model import MovePart, ServicePart
from bench.move_kinds import (
    BASE_ERROR_RATE,
    BASE_LATENCY_MS,
    LATENCY_SIGMA,
    ROUTE_WEIGHTS,
    ROUTES,
    Kind,
)

TICK_S = 0.25
SERVICE = "counter-app"
SLOTS = 10
# Requests per second that a target serves without refusing any, and its default utilisation.
TARGET_REQUESTS_PER_S = 70.0
UTILISATION = 0.7
SLOW_START_S = 10.0
COLD_FACTOR = 3.0
RESTART_S = 5.0
DETECTION_S = 6.0
OVERLOAD_FACTOR = 2.0
LOW_TRAFFIC_FACTOR = 0.2


class Deployment(NamedTuple):
    """Sizes of a user's deployment, as the design page states them.

    :ivar targets: number of targets of each service
    :ivar prefer: whether a late move prefers its deadline or safety
    """

    name: str
    zones: int
    services: int
    targets: int
    prefer: str


FOUR_ZONE_DEPLOYMENT = Deployment("4 zones, 4 x 4 targets", 4, 4, 4, "deadline")
THREE_ZONE_DEPLOYMENT = Deployment("3 zones, 4 x 3 targets", 3, 4, 3, "safety")


class Target:
    """A target of the old or the new version.

    :ivar node: index of its local node
    :ivar up_at: simulated time in seconds from which it serves requests
    :ivar gone: whether its zone is lost
    :ivar load: smoothed utilisation; above 1 the target refuses some requests
    :ivar arrivals: requests of the current tick
    """

    def __init__(self, *, version: str, node: int, zone: int, up_at: float):
        self.version = version
        self.node = node
        self.zone = zone
        self.up_at = up_at
        self.gone = False
        self.load = 0.0
        self.arrivals = 0

    def is_up(self, now: float) -> bool:
        """Return whether the target can serve requests."""
        return not self.gone and now >= self.up_at

    def age(self, now: float) -> float:
        """Return the seconds since the target came up."""
        return now - self.up_at

    def update_load(self) -> None:
        """Update the smoothed utilisation with the arrivals of a tick."""
        self.load += 0.3 * (self.arrivals / (TARGET_REQUESTS_PER_S * TICK_S) - self.load)
        self.arrivals = 0


class Outcome(NamedTuple):
    """Result of a request on a target.

    :ivar broken: whether the target crashed during the request
    :ivar cold: whether the target was in its slow start
    :ivar bad: whether it failed because of a bad new version
    """

    ok: bool
    broken: bool
    latency: timedelta
    cold: bool
    bad: bool


class World:
    """Targets, request rate and faults of one run; times in seconds from its start.

    :ivar faults: start of each fault of the kind
    :ivar choices: live targets and cumulative weights by version and share, cached within a tick
    :ivar harmed: requests that failed or were slower because of a bad new version
    :ivar first_bad: time of the first harmed request
    :ivar fifth_bad: time of the fifth harmed request
    :ivar exposed_at_fifth_bad: share of the requests on the new version at that time
    :ivar last_request_on_new: time of the last request on the new version
    """

    def __init__(self, kind: Kind, deployment: Deployment, duration: float, seed: int):
        self.kind, self.deployment, self.duration = kind, deployment, duration
        self.rng = random.Random(f"{kind.name}/{deployment.name}/{duration}/{seed}")
        self.clock = ManualClock()
        self.part = make_part(deployment, duration, self.clock)
        self.faults = {name: duration * self.rng.uniform(0.1, 0.9) for name in sorted(kind.faults)}
        count = deployment.targets
        late = duration * 0.5 if "late" in self.faults else 0.0
        fewer = 1 if "fewer" in self.faults else 0
        zones, callers = deployment.zones, deployment.services * deployment.targets
        self.targets = [
            Target(version="v1", node=i, zone=i % zones, up_at=-1e6) for i in range(count)
        ] + [
            Target(version="v2", node=callers + i, zone=(i + 1) % zones, up_at=late)
            for i in range(count - fewer)
        ]
        self.now = 0.0
        self.choices: dict[tuple[str, float], tuple[list[Target], list[float]]] = {}
        self.lost_zone: int | None = None
        self.lost_at = 0.0
        self.requests = 0
        self.new_requests = 0
        self.harmed = 0
        self.first_bad: float | None = None
        self.fifth_bad: float | None = None
        self.exposed_at_fifth_bad = 0.0
        self.last_request_on_new: float | None = None
        self.crashes_left = 0
        self.next_crash = self.faults.get("crash-request", 1e9)
        if "crash-request" in self.faults:
            self.crashes_left = 2

    def advance(self) -> None:
        """Advance the time by a tick and update targets and faults."""
        self.clock.advance(timedelta(seconds=TICK_S))
        self.now = self.clock.elapsed.total_seconds()
        for target in self.targets:
            target.update_load()
        self._lose_zone()
        self.choices.clear()

    def platform_down(self) -> bool:
        """Return whether the platform is down at present."""
        if "long-outage" in self.faults:
            return 0.3 <= self.now / self.duration <= 1.2
        start = self.faults.get("outage")
        return start is not None and start <= self.now <= start + 0.4 * self.duration

    def rate(self) -> float:
        """Return the present rate of requests per second."""
        base = UTILISATION * TARGET_REQUESTS_PER_S * self.deployment.targets
        if "quiet" in self.faults:
            base *= LOW_TRAFFIC_FACTOR
        start = self.faults.get("overload")
        loaded = start is not None and start <= self.now <= start + 0.25 * self.duration
        return base * OVERLOAD_FACTOR if loaded else base

    def _lose_zone(self) -> None:
        start = self.faults.get("zone")
        if start is not None and self.now >= start and self.lost_zone is None:
            self.lost_zone, self.lost_at = self.rng.randrange(self.deployment.zones), self.now
            for target in self.targets:
                target.gone = target.gone or target.zone == self.lost_zone

    def live(self, version: str) -> list[Target]:
        """Return the targets that the directory lists as up.

        Those of a lost zone are listed for ``DETECTION_S`` after its loss.
        """
        return [
            target
            for target in self.targets
            if target.version == version
            and target.up_at <= self.now
            and (not target.gone or self.now < self.lost_at + DETECTION_S)
        ]

    def choose(self, version: str, share: float) -> Target | None:
        """Choose a target at random, weighted by age during slow start.

        Of the new version, only as many targets are used as its share requires.
        """
        key = (version, share)
        if key not in self.choices:
            live = self.live(version)
            if version == "v2":
                live = live[: target_count(share, len(live), len(self.live("v1")))]
            total, cumulative_weights = 0.0, []
            for target in live:
                total += min(1.0, 0.1 + target.age(self.now) / SLOW_START_S)
                cumulative_weights.append(total)
            self.choices[key] = (live, cumulative_weights)
        live, cumulative_weights = self.choices[key]
        return self.rng.choices(live, cum_weights=cumulative_weights)[0] if live else None

    def route(self) -> str:
        """Return a random route for the next request."""
        return self.rng.choices(ROUTES, ROUTE_WEIGHTS)[0]

    def serve(self, target: Target, route: str) -> Outcome | None:
        """Run a request; returns None if the overloaded target refused it."""
        target.arrivals += 1
        self.requests += 1
        if target.load > 1 and self.rng.random() > 1 / target.load:
            return None
        if target.version == "v2":
            self.new_requests += 1
            self.last_request_on_new = self.now
        error, slow, crash = self._bad_behaviour(target, route)
        bad = self.rng.random() < error
        crashed = self.rng.random() < crash or self._is_crash_request()
        factor = slow * (1 + target.load**3) * self._cold_factor(target)
        latency = BASE_LATENCY_MS * factor * self.rng.lognormvariate(0, LATENCY_SIGMA)
        if bad or slow > 1 or (crashed and crash):
            self._record_bad_response()
        if crashed:
            target.up_at = self.now + RESTART_S
            self.choices.clear()
        failed = bad or self.rng.random() < BASE_ERROR_RATE
        return Outcome(
            not failed and not crashed,
            crashed,
            timedelta(milliseconds=latency),
            target.age(self.now) < SLOW_START_S,
            bad,
        )

    def _bad_behaviour(self, target: Target, route: str) -> tuple[float, float, float]:
        version = self.kind.version
        is_bad = (
            target.version == "v2"
            and self.now >= version.from_share * self.duration
            and (not version.above_load or target.load >= version.above_load)
            and version.route in ("", route)
        )
        return (
            (version.error_rate, version.latency_factor, version.crash_rate)
            if is_bad
            else (0, 1.0, 0)
        )

    def _cold_factor(self, target: Target) -> float:
        seconds = self.kind.version.cold_seconds if target.version == "v2" else 5.0
        return COLD_FACTOR if target.age(self.now) < seconds else 1.0

    def _is_crash_request(self) -> bool:
        if self.now < self.next_crash or not self.crashes_left:
            return False
        self.crashes_left -= 1
        self.next_crash = self.now + 0.5
        return True

    def _record_bad_response(self) -> None:
        self.harmed += 1
        if self.first_bad is None:
            self.first_bad = self.now
        if self.harmed == 5:
            self.fifth_bad = self.now
            self.exposed_at_fifth_bad = self.new_requests / self.requests


def make_part(deployment: Deployment, duration: float, clock: ManualClock) -> ServicePart:
    """Return the configuration part of the service, with an active move from v1 to v2."""
    move = MovePart(
        move_id="bench",
        from_version="v1",
        to_version="v2",
        started=clock.now().isoformat(),
        deadline=(clock.now() + timedelta(seconds=duration)).isoformat(),
        prefer=deployment.prefer,
        state="active",
        reason="",
    )
    routes = [
        {
            "methods": [route.split()[0]],
            "path": route.split()[1],
            "request_class": "routine",
            "once": False,
            "timeout_ms": 2000,
        }
        for route in ROUTES
    ]
    return ServicePart(name=SERVICE, version="v1", routes=routes, move=move, allowed={})
