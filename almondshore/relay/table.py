"""Known relays of all availability zones."""

from collections.abc import Iterable

import xxhash

from almondshore.core.messages import RelayEntry

MAX_RELAYS = 2048


class RelayTable:
    """The newest known holder of each relay slot.

    For one slot the higher epoch wins; at one epoch a vacancy (an entry without an address) wins,
    so that a relay that has gone is not brought back by late messages. At ``max_relays`` unknown
    slots are not taken.
    """

    def __init__(self, *, max_relays: int = MAX_RELAYS):
        self.max_relays = max_relays
        self.entries: dict[tuple[str, int], RelayEntry] = {}

    def merge(self, entries: Iterable[RelayEntry]) -> bool:
        """Take the entries with a higher epoch.

        :returns: whether anything changed
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
        return changed

    def of_zone(self, zone: str) -> list[RelayEntry]:
        """Return the entries of a zone, vacancies included, ordered by slot."""
        return sorted(entry for entry in self.entries.values() if entry.zone == zone)

    def all(self) -> list[RelayEntry]:
        """Return all entries, vacancies included, ordered by zone and slot."""
        return sorted(self.entries.values())

    def addresses(self, zone: str | None = None) -> list[str]:
        """Return the distinct addresses of the relays, of one zone if given."""
        entries = self.all() if zone is None else self.of_zone(zone)
        return list(dict.fromkeys(entry.address for entry in entries if entry.address))

    def is_vacant(self, zone: str, slot: int, epoch: int) -> bool:
        """Return whether a slot is known to be vacant since that epoch or a later one."""
        known = self.entries.get((zone, slot))
        return known is not None and known.epoch >= epoch and not known.address

    def digest(self, zone: str) -> int:
        """Return a digest of a zone's relays; 0 if there are none."""
        return _digest(self.of_zone(zone))

    def digest_all(self) -> int:
        """Return a digest of all relays; 0 if there are none."""
        return _digest(self.all())


def vacancy(zone: str, slot: int, epoch: int) -> RelayEntry:
    """Return the entry which says that the holder of an epoch is gone."""
    return RelayEntry(zone, slot, "", epoch)


def _order_key(entry: RelayEntry) -> tuple[int, bool, str]:
    return (entry.epoch, not entry.address, entry.address)


def _digest(entries: list[RelayEntry]) -> int:
    if not entries:
        return 0
    text = "\0".join(f"{e.zone}/{e.slot}/{e.epoch}/{e.address}" for e in entries)
    return xxhash.xxh3_64_intdigest(text.encode())
