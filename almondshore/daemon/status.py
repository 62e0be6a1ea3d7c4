"""The status of a node and, on a relay, of its availability zone."""

from datetime import datetime, timedelta

from returns.pipeline import is_successful

from almondshore.core.clock import Clock
from almondshore.core.messages import TargetRecord
from almondshore.daemon.node import Node
from almondshore.moves.plan import FINAL_STEP, STEP_SHARES, plan_of
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import Conflict, Platform
from almondshore.versions.status import (
    MoveStatus,
    NodeStatus,
    TargetStatus,
    ZoneStatus,
    encode_status,
    status_key,
)

# Keeps a zone far below its limit of 2 platform writes per second in steady state.
MIN_WRITE_INTERVAL = timedelta(seconds=5)
# An unchanged status is written again after this time, so that readers can tell it is current.
MAX_WRITE_INTERVAL = timedelta(seconds=60)


def node_status(node: Node) -> NodeStatus:
    """Return the status of a node and its targets."""
    identity = node.identity
    return NodeStatus(
        node=identity.node,
        address=identity.control,
        config_version=node.control.config.state.current.version,
        ready=node.ready,
        targets=[_target_status(record) for record in node.control.local.records()],
    )


def move_statuses(node: Node, now: datetime) -> list[MoveStatus]:
    """Return the state of all moves in the configuration in effect, as known to this node."""
    parts = [part for part in node.routes.parts() if part["move"]]
    return [_move_status(node, part, now) for part in parts]


def zone_status(node: Node, now: datetime) -> ZoneStatus:
    """Return the status of a relay's zone: the relay itself and its subscribers."""
    nodes = {node.identity.node: node_status(node)}
    by_node: dict[str, list[TargetRecord]] = {}
    for record in node.control.directory.of_zone(node.identity.zone):
        by_node.setdefault(record.node, []).append(record)
    zone = node.identity.zone
    for subscriber in node.control.relay.subscribers:
        if subscriber.zone != zone:
            continue
        nodes[subscriber.node] = NodeStatus(
            node=subscriber.node,
            address=subscriber.address,
            config_version=subscriber.version,
            ready=subscriber.ready,
            targets=[_target_status(record) for record in by_node.get(subscriber.node, [])],
        )
    versions: dict[str, int] = {}
    for status in nodes.values():
        key = str(status["config_version"])
        versions[key] = versions.get(key, 0) + 1
    return ZoneStatus(
        zone=zone,
        at=now.isoformat(),
        versions=versions,
        nodes=[nodes[name] for name in sorted(nodes)],
        moves=move_statuses(node, now),
    )


def _target_status(record: TargetRecord) -> TargetStatus:
    return TargetStatus(
        target=record.target,
        service=record.service,
        version=record.version,
        state=record.state.name.lower(),
    )


def _move_status(node: Node, part: ServicePart, now: datetime) -> MoveStatus:
    move = part["move"]
    move_step = node.table.step(part)
    step = move_step.step if move_step is not None else 0
    state, reason = move["state"], move["reason"]
    veto = node.table.veto(part, move["to_version"])
    if veto is not None:
        state, reason = MoveState.REVERTED.value, veto.reason
    active = state == MoveState.ACTIVE.value
    return MoveStatus(
        service=part["name"],
        move_id=move["move_id"],
        from_version=move["from_version"],
        to_version=move["to_version"],
        step_percent=_percent(state, step),
        state=state,
        reason=reason,
        deadline=move["deadline"],
        at_risk=active and step < FINAL_STEP and plan_of(move).is_late(step, now),
    )


def _percent(state: str, step: int) -> int:
    if state == MoveState.DONE.value:
        return 100
    if state == MoveState.REVERTED.value:
        return 0
    return round(STEP_SHARES[step] * 100)


class StatusWriter:
    """Writes the status of a zone to the platform.

    A changed status is written at most every ``MIN_WRITE_INTERVAL``, an unchanged one every
    ``MAX_WRITE_INTERVAL``.

    :ivar written: status written last
    :ivar revision: revision of the status object that the next write replaces
    :ivar next_write: monotonic time before which nothing is written
    :ivar next_refresh: monotonic time at which an unchanged status is written again
    """

    def __init__(self, *, clock: Clock, platform: Platform, node: Node):
        self.clock = clock
        self.platform = platform
        self.node = node
        self.written: ZoneStatus | None = None
        self.revision = 0
        self.write_count = 0
        self.next_write = clock.monotonic()
        self.next_refresh = clock.monotonic()

    def step(self) -> None:
        """Write the status if it is due and this node holds the first relay slot of the zone."""
        now = self.clock.monotonic()
        if now < self.next_write or not self._is_first_relay():
            return
        status = zone_status(self.node, self.clock.now())
        if self._is_unchanged(status) and now < self.next_refresh:
            return
        self.next_write = now + MIN_WRITE_INTERVAL
        if self._write(status):
            self.written = status
            self.next_refresh = now + MAX_WRITE_INTERVAL

    def _is_first_relay(self) -> bool:
        election = self.node.control.election
        return self.node.control.relay is not None and election.slot == 0

    def _is_unchanged(self, status: ZoneStatus) -> bool:
        return self.written is not None and {**self.written, "at": ""} == {**status, "at": ""}

    def _write(self, status: ZoneStatus) -> bool:
        key = status_key(status["zone"])
        self.write_count += 1
        write_id = f"{self.node.identity.node}-{self.node.identity.incarnation}-{self.write_count}"
        result = self.platform.update(key, encode_status(status), self.revision, write_id)
        if is_successful(result):
            self.revision = result.unwrap().revision
            return True
        error = result.failure()
        if isinstance(error, Conflict) and error.current is not None:
            self.revision = error.current.revision
        return False
