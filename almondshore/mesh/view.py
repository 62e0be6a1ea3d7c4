"""What a node tells operators of what it believes."""

from typing import TypedDict

STATUS_PATH = b"/status"
TARGETS_PATH = b"/targets"


class TargetView(TypedDict):
    """A target that a node knows.

    :ivar node: address at which the node beside the target takes requests
    :ivar answers: whether that node answered when it was last tried
    """

    target: str
    service: str
    version: str
    zone: str
    node: str
    state: str
    answers: bool


class TargetsView(TypedDict):
    """All targets that a node knows."""

    targets: list[TargetView]


class ServiceView(TypedDict):
    """Targets of a service by version, and its rollout.

    :ivar ready: ready targets of each version whose node can be reached
    :ivar known: known targets that are not gone
    :ivar rollout: empty if none is known
    """

    service: str
    ready: dict[str, int]
    known: int
    rollout: str
    rollout_version: str
    rollout_share: float


class NodeView(TypedDict):
    """What one node believes.

    :ivar source: ``store``, or the address of the watcher that the node follows
    :ivar state_age_ms: time since the store was last known to have nothing newer; -1 for never
    :ivar store_away_ms: time since the store stopped to answer this node; 0 while it answers
    :ivar target: identity of the target beside the node; empty before it has announced itself
    :ivar unreachable: nodes that get no requests since they do not answer
    """

    node: str
    zone: str
    service: str
    ready: bool
    stopping: bool
    config_version: int
    source: str
    state_age_ms: int
    store_away_ms: int
    target: str
    target_state: str
    running: int
    waiting: int
    services: list[ServiceView]
    unreachable: list[str]
