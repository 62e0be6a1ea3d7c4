"""Data model of configuration, targets and rollouts."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from almondshore.core.messages import CrashDeath
from almondshore.http.server import ServerLimits
from almondshore.tenants.table import TenantTable

Address = tuple[str, int]


class Share(NamedTuple):
    """Part of a route's requests that goes to a service.

    :ivar weight: relative to the other shares of the route, not negative
    """

    service: str
    weight: float


class RouteKind(StrEnum):
    """What a route's requests are, which decides how they are retried.

    ``DOWNLOAD``: idempotent requests with large responses. ``UPLOAD``: requests with large bodies
    that are not idempotent.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    DOWNLOAD = "download"
    UPLOAD = "upload"


class Route(NamedTuple):
    """A route of the configuration.

    :ivar timeout: longest time until a request is answered
    :ivar objective: latency objective, the time within which a response counts as on time
    :ivar priority: 0 is the most urgent
    :ivar max_attempts: how many times one request may run at most
    :ivar public: whether its requests need no key where the configuration has tenants
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: timedelta
    objective: timedelta
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind not in (RouteKind.ONCE, RouteKind.UPLOAD)


class RouteTable:
    """Routes by host and prefix.

    A lookup costs one dictionary access for each distinct length of the host's prefixes, however
    many routes there are.

    :ivar hosts: routes by prefix, for each host
    :ivar lengths: distinct lengths of the prefixes of each host, the longest first
    :ivar has_uploads: whether a route is for large bodies
    """

    def __init__(self, *, routes: Iterable[Route] = ()):
        self.hosts: dict[str, dict[str, Route]] = {}
        self.has_uploads = False
        for route in routes:
            self.has_uploads |= route.kind is RouteKind.UPLOAD
            self.hosts.setdefault(route.host.lower(), {}).setdefault(route.prefix, route)
        self.lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self.hosts.items()
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for the path, or None."""
        host = host.lower()
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        size = len(path)
        for length in self.lengths[host]:
            if length <= size and (route := prefixes.get(path[:length])) is not None:
                return route
        return None


class WarmupLimit(NamedTuple):
    """What the targets of a service bear while they are cold.

    :ivar time: how long a target is cold after its start
    :ivar rate_per_s: requests per second that a cold target bears
    """

    time: timedelta
    rate_per_s: float


NO_WARMUPS: Mapping[str, WarmupLimit] = MappingProxyType({})


class MeshConfig(NamedTuple):
    """A version of the configuration, applied atomically.

    :ivar version: increases with each change by the operator
    :ivar health_paths: paths of the targets' health checks by service, for those that have one
    :ivar compressed: the stored configuration, compressed, for nodes that do not read the store; it
        contains digests in place of keys
    :ivar tenants: tenants and their keys, None if requests need no keys
    :ivar warmups: limits of cold targets by service, for services that state one
    """

    version: int
    routes: RouteTable
    health_paths: Mapping[str, str]
    limits: ServerLimits
    compressed: bytes
    tenants: TenantTable | None = None
    warmups: Mapping[str, WarmupLimit] = NO_WARMUPS

    @property
    def has_uploads(self) -> bool:
        """Return whether large bodies are sent, so that refused attempts are expensive."""
        return self.routes.has_uploads


class TargetState(StrEnum):
    """State that a target announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Target(NamedTuple):
    """A target and its node.

    :ivar target: identity of the target
    :ivar node: address at which its node accepts requests for it
    :ivar born_ms: Unix time of the target's start in milliseconds, by its own clock
    :ivar sequence: increases with each announcement of an incarnation
    :ivar link_mbps: bandwidth of the node's link, 0 if unknown
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
    """Announcement of a target to its node.

    :ivar address: address at which the target accepts requests
    :ivar warmup: remaining time of the target's slow start
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
    """Stage of a rollout."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


class Rollout(NamedTuple):
    """An order to move a service to a version, and its progress.

    :ivar duration: time from the order to the deadline
    :ivar share: share of the service's requests that go to the version, 0 to 1
    :ivar revision: revision of the stored object, for conditional updates
    """

    service: str
    version: str
    duration: timedelta
    state: RolloutState
    share: float
    revision: int


class LoadReport(NamedTuple):
    """Load of a target, as its node reports it with each response.

    :ivar running: requests that occupy slots of the target
    :ivar waiting: requests that wait for a slot
    :ivar service_time: expected service time of the request's route
    :ivar failure_rate: recent share of requests that failed, 0 to 1
    :ivar leaving: whether the target is draining or its node shutting down
    :ivar rate_limit: requests per second that the target takes from all nodes, None for no limit
    :ivar rate_wait: time after which that limit allows another request
    :ivar work: expected service time left of all running and waiting requests, 0 if not known
    :ivar ran: service time of the request, 0 if it did not run or failed
    """

    running: int
    waiting: int
    slots: int
    service_time: timedelta
    failure_rate: float
    leaving: bool
    rate_limit: float | None = None
    rate_wait: timedelta = timedelta()
    work: timedelta = timedelta()
    ran: timedelta = timedelta()


class Evacuation(NamedTuple):
    """An order to send no more requests to the targets of a zone.

    :ivar revision: revision of the stored order
    """

    zone: str
    revision: int


class Death(NamedTuple):
    """Death of a target, and the requests that it was running.

    :ivar name: identity of the death, the same in the reports of all nodes
    """

    name: str
    runs: tuple[CrashDeath, ...]
