"""Documents of the platform's store, and their conversion from and to the mesh's types."""

import sys
from collections.abc import Mapping
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from almondshore.core.decoding import decode_json
from almondshore.core.messages import CrashDeath
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import ServerLimits
from almondshore.mesh.hop import Name
from almondshore.mesh.model import (
    Address,
    Death,
    Evacuation,
    MeshConfig,
    Rollout,
    RolloutState,
    Route,
    RouteKind,
    RouteTable,
    Share,
    Target,
    TargetState,
    WarmupLimit,
)
from almondshore.platform.durations import from_seconds
from almondshore.tenants.table import Tenant, TenantTable, digest_key

_ROLLOUT_STATES = {
    "running": RolloutState.RUNNING,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "download": RouteKind.DOWNLOAD,
    "upload": RouteKind.UPLOAD,
}
NO_ROUTES: Mapping[str, Route] = MappingProxyType({})
_ROLLOUT_STATE_NAMES = {state: name for name, state in _ROLLOUT_STATES.items()}


# Other writers may store any number; larger ones do not fit into what they are used for.
MAX_SLOTS = 10_000
MAX_LINK_MBPS = 1e6
MAX_INTEGER = 2**53
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
LinkMbps = Annotated[float, msgspec.Meta(ge=0, le=MAX_LINK_MBPS)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Fingerprint = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{1,16}\Z")]
MAX_PORT = 65535


class SplitDocument(msgspec.Struct):
    """The share of a route's requests that a service gets, relative to the other weights."""

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
    public: bool = False


class ServiceDocument(msgspec.Struct):
    """A service as the operator writes it."""

    health_path: str | None = None
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class TenantDocument(msgspec.Struct):
    """A tenant as :func:`replace_keys` leaves it.

    :ivar key_digests: hexadecimal digests of its keys
    """

    key_digests: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class LimitsDocument(msgspec.Struct):
    """Limits on the requests that clients may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigDocument(msgspec.Struct):
    """A configuration as the operator writes it."""

    # Hexadecimal; versions are compared as numbers.
    version: str
    # Undecoded: thousands of decoded documents would add to the peak of the memory.
    routes: dict[str, msgspec.Raw]
    services: dict[str, ServiceDocument]
    limits: LimitsDocument
    tenants: dict[str, TenantDocument] | None = None


class RolloutOrder(msgspec.Struct):
    """A rollout as the operator orders it."""

    service: str
    target_version: str
    duration_s: float


class RolloutStatus(msgspec.Struct):
    """Progress of a rollout, written by almondshore.

    :ivar share: share of the requests at the new version; a field that almondshore adds
    """

    state: str = ""
    target_version: str = ""
    share: float = 0.0


class TargetDocument(msgspec.Struct):
    """A target's entry, of a kind that almondshore defines."""

    service: Name
    version: Name
    zone: Name
    slots: Slots
    state: str
    host: str
    port: int
    born_ms: UnixMs
    sequence: Sequence
    link_mbps: LinkMbps = 0.0


class RunDocument(msgspec.Struct):
    """A request that a target was running when it died."""

    # Hexadecimal, since not every JSON parser keeps all 64 bits of a number.
    fingerprint: Fingerprint
    target: str
    incarnation: UnixMs
    started_ms: UnixMs
    ended_ms: UnixMs


class DeathDocument(msgspec.Struct):
    """Report of a target's death, of a kind that almondshore defines."""

    runs: list[RunDocument]


def decode_address(host: str, port: int) -> Address:
    """Return an address.

    :raises ValueError: if the host is no IPv4 address, or the port is out of range
    """
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return str(IPv4Address(host)), port


def encode_death(death: Death) -> DeathDocument:
    """Encode the report of a target's death."""
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
    """Decode the report of a target's death.

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


def replace_keys(raw: bytes | msgspec.Raw) -> bytes | msgspec.Raw:
    """Return a configuration as the operator writes it, with digests in place of the tenants' keys.

    A configuration without tenants is returned as it is.

    :raises msgspec.MsgspecError: if it is malformed
    """
    members = decode_json(raw, dict[str, msgspec.Raw])
    if "tenants" not in members:
        return raw
    tenants = decode_json(members["tenants"], dict[str, dict[str, Any]] | None) or {}
    for tenant in tenants.values():
        keys = msgspec.convert(tenant.pop("api_keys", []), list[str])
        tenant["key_digests"] = [digest_key(key.encode()).hex() for key in keys]
    members["tenants"] = msgspec.Raw(msgspec.json.encode(tenants))
    return msgspec.json.encode(members)


def decode_config(raw: bytes | msgspec.Raw, known: Mapping[str, Route] = NO_ROUTES) -> MeshConfig:
    """Decode a configuration with digests in place of keys; its compressed form is left empty.

    :param known: routes of an earlier version by name; equal ones are used again
    :raises msgspec.MsgspecError: if it is malformed
    :raises ValueError: if a value is out of range
    """
    document = decode_json(raw, ConfigDocument)
    limits = document.limits
    values = _UniqueValues()
    routes = (
        _to_route(name, decode_json(route, RouteDocument), values)
        for name, route in document.routes.items()
    )
    return MeshConfig(
        version=int(document.version, 16),
        routes=RouteTable(
            routes=(
                known[route.name] if known.get(route.name) == route else route for route in routes
            )
        ),
        health_paths={
            name: sys.intern(service.health_path)
            for name, service in document.services.items()
            if service.health_path
        },
        limits=ServerLimits(
            RequestLimits(limits.max_header_bytes, limits.max_body_bytes),
            from_seconds(limits.header_timeout_s),
            from_seconds(limits.idle_timeout_s),
        ),
        compressed=b"",
        tenants=None if document.tenants is None else _to_tenants(document.tenants),
        warmups={
            name: WarmupLimit(from_seconds(service.warmup_s), service.warmup_per_s)
            for name, service in document.services.items()
            if service.warmup_per_s > 0
        },
    )


def decode_rollout(spec: object, status: object, revision: int) -> Rollout:
    """Decode a rollout.

    :param spec: the operator's order
    :param status: the stored progress, None if there is none
    :param revision: revision of the stored object
    :raises msgspec.MsgspecError: if the order or the progress is malformed
    """
    order = msgspec.convert(spec, type=RolloutOrder)
    progress = RolloutStatus() if status is None else msgspec.convert(status, type=RolloutStatus)
    state = _ROLLOUT_STATES.get(progress.state, RolloutState.ORDERED)
    if progress.target_version != order.target_version:
        # The status belongs to an earlier order.
        state = RolloutState.ORDERED
    return Rollout(
        order.service,
        order.target_version,
        from_seconds(order.duration_s),
        state,
        progress.share if state is RolloutState.RUNNING else float(state is RolloutState.COMPLETED),
        revision,
    )


def encode_progress(rollout: Rollout) -> RolloutStatus:
    """Encode the progress of a rollout."""
    return RolloutStatus(_ROLLOUT_STATE_NAMES[rollout.state], rollout.version, rollout.share)


def decode_target(name: str, spec: object) -> Target:
    """Decode a target's entry.

    :raises msgspec.MsgspecError: if the entry is malformed
    :raises ValueError: if its state is not known, or its address is none
    """
    document = msgspec.convert(spec, type=TargetDocument)
    return Target(
        target=name,
        service=document.service,
        version=document.version,
        zone=document.zone,
        slots=document.slots,
        state=TargetState(document.state),
        node=decode_address(document.host, document.port),
        born_ms=document.born_ms,
        sequence=document.sequence,
        link_mbps=document.link_mbps,
    )


def encode_target(target: Target) -> TargetDocument:
    """Encode a target's entry."""
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


class _UniqueValues(dict[Any, Any]):
    """Replaces equal values of many routes by one."""

    def __missing__(self, value: Any) -> Any:
        self[value] = value
        return value


def _to_route(name: str, route: RouteDocument, values: _UniqueValues) -> Route:
    """Convert a route.

    :param values: values that the routes of a configuration share
    """
    shares = tuple(Share(part.service, part.weight) for part in route.weighted_clusters)
    return Route(
        name=name,
        host=values[route.hostname],
        prefix=route.path_prefix,
        # A kind that is not known may not be safe to repeat.
        kind=_ROUTE_KINDS.get(route.route_type, RouteKind.ONCE),
        timeout=values[from_seconds(route.timeout_s)],
        objective=values[from_seconds(route.target_latency_s)],
        priority=route.priority,
        shares=values[shares or (Share(route.service, 1.0),)],
        max_attempts=max(1, route.max_attempts),
        public=route.public,
    )


def _to_tenants(documents: Mapping[str, TenantDocument]) -> TenantTable:
    """Convert the tenants of a configuration.

    :raises ValueError: if a digest is malformed
    """
    return TenantTable(
        holders=(
            (
                Tenant(name, document.priority, document.rate_per_s or 0.0, document.burst or 0.0),
                [bytes.fromhex(digest) for digest in document.key_digests],
            )
            for name, document in documents.items()
        )
    )


def decode_evacuation(name: str, revision: int) -> Evacuation:
    """Decode an order to evacuate a zone, whose name is that of the zone."""
    return Evacuation(name, revision)
