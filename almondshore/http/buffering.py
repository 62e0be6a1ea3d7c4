"""Bound on the bodies of incomplete messages that are held in memory together."""

# Bodies of all incomplete messages together. The smallest hosts have 128 MB of memory, of which a
# process with its libraries takes 30 MB.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Body of one message that may be held even beyond MAX_BUFFERED_BYTES.
GUARANTEED_BYTES = 1024 * 1024


class BodyBuffers:
    """Counts the bodies of the incomplete messages of several connections.

    :ivar total_bytes: bytes held now
    """

    def __init__(self) -> None:
        self.total_bytes = 0

    def resize(self, before: int, after: int) -> bool:
        """Record that a body has grown or was released.

        :param before: its size in bytes at the last call, 0 at first
        :param after: its size in bytes now
        :return: whether it may be held
        """
        self.total_bytes += after - before
        return after <= GUARANTEED_BYTES or self.total_bytes <= MAX_BUFFERED_BYTES
