"""Record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event to ``record.txt``, and keeps the events.

    :param path: file to write
    """

    def __init__(self, *, path: Path):
        self.file = path.open("w")
        self.started_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def add(self, event: str, **fields: object) -> float:
        """Write an event; returns its time in seconds since the start."""
        now = self.now()
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now:8.3f} {event} {pairs}\n")
        self.file.flush()
        return now
