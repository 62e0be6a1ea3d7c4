"""Moves at one node: evidence, vetoes, steps, and the coordinator role on relays."""

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
from almondshore.daemon.routes import RouteKeeper
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


class Coordination(NamedTuple):
    """A move that this node coordinates or wants to."""

    lease: Lease
    coordinator: MoveCoordinator | None
    next_renewal: timedelta


class MoveKeeper:
    """Joins the state machines of moves with those of the control side of a node."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        control: ControlNode,
        table: MoveTable,
        routes: RouteKeeper,
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
        self.coordinations: dict[tuple[str, str], Coordination] = {}
        self.reports: dict[str, MoveReport] = {}

    def handle(self, message: Message, sender: str) -> list[Send]:
        """React to messages about moves and to digests that differ."""
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
                return self._merge(message, sender)
            case MovesRequest(digest) if digest != self.table.digest():
                return [Send(sender, self.table.snapshot())]
            case Evidence():
                self._take_evidence(message, sender)
            case Heartbeat() | HeartbeatAck() | RelaySync():
                if message.moves_digest != self.table.digest():
                    return [Send(sender, MovesRequest(self.table.digest()))]
        return []

    def record(self, result: RunResult) -> None:
        """Count the result of a request that was handed to a target beside this node."""
        self.recorder.record(
            result.service,
            result.version,
            result.route,
            result.ok,
            result.latency,
            broken=result.broken,
        )

    def tick(self) -> list[Send]:
        """Report the evidence of the windows that have ended; a relay tests and forwards it."""
        watched = self._watched()
        self.recorder.set_services({part["name"] for part in watched})
        sends: list[Send] = []
        for evidence in self.recorder.tick():
            sends += self._report(evidence)
        if self.control.relay is not None:
            sends += self._forward_evidence(watched)
        return sends

    def coordinate(self) -> list[Send]:
        """Advance the moves that fall to this node; waits for the platform."""
        sends: list[Send] = []
        wanted = {self._key(part): part for part in self._watched() if self._is_own(part)}
        for key in self.coordinations.keys() - wanted.keys():
            self.coordinations.pop(key).lease.release()
        for key, part in wanted.items():
            for message in self._advance(key, part):
                sends += self.control.propagate(message, self.control.identity.control)
        self.reports = {
            key[0]: item.coordinator.report()
            for key, item in self.coordinations.items()
            if item.coordinator is not None
        }
        return sends

    def release(self) -> None:
        """Give up all leases on shutdown."""
        for item in self.coordinations.values():
            item.lease.release()
        self.coordinations.clear()

    def _watched(self) -> list[ServicePart]:
        """Return the services whose move is active, or done while old targets remain."""
        return [part for part in self.routes.parts() if part["move"] and self._is_open(part)]

    def _is_open(self, part: ServicePart) -> bool:
        move = part["move"]
        if move["state"] == MoveState.DONE.value:
            return bool(self.control.directory.lookup(part["name"], move["from_version"]))
        return move["state"] == MoveState.ACTIVE.value

    def _is_own(self, part: ServicePart) -> bool:
        if self.control.relay is None:
            return False
        return self._coordinator_of(part["name"]) == self.control.identity.control

    def _coordinator_of(self, service: str) -> str | None:
        return choose(service, self.control.table.addresses())

    def _key(self, part: ServicePart) -> tuple[str, str]:
        return part["name"], part["move"]["move_id"]

    def _advance(self, key: tuple[str, str], part: ServicePart) -> list[MoveStep | Veto]:
        item = self._hold_lease(key, part)
        self.coordinations[key] = item
        if item.coordinator is None:
            return []
        version = self.control.config.state.current.version
        item.coordinator.set_configuration(part, version)
        return item.coordinator.tick(self._fleet(part))

    def _hold_lease(self, key: tuple[str, str], part: ServicePart) -> Coordination:
        """Renew the lease of a move; a new epoch needs a new coordinator."""
        now = self.clock.monotonic()
        item = self.coordinations.get(key) or self._new_coordination(part)
        if now < item.next_renewal:
            return item
        answer = item.lease.acquire_or_renew()
        coordinator = item.coordinator
        if isinstance(answer, HeldElsewhere):
            coordinator = None
        elif isinstance(answer, Held) and (
            coordinator is None or coordinator.epoch != answer.epoch or coordinator.fenced
        ):
            coordinator = self._new_coordinator(part, answer.epoch)
        return Coordination(item.lease, coordinator, now + LEASE_RENEW_INTERVAL)

    def _new_coordination(self, part: ServicePart) -> Coordination:
        lease = Lease(
            platform=self.platform,
            key=f"lease/move/{part['name']}",
            holder=self.control.identity.control,
            clock=self.clock,
        )
        return Coordination(lease, None, self.clock.monotonic())

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

    def _fleet(self, part: ServicePart) -> TargetCounts:
        lookup, name, move = self.control.directory.lookup, part["name"], part["move"]
        new, old = lookup(name, move["to_version"]), lookup(name, move["from_version"])
        return TargetCounts(
            sum(r.slots for r in new), sum(r.slots for r in old), len(new), len(old)
        )

    def _report(self, evidence: Evidence) -> list[Send]:
        """Give the own evidence to the relay that sums it up."""
        if self.control.relay is not None:
            self.aggregator.add(evidence, self.control.identity.control)
            return []
        relay = self.control.selection.relay
        return [Send(relay, evidence)] if relay else []

    def _detect(self, evidence: Evidence, watched: list[ServicePart]) -> list[Veto]:
        if self.detector is None:
            relays = len(self.control.table.addresses())
            self.detector = LocalDetector(
                clock=self.clock, node=self.control.identity.node, nodes=relays
            )
        version = self.control.config.state.current.version
        return self.detector.observe(evidence, watched, version)

    def _forward_evidence(self, watched: list[ServicePart]) -> list[Send]:
        """Send the sums of this relay to the coordinators."""
        sends: list[Send] = []
        names = [part["name"] for part in watched]
        for evidence in self.aggregator.tick():
            for veto in self._detect(evidence, watched):
                if self.table.add_veto(veto):
                    sends += self.control.propagate(veto, self.control.identity.control)
            for service, own in split_by_service(evidence, names).items():
                coordinator = self._coordinator_of(service)
                if coordinator == self.control.identity.control:
                    self._add_to_coordinator(service, own, coordinator)
                elif coordinator is not None:
                    sends.append(Send(coordinator, own))
        return sends

    def _take_evidence(self, evidence: Evidence, sender: str) -> None:
        """Take evidence from a node of this relay, or the sum of another relay."""
        if sender not in self.control.table.addresses():
            self.aggregator.add(evidence, sender)
            return
        for row in evidence.rows:
            if row.version:
                self._add_to_coordinator(row.service, evidence, sender)
                return

    def _add_to_coordinator(self, service: str, evidence: Evidence, sender: str) -> None:
        for (name, _), item in self.coordinations.items():
            if name == service and item.coordinator is not None:
                item.coordinator.add_evidence(evidence, sender)

    def _merge(self, snapshot: MovesSnapshot, sender: str) -> list[Send]:
        """Merge a snapshot; a relay passes on what was new to it."""
        vetoes = [veto for veto in snapshot.vetoes if self.table.add_veto(veto)]
        steps = [step for step in snapshot.steps if self.table.apply_step(step)]
        self.table.synced = True
        return [send for item in (*vetoes, *steps) for send in self.control.propagate(item, sender)]
