"""The relay: forwards configuration and directory changes to its subscribers and other relays."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import (
    ALL_ZONES,
    Announce,
    Busy,
    ConfigRequest,
    DirectoryDelta,
    DirectoryRequest,
    DirectorySnapshot,
    Heartbeat,
    HeartbeatAck,
    Keepalive,
    KeepaliveAck,
    Message,
    RelayList,
    RelayQuery,
    RelaySync,
    Send,
    TargetRecord,
    TargetState,
)
from almondshore.core.rendezvous import choose
from almondshore.membership.detector import FailureDetector
from almondshore.membership.directory import Directory
from almondshore.relay.admission import SnapshotAdmission
from almondshore.relay.subscribers import (
    MAX_SUBSCRIBERS,
    Subscriber,
    Subscribers,
    heartbeat_digest,
)
from almondshore.relay.table import RelayTable
from almondshore.versions.sync import ConfigSync


class RelayLimits(NamedTuple):
    """Limits of a relay.

    :ivar push_fanout: number of random relays that a new configuration version is sent to
    :ivar tracking_interval: interval at which the relay starts to track the nodes assigned to it,
        to detect those that no longer send heartbeats to any relay
    :ivar max_changes: maximum number of queued directory changes; beyond it all are dropped, and
        receivers request them after comparing digests
    :ivar records_per_message: maximum number of records in one directory delta
    :ivar refusal_retry_after: retry delay given to a node that is refused because the relay
        already serves its fair share
    """

    anti_entropy_interval: timedelta = timedelta(seconds=10)
    push_fanout: int = 3
    tracking_interval: timedelta = timedelta(seconds=30)
    max_changes: int = 16_384
    records_per_message: int = 512
    refusal_retry_after: timedelta = timedelta(seconds=60)


class Relay:
    """Serves the nodes that heartbeat to it and synchronizes with the other relays."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        address: str,
        zone: str,
        sync: ConfigSync,
        directory: Directory,
        detector: FailureDetector,
        table: RelayTable,
        subscribers: Subscribers | None = None,
        admission: SnapshotAdmission | None = None,
        moves_digest: Callable[[], int] = lambda: 0,
        platform_up: Callable[[], bool | None] = lambda: None,
        fair_share: Callable[[], int] = lambda: MAX_SUBSCRIBERS,
        limits: RelayLimits | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.address = address
        self.zone = zone
        self.sync = sync
        self.directory = directory
        self.detector = detector
        self.table = table
        self.subscribers = subscribers or Subscribers(clock=clock)
        self.admission = admission or sync.admission
        self.moves_digest = moves_digest
        self.platform_up = platform_up
        self.fair_share = fair_share
        self.limits = limits or RelayLimits()
        self.pushed_version = 0
        self.changes: list[TargetRecord] = []
        self.own_changes: list[TargetRecord] = []
        self.dropped_changes = 0
        interval = self.limits.anti_entropy_interval
        self.next_anti_entropy = clock.monotonic() + interval * rng.random()
        self.next_tracking = clock.monotonic() + self.limits.tracking_interval

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle a message from a node or another relay and return the replies."""
        match message:
            case Heartbeat():
                return self._heartbeat(message, sender)
            case Keepalive(state):
                return self._keepalive(state, sender)
            case Announce():
                return self._merge_announcement(message, sender)
            case DirectoryDelta(records) | DirectorySnapshot(records):
                self._queue_changes(self.directory.merge(records), own=False)
            case DirectoryRequest():
                return self._directory_request(message, sender)
            case ConfigRequest():
                return [Send(sender, self.sync.reply_to(message))]
            case RelaySync():
                return self._relay_sync(message, sender)
            case RelayQuery(zone):
                return [Send(sender, RelayList(self.table.with_foreign(zone, self.rng)))]
            case RelayList(relays):
                self.table.merge(relays)
        return self.detector.handle(message, sender)

    def tick(self) -> list[Send]:
        """Send pending changes, detect dead nodes and run anti-entropy when it is due."""
        self.subscribers.expire()
        sends = self.detector.tick(self._helpers)
        for node in self.detector.take_dead():
            self._queue_changes(self.directory.declare_dead(node), own=True)
        sends += self._flush_changes()
        sends += self._push_config()
        now = self.clock.monotonic()
        if now >= self.next_anti_entropy:
            self.next_anti_entropy = now + self.limits.anti_entropy_interval
            sends += self._anti_entropy()
        if now >= self.next_tracking:
            self.next_tracking = now + self.limits.tracking_interval
            self._track_assigned_nodes()
        return sends

    def own_records_changed(self, records: list[TargetRecord]) -> None:
        """Queue changed records of this node's targets, which the directory already holds."""
        self._queue_changes(records, own=True)

    def broadcast(self, message: Message) -> list[Send]:
        """Return sends of a message to all subscribers and all other relays."""
        return self.to_subscribers(message) + self.to_relays(message)

    def to_subscribers(self, message: Message) -> list[Send]:
        """Return sends of a message to all subscribers."""
        return [Send(subscriber.address, message) for subscriber in self.subscribers]

    def to_relays(self, message: Message) -> list[Send]:
        """Return sends of a message to all other relays."""
        return [Send(relay, message) for relay in self._other_relays()]

    def _keepalive(self, state: int, sender: str) -> list[Send]:
        """Acknowledge a keepalive if the node is up to date, else request a full heartbeat."""
        subscriber = self.subscribers.items.get(sender)
        if subscriber is None or not subscriber.ready or not self.sync.ready:
            return [Send(sender, KeepaliveAck(False))]
        current = self.sync.state.current
        expected = subscriber.heartbeat._replace(
            config_version=current.version,
            config_digest=current.digest,
            directory_digests=self.directory.digest(),
            moves_digest=self.moves_digest(),
            relays_digest=self.table.digest(subscriber.heartbeat.zone or self.zone),
        )
        if heartbeat_digest(expected) != state:
            return [Send(sender, KeepaliveAck(False))]
        self.subscribers.record_heartbeat(sender, expected)
        self.detector.record_heartbeat(expected.node, sender, expected.incarnation)
        return [Send(sender, KeepaliveAck(True, bool(self.platform_up())))]

    def _heartbeat(self, heartbeat: Heartbeat, sender: str) -> list[Send]:
        if sender not in self.subscribers.items and len(self.subscribers) >= self.fair_share():
            return [
                Send(sender, Busy(self.limits.refusal_retry_after.total_seconds(), "Heartbeat"))
            ]
        subscriber = self.subscribers.record_heartbeat(sender, heartbeat)
        if subscriber is None:
            return [Send(sender, Busy(self.rng.uniform(1, 5), "Heartbeat"))]
        self.detector.record_heartbeat(heartbeat.node, sender, heartbeat.incarnation)
        sends = self.sync.handle(heartbeat, sender)
        current = self.sync.state.current
        has_relays = heartbeat.relays_digest == self.table.digest(self.zone)
        ack = HeartbeatAck(
            relays=[] if has_relays else self.table.with_foreign(self.zone, self.rng),
            config_version=current.version,
            config_digest=current.digest,
            directory_digests=self.directory.digest(),
            moves_digest=self.moves_digest(),
            ready=self.sync.ready,
            confirmed=self.sync.confirmed,
            platform_up=bool(self.platform_up()),
        )
        return [*sends, Send(sender, ack), *self._catch_up(subscriber)]

    def _catch_up(self, subscriber: Subscriber) -> list[Send]:
        """Send a subscriber the changes since its version, or a snapshot if it lags too far."""
        current = self.sync.state.current
        if not self.sync.ready or not self.subscribers.is_due(subscriber, current.version):
            return []
        message = self.sync.reply_to(ConfigRequest(subscriber.version, subscriber.digest))
        if isinstance(message, Busy):
            return []
        self.subscribers.mark_sent(subscriber.address, current.version)
        return [Send(subscriber.address, message)]

    def _push_config(self) -> list[Send]:
        current = self.sync.state.current
        if current.version == self.pushed_version or not self.sync.ready:
            return []
        self.pushed_version = current.version
        sends = [send for s in self.subscribers for send in self._catch_up(s)]
        if self.sync.history.entries:
            delta = self.sync.history.entries[-1].delta
            relays = self._other_relays()
            chosen = self.rng.sample(relays, min(self.limits.push_fanout, len(relays)))
            sends += [Send(relay, delta) for relay in chosen]
        return sends

    def _directory_request(self, request: DirectoryRequest, sender: str) -> list[Send]:
        zones = self.directory.differing_zones(request.digests)
        if not zones:
            return []
        retry_after = self.admission.admit()
        if retry_after is not None:
            return [Send(sender, Busy(retry_after.total_seconds(), "DirectoryRequest"))]
        return [Send(sender, DirectorySnapshot(self.directory.of_zone(zone))) for zone in zones]

    def _merge_announcement(self, message: Announce, sender: str) -> list[Send]:
        """Merge a node's own records; reply with the records that the merge left unchanged.

        These are equal to the announced records or newer, and confirm the announcement.
        """
        changed = self.directory.merge(message.records)
        self._queue_changes(changed, own=True)
        current = [self.directory.records.get(record.target) for record in message.records]
        unchanged = [record for record in current if record is not None and record not in changed]
        return [Send(sender, DirectoryDelta(unchanged))] if unchanged else []

    def _queue_changes(self, records: list[TargetRecord], *, own: bool) -> None:
        self.changes += records
        if own:
            self.own_changes += records
        if len(self.changes) > self.limits.max_changes:
            self.dropped_changes += len(self.changes)
            self.changes, self.own_changes = [], []

    def _flush_changes(self) -> list[Send]:
        """Send queued changes to the subscribers, and those that originate here to the relays."""
        changes, own_changes = self.changes, self.own_changes
        self.changes, self.own_changes = [], []
        size = self.limits.records_per_message
        sends = []
        for start in range(0, len(changes), size):
            sends += self.to_subscribers(DirectoryDelta(changes[start : start + size]))
        for start in range(0, len(own_changes), size):
            sends += self.to_relays(DirectoryDelta(own_changes[start : start + size]))
        return sends

    def _anti_entropy(self) -> list[Send]:
        relays = self._other_relays()
        if not relays:
            return []
        return [Send(self.rng.choice(relays), self._summary(wants_answer=True))]

    def _summary(self, *, wants_answer: bool) -> RelaySync:
        current = self.sync.state.current
        return RelaySync(
            config_version=current.version,
            config_digest=current.digest,
            directory_digest=self.directory.digest()[ALL_ZONES],
            moves_digest=self.moves_digest(),
            relays_digest=self.table.digest_all(),
            ready=self.sync.ready,
            wants_answer=wants_answer,
        )

    def _relay_sync(self, message: RelaySync, sender: str) -> list[Send]:
        sends = self.sync.handle(message, sender)
        if message.directory_digest != self.directory.digest()[ALL_ZONES]:
            sends.append(Send(sender, DirectoryRequest(self.directory.digests())))
        if message.relays_digest != self.table.digest_all():
            sends.append(Send(sender, RelayList(self.table.all())))
        if message.wants_answer:
            sends.append(Send(sender, self._summary(wants_answer=False)))
        return sends

    def _track_assigned_nodes(self) -> None:
        """Track the nodes in the zone that rendezvous hashing assigns to this relay.

        This detects nodes that failed together with their relay and therefore never sent a
        heartbeat to another one.
        """
        relays = self.table.addresses(self.zone)
        for record in self.directory.of_zone(self.zone):
            if record.state is TargetState.DEAD or not record.control:
                continue
            if record.control != self.address and choose(record.node, relays) == self.address:
                self.detector.track(record.node, record.control)

    def _helpers(self) -> list[str]:
        """Return addresses of nodes that can probe a suspect, subscribers of this relay first."""
        subscribers = [s.address for s in self.subscribers if s.node not in self.detector.suspects]
        relays = self._other_relays()
        self.rng.shuffle(subscribers)
        self.rng.shuffle(relays)
        return subscribers + relays

    def _other_relays(self) -> list[str]:
        return [relay for relay in self.table.addresses() if relay != self.address]
