"""Meters of bytes, processor time and platform calls around control nodes."""

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
CACHED_SIZES = 256


class Meter:
    """Counts of one run, by address of the node.

    Bytes of messages are those that ``core.codec`` makes, at the sender and at the receiver;
    bytes of the platform are keys and values. Processor time covers the decision code, and the
    encoding and decoding of each message when ``timing`` is set.
    """

    def __init__(self, *, timing: bool = False):
        self.timing = timing
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.seconds: Counter[str] = Counter()
        self.sizes: dict[int, tuple[object, int]] = {}

    def clear(self) -> None:
        """Start the counts anew."""
        for counter in (self.bytes, self.kinds, self.seconds):
            counter.clear()

    def sent(self, sender: str, zone: str, send: Send) -> None:
        """Count a message at both ends."""
        size = self._size(sender, zone, send)
        self.bytes[sender] += size
        self.bytes[send.to] += size
        self.kinds[type(send.message).__name__] += size

    def run(self, address: str, action, *arguments):
        """Call a function and count the processor time on a node."""
        if not self.timing:
            return action(*arguments)
        started = time.process_time()
        result = action(*arguments)
        self.seconds[address] += time.process_time() - started
        return result

    def _size(self, sender: str, zone: str, send: Send) -> int:
        """Return the encoded size; without timing, a message to many peers is encoded once."""
        known = self.sizes.get(id(send.message))
        if not self.timing and known is not None and known[0] is send.message:
            return known[1]
        data = self.run(sender, encode, Envelope(sender, zone, send.message))
        if self.timing:
            self.run(send.to, decode, data)
        if len(self.sizes) >= CACHED_SIZES:
            self.sizes.clear()
        self.sizes[id(send.message)] = (send.message, len(data))
        return len(data)


class MeteredPlatform(MemoryPlatform):
    """A platform client whose bytes are counted for one node."""

    def __init__(self, *, store: ObjectStore, meter: Meter, address: str):
        super().__init__(store=store)
        self.meter = meter
        self.address = address

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self._count(super().get(key), lambda found: [found])

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object; its value is counted as sent."""
        return self._count(super().update(key, value, revision, write_id), lambda found: [found])

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Return the changes so far."""
        return self._count(super().watch(prefix, after, timeout), lambda found: found.objects)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        return self._count(super().list(prefix), lambda found: found)

    def _count(self, result: Result, objects) -> Result:
        size = OBJECT_OVERHEAD_BYTES
        if is_successful(result):
            for item in objects(result.unwrap()):
                size += len(item.key) + len(item.value) + OBJECT_OVERHEAD_BYTES
        self.meter.bytes[self.address] += size
        return result
