"""Configuration, targets and rollouts as the request path sees them."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.messages import CrashDeath
from almondshore.http.server import ServerLimits

Address = tuple[str, int]


class Share(NamedTuple):
    """Part of a route's requests that goes to a service.

    :ivar weight: relative to the other parts of the route, not negative
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A route of the configuration.

    :ivar idempotent: whether a request may run more than once
    :ivar timeout: longest time a request may be kept waiting
    :ivar objective: time within which a response is on time
    :ivar priority: rank, 0 is the most urgent
    :ivar max_attempts: most targets that may run one request
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: timedelta
    objective: timedelta
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int


class RouteTable:
    """Routes by host, longest prefix first."""

    def __init__(self, *, routes: tuple[Route, ...] = ()):
        self.hosts: dict[str, list[Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), []).append(route)
        for found in self.hosts.values():
            found.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self.hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class MeshConfig(NamedTuple):
    """A version of the configuration, applied whole.

    :ivar version: increases with each change by the operator
    :ivar services: names of the configured services
    :ivar raw: the configuration as it was stored, for nodes that cannot reach the store
    """

    version: int
    routes: RouteTable
    services: frozenset[str]
    limits: ServerLimits
    raw: bytes


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Target(NamedTuple):
    """A target and the node beside it.

    :ivar target: identity of the target
    :ivar node: address at which the node beside it takes requests for it
    :ivar born_ms: Unix time of the target's start, in milliseconds, by its own clock
    :ivar sequence: increases with each announcement of one incarnation
    :ivar link_mbps: bandwidth of the node's link, 0 if it is not known
    """

    target: str
    service: str
    version: str
    zone: str
    slots: int
    state: TargetState
    node: Address
    born_ms: int
    sequence: int
    link_mbps: float = 0.0


class Announcement(NamedTuple):
    """What a target tells the node beside it.

    :ivar warmup: how much longer the target is slow after its start
    """

    target: str
    service: str
    version: str
    zone: str
    slots: int
    state: TargetState
    address: Address
    born_ms: int
    sequence: int
    warmup: timedelta


class RolloutState(StrEnum):
    """Progress of a rollout."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


class Rollout(NamedTuple):
    """An order to move a service to a version, and how far it is.

    :ivar duration: time from the order to the deadline
    :ivar share: part of the service's requests that the version gets, 0 to 1
    :ivar revision: of the stored object, for conditional updates
    """

    service: str
    version: str
    duration: timedelta
    state: RolloutState
    share: float
    revision: int


class LoadReport(NamedTuple):
    """Load of a target, as the node beside it reports it with each response.

    :ivar running: requests in the target's slots
    :ivar waiting: requests that wait for a slot
    :ivar service_time: expected time in a slot for the route of the request
    :ivar failure_rate: recent share of requests that failed, 0 to 1
    :ivar leaving: whether the target or its node takes no further work soon
    """

    running: int
    waiting: int
    slots: int
    service_time: timedelta
    failure_rate: float
    leaving: bool


class Death(NamedTuple):
    """A target that died, and what it ran.

    :ivar name: identity of the death, the same whoever reports it
    """

    name: str
    runs: tuple[CrashDeath, ...]
