"""Known relays of all availability zones."""

import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from almondshore.core.messages import RelayEntry

MAX_RELAYS = 2048
MAX_FOREIGN_RELAYS = 4


class RelayGroup(NamedTuple):
    """The entries of one zone or of all zones, with their addresses and digest."""

    entries: list[RelayEntry]
    addresses: list[str]
    digest: int


class RelayTable:
    """The newest known holder of each relay slot.

    The entry with the higher epoch replaces the other one. At the same epoch a vacancy (an entry
    without an address) wins, so that delayed messages do not restore a relay that has gone. Once
    ``max_relays`` slots are known, entries of further slots are ignored.
    """

    def __init__(self, *, max_relays: int = MAX_RELAYS):
        self.max_relays = max_relays
        self.entries: dict[tuple[str, int], RelayEntry] = {}
        self.cached: dict[str | None, RelayGroup] = {}

    def merge(self, entries: Iterable[RelayEntry]) -> bool:
        """Merge entries, keeping the newest one of each slot.

        :return: whether anything changed
        """
        changed = False
        for entry in entries:
            key = (entry.zone, entry.slot)
            known = self.entries.get(key)
            if known is None and len(self.entries) >= self.max_relays:
                continue
            if known is None or _order_key(entry) > _order_key(known):
                self.entries[key] = entry
                changed = True
        if changed:
            self.cached.clear()
        return changed

    def of_zone(self, zone: str) -> list[RelayEntry]:
        """Return the entries of a zone, vacancies included, ordered by slot."""
        return self._group(zone).entries

    def all(self) -> list[RelayEntry]:
        """Return all entries, vacancies included, ordered by zone and slot."""
        return self._group(None).entries

    def addresses(self, zone: str | None = None) -> list[str]:
        """Return the distinct addresses of the relays in a zone, by default in all zones."""
        return self._group(zone).addresses

    def is_vacant(self, zone: str, slot: int, epoch: int) -> bool:
        """Return whether a slot is known to be vacant at this epoch or a later one."""
        known = self.entries.get((zone, slot))
        return known is not None and known.epoch >= epoch and not known.address

    def with_foreign(self, zone: str, rng: random.Random) -> list[RelayEntry]:
        """Return the relays of a zone, and random relays of other zones.

        At most ``MAX_FOREIGN_RELAYS`` of other zones are returned. A node uses one of them if its
        own zone loses all relays.
        """
        foreign = [e for e in self.all() if e.zone != zone and e.address]
        return self.of_zone(zone) + rng.sample(foreign, min(MAX_FOREIGN_RELAYS, len(foreign)))

    def digest(self, zone: str) -> int:
        """Return a digest of a zone's relays; 0 if there are none."""
        return self._group(zone).digest

    def digest_all(self) -> int:
        """Return a digest of all relays; 0 if there are none."""
        return self._group(None).digest

    def _group(self, zone: str | None) -> RelayGroup:
        """Return the entries of a zone, or of all zones for None, cached until the next change."""
        if zone not in self.cached:
            entries = sorted(e for e in self.entries.values() if zone in (None, e.zone))
            addresses = list(dict.fromkeys(entry.address for entry in entries if entry.address))
            self.cached[zone] = RelayGroup(entries, addresses, _digest(entries))
        return self.cached[zone]


def vacancy(zone: str, slot: int, epoch: int) -> RelayEntry:
    """Return the entry that marks a slot as vacant after the holder of an epoch has gone."""
    return RelayEntry(zone, slot, "", epoch)


def _order_key(entry: RelayEntry) -> tuple[int, bool, str]:
    return (entry.epoch, not entry.address, entry.address)


def _digest(entries: list[RelayEntry]) -> int:
    if not entries:
        return 0
    text = "\0".join(f"{e.zone}/{e.slot}/{e.epoch}/{e.address}" for e in entries)
    return xxhash.xxh3_64_intdigest(text.encode())
