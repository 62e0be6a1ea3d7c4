"""Typed rules of a rules file, and the configuration parts that they are compiled to."""

from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple, TypedDict


class RequestClass(StrEnum):
    """Priority class of a route's requests."""

    URGENT = "urgent"
    INTERNAL = "internal"
    ROUTINE = "routine"


class Preference(StrEnum):
    """Whether a move keeps its deadline or waits when the new version got too few requests."""

    DEADLINE = "deadline"
    SAFETY = "safety"


class MoveState(StrEnum):
    """State of a move as recorded in a configuration version."""

    ACTIVE = "active"
    DONE = "done"
    REVERTED = "reverted"


class Columns(NamedTuple):
    """Columns of the words of a rule, in characters from 1; 0 if the rule has no such word."""

    name: int = 0
    version: int = 0
    path: int = 0
    deadline: int = 0


class RuleSource(NamedTuple):
    """Position of a rule in its file, and who requested it and why."""

    line: int
    requester: str
    reason: str
    columns: Columns = Columns()


class ServiceRule(NamedTuple):
    """A service and the version that serves it while no move changes that."""

    name: str
    version: str
    source: RuleSource


class RouteRule(NamedTuple):
    """A route that sends matching requests to a service.

    :ivar path: exact path, or a prefix that ends in ``*``
    :ivar once: whether requests on the route are not idempotent
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

    :ivar rate: sustained limit in requests per second
    :ivar burst: number of requests that may arrive at once
    """

    name: str
    rate: float
    burst: int
    source: RuleSource


class MoveRule(NamedTuple):
    """A gradual move of a service's traffic to another version.

    :ivar deadline: time by which the move should be complete, UTC
    """

    service: str
    version: str
    deadline: datetime
    prefer: Preference
    source: RuleSource


class AllowRule(NamedTuple):
    """An operator's override of earlier vetoes of a version."""

    service: str
    version: str
    source: RuleSource


Rule = ServiceRule | RouteRule | TenantRule | MoveRule | AllowRule


class RuleSet(NamedTuple):
    """All rules of one file, grouped by kind; within a kind in file order."""

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

    ``version`` is the version that serves when no move is active; after a completed move it is
    the new version. ``allowed`` maps each version that has an ``allow`` rule to the configuration
    version that introduced the rule.
    """

    name: str
    version: str
    routes: list[RoutePart]
    move: MovePart | None
    allowed: dict[str, int]


class TenantPart(TypedDict):
    """The compiled limit of a tenant; ``rate`` in requests per second, ``burst`` in requests."""

    name: str
    rate: float
    burst: int
