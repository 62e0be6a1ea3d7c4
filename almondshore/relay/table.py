"""Known relays of all availability zones."""

from collections.abc import Iterable

import xxhash

from almondshore.core.messages import RelayEntry

MAX_RELAYS = 2048


class RelayTable:
    """The newest known holder of each relay slot.

    For one slot the higher epoch wins. At ``max_relays`` unknown slots are not taken.
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
            if known is None or (entry.epoch, entry.address) > (known.epoch, known.address):
                self.entries[key] = entry
                changed = True
        return changed

    def of_zone(self, zone: str) -> list[RelayEntry]:
        """Return the relays of a zone, ordered by slot."""
        return sorted(entry for entry in self.entries.values() if entry.zone == zone)

    def all(self) -> list[RelayEntry]:
        """Return all relays, ordered by zone and slot."""
        return sorted(self.entries.values())

    def addresses(self, zone: str | None = None) -> list[str]:
        """Return the distinct addresses of the relays, of one zone if given."""
        entries = self.all() if zone is None else self.of_zone(zone)
        return list(dict.fromkeys(entry.address for entry in entries))

    def digest(self, zone: str) -> int:
        """Return a digest of a zone's relays; 0 if there are none."""
        return _digest(self.of_zone(zone))

    def digest_all(self) -> int:
        """Return a digest of all relays; 0 if there are none."""
        return _digest(self.all())


def _digest(entries: list[RelayEntry]) -> int:
    if not entries:
        return 0
    text = "\0".join(f"{e.zone}/{e.slot}/{e.epoch}/{e.address}" for e in entries)
    return xxhash.xxh3_64_intdigest(text.encode())
