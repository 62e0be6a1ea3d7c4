"""What a node has learnt of the store, in order, for the nodes that follow it."""

import zlib
from collections.abc import Callable
from enum import StrEnum
from functools import lru_cache
from typing import NamedTuple

import msgspec

from almondshore.mesh.model import Death, Rollout, Target

# Removed items are remembered up to this number; a follower that lacks older ones is sent all.
MAX_REMOVED = 1000
# Configurations of hundreds of routes shrink to a tenth at the fastest level; hosts may have links
# of 5 Mbit/s, on which an uncompressed one of 1 MB takes 1.6 s.
COMPRESSION_LEVEL = 1
# Bound of a configuration that a peer sends; the store holds values up to a megabyte.
MAX_CONFIG_BYTES = 16 * 1024 * 1024


class StateKind(StrEnum):
    """Kinds of state that change one item at a time."""

    TARGET = "target"
    ROLLOUT = "rollout"
    DEATH = "death"


Key = tuple[StateKind, str]


class ChangeLog:
    """Numbers the changes of a node's state; the state itself is kept elsewhere.

    :param epoch: names this process, since the numbers of another one mean nothing here
    :ivar number: of the newest change
    :ivar complete_from: changes up to this number may be missing
    :ivar on_change: called after each change
    """

    def __init__(self, *, epoch: str = ""):
        self.epoch = epoch
        self.number = 0
        self.complete_from = 0
        self.changed: dict[Key, int] = {}
        self.removed: dict[Key, int] = {}
        self.on_change: Callable[[], None] = lambda: None

    def record_change(self, kind: StateKind, name: str) -> None:
        """Take note that an item was added or changed."""
        self.removed.pop((kind, name), None)
        self.increment()
        self.changed[kind, name] = self.number

    def record_removal(self, kind: StateKind, name: str) -> None:
        """Take note that an item was removed."""
        self.changed.pop((kind, name), None)
        self.increment()
        self.removed[kind, name] = self.number
        while len(self.removed) > MAX_REMOVED:
            self.complete_from = self.removed.pop(next(iter(self.removed)))

    def increment(self) -> None:
        """Take note that something changed, such as the version of the configuration."""
        self.number += 1
        self.on_change()

    def covers(self, epoch: str, number: int) -> bool:
        """Tell whether all changes after a number of an epoch are known here."""
        return epoch == self.epoch and self.complete_from <= number <= self.number

    def changed_since(self, kind: StateKind, number: int) -> list[str]:
        """Return the items of a kind that were added or changed after a number."""
        return [name for (of, name), at in self.changed.items() if of is kind and at > number]

    def removed_since(self, kind: StateKind, number: int) -> list[str]:
        """Return the items of a kind that were removed after a number."""
        return [name for (of, name), at in self.removed.items() if of is kind and at > number]


class ChangeAnswer(NamedTuple):
    """State that a node passes to another one: what changed, or all.

    :ivar epoch: names the process that numbers the changes
    :ivar number: of the newest change
    :ivar age_ms: time since the store was last known to have nothing newer
    :ivar whole: whether the targets are all there are
    :ivar config: compressed configuration, empty if the other node has no older one
    """

    epoch: str
    number: int
    age_ms: int
    whole: bool
    config: bytes
    targets: list[Target]
    removed_targets: list[str]
    rollouts: list[Rollout]
    removed_rollouts: list[str]
    deaths: list[Death]
    removed_deaths: list[str]


encode_answer = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(ChangeAnswer)


def decode_answer(body: bytes) -> ChangeAnswer:
    """Return the state that another node sent.

    :raises msgspec.MsgspecError: if it is malformed
    """
    return _decoder.decode(body)


@lru_cache(maxsize=2)
def compress_config(raw: bytes) -> bytes:
    """Return a stored configuration as it is sent to other nodes; several ask for each version."""
    return zlib.compress(raw, COMPRESSION_LEVEL)


def decompress_config(data: bytes) -> bytes:
    """Return the configuration as it was stored.

    :raises ValueError: if it is malformed or too large
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed configuration: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"configuration is cut or larger than {MAX_CONFIG_BYTES} bytes")
    return raw
