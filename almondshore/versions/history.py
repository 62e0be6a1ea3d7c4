"""Bounded history of configuration changes, for incremental updates of lagging nodes."""

from collections import deque
from typing import NamedTuple

from almondshore.core.messages import ConfigDelta
from almondshore.versions.config import Configuration, diff_parts

MAX_HISTORY_DELTAS = 64
MAX_HISTORY_BYTES = 256 * 1024


class HistoryEntry(NamedTuple):
    """A change from one configuration to its successor; ``size`` in bytes."""

    delta: ConfigDelta
    size: int


class DeltaHistory:
    """The latest changes, as a chain that ends at the configuration in effect.

    A subscriber needs the part of the chain after the version it holds. Beyond ``max_deltas`` or
    ``max_bytes`` the oldest changes are dropped, and a subscriber that is further behind needs a
    snapshot.

    :ivar size: total size of the changes in bytes
    """

    def __init__(self, *, max_deltas: int = MAX_HISTORY_DELTAS, max_bytes: int = MAX_HISTORY_BYTES):
        self.max_deltas = max_deltas
        self.max_bytes = max_bytes
        self.entries: deque[HistoryEntry] = deque()
        self.size = 0
        self.cached: dict[tuple[int, bytes], ConfigDelta | None] = {}

    def append(self, old: Configuration, new: Configuration) -> None:
        """Record that one configuration replaced another."""
        self.cached.clear()
        changes = diff_parts(old.parts, new.parts)
        delta = ConfigDelta(new.version, new.digest, old.version, old.digest, changes)
        if self.entries and self.entries[-1].delta.version != old.version:
            self.entries.clear()
            self.size = 0
        self.entries.append(HistoryEntry(delta, delta_size(delta)))
        self.size += self.entries[-1].size
        while self.entries and (len(self.entries) > self.max_deltas or self.size > self.max_bytes):
            self.size -= self.entries.popleft().size

    def since(self, version: int, digest: bytes) -> ConfigDelta | None:
        """Return a delta from a configuration to the newest one; None if the history is too short.

        Calls with the same base return the same object, so that it can be encoded only once.
        """
        key = (version, digest)
        if key not in self.cached:
            if len(self.cached) >= self.max_deltas:
                self.cached.clear()
            self.cached[key] = self._combine(version, digest)
        return self.cached[key]

    def _combine(self, version: int, digest: bytes) -> ConfigDelta | None:
        chain: list[ConfigDelta] = []
        for entry in reversed(self.entries):
            chain.append(entry.delta)
            if entry.delta.base_version <= version:
                break
        if not chain or (chain[-1].base_version, chain[-1].base_digest) != (version, digest):
            return None
        changes: dict[str, bytes | None] = {}
        for delta in reversed(chain):
            changes.update(delta.parts)
        newest = chain[0]
        return ConfigDelta(newest.version, newest.digest, version, digest, changes)


def delta_size(delta: ConfigDelta) -> int:
    """Return the approximate size of a delta in bytes."""
    return sum(len(name) + len(data or b"") for name, data in delta.parts.items())
