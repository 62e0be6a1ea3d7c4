"""Ways to run a move in the bench: almondshore's own code and three baselines."""

import random
from abc import ABC, abstractmethod
from datetime import timedelta

from almondshore.core.codec import encode
from almondshore.core.messages import Envelope, Evidence, MovesSnapshot, MoveStep, Veto
from almondshore.moves.coordinator import MoveCoordinator, TargetCounts
from almondshore.moves.evidence import EvidenceAggregator, EvidenceRecorder, split_by_service
from almondshore.moves.outcome import OutcomePublisher, with_outcome
from almondshore.moves.plan import FINAL_STEP, STEP_SHARES
from almondshore.moves.state import MoveTable
from almondshore.moves.veto import LocalDetector
from almondshore.rules.model import MoveState
from bench.move_world import SERVICE, SLOTS, TICK, Outcome, Target, World
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

HEARTBEAT = 2.0
LEASE = 15.0
# One message in fifty is lost; the next heartbeat repairs it.
LOSS = 0.02
THRESHOLD = 0.05
THRESHOLD_REQUESTS = 10


class Policy(ABC):
    """Decides the share of the new version as each node sees it."""

    def __init__(self, *, world: World):
        self.world = world
        self.rng = random.Random(world.rng.random())
        self.bytes = 0

    @abstractmethod
    def share(self, node: int) -> float:
        """Return the share of the new version for requests of a node."""

    @abstractmethod
    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Take in the result of a request; None if it was refused."""

    @abstractmethod
    def control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Take in the result of a request to another service."""

    @abstractmethod
    def tick(self) -> None:
        """Act on the time that has passed."""

    def is_complete(self) -> bool:
        """Return whether all requests go to the new version, on every node that lives."""
        lost = self.world.lost_zone
        return all(self.share(node) == 1.0 for node in self.nodes() if self.zone(node) != lost)

    def is_reverted(self) -> bool:
        """Return whether the move was rolled back."""
        return False

    def nodes(self) -> range:
        """Return the indexes of the nodes that send requests."""
        sizes = self.world.deployment
        return range(sizes.services * sizes.targets)

    def zone(self, node: int) -> int:
        """Return the availability zone of a node."""
        return node % self.world.deployment.zones


class AtOnce(Policy):
    """Moves all requests at the start."""

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Ignore the result of a request."""

    def control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Ignore the result of a request to another service."""

    def share(self, node: int) -> float:
        """Return the whole share once the targets are up."""
        return 1.0 if self.world.live("v2") else 0.0

    def tick(self) -> None:
        """Do nothing."""


class Timed(AtOnce):
    """Takes the steps at fixed times and looks at nothing."""

    def share(self, node: int) -> float:
        """Return the share of the step that is due."""
        step = min(1 + int(self.world.now / (0.18 * self.world.duration)), FINAL_STEP)
        return STEP_SHARES[step]


class Threshold(Timed):
    """Timed steps; rolls back when a window of a second shows too many errors."""

    def __init__(self, *, world: World):
        super().__init__(world=world)
        self.requests = self.errors = self.windows = 0
        self.reverted = False

    def share(self, node: int) -> float:
        """Return the share of the step that is due, or none after the rollback."""
        return 0.0 if self.reverted else super().share(node)

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Count requests and errors of the new version."""
        if outcome is not None and target.version == "v2":
            self.requests += 1
            self.errors += not outcome.ok

    def tick(self) -> None:
        """Compare the last second with the threshold."""
        if int(self.world.now) == self.windows:
            return
        self.windows = int(self.world.now)
        if self.requests >= THRESHOLD_REQUESTS and self.errors > THRESHOLD * self.requests:
            self.reverted = True
        self.requests = self.errors = 0

    def is_reverted(self) -> bool:
        """Return whether the threshold was exceeded."""
        return self.reverted


class BenchPublisher(OutcomePublisher):
    """Puts outcomes into the part that all nodes use; fails while the platform is down."""

    def __init__(self, *, policy: "Moves"):
        self.policy = policy

    def publish(self, service, move_id, state, reason):
        """Publish an outcome if the platform answers."""
        return self.policy.platform.get("config/head").lash(
            lambda error: self.policy.take_outcome(state, reason, error)
        )


class Moves(Policy):
    """almondshore's own state machines, with messages that take a tick and may be lost."""

    def __init__(self, *, world: World):
        super().__init__(world=world)
        self.clock = clock = world.clock
        self.store = ObjectStore(clock=clock)
        self.platform = MemoryPlatform(store=self.store)
        self.part = world.part
        self.version = 1
        self.tables = [self._table() for _ in self.nodes()]
        self.zones = [self.zone(node) for node in self.nodes()]
        self.zones += [target.zone for target in world.targets if target.version == "v2"]
        self.recorders = [self._recorder() for _ in self.zones]
        zones = range(world.deployment.zones)
        self.relays = [EvidenceAggregator(clock=clock) for _ in zones]
        self.relay_tables = [self._table() for _ in zones]
        self.detectors = [
            LocalDetector(clock=clock, node=f"r{zone}", nodes=len(zones)) for zone in zones
        ]
        self.seat = 0
        self.epoch = 0
        self.coordinator: MoveCoordinator | None = None
        self.next_lease = 0.0
        self.death = world.troubles.get("coordinator")
        self.restart = world.troubles.get("restart")
        self.inbox: list[tuple[MoveTable, MoveStep | Veto]] = []
        self.evidence: list[tuple[int, str, Evidence]] = []
        self.windows = 0
        self.weights: dict[int, float] = {}

    def share(self, node: int) -> float:
        """Return the share that the node's own table gives."""
        if node not in self.weights:
            self.weights[node] = self.tables[node].weights(self.part).get("v2", 0.0)
        return self.weights[node]

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Record a result at the node beside its target."""
        recorder = self.recorders[target.node]
        if outcome is None:
            recorder.record_refusal(SERVICE, target.version, route)
            return
        recorder.record(
            SERVICE,
            target.version,
            route,
            outcome.ok,
            outcome.latency,
            broken=outcome.broken,
            cold=outcome.cold,
        )

    def control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Record a result of another service."""
        self.recorders[node].record(service, "v1", "", ok, latency)

    def take_outcome(self, state: MoveState, reason: str, error):
        """Put an outcome into the configuration unless the platform is down."""
        if self.store.fault is Fault.DOWN:
            return self.platform.get("config/head")
        self.part = with_outcome(self.part, state, reason)
        self.version += 1
        for table in self.tables + self.relay_tables:
            table.set_configuration([self.part])
        if self.coordinator is not None:
            self.coordinator.set_configuration(self.part, self.version)
        return self.platform.create(f"outcome/{self.version}", b"", "bench")

    def tick(self) -> None:
        """Deliver messages, act at relays and coordinator, exchange digests."""
        self.weights.clear()
        self.store.fault = Fault.DOWN if self.world.platform_down() else Fault.NONE
        self._fail()
        inbox, self.inbox = self.inbox, []
        for table, message in inbox:
            if isinstance(message, MoveStep):
                table.apply_step(message)
            else:
                table.add_veto(message)
        self._collect()
        self._coordinate()
        if self.world.now % HEARTBEAT < TICK:
            self._repair()

    def is_reverted(self) -> bool:
        """Return whether the version is vetoed or its move reverted."""
        vetoed = any(table.veto(self.part, "v2") for table in self.tables)
        return vetoed or self.part["move"]["state"] == MoveState.REVERTED.value

    def _table(self) -> MoveTable:
        table = MoveTable()
        table.set_configuration([self.part])
        return table

    def _recorder(self) -> EvidenceRecorder:
        recorder = EvidenceRecorder(clock=self.clock)
        recorder.set_services({SERVICE})
        return recorder

    def _fail(self) -> None:
        now = self.world.now
        died = self.death is not None and now >= self.death
        if died or self.seat == self.world.lost_zone:
            self.death = None if died else self.death
            self.coordinator = None
            self.next_lease = now + LEASE
            self.seat = (self.seat + 1) % len(self.relays)
        if self.restart is not None and now >= self.restart:
            self.restart = None
            for node in range(0, len(self.nodes()), 2):
                self.tables[node] = self._table()
                self.tables[node].merge(self.relay_tables[self.zone(node)].snapshot())
                self.recorders[node] = self._recorder()
            for target in self.world.targets[::2]:
                self.recorders[target.node] = self._recorder()

    def _collect(self) -> None:
        """Pass evidence on: nodes to relays, relays to the coordinator."""
        arrived, self.evidence = self.evidence, []
        for zone, sender, evidence in arrived:
            if zone >= 0:
                self.relays[zone].add(evidence, sender)
            elif self.coordinator is not None:
                self.coordinator.add_evidence(evidence, sender)
        for node, recorder in enumerate(self.recorders):
            for evidence in recorder.tick():
                self._send(evidence, self.zones[node], f"n{node}")
        for zone, relay in enumerate(self.relays):
            for evidence in relay.tick():
                if zone != self.world.lost_zone:
                    self._forward(evidence, zone)

    def _forward(self, evidence: Evidence, zone: int) -> None:
        for veto in self.detectors[zone].observe(evidence, [self.part], self.version):
            self._broadcast(veto, self.relay_tables[zone])
        parts = split_by_service(evidence, [SERVICE])
        if SERVICE in parts:
            self._send(parts[SERVICE], -1, f"r{zone}")

    def _send(self, evidence: Evidence, zone: int, sender: str) -> None:
        self.bytes += len(encode(Envelope("10.0.0.1:7000", f"zone-{zone}", evidence)))
        if zone != self.world.lost_zone and self.rng.random() >= LOSS:
            self.evidence.append((zone, sender, evidence))

    def _coordinate(self) -> None:
        if self.coordinator is None:
            if self.world.now < self.next_lease or self.store.fault is Fault.DOWN:
                return
            self.epoch += 1
            self.coordinator = MoveCoordinator(
                clock=self.clock,
                rng=self.rng,
                platform=self.platform,
                publisher=BenchPublisher(policy=self),
                table=self.relay_tables[self.seat],
                node=f"relay-{self.epoch}",
                epoch=self.epoch,
                part=self.part,
                config_version=self.version,
            )
        new, old = len(self.world.live("v2")), len(self.world.live("v1"))
        fleet = TargetCounts(SLOTS * new, SLOTS * old, new, old)
        for message in self.coordinator.tick(fleet):
            self._broadcast(message, self.relay_tables[self.seat])

    def _broadcast(self, message: MoveStep | Veto, own: MoveTable) -> None:
        self.inbox.append((own, message))
        size = len(encode(Envelope("10.0.0.1:7000", "zone-1", message)))
        for table in self.tables + self.relay_tables:
            self.bytes += size
            if table is not own and self.rng.random() >= LOSS:
                self.inbox.append((table, message))

    def _repair(self) -> None:
        """Let each node merge with its relay, and the relays with one another."""
        pairs = [(table, self.relay_tables[self.zone(n)]) for n, table in enumerate(self.tables)]
        pairs += zip(self.relay_tables, self.relay_tables[1:], strict=False)
        for one, other in pairs:
            if one.digest() != other.digest():
                for source, sink in ((one, other), (other, one)):
                    snapshot: MovesSnapshot = source.snapshot()
                    self.bytes += len(encode(Envelope("10.0.0.1:7000", "zone-1", snapshot)))
                    sink.merge(snapshot)
