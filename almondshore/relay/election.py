"""Election of a zone's relays by leases: acquiring and renewing a slot, filling vacant slots."""

import random
from collections.abc import Callable
from datetime import timedelta

from returns.pipeline import is_successful

from almondshore.core.backoff import full_jitter
from almondshore.core.clock import Clock
from almondshore.core.messages import RelayEntry, RelayInvite, RelayList, Send
from almondshore.relay.candidacy import Candidacy
from almondshore.relay.lease import (
    CLOCK_SKEW,
    LEASE_TTL,
    RELAY_LEASE_PREFIX,
    Held,
    HeldElsewhere,
    Lease,
    LeaseResult,
    decode_lease,
    lease_slot,
    relay_lease_key,
)
from almondshore.relay.lease_monitor import LeaseMonitor
from almondshore.relay.table import RelayTable, vacancy
from almondshore.storage.port import Platform, StoredObject

RENEW_INTERVAL = timedelta(seconds=5)
ZONE_LIST_INTERVAL = timedelta(seconds=10)
SELF_CHECK_INTERVAL = timedelta(seconds=10)
# Spreads the acquisitions after all processes restart, so that they do not happen at once.
MAX_ACQUIRE_DELAY = timedelta(seconds=2)
LIST_ALL_INTERVAL = timedelta(seconds=60)
# A relay sends about 130 B/s for each node it serves. The busiest relay serves a quarter more
# nodes than this, which keeps it under 14 KB/s. A zone of 463 nodes needs 7 leases, or 1.4 lease
# writes per second.
NODES_PER_SLOT = 70
MIN_NODES_FOR_TWO_SLOTS = 20
# Hysteresis: a slot is released only if the zone would not need it with a tenth more nodes, so
# that a zone near the threshold does not repeatedly gain and lose a relay.
SURPLUS_NODE_FACTOR = 1.1


def slots_needed(nodes: float, nodes_per_slot: int = NODES_PER_SLOT) -> int:
    """Return the number of relays that a zone with this many nodes needs."""
    return max(-int(-nodes // nodes_per_slot), 2 if nodes >= MIN_NODES_FOR_TWO_SLOTS else 1)


class RelayElection:
    """Decides by leases in the platform whether this node is a relay.

    Only this class and ``ConfigSource`` call the platform on behalf of a relay. An ordinary node
    calls it only if no relay in its zone responds, if a relay invites it, or if another node
    mistakes it for a relay.
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
        self.lease_monitor = LeaseMonitor(clock=clock, table=table)
        self.lease: Lease | None = None
        self.slot = -1
        self.platform_up: bool | None = None
        self.invited_slot: int | None = None
        self.check_own_lease = False
        self.next_self_check = self.acquire_not_before = clock.monotonic()
        self.next_renewal = self.next_list = self.next_list_all = clock.monotonic()

    @property
    def is_relay(self) -> bool:
        """Whether this node acts as a relay.

        It continues past the expiry of its lease while the platform does not respond, and stops
        once the platform reports another holder.
        """
        return self.lease is not None

    def invite(self, message: RelayInvite) -> None:
        """Schedule the acquisition of a vacant slot at another relay's request."""
        if message.zone == self.zone and self.lease is None:
            self.invited_slot = message.slot
            self.acquire_not_before = self.clock.monotonic() + MAX_ACQUIRE_DELAY * self.rng.random()

    def on_unexpected_heartbeat(self) -> None:
        """Schedule a look-up of this node's lease after a heartbeat that only a relay should get.

        After a restart the lease may still name this address. The node then reacquires the slot
        without waiting for the lease to expire.
        """
        now = self.clock.monotonic()
        if self.lease is None and now >= self.next_self_check:
            self.next_self_check = now + SELF_CHECK_INTERVAL
            self.check_own_lease = True
            self.acquire_not_before = now + MAX_ACQUIRE_DELAY * self.rng.random()

    def step(self, *, in_zone: bool, has_usable_relay: bool = False) -> list[Send]:
        """Run the lease operations that are due; blocks on platform calls.

        :param in_zone: whether a relay in this node's zone responds to it
        :param has_usable_relay: whether a known relay in the zone is not being avoided
        """
        now = self.clock.monotonic()
        if self.lease is None:
            return self._attempt_acquisition(in_zone, has_usable_relay)
        sends: list[Send] = []
        if now >= self.next_renewal:
            self.next_renewal = now + RENEW_INTERVAL * self.rng.uniform(0.95, 1.05)
            sends = self._renew()
        if self.lease is not None and now >= self.next_list:
            sends += self._check_leases(now)
        return sends

    def release(self) -> list[Send]:
        """Release the slot, on shutdown or because the zone has too many relays.

        :return: messages that announce the vacancy to the other relays and nodes
        """
        if self.lease is None:
            return []
        lease, self.lease = self.lease, None
        vacant_entry = vacancy(self.zone, self.slot, lease.epoch)
        lease.release()
        self.table.merge([vacant_entry])
        return self._announce_entry(vacant_entry)

    def _attempt_acquisition(self, in_zone: bool, has_usable_relay: bool) -> list[Send]:
        waiting = self.clock.monotonic() < self.acquire_not_before
        if self.invited_slot is not None and not waiting:
            slot, self.invited_slot = self.invited_slot, None
            return self._acquire_slot(slot, None)
        own_lease = self._find_own_lease() if self.check_own_lease and not waiting else None
        if own_lease is not None:
            return self._acquire_slot(lease_slot(own_lease.key), own_lease)
        if not self.candidacy.should_attempt(in_zone, has_usable_relay=has_usable_relay):
            return []
        return self._acquire_slot(0, None)

    def _acquire_slot(self, slot: int, known: StoredObject | None) -> list[Send]:
        key = relay_lease_key(self.zone, slot)
        lease = Lease(platform=self.platform, key=key, holder=self.address, clock=self.clock)
        result = lease.acquire_or_renew(known)
        self._record_holder(slot, result)
        if isinstance(result, HeldElsewhere) and result.record is not None:
            remaining = result.record.expires - self.clock.now()
            self.candidacy.postpone(self.clock.monotonic() + min(remaining, LEASE_TTL) + CLOCK_SKEW)
            return [Send(result.record.holder, RelayInvite(self.zone, slot))]
        if not isinstance(result, Held):
            return []
        self.lease, self.slot = lease, slot
        now = self.clock.monotonic()
        self.next_renewal = now + RENEW_INTERVAL * self.rng.uniform(0.5, 1)
        self.next_list = self.next_list_all = now
        return self._announce_entry(self._own_entry(result.epoch))

    def _find_own_lease(self) -> StoredObject | None:
        """Return the lease in the zone that names this address, or None if there is none."""
        self.check_own_lease = False
        result = self.platform.list(f"{RELAY_LEASE_PREFIX}{self.zone}/")
        if not is_successful(result):
            return None
        self.lease_monitor.update(result.unwrap())
        own_leases = [item for item in result.unwrap() if decode_lease(item).holder == self.address]
        return own_leases[0] if own_leases else None

    def _renew(self) -> list[Send]:
        """Renew the lease, under a higher epoch if the relay table marks this slot as vacant."""
        marked_vacant = self.table.is_vacant(self.zone, self.slot, self.lease.epoch)
        result = (
            self.lease.renew_with_new_epoch() if marked_vacant else self.lease.acquire_or_renew()
        )
        self._record_holder(self.slot, result)
        if isinstance(result, HeldElsewhere):
            self.lease = None
        elif isinstance(result, Held) and marked_vacant:
            return self._announce_entry(self._own_entry(result.epoch))
        return []

    def _record_holder(self, slot: int, result: LeaseResult) -> None:
        self.platform_up = isinstance(result, Held | HeldElsewhere)
        if isinstance(result, HeldElsewhere) and result.record is not None:
            record = result.record
            self.table.merge([RelayEntry(self.zone, slot, record.holder, record.epoch)])
        elif isinstance(result, Held):
            self.table.merge([RelayEntry(self.zone, slot, self.address, result.epoch)])

    def _own_entry(self, epoch: int) -> RelayEntry:
        return RelayEntry(self.zone, self.slot, self.address, epoch)

    def _announce_entry(self, entry: RelayEntry) -> list[Send]:
        """Send an entry to the other relays and to the nodes in the zone."""
        addresses = [*self.table.addresses(), *self.candidates()]
        peers = [peer for peer in dict.fromkeys(addresses) if peer != self.address]
        return [Send(peer, RelayList([entry])) for peer in peers]

    def _check_leases(self, now: timedelta) -> list[Send]:
        """Read the leases of the zone, or periodically of all zones, and adjust the slots."""
        all_zones = now >= self.next_list_all
        self.next_list = now + ZONE_LIST_INTERVAL * self.rng.uniform(0.9, 1.1)
        prefix = RELAY_LEASE_PREFIX if all_zones else f"{RELAY_LEASE_PREFIX}{self.zone}/"
        result = self.platform.list(prefix)
        if not is_successful(result):
            self.lease_monitor.on_list_failure()
            self.next_list += full_jitter(self.rng, 4)
            return []
        known_relays = set(self.table.addresses())
        live = self.lease_monitor.update(result.unwrap())
        sends: list[Send] = []
        if all_zones:
            self.next_list_all = now + LIST_ALL_INTERVAL * self.rng.uniform(0.9, 1.1)
            new_relays = set(self.table.addresses()) - known_relays - {self.address}
            own_entry = RelayList([self._own_entry(self.lease.epoch)])
            sends = [Send(relay, own_entry) for relay in sorted(new_relays)]
        return sends + self._adjust_slots({entry.slot for entry in live if entry.zone == self.zone})

    def _adjust_slots(self, live: set[int]) -> list[Send]:
        """Release a surplus slot; the holder of the lowest live slot fills the vacant ones.

        It fills them by inviting random nodes of the zone that are not relays.
        """
        nodes = self.nodes_in_zone()
        if self.slot >= slots_needed(nodes * SURPLUS_NODE_FACTOR, self.nodes_per_slot):
            return self.release()
        if not live or self.slot != min(live):
            return []
        needed = slots_needed(nodes, self.nodes_per_slot)
        relays = set(self.table.addresses(self.zone))
        sends = []
        for slot in set(range(needed)) - live:
            available = [peer for peer in self.candidates() if peer not in relays]
            if available:
                invited = self.rng.choice(available)
                relays.add(invited)
                sends.append(Send(invited, RelayInvite(self.zone, slot)))
        return sends
