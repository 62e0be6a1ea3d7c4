"""Reads the output of a node process, unless it is told to stop or to go away."""

import os
from pathlib import Path

from eventlet import hubs

from almondshore.http.stream import READ, watch

READ_BYTES = 65536


class LogReader:
    """Copies what a process writes into a file.

    :ivar write_end: descriptor to pass to the process; closed by :meth:`start`
    """

    def __init__(self, *, path: Path):
        self.path = path
        self.read_end, self.write_end = os.pipe()
        self.listener = None
        self.closed = False

    def start(self) -> None:
        """Begin to read, after the process has inherited the descriptor."""
        os.close(self.write_end)
        self.resume()

    def pause(self) -> None:
        """Stop reading, so that the pipe fills."""
        if self.listener is not None:
            hubs.get_hub().remove(self.listener)
            self.listener = None

    def resume(self) -> None:
        """Read again after :meth:`pause`."""
        if self.listener is None and not self.closed:
            self.listener = watch(READ, self.read_end, self._on_readable)

    def close(self) -> None:
        """Go away, so that writing fails."""
        self.pause()
        if not self.closed:
            self.closed = True
            os.close(self.read_end)

    def _on_readable(self, _fileno: int) -> None:
        data = os.read(self.read_end, READ_BYTES)
        if not data:
            self.close()
            return
        with self.path.open("ab") as file:
            file.write(data)
