"""Choice of the relay that a node heartbeats to."""

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
    Message,
    RelayList,
    RelayQuery,
    Send,
)
from almondshore.core.rendezvous import rank
from almondshore.relay.table import RelayTable

# Relays of other zones told to a node whose zone has none.
MAX_FOREIGN_RELAYS = 8


class SelectionLimits(NamedTuple):
    """Limits of the relay selection.

    :ivar max_missed: unanswered heartbeats after which the node fails over
    :ivar avoid: time for which a relay that did not answer is passed over
    :ivar return_interval: time after which a node goes back to its preferred relay; a node that
        uses a relay of another zone looks for one of its own at each heartbeat
    """

    heartbeat_interval: timedelta = timedelta(seconds=2)
    max_missed: int = 2
    avoid: timedelta = timedelta(seconds=30)
    return_interval: timedelta = timedelta(seconds=30)
    seeds_asked: int = 3


class RelaySelection:
    """Heartbeats to one relay and fails over to the next one.

    Relays of the own zone come first, in the order of rendezvous hashing; without any, relays of
    other zones serve. Without a known relay the node asks its seed peers.
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
        seeds: Sequence[str] = (),
        limits: SelectionLimits | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.zone = zone
        self.address = address
        self.table = table
        self.heartbeat = heartbeat
        self.seeds = [seed for seed in seeds if seed != address]
        self.limits = limits or SelectionLimits()
        self.relay: str | None = None
        self.missed = 0
        self.failures = 0
        self.avoided: dict[str, timedelta] = {}
        self.next_send = clock.monotonic() + full_jitter(rng, 0)
        self.next_return = clock.monotonic() + self.limits.return_interval
        self.without_relay_since: timedelta | None = clock.monotonic()

    @property
    def connected(self) -> bool:
        """Whether a relay answers this node."""
        return self.without_relay_since is None

    @property
    def in_zone(self) -> bool:
        """Whether a relay of the own zone answers this node."""
        return self.connected and self.relay in self.table.addresses(self.zone)

    def handle(self, message: Message, sender: str) -> list[Send]:
        """React to acknowledgements, lists of relays and refusals."""
        match message:
            case HeartbeatAck(relays):
                self.table.merge(relays)
                if sender == self.relay:
                    self._answered()
            case RelayList(relays):
                self.table.merge(relays)
            case RelayQuery():
                return [Send(sender, self._list(message.zone))]
            case Busy(retry_after, "Heartbeat") if sender == self.relay:
                self._fail_over(timedelta(seconds=retry_after))
        return []

    def tick(self) -> list[Send]:
        """Send the next heartbeat, or look for a relay."""
        now = self.clock.monotonic()
        if now < self.next_send:
            return []
        if self.relay is not None and self.missed >= self.limits.max_missed:
            self._fail_over(self.limits.avoid)
            return []
        if now >= self.next_return or not self.in_zone:
            self.next_return = now + self.limits.return_interval
            self._select(now)
        if self.relay is None and not self._select(now):
            return self._ask_seeds(now)
        self.missed += 1
        self.next_send = now + self.limits.heartbeat_interval * self.rng.uniform(0.95, 1.05)
        sends = [Send(self.relay, self.heartbeat())]
        if not self.in_zone:
            sends.append(Send(self.relay, RelayQuery(self.zone)))
        return sends

    def preferred(self, now: timedelta) -> str | None:
        """Return the best relay that is not avoided; None if none is known."""
        self.avoided = {relay: until for relay, until in self.avoided.items() if until > now}
        own = [relay for relay in self.table.addresses(self.zone) if relay != self.address]
        others = [relay for relay in self.table.addresses() if relay != self.address]
        for group in (own, others):
            usable = [relay for relay in group if relay not in self.avoided]
            if usable:
                return rank(self.node, usable)[0]
        return None

    def _select(self, now: timedelta) -> bool:
        chosen = self.preferred(now)
        if chosen != self.relay:
            self.relay, self.missed = chosen, 0
        return chosen is not None

    def _answered(self) -> None:
        self.missed = 0
        self.failures = 0
        self.without_relay_since = None

    def _fail_over(self, avoid: timedelta) -> None:
        """Avoid the present relay for a time and wait with full jitter before the next one."""
        now = self.clock.monotonic()
        self.avoided[self.relay] = now + avoid
        if self.without_relay_since is None:
            self.without_relay_since = now
        self.relay, self.missed = None, 0
        self.next_send = now + full_jitter(self.rng, self.failures)
        self.failures += 1

    def _ask_seeds(self, now: timedelta) -> list[Send]:
        self.avoided.clear()
        self.next_send = now + full_jitter(self.rng, self.failures)
        self.failures += 1
        asked = self.rng.sample(self.seeds, min(self.limits.seeds_asked, len(self.seeds)))
        return [Send(seed, RelayQuery(self.zone)) for seed in asked]

    def _list(self, zone: str) -> RelayList:
        """Return the relays of a zone; without any, a few of other zones."""
        return RelayList(self.table.of_zone(zone) or self.table.all()[:MAX_FOREIGN_RELAYS])
