"""Bound on the memory of a process that holds bytes for its peers."""

from abc import ABC, abstractmethod
from datetime import timedelta
from io import BytesIO

from almondshore.http.allocator import map_large_buffers, release_free_memory

# Messages of all connections together. The smallest hosts have 128 MB of memory, of which a process
# with its libraries takes 30 MB.
MAX_HELD_BYTES = 24 * 1024 * 1024
# Message of one connection that may be held even beyond MAX_HELD_BYTES.
GUARANTEED_BYTES = 256 * 1024
# The same for the state that a node reads from the store and from other nodes.
GUARANTEED_STATE_BYTES = 4 * 1024 * 1024
# Memory of a header field beside its bytes: a tuple and two bytes objects.
HEADER_OVERHEAD_BYTES = 150
# Larger bodies are not copied to be sent.
MAX_COPIED_BYTES = 64 * 1024
# Memory of an open connection without a message: socket, stream, parser and listener.
CONNECTION_BYTES = 8 * 1024
# Above this multiple of the bound, connections that hold more than an equal part are closed.
PRESSURE_FACTOR = 1.125
# A message without progress for this long is closed if another one has no room. A lost packet is
# sent again within 0.4 s.
STALLED_AFTER = timedelta(seconds=1)
# When the memory held has fallen by this much, free memory is returned to the system.
RELEASED_BYTES = 8 * 1024 * 1024


# Memory of a process beside what it holds for its peers.
PROCESS_BYTES = 60 * 1024 * 1024
# What is held may take up to this multiple, with the buffers of the kernel.
MEMORY_FACTOR = 2


def max_held_bytes(memory_mb: float) -> int:
    """Return how much memory may be held on a host, ``MAX_HELD_BYTES`` if its size is 0.

    :param memory_mb: memory of the host in megabytes
    """
    held = (int(memory_mb * 1024 * 1024) - PROCESS_BYTES) // MEMORY_FACTOR
    return max(MAX_HELD_BYTES, held)


class MemoryHolder(ABC):
    """A connection for whose messages memory is held.

    :ivar held_bytes: memory held for it
    """

    held_bytes: int

    @abstractmethod
    def stalled_for(self, now: timedelta) -> timedelta:
        """Return for how long its peer has made no progress, zero if it waits for this process."""

    @abstractmethod
    def evict(self, now: timedelta) -> None:
        """Release its memory by a refusal or by closing the connection."""


class MemoryBudget:
    """Counts the memory held for the messages of all connections.

    :param max_bytes: bound on it, None for ``MAX_HELD_BYTES``
    :ivar held_bytes: memory held now
    :ivar refusals: messages that were refused because of the bound
    :ivar evictions: connections that were refused or closed because of the bound
    :ivar peak_bytes: most memory held since free memory was returned to the system
    :ivar holders: open connections from clients, at all listeners of the process
    """

    def __init__(self, *, max_bytes: int | None = None) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refusals = 0
        self.evictions = 0
        self.holders: set[MemoryHolder] = set()
        self.relieving = False
        self.peak_bytes = 0
        map_large_buffers()

    def limit(self) -> int:
        """Return how much memory may be held."""
        return MAX_HELD_BYTES if self.max_bytes is None else self.max_bytes

    def resize(self, before: int, after: int) -> None:
        """Record that the memory held for a connection has changed.

        :param before: its size in bytes at the last call, 0 at first
        :param after: its size in bytes now
        """
        self.held_bytes += after - before

    def fits(self, held: int, *, missing: int = 0, guaranteed: int | None = None) -> bool:
        """Return whether a connection may go on receiving its message.

        :param held: bytes held for the connection
        :param missing: bytes that the message states and that have not been received
        :param guaranteed: bytes that it may hold in any case, ``GUARANTEED_BYTES`` by default
        """
        if guaranteed is None:
            guaranteed = GUARANTEED_BYTES
        return held + missing <= guaranteed or self.held_bytes + missing <= self.limit()

    def allows(self, held: int, *, missing: int = 0, guaranteed: int | None = None) -> bool:
        """Return the same as ``fits``, and count a refusal."""
        if self.fits(held, missing=missing, guaranteed=guaranteed):
            return True
        self.refusals += 1
        return False

    def relieve(self, now: timedelta) -> None:
        """Close the connections that hold most for longest, if too much is held.

        A connection that holds no more than an equal part of the memory is never closed.
        """
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        total = self.held_bytes + len(self.holders) * CONNECTION_BYTES
        if total > self.limit() * PRESSURE_FACTOR:
            self._evict(now, list(self.holders), max_held=self._max_held())

    def release_freed(self) -> None:
        """Return free memory to the system if much has been freed; to be called periodically."""
        if self.peak_bytes - self.held_bytes > RELEASED_BYTES:
            self.peak_bytes = self.held_bytes
            release_free_memory()

    def close_stalled(self, now: timedelta, *, missing: int, requester: MemoryHolder) -> None:
        """Close connections whose peers make no progress, until a message has room.

        :param missing: bytes that the message needs
        """
        stalled = [
            holder
            for holder in self.holders
            if holder is not requester and holder.stalled_for(now) >= STALLED_AFTER
        ]
        self._evict(now, stalled, max_held=self.limit() - missing)

    def _max_held(self) -> int:
        return self.limit() - len(self.holders) * CONNECTION_BYTES

    def _evict(self, now: timedelta, holders: list[MemoryHolder], *, max_held: int) -> None:
        if self.relieving or not holders:
            return
        equal_part = self._max_held() // len(self.holders)
        by_cost = sorted(
            (holder for holder in holders if holder.held_bytes > equal_part),
            key=lambda holder: holder.held_bytes * (STALLED_AFTER + holder.stalled_for(now)),
        )
        self.relieving = True
        try:
            while by_cost and self.held_bytes > max_held:
                by_cost.pop().evict(now)
                self.evictions += 1
        finally:
            self.relieving = False


class BodyBuffer:
    """Collects a body as it is received.

    The buffer grows in place and becomes the body without a copy; once it is mapped, the system
    moves its pages.

    :ivar size: bytes received
    """

    def __init__(self) -> None:
        self.size = 0
        self.buffer: BytesIO | None = None

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> None:
        """Add a part of the body."""
        if self.buffer is None:
            self.buffer = BytesIO()
        self.size += len(data)
        self.buffer.write(data)

    def take(self) -> bytes:
        """Return the complete body and start anew."""
        body = self.buffer.getvalue() if self.buffer is not None else b""
        self.clear()
        return body

    def clear(self) -> None:
        """Drop what was received."""
        self.size = 0
        self.buffer = None
