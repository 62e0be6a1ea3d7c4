"""The record of a move in the platform, written by its coordinator only."""

import random
from datetime import datetime, timedelta
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.rules.model import MoveState
from almondshore.storage.port import Conflict, NotFound, Platform, PlatformError, StoredObject

RETRY_BASE = timedelta(seconds=0.5)
RETRY_CAP = timedelta(seconds=5)
MAX_CONFLICTS = 3


class MoveRecord(NamedTuple):
    """Content of ``move/<service>``.

    :ivar epoch: epoch of the coordinator that wrote it
    :ivar coordinators: how many coordinators the move has had
    :ivar at: when the step was taken or the move ended
    :ivar baseline: counts of the old version by route, for a successor that sees no request on it
        any more: requests, errors, broken responses, histogram
    """

    move_id: str
    epoch: int
    coordinators: int
    step: int
    state: str
    reason: str
    route: str
    evidence: str
    at: datetime
    baseline: dict[str, tuple[int, int, int, list[int]]] = {}


class Fenced(NamedTuple):
    """A coordinator with a higher epoch has taken over; nothing was changed."""

    epoch: int


class Backoff:
    """Spaces repeated calls with full jitter."""

    def __init__(self, *, clock: Clock, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self.failures = 0
        self.next_at = timedelta()

    def is_due(self) -> bool:
        """Return whether the next call may be made."""
        return self.clock.monotonic() >= self.next_at

    def note(self, failed: bool) -> None:
        """Record the result of a call."""
        self.failures = min(self.failures + 1, 10) if failed else 0
        delay = min(RETRY_BASE * 2**self.failures, RETRY_CAP) * self.rng.random()
        self.next_at = self.clock.monotonic() + (delay if failed else timedelta())


class RecordStore:
    """Reads and conditionally updates the record of one service's move.

    A coordinator writes only under its own epoch, so a record with its epoch is its own, one
    with a lower epoch is to be taken over, and one with a higher epoch fences it.
    """

    def __init__(self, *, platform: Platform, service: str, epoch: int, node: str):
        self.platform = platform
        self.key = f"move/{service}"
        self.epoch = epoch
        self.node = node
        self.revision = 0
        self.writes = 0
        self.pending: tuple[MoveRecord, str] | None = None

    def read(self) -> Result[MoveRecord | None, PlatformError | Fenced]:
        """Read the record; None if there is none yet."""
        result = self.platform.get(self.key)
        if is_successful(result):
            return self._adopt(result.unwrap())
        if isinstance(result.failure(), NotFound):
            return Success(None)
        return result

    def write(self, record: MoveRecord) -> Result[MoveRecord | None, PlatformError | Fenced]:
        """Replace the record; if the platform does not answer, it stays pending."""
        self.writes += 1
        self.pending = (record, f"{self.node}-{self.epoch}-{self.writes}")
        return self.flush()

    def flush(self) -> Result[MoveRecord | None, PlatformError | Fenced]:
        """Write the pending record, if any.

        :returns: the record as written, which continues from the one in the platform if that
            one is further on
        """
        if self.pending is None:
            return Success(None)
        for _ in range(MAX_CONFLICTS):
            record, write_id = self.pending
            result = self._put(msgspec.msgpack.encode(record), write_id)
            if is_successful(result):
                self.revision = result.unwrap().revision
                self.pending = None
                return Success(record)
            error = result.failure()
            if not isinstance(error, Conflict) or error.current is None:
                return Failure(error)
            adopted = self._adopt(error.current)
            if not is_successful(adopted):
                self.pending = None
                return adopted
            self.pending = (combine(record, adopted.unwrap()), write_id)
        return Failure(error)

    def _put(self, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        if self.revision == 0:
            return self.platform.create(self.key, value, write_id)
        return self.platform.update(self.key, value, self.revision, write_id)

    def _adopt(self, stored: StoredObject) -> Result[MoveRecord | None, Fenced]:
        record = decode_record(stored.value)
        if record is not None and record.epoch > self.epoch:
            return Failure(Fenced(record.epoch))
        self.revision = stored.revision
        return Success(record)


def decode_record(data: bytes) -> MoveRecord | None:
    """Decode a record; None if it is malformed, so that a coordinator replaces it."""
    try:
        return msgspec.msgpack.decode(data, type=MoveRecord)
    except msgspec.MsgspecError:
        return None


def combine(record: MoveRecord, stored: MoveRecord | None) -> MoveRecord:
    """Return a record that keeps the progress of the stored one: its step and its rollback."""
    if stored is None or stored.move_id != record.move_id:
        return record
    if stored.state == MoveState.REVERTED.value:
        return stored._replace(epoch=record.epoch, coordinators=record.coordinators)
    return record._replace(step=max(record.step, stored.step))
