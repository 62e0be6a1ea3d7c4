"""Schema of the status views that a node serves to operators."""

from typing import TypedDict

STATUS_PATH = b"/status"
TARGETS_PATH = b"/targets"


class TargetView(TypedDict):
    """A target that a node knows.

    :ivar node: address at which the target's node accepts requests
    :ivar answers: whether that node responded to the last attempt to reach it
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

    :ivar ready: number of ready targets with a reachable node, by version
    :ivar known: number of known targets that are not gone
    :ivar rollout: state of the rollout, empty if none is known
    """

    service: str
    ready: dict[str, int]
    known: int
    rollout: str
    rollout_version: str
    rollout_share: float


class NodeView(TypedDict):
    """Status of a node and its view of the mesh.

    :ivar source: ``store``, or the address of the watcher from which the node gets changes
    :ivar state_age_ms: time since the state was last known to be up to date; -1 if it never was
    :ivar store_away_ms: time since the store stopped responding to this node; 0 while it responds
    :ivar target: identity of the local target, empty before its first announcement
    :ivar unreachable: addresses of nodes that get no requests because they do not respond
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
