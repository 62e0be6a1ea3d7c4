"""Moves at one node: evidence, vetoes, steps and, on relays, the coordination of moves."""

import random
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import (
    Evidence,
    Heartbeat,
    HeartbeatAck,
    Message,
    MovesRequest,
    MovesSnapshot,
    MoveStep,
    RelaySync,
    Send,
    Veto,
)
from almondshore.core.rendezvous import choose
from almondshore.daemon.routes import RouteUpdater
from almondshore.moves.coordinator import MoveCoordinator, MoveReport, TargetCounts
from almondshore.moves.evidence import (
    EvidenceAggregator,
    EvidenceRecorder,
    split_by_service,
)
from almondshore.moves.outcome import ConfigOutcomePublisher
from almondshore.moves.state import MoveTable
from almondshore.moves.veto import LocalDetector
from almondshore.proxy.target import RunResult
from almondshore.relay.control import ControlNode
from almondshore.relay.lease import Held, HeldElsewhere, Lease
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import Platform
from almondshore.versions.publish import Publisher

LEASE_RENEW_INTERVAL = timedelta(seconds=5)


class CoordinatedMove(NamedTuple):
    """A move assigned to this node for coordination.

    :ivar coordinator: None until this node holds the lease, and while another node holds it
    :ivar next_renewal: monotonic time at which the lease is next acquired or renewed
    """

    lease: Lease
    coordinator: MoveCoordinator | None
    next_renewal: timedelta


class MoveManager:
    """Connects the state machines of moves with the control plane of a node.

    :ivar detector: created when a relay first has evidence to test
    :ivar coordinated_moves: moves assigned to this node, by service and move ID
    :ivar reports: reports of the moves that this node coordinates, by service
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        control: ControlNode,
        table: MoveTable,
        routes: RouteUpdater,
    ):
        self.clock = clock
        self.rng = rng
        self.platform = platform
        self.control = control
        self.table = table
        self.routes = routes
        self.recorder = EvidenceRecorder(clock=clock)
        self.aggregator = EvidenceAggregator(clock=clock)
        self.detector: LocalDetector | None = None
        self.coordinated_moves: dict[tuple[str, str], CoordinatedMove] = {}
        self.reports: dict[str, MoveReport] = {}

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Process messages about moves; request a snapshot if the digest of a peer differs."""
        match message:
            case Veto():
                return (
                    self.control.propagate(message, sender) if self.table.add_veto(message) else []
                )
            case MoveStep():
                return (
                    self.control.propagate(message, sender)
                    if self.table.apply_step(message)
                    else []
                )
            case MovesSnapshot():
                return self._merge_snapshot(message, sender)
            case MovesRequest(digest) if digest != self.table.digest():
                return [Send(sender, self.table.snapshot())]
            case Evidence():
                self._handle_evidence(message, sender)
            case Heartbeat() | HeartbeatAck() | RelaySync():
                if message.moves_digest != self.table.digest():
                    return [Send(sender, MovesRequest(self.table.digest()))]
        return []

    def record(self, result: RunResult) -> None:
        """Record the result of a request that this node handed to one of its targets."""
        self.recorder.record(
            result.service,
            result.version,
            result.route,
            result.ok,
            result.latency,
            broken=result.broken,
        )

    def tick(self) -> list[Send]:
        """Report the evidence of closed windows; a relay also tests and forwards its aggregates."""
        parts = self._monitored_parts()
        self.recorder.set_services({part["name"] for part in parts})
        sends: list[Send] = []
        for evidence in self.recorder.tick():
            sends += self._submit_evidence(evidence)
        if self.control.relay is not None:
            sends += self._forward_evidence(parts)
        return sends

    def coordinate(self) -> list[Send]:
        """Advance the moves assigned to this node; blocks on platform calls."""
        sends: list[Send] = []
        assigned = {
            self._move_key(part): part
            for part in self._monitored_parts()
            if self._is_assigned(part)
        }
        for key in self.coordinated_moves.keys() - assigned.keys():
            self.coordinated_moves.pop(key).lease.release()
        for key, part in assigned.items():
            for message in self._advance(key, part):
                sends += self.control.propagate(message, self.control.identity.control)
        self.reports = {
            key[0]: item.coordinator.report()
            for key, item in self.coordinated_moves.items()
            if item.coordinator is not None
        }
        return sends

    def release(self) -> None:
        """Release the leases of all coordinated moves; called on shutdown."""
        for item in self.coordinated_moves.values():
            item.lease.release()
        self.coordinated_moves.clear()

    def _monitored_parts(self) -> list[ServicePart]:
        """Return the services whose move is active, or is done with old targets still listed."""
        return [part for part in self.routes.parts() if part["move"] and self._is_open(part)]

    def _is_open(self, part: ServicePart) -> bool:
        move = part["move"]
        if move["state"] == MoveState.DONE.value:
            return bool(self.control.directory.lookup(part["name"], move["from_version"]))
        return move["state"] == MoveState.ACTIVE.value

    def _is_assigned(self, part: ServicePart) -> bool:
        if self.control.relay is None:
            return False
        return self._coordinator_of(part["name"]) == self.control.identity.control

    def _coordinator_of(self, service: str) -> str | None:
        return choose(service, self.control.table.addresses())

    def _move_key(self, part: ServicePart) -> tuple[str, str]:
        return part["name"], part["move"]["move_id"]

    def _advance(self, key: tuple[str, str], part: ServicePart) -> list[MoveStep | Veto]:
        item = self._acquire_or_renew_lease(key, part)
        self.coordinated_moves[key] = item
        if item.coordinator is None:
            return []
        version = self.control.config.state.current.version
        item.coordinator.set_configuration(part, version)
        return item.coordinator.tick(self._count_targets(part))

    def _acquire_or_renew_lease(self, key: tuple[str, str], part: ServicePart) -> CoordinatedMove:
        """Acquire or renew the lease of a move if due; a new epoch needs a new coordinator."""
        now = self.clock.monotonic()
        item = self.coordinated_moves.get(key) or self._new_coordinated_move(part)
        if now < item.next_renewal:
            return item
        result = item.lease.acquire_or_renew()
        coordinator = item.coordinator
        if isinstance(result, HeldElsewhere):
            coordinator = None
        elif isinstance(result, Held) and (
            coordinator is None or coordinator.epoch != result.epoch or coordinator.fenced
        ):
            coordinator = self._new_coordinator(part, result.epoch)
        return CoordinatedMove(item.lease, coordinator, now + LEASE_RENEW_INTERVAL)

    def _new_coordinated_move(self, part: ServicePart) -> CoordinatedMove:
        lease = Lease(
            platform=self.platform,
            key=f"lease/move/{part['name']}",
            holder=self.control.identity.control,
            clock=self.clock,
        )
        return CoordinatedMove(lease, None, self.clock.monotonic())

    def _new_coordinator(self, part: ServicePart, epoch: int) -> MoveCoordinator:
        node = self.control.identity.node
        publisher = ConfigOutcomePublisher(
            publisher=Publisher(platform=self.platform), clock=self.clock, author=node
        )
        return MoveCoordinator(
            clock=self.clock,
            rng=self.rng,
            platform=self.platform,
            publisher=publisher,
            table=self.table,
            node=node,
            epoch=epoch,
            part=part,
            config_version=self.control.config.state.current.version,
        )

    def _count_targets(self, part: ServicePart) -> TargetCounts:
        lookup, name, move = self.control.directory.lookup, part["name"], part["move"]
        new, old = lookup(name, move["to_version"]), lookup(name, move["from_version"])
        return TargetCounts(
            sum(r.slots for r in new), sum(r.slots for r in old), len(new), len(old)
        )

    def _submit_evidence(self, evidence: Evidence) -> list[Send]:
        """Add this node's evidence to its aggregate if it is a relay, else send it to its relay."""
        if self.control.relay is not None:
            self.aggregator.add(evidence, self.control.identity.control)
            return []
        relay = self.control.selection.relay
        return [Send(relay, evidence)] if relay else []

    def _detect_faults(self, evidence: Evidence, parts: list[ServicePart]) -> list[Veto]:
        """Test aggregated evidence of this relay for faults; return new vetoes."""
        if self.detector is None:
            relays = len(self.control.table.addresses())
            self.detector = LocalDetector(
                clock=self.clock, node=self.control.identity.node, nodes=relays
            )
        version = self.control.config.state.current.version
        return self.detector.observe(evidence, parts, version)

    def _forward_evidence(self, parts: list[ServicePart]) -> list[Send]:
        """Test the aggregated evidence of this relay and send it to the coordinators."""
        sends: list[Send] = []
        names = [part["name"] for part in parts]
        for evidence in self.aggregator.tick():
            for veto in self._detect_faults(evidence, parts):
                if self.table.add_veto(veto):
                    sends += self.control.propagate(veto, self.control.identity.control)
            for service, service_evidence in split_by_service(evidence, names).items():
                coordinator = self._coordinator_of(service)
                if coordinator == self.control.identity.control:
                    self._add_to_coordinator(service, service_evidence, coordinator)
                elif coordinator is not None:
                    sends.append(Send(coordinator, service_evidence))
        return sends

    def _handle_evidence(self, evidence: Evidence, sender: str) -> None:
        """Add evidence of a subscriber to the aggregate, or that of a relay to the coordinator."""
        if sender not in self.control.table.addresses():
            self.aggregator.add(evidence, sender)
            return
        for row in evidence.rows:
            if row.version:
                self._add_to_coordinator(row.service, evidence, sender)
                return

    def _add_to_coordinator(self, service: str, evidence: Evidence, sender: str) -> None:
        for (name, _), item in self.coordinated_moves.items():
            if name == service and item.coordinator is not None:
                item.coordinator.add_evidence(evidence, sender)

    def _merge_snapshot(self, snapshot: MovesSnapshot, sender: str) -> list[Send]:
        """Merge a snapshot; a relay forwards the entries that were new to it."""
        vetoes = [veto for veto in snapshot.vetoes if self.table.add_veto(veto)]
        steps = [step for step in snapshot.steps if self.table.apply_step(step)]
        self.table.synced = True
        return [send for item in (*vetoes, *steps) for send in self.control.propagate(item, sender)]
