"""Detection of expired relay leases in the platform."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import RelayEntry
from almondshore.relay.lease import LEASE_TTL, RELAY_LEASE_PREFIX, decode_lease
from almondshore.relay.table import RelayTable, vacancy
from almondshore.storage.port import StoredObject


class ObservedRevision(NamedTuple):
    """A revision of a lease and the monotonic time at which it was first observed."""

    revision: int
    since: timedelta


class LeaseMonitor:
    """Distinguishes live leases from expired ones and updates the relay table.

    A lease counts as expired if its object has not changed for a full ``ttl`` by this process's
    monotonic clock while the platform responded. No lease can be renewed during an outage, so the
    observations restart after it to give the holders time to renew.
    """

    def __init__(self, *, clock: Clock, table: RelayTable, ttl: timedelta = LEASE_TTL):
        self.clock = clock
        self.table = table
        self.ttl = ttl
        self.observed: dict[str, ObservedRevision] = {}

    def on_list_failure(self) -> None:
        """Discard the observations after the leases could not be read."""
        self.observed.clear()

    def update(self, leases: Iterable[StoredObject]) -> list[RelayEntry]:
        """Merge the leases, as just read, into the relay table.

        :return: the live leases
        """
        live = []
        for stored in leases:
            entry = _entry(stored)
            if self._expired(stored):
                self.table.merge([vacancy(entry.zone, entry.slot, entry.epoch)])
            else:
                self.table.merge([entry])
                live.append(entry)
        return live

    def _expired(self, stored: StoredObject) -> bool:
        now = self.clock.monotonic()
        last_change = self.observed.get(stored.key)
        if last_change is None or last_change.revision != stored.revision:
            self.observed[stored.key] = ObservedRevision(stored.revision, now)
            return False
        return now - last_change.since >= self.ttl


def _entry(stored: StoredObject) -> RelayEntry:
    zone, _, slot = stored.key.removeprefix(RELAY_LEASE_PREFIX).rpartition("/")
    record = decode_lease(stored)
    return RelayEntry(zone, int(slot), record.holder, record.epoch)
