"""Policies that run a move in the benchmark: the product's code and three baselines."""

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
from bench.move_world import SERVICE, SLOTS, TICK_S, Outcome, Target, World
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

HEARTBEAT_INTERVAL_S = 2.0
LEASE_S = 15.0
# Share of messages lost; the exchange at the next heartbeat makes up for them.
MESSAGE_LOSS = 0.02
ERROR_RATE_THRESHOLD = 0.05
MIN_REQUESTS_PER_WINDOW = 10


class Policy(ABC):
    """Decides which share of its requests each node sends to the new version.

    :ivar bytes: control traffic of the move so far
    """

    def __init__(self, *, world: World):
        self.world = world
        self.rng = random.Random(world.rng.random())
        self.bytes = 0

    @abstractmethod
    def share(self, node: int) -> float:
        """Return the share of a node's requests that goes to the new version."""

    @abstractmethod
    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Record the result of a request; None if it was refused."""

    @abstractmethod
    def record_control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Record the result of a request to another service, which has no move."""

    @abstractmethod
    def tick(self) -> None:
        """Act after a tick of ``TICK_S``."""

    def is_complete(self) -> bool:
        """Return whether all live nodes send all requests to the new version."""
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


class AtOncePolicy(Policy):
    """Baseline: moves all requests at the start."""

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Ignore the result of a request."""

    def record_control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Ignore the result of a request to another service."""

    def share(self, node: int) -> float:
        """Return 1 once a target of the new version is up, until then 0."""
        return 1.0 if self.world.live("v2") else 0.0

    def tick(self) -> None:
        """Do nothing."""


class TimedPolicy(AtOncePolicy):
    """Baseline: takes the steps at fixed times, regardless of the results."""

    def share(self, node: int) -> float:
        """Return the share of the step that is due."""
        step = min(1 + int(self.world.now / (0.18 * self.world.duration)), FINAL_STEP)
        return STEP_SHARES[step]


class ThresholdPolicy(TimedPolicy):
    """Baseline: timed steps, rolled back if too many requests of one second fail."""

    def __init__(self, *, world: World):
        super().__init__(world=world)
        self.requests = self.errors = self.current_second = 0
        self.reverted = False

    def share(self, node: int) -> float:
        """Return the share of the step that is due, or 0 after the rollback."""
        return 0.0 if self.reverted else super().share(node)

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Count requests and errors of the new version."""
        if outcome is not None and target.version == "v2":
            self.requests += 1
            self.errors += not outcome.ok

    def tick(self) -> None:
        """Compare the error rate of the last second with the threshold."""
        if int(self.world.now) == self.current_second:
            return
        self.current_second = int(self.world.now)
        if (
            self.requests >= MIN_REQUESTS_PER_WINDOW
            and self.errors > ERROR_RATE_THRESHOLD * self.requests
        ):
            self.reverted = True
        self.requests = self.errors = 0

    def is_reverted(self) -> bool:
        """Return whether the error rate exceeded the threshold."""
        return self.reverted


class BenchPublisher(OutcomePublisher):
    """Publishes outcomes to all nodes of a policy; fails while the platform is down."""

    def __init__(self, *, policy: "ProductPolicy"):
        self.policy = policy

    def publish(self, service, move_id, state, reason):
        """Publish the outcome of the move if the platform responds."""
        return self.policy.platform.get("config/head").lash(
            lambda error: self.policy.apply_outcome(state, reason, error)
        )


class ProductPolicy(Policy):
    """Runs the product's state machines; messages take one tick and may be lost.

    :ivar zones: zone of each recorder's node; nodes of new targets come after ``nodes()``
    :ivar relays: evidence aggregator of each zone's relay
    :ivar coordinator_zone: zone whose relay coordinates the move, or will do so next
    :ivar evidence: evidence in transit: zone of the receiving relay or -1 for the coordinator,
        sender, evidence
    :ivar weights: share of the new version by node, cached within a tick
    """

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
        self.coordinator_zone = 0
        self.epoch = 0
        self.coordinator: MoveCoordinator | None = None
        self.lease_expires_at = 0.0
        self.coordinator_fails_at = world.faults.get("coordinator")
        self.restart_at = world.faults.get("restart")
        self.inbox: list[tuple[MoveTable, MoveStep | Veto]] = []
        self.evidence: list[tuple[int, str, Evidence]] = []
        self.current_second = 0
        self.weights: dict[int, float] = {}

    def share(self, node: int) -> float:
        """Return the share according to the node's move table."""
        if node not in self.weights:
            self.weights[node] = self.tables[node].weights(self.part).get("v2", 0.0)
        return self.weights[node]

    def record(self, node: int, target: Target, route: str, outcome: Outcome | None) -> None:
        """Record a result at the target's local node."""
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

    def record_control(self, node: int, service: str, ok: bool, latency: timedelta) -> None:
        """Record a result of another service at a node."""
        self.recorders[node].record(service, "v1", "", ok, latency)

    def apply_outcome(self, state: MoveState, reason: str, error):
        """Write an outcome to the configuration of all nodes.

        :return: the failure of the platform if it is down
        """
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
        """Inject faults, deliver messages, run relays and the coordinator, exchange snapshots."""
        self.weights.clear()
        self.store.fault = Fault.DOWN if self.world.platform_down() else Fault.NONE
        self._inject_faults()
        inbox, self.inbox = self.inbox, []
        for table, message in inbox:
            if isinstance(message, MoveStep):
                table.apply_step(message)
            else:
                table.add_veto(message)
        self._deliver_evidence()
        self._run_coordinator()
        if self.world.now % HEARTBEAT_INTERVAL_S < TICK_S:
            self._exchange_snapshots()

    def is_reverted(self) -> bool:
        """Return whether a node vetoes the new version or its move is reverted."""
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

    def _inject_faults(self) -> None:
        now = self.world.now
        failed = self.coordinator_fails_at is not None and now >= self.coordinator_fails_at
        if failed or self.coordinator_zone == self.world.lost_zone:
            self.coordinator_fails_at = None if failed else self.coordinator_fails_at
            self.coordinator = None
            self.lease_expires_at = now + LEASE_S
            self.coordinator_zone = (self.coordinator_zone + 1) % len(self.relays)
        if self.restart_at is not None and now >= self.restart_at:
            self.restart_at = None
            for node in range(0, len(self.nodes()), 2):
                self.tables[node] = self._table()
                self.tables[node].merge(self.relay_tables[self.zone(node)].snapshot())
                self.recorders[node] = self._recorder()
            for target in self.world.targets[::2]:
                self.recorders[target.node] = self._recorder()

    def _deliver_evidence(self) -> None:
        """Deliver evidence, then send new evidence to the relays and on to the coordinator."""
        delivered, self.evidence = self.evidence, []
        for zone, sender, evidence in delivered:
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
        if zone != self.world.lost_zone and self.rng.random() >= MESSAGE_LOSS:
            self.evidence.append((zone, sender, evidence))

    def _run_coordinator(self) -> None:
        if self.coordinator is None:
            if self.world.now < self.lease_expires_at or self.store.fault is Fault.DOWN:
                return
            self.epoch += 1
            self.coordinator = MoveCoordinator(
                clock=self.clock,
                rng=self.rng,
                platform=self.platform,
                publisher=BenchPublisher(policy=self),
                table=self.relay_tables[self.coordinator_zone],
                node=f"relay-{self.epoch}",
                epoch=self.epoch,
                part=self.part,
                config_version=self.version,
            )
        new, old = len(self.world.live("v2")), len(self.world.live("v1"))
        fleet = TargetCounts(SLOTS * new, SLOTS * old, new, old)
        for message in self.coordinator.tick(fleet):
            self._broadcast(message, self.relay_tables[self.coordinator_zone])

    def _broadcast(self, message: MoveStep | Veto, sender_table: MoveTable) -> None:
        self.inbox.append((sender_table, message))
        size = len(encode(Envelope("10.0.0.1:7000", "zone-1", message)))
        for table in self.tables + self.relay_tables:
            self.bytes += size
            if table is not sender_table and self.rng.random() >= MESSAGE_LOSS:
                self.inbox.append((table, message))

    def _exchange_snapshots(self) -> None:
        """Merge the tables of nodes and their relays, and of neighbouring relays, that differ."""
        pairs = [(table, self.relay_tables[self.zone(n)]) for n, table in enumerate(self.tables)]
        pairs += zip(self.relay_tables, self.relay_tables[1:], strict=False)
        for first, second in pairs:
            if first.digest() != second.digest():
                for source, destination in ((first, second), (second, first)):
                    snapshot: MovesSnapshot = source.snapshot()
                    self.bytes += len(encode(Envelope("10.0.0.1:7000", "zone-1", snapshot)))
                    destination.merge(snapshot)
