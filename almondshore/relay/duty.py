"""The relay leases of a zone: taking a slot, renewing it, and filling vacant ones."""

import random
from collections.abc import Callable
from datetime import timedelta

from returns.pipeline import is_successful

from almondshore.core.backoff import full_jitter
from almondshore.core.clock import Clock
from almondshore.core.messages import RelayEntry, RelayInvite, RelayList, Send
from almondshore.core.rendezvous import choose
from almondshore.platform.port import Platform, StoredObject
from almondshore.relay.candidacy import Candidacy
from almondshore.relay.lease import (
    RELAY_LEASE_PREFIX,
    TTL,
    Held,
    HeldElsewhere,
    Lease,
    decode_lease,
    relay_lease_key,
)
from almondshore.relay.table import RelayTable

RENEW_INTERVAL = timedelta(seconds=5)
LIST_INTERVAL = timedelta(seconds=10)
LIST_ALL_INTERVAL = timedelta(seconds=60)
NODES_PER_SLOT = 250
TWO_SLOTS_FROM = 20


def slots_needed(nodes: int, nodes_per_slot: int = NODES_PER_SLOT) -> int:
    """Return how many relays a zone with that many nodes needs."""
    return max(-(-nodes // nodes_per_slot), 2 if nodes >= TWO_SLOTS_FROM else 1)


class RelayDuty:
    """Decides whether this node is a relay, by leases in the platform.

    Only this class and ``ConfigSource`` call the platform on behalf of a relay. An ordinary node
    calls it only when no relay of its zone answers, or when a relay invites it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        address: str,
        zone: str,
        table: RelayTable,
        candidacy: Candidacy,
        nodes_in_zone: Callable[[], int],
        candidates: Callable[[], list[str]],
        nodes_per_slot: int = NODES_PER_SLOT,
    ):
        self.clock = clock
        self.rng = rng
        self.platform = platform
        self.address = address
        self.zone = zone
        self.table = table
        self.candidacy = candidacy
        self.nodes_in_zone = nodes_in_zone
        self.candidates = candidates
        self.nodes_per_slot = nodes_per_slot
        self.lease: Lease | None = None
        self.slot = -1
        self.invited: int | None = None
        self.next_renewal = clock.monotonic()
        self.next_list = clock.monotonic()
        self.next_list_all = clock.monotonic()
        self.observed: dict[str, tuple[int, timedelta]] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this node acts as a relay.

        It goes on past the lease's end while the platform gives no answer; it stops once the
        platform shows another holder.
        """
        return self.lease is not None

    def invite(self, message: RelayInvite) -> None:
        """Note another relay's request to take a vacant slot."""
        if message.zone == self.zone and self.lease is None:
            self.invited = message.slot

    def step(self, *, in_zone: bool) -> list[Send]:
        """Do what is due; makes blocking platform calls.

        :param in_zone: whether a relay of the own zone answers this node
        """
        now = self.clock.monotonic()
        if self.lease is None:
            return self._try_to_become_relay(in_zone)
        if now >= self.next_renewal:
            self.next_renewal = now + RENEW_INTERVAL * self.rng.uniform(0.9, 1)
            self._renew()
        if self.lease is not None and now >= self.next_list:
            return self._review(now)
        return []

    def release(self) -> None:
        """Give the slot up on shutdown."""
        if self.lease is not None:
            self.lease.release()
            self.lease = None

    def _try_to_become_relay(self, in_zone: bool) -> list[Send]:
        slot, self.invited = self.invited, None
        if slot is None:
            if not self.candidacy.should_try(in_zone):
                return []
            slot = 0
        key = relay_lease_key(self.zone, slot)
        lease = Lease(platform=self.platform, key=key, holder=self.address, clock=self.clock)
        answer = lease.acquire_or_renew()
        if isinstance(answer, HeldElsewhere) and answer.record is not None:
            entry = RelayEntry(self.zone, slot, answer.record.holder, answer.record.epoch)
            self.table.merge([entry])
        if not isinstance(answer, Held):
            return []
        self.lease, self.slot = lease, slot
        now = self.clock.monotonic()
        self.next_renewal = now + RENEW_INTERVAL
        self.next_list = self.next_list_all = now
        return self._announce(answer.epoch)

    def _announce(self, epoch: int) -> list[Send]:
        """Make this relay known to the other relays and to some nodes of the zone."""
        entry = RelayEntry(self.zone, self.slot, self.address, epoch)
        self.table.merge([entry])
        known = [*self.table.addresses(), *self.candidates()]
        peers = [peer for peer in dict.fromkeys(known) if peer != self.address]
        return [Send(peer, RelayList([entry])) for peer in peers]

    def _renew(self) -> None:
        answer = self.lease.acquire_or_renew()
        if isinstance(answer, HeldElsewhere):
            if answer.record is not None:
                record = answer.record
                self.table.merge([RelayEntry(self.zone, self.slot, record.holder, record.epoch)])
            self.lease = None
        elif isinstance(answer, Held):
            self.table.merge([RelayEntry(self.zone, self.slot, self.address, answer.epoch)])

    def _review(self, now: timedelta) -> list[Send]:
        """Read the leases of the zone, now and then of all zones, and invite for vacant slots."""
        everything = now >= self.next_list_all
        self.next_list = now + LIST_INTERVAL * self.rng.uniform(0.9, 1.1)
        prefix = RELAY_LEASE_PREFIX if everything else f"{RELAY_LEASE_PREFIX}{self.zone}/"
        result = self.platform.list(prefix)
        if not is_successful(result):
            self.next_list = now + LIST_INTERVAL / 2 + full_jitter(self.rng, 4)
            return []
        if everything:
            self.next_list_all = now + LIST_ALL_INTERVAL * self.rng.uniform(0.9, 1.1)
        live = self._take_leases(result.unwrap(), now)
        return self._invite_for_vacant(live)

    def _take_leases(self, leases: list[StoredObject], now: timedelta) -> set[int]:
        """Merge the relays that the leases show; return the live slots of the own zone."""
        live = set()
        for stored in leases:
            zone, _, slot = stored.key.removeprefix(RELAY_LEASE_PREFIX).rpartition("/")
            record = decode_lease(stored)
            if self.observed.get(stored.key, (0, now))[0] != stored.revision:
                self.observed[stored.key] = (stored.revision, now)
            if now - self.observed[stored.key][1] >= TTL:
                continue
            self.table.merge([RelayEntry(zone, int(slot), record.holder, record.epoch)])
            if zone == self.zone:
                live.add(int(slot))
        return live

    def _invite_for_vacant(self, live: set[int]) -> list[Send]:
        if not live or self.slot != min(live):
            return []
        needed = slots_needed(self.nodes_in_zone(), self.nodes_per_slot)
        vacant = [slot for slot in range(needed) if slot not in live]
        relays = set(self.table.addresses(self.zone))
        sends = []
        for slot in vacant:
            free = [peer for peer in self.candidates() if peer not in relays]
            chosen = choose(f"{self.zone}/{slot}", free)
            if chosen is not None:
                relays.add(chosen)
                sends.append(Send(chosen, RelayInvite(self.zone, slot)))
        return sends
