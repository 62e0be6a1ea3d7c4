"""Selection of the relay that a node sends its heartbeats to."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.backoff import full_jitter
from almondshore.core.clock import Clock
from almondshore.core.messages import (
    Busy,
    Heartbeat,
    HeartbeatAck,
    Keepalive,
    KeepaliveAck,
    Message,
    RelayList,
    RelayQuery,
    Send,
)
from almondshore.core.rendezvous import rank
from almondshore.relay.subscribers import heartbeat_digest
from almondshore.relay.table import RelayTable


class SelectionLimits(NamedTuple):
    """Limits of the relay selection.

    :ivar max_missed: number of unanswered heartbeats after which the node fails over
    :ivar avoid_duration: time for which a relay that did not respond is avoided; with 30 s, 10%
        message loss kept half of the nodes on relays in other zones
    :ivar failback_interval: interval at which a node tries to return to its preferred relay; a
        node that uses a relay in another zone tries one in its own zone at each heartbeat
    :ivar peers_queried: number of peers that are queried for relays at once
    :ivar max_query_delay: maximum delay between two queries of peers
    """

    heartbeat_interval: timedelta = timedelta(seconds=2)
    max_missed: int = 2
    avoid_duration: timedelta = timedelta(seconds=6)
    failback_interval: timedelta = timedelta(seconds=30)
    peers_queried: int = 3
    max_query_delay: timedelta = timedelta(seconds=2)


class RelaySelection:
    """Sends heartbeats to one relay and fails over to the next one.

    Relays in the node's own zone come first, in the order of rendezvous hashing, then relays in
    other zones. If no usable relay is known, the node queries peers for relays. A node fails back
    to a preferred relay only once that relay has responded.

    :ivar relay: address of the relay in use
    :ivar trial: address of a preferred relay that the node also sends heartbeats to, to test it
    :ivar acknowledged: address of the relay that has acknowledged a full heartbeat
    :ivar avoided: relays that are not chosen, each until a monotonic time
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        node: str,
        zone: str,
        address: str,
        table: RelayTable,
        heartbeat: Callable[[], Heartbeat],
        peers: Callable[[], Sequence[str]] = list,
        limits: SelectionLimits | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.zone = zone
        self.address = address
        self.table = table
        self.heartbeat = heartbeat
        self.peers = peers
        self.limits = limits or SelectionLimits()
        self.relay: str | None = None
        self.trial: str | None = None
        self.acknowledged: str | None = None
        self.missed = 0
        self.failures = 0
        self.avoided: dict[str, timedelta] = {}
        self.next_send = clock.monotonic() + full_jitter(rng, 0)
        self.next_failback = clock.monotonic() + self.limits.failback_interval
        self.without_relay_since: timedelta | None = clock.monotonic()

    @property
    def connected(self) -> bool:
        """Whether a relay responds to this node."""
        return self.without_relay_since is None

    @property
    def in_zone(self) -> bool:
        """Whether a relay in this node's zone responds to it."""
        return self.connected and self.relay in self.table.addresses(self.zone)

    @property
    def has_usable_relay(self) -> bool:
        """Whether a known relay in this node's zone is not being avoided."""
        now = self.clock.monotonic()
        relays = self.table.addresses(self.zone)
        return any(self.avoided.get(relay, now) <= now for relay in relays if relay != self.address)

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle acknowledgements, lists of relays, queries for them and refusals."""
        match message:
            case HeartbeatAck(relays):
                self.table.merge(relays)
                self.acknowledged = sender
                if sender in (self.relay, self.trial):
                    self._on_acknowledgement(sender)
            case KeepaliveAck(same_state) if sender == self.relay:
                self._on_acknowledgement(sender)
                if not same_state:
                    self.acknowledged = None
                    self.next_send = self.clock.monotonic()
            case RelayList(relays):
                self.table.merge(relays)
            case RelayQuery():
                return [Send(sender, self._relay_list(message.zone))]
            case Busy(retry_after, "Heartbeat"):
                self._on_refusal(sender, timedelta(seconds=retry_after))
        return []

    def tick(self) -> list[Send]:
        """Send the next heartbeat, fail over, or query peers for a relay."""
        now = self.clock.monotonic()
        if now < self.next_send:
            return []
        if self.relay is not None and self.missed >= self.limits.max_missed:
            self._fail_over(self.limits.avoid_duration)
            return []
        if self.relay is None:
            self.relay, self.missed = self.preferred(now), 0
        if self.relay is None:
            return self._query_peers(now)
        self._choose_trial(now)
        self.missed += 1
        self.next_send = now + self.limits.heartbeat_interval * self.rng.uniform(0.95, 1.05)
        sends = self._heartbeats()
        if not self.in_zone:
            sends.append(Send(self.relay, RelayQuery(self.zone)))
        return sends

    def _heartbeats(self) -> list[Send]:
        """Return the heartbeats to the relay in use and to the trial relay.

        A relay that has acknowledged a full heartbeat gets a ``Keepalive`` until it requests a
        full one again.
        """
        heartbeat = self.heartbeat()
        message: Message = heartbeat
        if self.acknowledged == self.relay:
            message = Keepalive(heartbeat_digest(heartbeat))
        sends = [Send(self.relay, message)]
        return sends + ([Send(self.trial, heartbeat)] if self.trial else [])

    def preferred(self, now: timedelta) -> str | None:
        """Return the highest-ranked relay that is not avoided; None if there is none."""
        self.avoided = {relay: until for relay, until in self.avoided.items() if until > now}
        in_zone = [relay for relay in self.table.addresses(self.zone) if relay != self.address]
        in_all_zones = [relay for relay in self.table.addresses() if relay != self.address]
        for group in (in_zone, in_all_zones):
            usable = [relay for relay in group if relay not in self.avoided]
            if usable:
                return rank(self.node, usable)[0]
        return None

    def _choose_trial(self, now: timedelta) -> None:
        """Choose a preferred relay to test; it replaces the current relay only once it responds."""
        if self.trial is not None:
            self.avoided[self.trial] = now + self.limits.avoid_duration
            self.trial = None
        if now >= self.next_failback or not self.in_zone:
            self.next_failback = now + self.limits.failback_interval
            preferred = self.preferred(now)
            self.trial = preferred if preferred != self.relay else None

    def _on_acknowledgement(self, relay: str) -> None:
        if relay == self.trial:
            self.relay, self.trial = relay, None
        self.missed = 0
        self.failures = 0
        self.without_relay_since = None

    def _on_refusal(self, relay: str, retry_after: timedelta) -> None:
        if relay == self.relay:
            self._fail_over(retry_after, silent=False)
        elif relay == self.trial:
            self.avoided[relay] = self.clock.monotonic() + retry_after
            self.trial = None

    def _fail_over(self, avoid_duration: timedelta, *, silent: bool = True) -> None:
        """Avoid the current relay and wait with full jitter before choosing another one.

        :param avoid_duration: time for which the current relay is not chosen again
        :param silent: whether the relay did not respond; False after a refusal, which is no sign
            of a fault and does not increase the backoff
        """
        now = self.clock.monotonic()
        self.avoided[self.relay] = now + avoid_duration
        if self.without_relay_since is None:
            self.without_relay_since = now
        self.relay, self.trial, self.missed = None, None, 0
        self.next_send = now + full_jitter(self.rng, self.failures if silent else 0)
        self.failures += silent

    def _query_peers(self, now: timedelta) -> list[Send]:
        self.next_send = now + full_jitter(self.rng, self.failures, cap=self.limits.max_query_delay)
        self.failures += 1
        peers = list(self.peers())
        queried = self.rng.sample(peers, min(self.limits.peers_queried, len(peers)))
        return [Send(peer, RelayQuery(self.zone)) for peer in queried]

    def _relay_list(self, zone: str) -> RelayList:
        return RelayList(self.table.with_foreign(zone, self.rng))
