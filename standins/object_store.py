"""The object store behind the platform stand-in, with switchable faults."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.storage.port import MAX_VALUE_BYTES, StoredObject

READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400


class Fault(StrEnum):
    """Fault that calls to the stand-in run into.

    ``DOWN`` makes all calls fail, ``SLOW`` delays them, and ``LOSE_ANSWERS`` executes writes but
    leaves them unanswered.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose-answers"


class Status(NamedTuple):
    """Result of a call: an HTTP status code and the object concerned, if any."""

    code: int
    object: StoredObject | None


class ObjectStore:
    """Objects with revisions, conditional writes, changes by position, rate limits and call counts.

    :ivar change_positions: position of the last change of each object
    :ivar position: number of changes so far
    :ivar counts: calls admitted by kind, and calls refused by the rate limit
    :ivar recent_calls: times in seconds of the calls admitted within the last second, by kind
    """

    def __init__(
        self,
        *,
        clock: Clock,
        reads_per_second: int = READS_PER_SECOND,
        writes_per_second: int = WRITES_PER_SECOND,
    ):
        self.clock = clock
        self.objects: dict[str, StoredObject] = {}
        self.change_positions: dict[str, int] = {}
        self.position = 0
        self.fault = Fault.NONE
        self.counts = {"read": 0, "write": 0, "refused": 0}
        self.limits = {"read": reads_per_second, "write": writes_per_second}
        self.recent_calls: dict[str, deque] = {"read": deque(), "write": deque()}

    def admit(self, kind: str) -> bool:
        """Return whether the rate limit admits a call, and count the call as admitted or refused.

        :param kind: ``read`` or ``write``
        """
        now = self.clock.monotonic().total_seconds()
        recent = self.recent_calls[kind]
        while recent and recent[0] <= now - 1:
            recent.popleft()
        if len(recent) >= self.limits[kind]:
            self.counts["refused"] += 1
            return False
        recent.append(now)
        self.counts[kind] += 1
        return True

    def get(self, key: str) -> Status:
        """Read an object: 200 or 404."""
        stored = self.objects.get(key)
        return Status(200 if stored else 404, stored)

    def put(self, key: str, value: bytes, revision: int, write_id: str) -> Status:
        """Write an object if its revision is the given one; 0 means that it must not exist.

        A write that repeats the ``write_id`` of the stored object succeeds without a change.

        :return: 200, 409 with the conflicting object if there is one, or 413 if the value is too
            large
        """
        if len(value) > MAX_VALUE_BYTES:
            return Status(413, None)
        stored = self.objects.get(key)
        if stored is not None and stored.write_id == write_id:
            return Status(200, stored)
        if revision != (stored.revision if stored else 0):
            return Status(409, stored)
        self.position += 1
        stored = StoredObject(key, value, revision + 1, write_id)
        self.objects[key] = stored
        self.change_positions[key] = self.position
        return Status(200, stored)

    def changes(self, prefix: str, after: int) -> list[StoredObject]:
        """Return the objects under a prefix that changed after a position, oldest first."""
        keys = [
            key
            for key, position in self.change_positions.items()
            if position > after and key.startswith(prefix)
        ]
        return [self.objects[key] for key in sorted(keys, key=self.change_positions.__getitem__)]

    # Defined last: in annotations after it, ``list`` would refer to this method.
    def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix, ordered by key."""
        return [self.objects[key] for key in sorted(self.objects) if key.startswith(prefix)]
