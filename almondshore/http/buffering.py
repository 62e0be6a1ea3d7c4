"""Bound on the memory of a process that holds bytes for its peers."""

# Messages of all connections together. The smallest hosts have 128 MB of memory, of which a process
# with its libraries takes 30 MB.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Message of one connection that may be held even beyond MAX_HELD_BYTES.
GUARANTEED_BYTES = 256 * 1024
# The same for the state that a node reads from the store and from other nodes.
GUARANTEED_STATE_BYTES = 4 * 1024 * 1024
# Memory of a header field beside its bytes: a tuple and two bytes objects.
HEADER_OVERHEAD_BYTES = 150
# Larger bodies are not copied to be sent.
MAX_COPIED_BYTES = 64 * 1024
# Bodies are received into blocks: several large buffers that grow at the same time leave holes in
# the heap of two to three times their size.
BLOCK_BYTES = 64 * 1024


class MemoryBudget:
    """Counts the memory held for the messages of all connections.

    :ivar held_bytes: memory held now
    :ivar refusals: messages that were refused because of the bound
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.refusals = 0

    def resize(self, before: int, after: int) -> None:
        """Record that the memory held for a connection has changed.

        :param before: its size in bytes at the last call, 0 at first
        :param after: its size in bytes now
        """
        self.held_bytes += after - before

    def allows(self, held: int, *, missing: int = 0, guaranteed: int = GUARANTEED_BYTES) -> bool:
        """Return whether a connection may go on receiving its message; counts a refusal.

        :param held: bytes held for the connection
        :param missing: bytes that the message states and that have not been received
        :param guaranteed: bytes that it may hold in any case
        """
        if held + missing <= guaranteed or self.held_bytes + missing <= MAX_HELD_BYTES:
            return True
        self.refusals += 1
        return False


class BodyBuffer:
    """Collects a body as it is received.

    :ivar size: bytes received
    """

    def __init__(self) -> None:
        self.size = 0
        self.blocks: list[bytes] = []
        self.tail = bytearray()

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> None:
        """Add a part of the body."""
        self.size += len(data)
        self.tail += data
        if len(self.tail) >= BLOCK_BYTES:
            self.blocks.append(bytes(self.tail))
            self.tail = bytearray()

    def take(self) -> bytes:
        """Return the complete body and start anew."""
        blocks, tail = self.blocks, bytes(self.tail)
        self.clear()
        return b"".join((*blocks, tail)) if blocks else tail

    def clear(self) -> None:
        """Drop what was received."""
        self.size = 0
        self.blocks, self.tail = [], bytearray()
