"""Text stream with a bounded backlog whose writer never blocks."""

import os
import select
from collections import deque

# About one second of the log of a busy node, at about 300 bytes a line.
MAX_BACKLOG_BYTES = 256 * 1024
# A pipe that is ready for writing accepts at least this much without blocking (POSIX PIPE_BUF).
WRITE_BYTES = 4096


class BoundedStream:
    """Buffers lines and writes them when the descriptor accepts them without blocking.

    :ivar size: bytes in the backlog
    :ivar dropped: lines dropped since the last ``log_lines_dropped`` event
    """

    def __init__(self, *, descriptor: int, max_bytes: int = MAX_BACKLOG_BYTES):
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.lines: deque[bytes] = deque()
        self.size = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Add a line, or drop it if the backlog is full."""
        line = text.encode("utf-8", "replace")
        if self.size + len(line) > self.max_bytes:
            self.dropped += 1
            return len(text)
        self.lines.append(line)
        self.size += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing; ``drain`` writes the lines, so that a slow reader cannot block the caller."""

    def drain(self) -> bool:
        """Write as much as the descriptor accepts without blocking.

        :return: True if the backlog is empty
        """
        if self.dropped and self.size < self.max_bytes // 2:
            self._report_dropped()
        while self.lines:
            if not select.select([], [self.descriptor], [], 0)[1]:
                return False
            batch = self._batch()
            written = os.write(self.descriptor, batch)
            if written < len(batch):
                self.lines.appendleft(batch[written:])
                self.size += len(batch) - written
        return True

    def _report_dropped(self) -> None:
        line = f"event=log_lines_dropped count={self.dropped}\n".encode()
        self.dropped = 0
        self.lines.append(line)
        self.size += len(line)

    def _batch(self) -> bytes:
        """Remove and return the next lines, as many as fit into one write, but at least one."""
        parts = [self.lines.popleft()]
        total = len(parts[0])
        while self.lines and total + len(self.lines[0]) <= WRITE_BYTES:
            parts.append(self.lines.popleft())
            total += len(parts[-1])
        self.size -= total
        return b"".join(parts)
