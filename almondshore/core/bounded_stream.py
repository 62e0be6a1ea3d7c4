"""Text stream with a bounded backlog whose writer never blocks and never fails."""

import io
import os
import select
from collections import deque
from datetime import UTC, datetime

from almondshore.core.logs import format_event

# About one second of the log of a busy node, at about 300 bytes a line.
MAX_BACKLOG_BYTES = 256 * 1024
STDERR_FD = 2
# A pipe that is ready for writing accepts at least this much without blocking (POSIX PIPE_BUF).
WRITE_BYTES = 4096


class BoundedStream:
    """Buffers lines and writes them when the descriptor accepts them without blocking.

    :ivar size: bytes in the backlog
    :ivar dropped: lines dropped since the last ``log_lines_dropped`` event
    :ivar total_dropped: all lines dropped so far
    :ivar lost: why the last write failed, empty if it did not
    """

    def __init__(self, *, descriptor: int, max_bytes: int = MAX_BACKLOG_BYTES):
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.lines: deque[bytes] = deque()
        self.size = 0
        self.dropped = 0
        self.total_dropped = 0
        self.lost = ""

    def write(self, text: str) -> int:
        """Add a line, or drop it if the backlog is full."""
        line = text.encode("utf-8", "replace")
        if self.size + len(line) > self.max_bytes:
            self.dropped += 1
            self.total_dropped += 1
            return len(text)
        self.lines.append(line)
        self.size += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing; ``drain`` writes the lines, so that a slow reader cannot block the caller."""

    def drain(self) -> bool:
        """Write as much as the descriptor accepts without blocking.

        The lines are kept while it cannot be written to, as after the end of a log reader.

        :return: True if the backlog is empty
        """
        if self.dropped and self.size < self.max_bytes // 2:
            self._add_event("log_lines_dropped", count=self.dropped)
            self.dropped = 0
        while self.lines:
            batch = self._batch()
            written = self._write(batch)
            if written < len(batch):
                self.lines.appendleft(batch[written:])
                self.size += len(batch) - written
            if not written:
                return False
        return True

    def _write(self, batch: bytes) -> int:
        """Write bytes; returns how many the descriptor accepted."""
        try:
            if not select.select([], [self.descriptor], [], 0)[1]:
                return 0
            written = os.write(self.descriptor, batch)
        except BlockingIOError:
            return 0
        except (OSError, ValueError) as error:
            self.lost = str(error)
            return 0
        if self.lost:
            self._add_event("log_output_restored", error=self.lost)
            self.lost = ""
        return written

    def _add_event(self, event: str, **fields: object) -> None:
        line = format_line("WARNING", event, fields).encode()
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


class ErrorOutput(io.TextIOBase):
    """Adds what is written to standard error to a log stream, each line as an event.

    The interpreter and libraries write there, and an error in doing so would end the process.
    """

    def __init__(self, *, stream: BoundedStream):
        super().__init__()
        self.stream = stream
        self.partial = ""

    def write(self, text: str) -> int:
        """Log the complete lines."""
        *lines, self.partial = (self.partial + text).split("\n")
        for line in lines:
            if line.strip():
                self.stream.write(format_line("ERROR", "error_output", {"text": line}))
        return len(text)


def format_line(level: str, event: str, fields: dict[str, object]) -> str:
    """Return the line of an event that does not pass through the logger."""
    at = datetime.now(UTC).isoformat(timespec="milliseconds")
    return f"time={at} level={level} {format_event(event, fields)}\n"


def open_standard_descriptors() -> None:
    """Open the standard descriptors that are closed, on the null device.

    Otherwise a socket would get the number of one of them, and a peer the log.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= STDERR_FD:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)
