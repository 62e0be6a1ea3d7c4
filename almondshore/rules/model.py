"""Typed rules as an operator writes them, and the parts they are compiled to."""

from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple, TypedDict


class RequestClass(StrEnum):
    """Priority class of a route's requests."""

    URGENT = "urgent"
    INTERNAL = "internal"
    ROUTINE = "routine"


class Preference(StrEnum):
    """What a move favours when evidence is scarce."""

    DEADLINE = "deadline"
    SAFETY = "safety"


class MoveState(StrEnum):
    """State of a move as a configuration version records it."""

    ACTIVE = "active"
    DONE = "done"
    REVERTED = "reverted"


class Columns(NamedTuple):
    """Columns, counted in characters from 1, of words of a rule; 0 for a word it does not have."""

    name: int = 0
    version: int = 0
    path: int = 0
    deadline: int = 0


class RuleSource(NamedTuple):
    """Where a rule stands and who asked for it."""

    line: int
    requester: str
    reason: str
    columns: Columns = Columns()


class ServiceRule(NamedTuple):
    """A service and the version that serves it outside of moves."""

    name: str
    version: str
    source: RuleSource


class RouteRule(NamedTuple):
    """A route of requests to a service.

    :ivar path: exact path, or a prefix that ends in ``*``
    :ivar once: whether requests of the route are not idempotent
    """

    methods: tuple[str, ...]
    path: str
    service: str
    request_class: RequestClass
    once: bool
    timeout: timedelta
    source: RuleSource


class TenantRule(NamedTuple):
    """The request limit of a tenant.

    :ivar rate: requests a second
    :ivar burst: requests that may come at once
    """

    name: str
    rate: float
    burst: int
    source: RuleSource


class MoveRule(NamedTuple):
    """A move of a service's traffic to a version.

    :ivar deadline: time by which the move is complete, UTC
    """

    service: str
    version: str
    deadline: datetime
    prefer: Preference
    source: RuleSource


class AllowRule(NamedTuple):
    """An operator's override of the veto of a version."""

    service: str
    version: str
    source: RuleSource


Rule = ServiceRule | RouteRule | TenantRule | MoveRule | AllowRule


class RuleSet(NamedTuple):
    """All rules of one file, each kind in the order of the file."""

    services: tuple[ServiceRule, ...] = ()
    routes: tuple[RouteRule, ...] = ()
    tenants: tuple[TenantRule, ...] = ()
    moves: tuple[MoveRule, ...] = ()
    allows: tuple[AllowRule, ...] = ()


class RoutePart(TypedDict):
    """A compiled route; ``timeout_ms`` in milliseconds."""

    methods: list[str]
    path: str
    request_class: str
    once: bool
    timeout_ms: int


class MovePart(TypedDict):
    """A compiled move; ``started`` and ``deadline`` in ISO 8601, UTC."""

    move_id: str
    from_version: str
    to_version: str
    started: str
    deadline: str
    prefer: str
    state: str
    reason: str


class ServicePart(TypedDict):
    """Everything a node needs to route to one service.

    ``version`` is the version that serves outside of a move; it is already the new version once
    a move is done. ``allowed`` maps each version with an override to the configuration version
    that introduced it.
    """

    name: str
    version: str
    routes: list[RoutePart]
    move: MovePart | None
    allowed: dict[str, int]


class TenantPart(TypedDict):
    """The compiled limit of a tenant."""

    name: str
    rate: float
    burst: int
