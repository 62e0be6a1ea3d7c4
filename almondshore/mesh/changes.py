"""Log of the changes of a node's state, and the messages that pass them to other nodes."""

import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import msgspec

from almondshore.core.decoding import decode_msgpack
from almondshore.mesh.hop import DurationMs
from almondshore.mesh.model import Death, Evacuation, Rollout, Target

# Number of removals that are kept; a follower that lacks older ones is sent the full state.
MAX_REMOVED = 1000
# The fastest level of zlib shrinks configurations of hundreds of routes to a tenth. Hosts may have
# links of 5 Mbit/s, on which an uncompressed configuration of 1 MB takes 1.6 s.
COMPRESSION_LEVEL = 1
# Limit of the decompressed size of a configuration from a peer; the store holds values of up to
# a megabyte.
MAX_CONFIG_BYTES = 16 * 1024 * 1024


class StateKind(StrEnum):
    """Kinds of state whose changes are tracked item by item."""

    TARGET = "target"
    ROLLOUT = "rollout"
    DEATH = "death"
    EVACUATION = "evacuation"


ItemKey = tuple[StateKind, str]


class ChangeLog:
    """Numbers the changes of a node's state; the state itself is kept elsewhere.

    :param epoch: identifies this process, since change numbers of another one are not comparable
    :ivar number: number of the newest change
    :ivar complete_from: changes up to this number may be missing
    :ivar changed: number of the last change of each present item
    :ivar removed: number of the removal of each item that was removed
    :ivar on_change: called for each change
    """

    def __init__(self, *, epoch: str = ""):
        self.epoch = epoch
        self.number = 0
        self.complete_from = 0
        self.changed: dict[ItemKey, int] = {}
        self.removed: dict[ItemKey, int] = {}
        self.on_change: Callable[[], None] = lambda: None

    def record_change(self, kind: StateKind, name: str) -> None:
        """Record that an item was added or changed."""
        self.removed.pop((kind, name), None)
        self.increment()
        self.changed[kind, name] = self.number

    def record_removal(self, kind: StateKind, name: str) -> None:
        """Record that an item was removed, and drop the oldest removals beyond the limit."""
        self.changed.pop((kind, name), None)
        self.increment()
        self.removed[kind, name] = self.number
        while len(self.removed) > MAX_REMOVED:
            self.complete_from = self.removed.pop(next(iter(self.removed)))

    def increment(self) -> None:
        """Assign the next number to a change; called directly for a new configuration version."""
        self.number += 1
        self.on_change()

    def covers(self, epoch: str, number: int) -> bool:
        """Return whether all changes after a number of an epoch are known here."""
        return epoch == self.epoch and self.complete_from <= number <= self.number

    def changed_since(self, kind: StateKind, number: int) -> list[str]:
        """Return the names of items of a kind that were added or changed after a number."""
        return [
            name
            for (item_kind, name), change in self.changed.items()
            if item_kind is kind and change > number
        ]

    def removed_since(self, kind: StateKind, number: int) -> list[str]:
        """Return the names of items of a kind that were removed after a number."""
        return [
            name
            for (item_kind, name), change in self.removed.items()
            if item_kind is kind and change > number
        ]


class ChangeResponse(NamedTuple):
    """Response to a poll: the changes since the follower's last poll, or the full state.

    :ivar epoch: identifies the process that numbers the changes
    :ivar number: number of the newest change
    :ivar age_ms: time since the sender's state was last known to be up to date with the store
    :ivar whole: whether all targets, rollouts and deaths are listed, not only those that changed
    :ivar config: compressed configuration, empty unless it is newer than the receiver's
    :ivar era: era of the store of which the state is, None if it is not known
    :ivar unsaved_rollouts: services whose progress the store lacks since it was restored
    """

    epoch: str
    number: int
    age_ms: DurationMs
    whole: bool
    config: bytes
    targets: list[Target]
    removed_targets: list[str]
    rollouts: list[Rollout]
    removed_rollouts: list[str]
    deaths: list[Death]
    removed_deaths: list[str]
    evacuations: list[Evacuation] = []
    removed_evacuations: list[str] = []
    era: int | None = None
    unsaved_rollouts: list[str] = []


encode_response = msgspec.msgpack.Encoder().encode


def decode_response(body: bytes) -> ChangeResponse:
    """Decode the state that another node sent.

    :raises msgspec.MsgspecError: if it is malformed
    """
    return decode_msgpack(body, ChangeResponse)


def compress_config(raw: bytes | msgspec.Raw) -> bytes:
    """Compress a stored configuration, once for all nodes that request it."""
    return zlib.compress(raw, COMPRESSION_LEVEL)


def decompress_config(data: bytes) -> bytes:
    """Decompress a configuration that another node sent.

    :raises ValueError: if it is malformed, truncated or too large
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed compressed configuration: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"configuration truncated or larger than {MAX_CONFIG_BYTES} bytes")
    return raw
