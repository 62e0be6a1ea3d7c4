"""Measurement of the bytes and processor time of control nodes."""

import time
from collections import Counter
from datetime import timedelta

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.codec import decode, encode
from almondshore.core.messages import Envelope, Send
from almondshore.storage.port import PlatformError, StoredObject, WatchResult
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

OBJECT_OVERHEAD_BYTES = 48
MAX_CACHED_SIZES = 256


class Meter:
    """Traffic and processor time of one run, by address of the node.

    A message counts with its size as encoded by ``core.codec``, at the sender and at the
    receiver; a platform call counts with its keys and values, and an overhead for each object.
    Processor time is measured only with ``timing`` and covers the decision code and the encoding
    and decoding of each message.

    :ivar bytes_by_message_type: encoded bytes by class name of the message
    :ivar size_cache: encoded size by id of the message; holds the message, so that its id is not
        reused
    """

    def __init__(self, *, timing: bool = False):
        self.timing = timing
        self.bytes_by_node: Counter[str] = Counter()
        self.bytes_by_message_type: Counter[str] = Counter()
        self.cpu_seconds: Counter[str] = Counter()
        self.size_cache: dict[int, tuple[object, int]] = {}

    def clear(self) -> None:
        """Reset all counts."""
        for counter in (self.bytes_by_node, self.bytes_by_message_type, self.cpu_seconds):
            counter.clear()

    def record_message(self, sender: str, zone: str, send: Send) -> None:
        """Count a message at its sender and at its receiver."""
        size = self._size(sender, zone, send)
        self.bytes_by_node[sender] += size
        self.bytes_by_node[send.to] += size
        self.bytes_by_message_type[type(send.message).__name__] += size

    def run(self, address: str, action, *arguments):
        """Call a function and charge its processor time to a node; returns its result."""
        if not self.timing:
            return action(*arguments)
        started = time.process_time()
        result = action(*arguments)
        self.cpu_seconds[address] += time.process_time() - started
        return result

    def _size(self, sender: str, zone: str, send: Send) -> int:
        """Return the encoded size; without timing, a message to many peers is encoded only once."""
        cached = self.size_cache.get(id(send.message))
        if not self.timing and cached is not None and cached[0] is send.message:
            return cached[1]
        data = self.run(sender, encode, Envelope(sender, zone, send.message))
        if self.timing:
            self.run(send.to, decode, data)
        if len(self.size_cache) >= MAX_CACHED_SIZES:
            self.size_cache.clear()
        self.size_cache[id(send.message)] = (send.message, len(data))
        return len(data)


class MeteredPlatform(MemoryPlatform):
    """A platform client that charges the bytes of its calls to one node."""

    def __init__(self, *, store: ObjectStore, meter: Meter, address: str):
        super().__init__(store=store)
        self.meter = meter
        self.address = address

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object; its key and value are counted."""
        return self._count(super().get(key), lambda stored: [stored])

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object; its key and the written value are counted."""
        return self._count(super().update(key, value, revision, write_id), lambda stored: [stored])

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Return the changes so far; their keys and values are counted."""
        return self._count(super().watch(prefix, after, timeout), lambda changes: changes.objects)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix; their keys and values are counted."""
        return self._count(super().list(prefix), lambda objects: objects)

    def _count(self, result: Result, objects) -> Result:
        size = OBJECT_OVERHEAD_BYTES
        if is_successful(result):
            for item in objects(result.unwrap()):
                size += len(item.key) + len(item.value) + OBJECT_OVERHEAD_BYTES
        self.meter.bytes_by_node[self.address] += size
        return result
