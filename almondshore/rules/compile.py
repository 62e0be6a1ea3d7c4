"""Compiles rules into configuration parts."""

import hashlib
from collections.abc import Mapping
from datetime import datetime

import msgspec

from almondshore.rules.model import (
    MovePart,
    MoveRule,
    MoveState,
    RoutePart,
    RouteRule,
    RuleSet,
    ServicePart,
    TenantPart,
)

SERVICE_PREFIX = "service/"
TENANT_PREFIX = "tenant/"
MOVE_ID_BYTES = 6

_encoder = msgspec.msgpack.Encoder(order="sorted")
_service_decoder = msgspec.msgpack.Decoder(ServicePart)
_tenant_decoder = msgspec.msgpack.Decoder(TenantPart)


def encode_part(part: ServicePart | TenantPart) -> bytes:
    """Encode a part with sorted keys, so that equal parts have equal bytes."""
    return _encoder.encode(part)


def decode_service(data: bytes) -> ServicePart:
    """Decode a service part.

    :raises msgspec.MsgspecError: if the data does not have the shape of a service part
    """
    return _service_decoder.decode(data)


def decode_tenant(data: bytes) -> TenantPart:
    """Decode a tenant part.

    :raises msgspec.MsgspecError: if the data does not have the shape of a tenant part
    """
    return _tenant_decoder.decode(data)


def move_id(rule: MoveRule) -> str:
    """Return the identity of a move: a hash of its service, version and deadline."""
    text = f"{rule.service}\0{rule.version}\0{rule.deadline.isoformat()}"
    return hashlib.blake2b(text.encode(), digest_size=MOVE_ID_BYTES).hexdigest()


def compile_rules(
    rules: RuleSet, *, version: int, now: datetime, previous: Mapping[str, ServicePart]
) -> dict[str, bytes]:
    """Compile checked rules into encoded parts by name.

    A move that the previous configuration already contains keeps its state, so that an unrelated
    change neither restarts nor undoes it.

    :param version: number of the configuration version that will contain the parts
    :param now: start time of new moves
    :param previous: service parts of the current configuration, by service name
    """
    moves = {rule.service: rule for rule in rules.moves}
    routes: dict[str, list[RoutePart]] = {rule.name: [] for rule in rules.services}
    for route in rules.routes:
        routes[route.service].append(_route_part(route))
    allowed: dict[str, list[str]] = {}
    for allow in rules.allows:
        allowed.setdefault(allow.service, []).append(allow.version)
    parts: dict[str, bytes] = {}
    for service in rules.services:
        name = service.name
        move = _move_part(moves.get(name), service.version, now, previous.get(name))
        part = ServicePart(
            name=name,
            version=_serving_version(service.version, move),
            routes=routes[name],
            move=move,
            allowed=_allowed_since(allowed.get(name, []), version, previous.get(name)),
        )
        parts[SERVICE_PREFIX + name] = encode_part(part)
    for tenant in rules.tenants:
        parts[TENANT_PREFIX + tenant.name] = encode_part(
            TenantPart(name=tenant.name, rate=tenant.rate, burst=tenant.burst)
        )
    return parts


def _route_part(route: RouteRule) -> RoutePart:
    return RoutePart(
        methods=list(route.methods),
        path=route.path,
        request_class=route.request_class.value,
        once=route.once,
        timeout_ms=round(route.timeout.total_seconds() * 1000),
    )


def _move_part(
    rule: MoveRule | None, base_version: str, now: datetime, previous: ServicePart | None
) -> MovePart | None:
    if rule is None:
        return None
    identity = move_id(rule)
    existing = previous["move"] if previous is not None else None
    if existing is not None and existing["move_id"] == identity:
        return existing
    if _keeps_identity(existing, rule):
        return MovePart(
            **{**existing, "deadline": rule.deadline.isoformat(), "prefer": rule.prefer.value}
        )
    return MovePart(
        move_id=identity,
        from_version=base_version,
        to_version=rule.version,
        started=now.isoformat(),
        deadline=rule.deadline.isoformat(),
        prefer=rule.prefer.value,
        state=MoveState.ACTIVE.value,
        reason="",
    )


def _keeps_identity(existing: MovePart | None, rule: MoveRule) -> bool:
    """Return whether a rule only changes the deadline or preference of an active move.

    Such a move keeps its identity; a new identity would restart it at the first step.
    """
    if existing is None or existing["state"] != MoveState.ACTIVE.value:
        return False
    return existing["to_version"] == rule.version


def _serving_version(base_version: str, move: MovePart | None) -> str:
    if move is not None and move["state"] == MoveState.DONE.value:
        return move["to_version"]
    return base_version


def _allowed_since(
    allowed: list[str], version: int, previous: ServicePart | None
) -> dict[str, int]:
    """Return, for each allowed version, the configuration version that introduced its rule.

    :param allowed: service versions with an ``allow`` rule
    :param version: configuration version being compiled
    """
    existing = previous["allowed"] if previous is not None else {}
    return {name: existing.get(name, version) for name in sorted(allowed)}
