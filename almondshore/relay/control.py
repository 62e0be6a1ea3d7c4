"""The control plane of one node: configuration, directory, relay selection and relay role."""

import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import (
    ALL_ZONES,
    Busy,
    Heartbeat,
    HeartbeatAck,
    Keepalive,
    KeepaliveAck,
    Message,
    RelayInvite,
    Send,
    TargetRecord,
    TargetState,
)
from almondshore.membership.detector import DetectorLimits, FailureDetector
from almondshore.membership.directory import Directory
from almondshore.membership.local import LocalTargets
from almondshore.membership.prober import Prober
from almondshore.membership.sync import DirectorySync
from almondshore.relay.admission import SNAPSHOTS_PER_SECOND, SnapshotAdmission
from almondshore.relay.candidacy import Candidacy
from almondshore.relay.election import NODES_PER_SLOT, RelayElection
from almondshore.relay.fanout import Relay, RelayLimits
from almondshore.relay.selection import RelaySelection, SelectionLimits
from almondshore.relay.source import ConfigSource
from almondshore.relay.subscribers import MAX_SUBSCRIBERS
from almondshore.relay.table import RelayTable
from almondshore.storage.port import Platform
from almondshore.versions.history import MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS, DeltaHistory
from almondshore.versions.publish import Publisher
from almondshore.versions.sync import ConfigSync

NOT_A_RELAY_RETRY_SECONDS = 3.0
MAX_DIRECTORY_PEERS = 6
MIN_RELAYS_FOR_FAIR_SHARE = 5
FAIR_SHARE_MARGIN = 1.25


class Identity(NamedTuple):
    """Identity and addresses of a node.

    :ivar incarnation: increases with each restart of the node
    :ivar control: ``ip:port`` at which it receives control messages
    :ivar address: ``ip:port`` of its listener for requests of other nodes (hop 2)
    """

    node: str
    incarnation: int
    zone: str
    control: str
    address: str


class ControlLimits(NamedTuple):
    """Limits of the state machines of a node.

    :ivar nodes_per_slot: nodes in a zone for each relay slot
    :ivar backlog_deltas: maximum number of configuration changes kept for lagging subscribers
    :ivar backlog_bytes: maximum total size of these changes
    :ivar snapshots_per_second: maximum rate at which this node sends snapshots
    """

    selection: SelectionLimits = SelectionLimits()
    detector: DetectorLimits = DetectorLimits()
    relay: RelayLimits = RelayLimits()
    nodes_per_slot: int = NODES_PER_SLOT
    backlog_deltas: int = MAX_HISTORY_DELTAS
    backlog_bytes: int = MAX_HISTORY_BYTES
    snapshots_per_second: float = SNAPSHOTS_PER_SECOND


class ControlNode:
    """Connects the state machines of one node.

    ``handle`` and ``tick`` never block. ``platform_step`` and ``watch_step`` make blocking platform
    calls and run in separate loops.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        identity: Identity,
        platform: Platform,
        seeds: Sequence[str] = (),
        moves_digest: Callable[[], int] = lambda: 0,
        limits: ControlLimits | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.identity = identity
        self.platform = platform
        self.seeds = [seed for seed in seeds if seed != identity.control]
        self.moves_digest = moves_digest
        self.limits = limits or ControlLimits()
        self.relay: Relay | None = None
        self.source: ConfigSource | None = None
        self.relay_reports_platform_up: bool | None = None
        self.acknowledged = False
        self._make_membership()
        self._make_relay_client()

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Pass a message to the state machines it concerns and return their replies."""
        match message:
            case HeartbeatAck(platform_up=platform_up) | KeepaliveAck(True, platform_up):
                self.relay_reports_platform_up = platform_up
                self.acknowledged = True
        if isinstance(message, RelayInvite):
            self.election.invite(message)
            return []
        if self.relay is not None:
            sends = self.relay.handle(message, sender)
        elif isinstance(message, Heartbeat | Keepalive):
            self.election.on_unexpected_heartbeat()
            return [Send(sender, Busy(NOT_A_RELAY_RETRY_SECONDS, "Heartbeat"))]
        else:
            sends = []
        for component in self._components(message):
            sends += component.handle(message, sender)
        return sends

    def tick(self) -> list[Send]:
        """Run the periodic work that is due, without platform calls."""
        self._update_role()
        sends = self.config.tick() + self.membership.tick() + self.prober.tick()
        sends += self.selection.tick()
        if self.relay is not None:
            sends += self.relay.tick()
        return sends

    @property
    def platform_up(self) -> bool | None:
        """Whether the platform responds, as observed by a relay and reported to the other nodes.

        None until this node has received a report.
        """
        return (
            self.election.platform_up if self.relay is not None else self.relay_reports_platform_up
        )

    def take_liveness_confirmation(self) -> bool:
        """Return whether others have confirmed since the last call that this node is alive.

        A relay confirms it by an acknowledgement. A relay itself is confirmed while the platform
        responds to its lease renewals.
        """
        acknowledged, self.acknowledged = self.acknowledged, False
        return acknowledged or (self.relay is not None and bool(self.platform_up))

    def platform_step(self) -> list[Send]:
        """Acquire, renew and check relay leases; blocks on platform calls."""
        selection = self.selection
        return self.election.step(
            in_zone=selection.in_zone, has_usable_relay=selection.has_usable_relay
        )

    def watch_step(self) -> None:
        """Watch the configuration head if this node is a relay; blocks on platform calls."""
        if self.source is not None:
            self.source.poll()

    def announce(self, records: list[TargetRecord]) -> list[Send]:
        """Publish changed records of this node's targets."""
        return self.membership.own_records_changed(records)

    def propagate(self, message: Message, sender: str) -> list[Send]:
        """Forward a message that every node must receive.

        An ordinary node sends its own messages to its relay. A relay sends them to its
        subscribers and, unless they came from another relay, to the other relays.
        """
        if self.relay is None:
            is_own = sender == self.identity.control
            relay = self.selection.relay
            return [Send(relay, message)] if is_own and relay else []
        if sender in self.table.addresses() and sender != self.identity.control:
            return self.relay.to_subscribers(message)
        return self.relay.broadcast(message)

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the versions and digests that this node holds now."""
        current = self.config.state.current
        return Heartbeat(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            config_version=current.version,
            config_digest=current.digest,
            directory_digests={ALL_ZONES: self.directory.digest()[ALL_ZONES]},
            moves_digest=self.moves_digest(),
            ready=self.config.ready,
            relays_digest=self.table.digest(self.identity.zone),
            zone=self.identity.zone,
        )

    def peers(self) -> list[str]:
        """Return addresses of peers to query for the configuration and the relays.

        Hosts are replaced over time, so the configured seeds may all be gone after some days.
        Nodes from the directory are therefore included.
        """
        controls = [record.control for record in self.directory.records.values()]
        sample = self.rng.sample(controls, min(MAX_DIRECTORY_PEERS, len(controls)))
        addresses = [*self.seeds, *self.table.addresses(self.identity.zone), *sample]
        return [
            peer for peer in dict.fromkeys(addresses) if peer not in ("", self.identity.control)
        ]

    def nodes_in_zone(self) -> int:
        """Return the number of live nodes in this node's zone according to the directory."""
        return len({record.node for record in self._live_in_zone()})

    def fair_share(self) -> int:
        """Return the maximum number of nodes that this node serves as a relay.

        Rendezvous hashing alone gives the busiest of seven relays a third more nodes than the
        mean. With fewer than ``MIN_RELAYS_FOR_FAIR_SHARE`` relays only ``MAX_SUBSCRIBERS``
        applies, since the remaining relays must serve all nodes if one dies.
        """
        relays = len(self.table.addresses(self.identity.zone))
        if relays < MIN_RELAYS_FOR_FAIR_SHARE:
            return MAX_SUBSCRIBERS
        share = FAIR_SHARE_MARGIN * self.nodes_in_zone() / relays
        return max(self.limits.nodes_per_slot, math.ceil(share))

    def candidates(self) -> list[str]:
        """Return addresses of nodes in this node's zone that could become relays.

        On a relay these are its subscribers, on other nodes the live nodes of the directory; in
        both cases the seeds if there are none.
        """
        addresses = {record.control for record in self._live_in_zone() if record.control}
        if self.relay is not None:
            addresses = {subscriber.address for subscriber in self.relay.subscribers}
        return sorted(addresses - {self.identity.control}) or self.seeds

    def _live_in_zone(self) -> list[TargetRecord]:
        records = self.directory.of_zone(self.identity.zone)
        return [record for record in records if record.state is not TargetState.DEAD]

    def _components(self, message: Message):
        """Return the state machines to call for a message; a relay handles some without them."""
        components = (self.config, self.membership, self.prober, self.selection)
        if self.relay is None:
            return components
        handled_by_relay = {"Heartbeat", "Keepalive", "ConfigRequest", "RelayQuery", "RelaySync"}
        return () if type(message).__name__ in handled_by_relay else components

    def _update_role(self) -> None:
        """Start or stop the relay role according to the lease."""
        if self.election.is_relay and self.relay is None:
            self._start_relay()
        elif not self.election.is_relay and self.relay is not None:
            self.relay = self.source = self.membership.forward_changes = None

    def _make_membership(self) -> None:
        clock, identity = self.clock, self.identity
        limits = self.limits
        self.config = ConfigSync(
            clock=clock,
            rng=self.rng,
            peers=self.peers,
            admission=SnapshotAdmission(
                clock=clock, rng=self.rng, rate=limits.snapshots_per_second
            ),
            history=DeltaHistory(max_deltas=limits.backlog_deltas, max_bytes=limits.backlog_bytes),
        )
        self.directory = Directory(clock=clock)
        self.local = LocalTargets(
            clock=clock,
            node=identity.node,
            zone=identity.zone,
            address=identity.address,
            control=identity.control,
            process=identity.incarnation,
        )
        self.membership = DirectorySync(clock=clock, directory=self.directory, local=self.local)
        self.prober = Prober(clock=clock, node=identity.node, incarnation=identity.incarnation)

    def _make_relay_client(self) -> None:
        clock, rng, identity = self.clock, self.rng, self.identity
        self.table = RelayTable()
        self.selection = RelaySelection(
            clock=clock,
            rng=rng,
            node=identity.node,
            zone=identity.zone,
            address=identity.control,
            table=self.table,
            heartbeat=self.heartbeat,
            peers=self.peers,
            limits=self.limits.selection,
        )
        self.election = RelayElection(
            clock=clock,
            rng=rng,
            platform=self.platform,
            address=identity.control,
            zone=identity.zone,
            table=self.table,
            candidacy=Candidacy(clock=clock, rng=rng),
            nodes_in_zone=self.nodes_in_zone,
            candidates=self.candidates,
            nodes_per_slot=self.limits.nodes_per_slot,
        )

    def _start_relay(self) -> None:
        clock, rng, identity = self.clock, self.rng, self.identity
        detector = FailureDetector(
            clock=clock, rng=rng, address=identity.control, limits=self.limits.detector
        )
        self.relay = Relay(
            clock=clock,
            rng=rng,
            address=identity.control,
            zone=identity.zone,
            sync=self.config,
            directory=self.directory,
            detector=detector,
            table=self.table,
            moves_digest=self.moves_digest,
            platform_up=lambda: self.platform_up,
            fair_share=self.fair_share,
            limits=self.limits.relay,
        )
        self.membership.forward_changes = self.relay.own_records_changed
        publisher = Publisher(platform=self.platform)
        self.source = ConfigSource(clock=clock, rng=rng, publisher=publisher, sync=self.config)
