"""Documents of the platform's store, decoded into the product's types."""

from datetime import timedelta
from typing import Any

import msgspec

from almondshore.core.messages import CrashDeath
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import ServerLimits
from almondshore.mesh.model import (
    Death,
    MeshConfig,
    Rollout,
    RolloutState,
    Route,
    RouteTable,
    Share,
    Target,
    TargetState,
)

_STATES = {
    "running": RolloutState.RUNNING,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
_STATE_NAMES = {state: name for name, state in _STATES.items()}


class SplitDocument(msgspec.Struct):
    """A part of a route's requests."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct):
    """A route as the operator writes it."""

    hostname: str
    path_prefix: str
    route_type: str
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    service: str = ""
    # Despite its name it lists services, not clusters.
    weighted_clusters: list[SplitDocument] = []


class LimitsDocument(msgspec.Struct):
    """What a client may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigDocument(msgspec.Struct):
    """A configuration as the operator writes it."""

    # Hexadecimal, and compared as a number.
    version: str
    routes: dict[str, RouteDocument]
    services: dict[str, Any]
    limits: LimitsDocument


class RolloutOrder(msgspec.Struct):
    """The operator's order."""

    service: str
    target_version: str
    duration_s: float


class RolloutStatus(msgspec.Struct):
    """Progress of a rollout, written by this product; ``share`` is a field of our own."""

    state: str = ""
    target_version: str = ""
    share: float = 0.0


class TargetDocument(msgspec.Struct):
    """A target's entry, of a kind of our own."""

    service: str
    version: str
    zone: str
    slots: int
    state: str
    host: str
    port: int
    born_ms: int
    sequence: int
    link_mbps: float = 0.0


class RunDocument(msgspec.Struct):
    """A request that a target ran when it died."""

    # In hexadecimal, since not every reader of JSON keeps 64 bits of a number.
    fingerprint: str
    target: str
    incarnation: int
    started_ms: int
    ended_ms: int


class DeathDocument(msgspec.Struct):
    """Report of a target's death, of a kind of our own."""

    runs: list[RunDocument]


def encode_death(death: Death) -> DeathDocument:
    """Return the report to store for a target's death."""
    return DeathDocument(
        [
            RunDocument(
                f"{run.fingerprint:016x}",
                run.target,
                run.incarnation,
                run.started_ms,
                run.ended_ms,
            )
            for run in death.runs
        ]
    )


def decode_death(name: str, spec: object) -> Death:
    """Return the report of a target's death.

    :raises msgspec.MsgspecError: if it is malformed
    :raises ValueError: if a fingerprint is malformed
    """
    document = msgspec.convert(spec, type=DeathDocument)
    return Death(
        name,
        tuple(
            CrashDeath(
                int(run.fingerprint, 16), run.target, run.incarnation, run.started_ms, run.ended_ms
            )
            for run in document.runs
        ),
    )


def decode_config(raw: bytes) -> MeshConfig:
    """Return a configuration.

    :raises msgspec.MsgspecError: if it is malformed
    :raises ValueError: if a value is out of range
    """
    document = msgspec.json.decode(raw, type=ConfigDocument)
    limits = document.limits
    return MeshConfig(
        version=int(document.version, 16),
        routes=RouteTable(
            routes=tuple(_to_route(name, route) for name, route in document.routes.items())
        ),
        services=frozenset(document.services),
        limits=ServerLimits(
            RequestLimits(limits.max_header_bytes, limits.max_body_bytes),
            timedelta(seconds=limits.header_timeout_s),
            timedelta(seconds=limits.idle_timeout_s),
        ),
        raw=raw,
    )


def decode_rollout(spec: object, status: object, revision: int) -> Rollout:
    """Return a rollout.

    :raises msgspec.MsgspecError: if the order is malformed
    """
    order = msgspec.convert(spec, type=RolloutOrder)
    progress = RolloutStatus() if status is None else msgspec.convert(status, type=RolloutStatus)
    state = _STATES.get(progress.state, RolloutState.ORDERED)
    if progress.target_version != order.target_version:
        # The status of an earlier order says nothing about this one.
        state = RolloutState.ORDERED
    return Rollout(
        order.service,
        order.target_version,
        timedelta(seconds=order.duration_s),
        state,
        progress.share if state is RolloutState.RUNNING else float(state is RolloutState.COMPLETED),
        revision,
    )


def encode_progress(rollout: Rollout) -> RolloutStatus:
    """Return the status to store for a rollout."""
    return RolloutStatus(_STATE_NAMES[rollout.state], rollout.version, rollout.share)


def decode_target(name: str, spec: object) -> Target:
    """Return a target.

    :raises msgspec.MsgspecError: if the entry is malformed
    :raises ValueError: if its state is not known
    """
    document = msgspec.convert(spec, type=TargetDocument)
    return Target(
        target=name,
        service=document.service,
        version=document.version,
        zone=document.zone,
        slots=document.slots,
        state=TargetState(document.state),
        node=(document.host, document.port),
        born_ms=document.born_ms,
        sequence=document.sequence,
        link_mbps=document.link_mbps,
    )


def encode_target(target: Target) -> TargetDocument:
    """Return the entry to store for a target."""
    return TargetDocument(
        service=target.service,
        version=target.version,
        zone=target.zone,
        slots=target.slots,
        state=target.state.value,
        host=target.node[0],
        port=target.node[1],
        born_ms=target.born_ms,
        sequence=target.sequence,
        link_mbps=target.link_mbps,
    )


def _to_route(name: str, route: RouteDocument) -> Route:
    shares = tuple(Share(part.service, part.weight) for part in route.weighted_clusters)
    return Route(
        name=name,
        host=route.hostname,
        prefix=route.path_prefix,
        idempotent=route.route_type == "idempotent",
        timeout=timedelta(seconds=route.timeout_s),
        objective=timedelta(seconds=route.target_latency_s),
        priority=route.priority,
        shares=shares or (Share(route.service, 1.0),),
        max_attempts=max(1, route.max_attempts),
    )
