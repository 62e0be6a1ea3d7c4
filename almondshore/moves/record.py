"""The stored record of a move, written only by its coordinator."""

import random
from datetime import datetime, timedelta
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_msgpack
from almondshore.rules.model import MoveState
from almondshore.storage.port import Conflict, NotFound, Platform, PlatformError, StoredObject

RETRY_BASE_DELAY = timedelta(seconds=0.5)
MAX_RETRY_DELAY = timedelta(seconds=5)
MAX_CONFLICTS = 3


class MoveRecord(NamedTuple):
    """Content of the platform object ``move/<service>``.

    :ivar epoch: epoch of the coordinator that wrote the record
    :ivar coordinators: number of coordinators that the move has had
    :ivar at: when the step was taken or the move ended
    :ivar baseline: by route, the old version's requests, errors, broken responses and latency
        histogram, for a successor that starts when the old version gets no more requests
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
    """A coordinator with a higher epoch has taken over; nothing was written."""

    epoch: int


class Backoff:
    """Exponential backoff with full jitter for calls to the platform."""

    def __init__(self, *, clock: Clock, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self.failures = 0
        self.next_at = timedelta()

    def is_due(self) -> bool:
        """Return whether the next call may be made."""
        return self.clock.monotonic() >= self.next_at

    def record_result(self, failed: bool) -> None:
        """Schedule the next call: at once after a success, with a delay after a failure."""
        self.failures = min(self.failures + 1, 10) if failed else 0
        delay = min(RETRY_BASE_DELAY * 2**self.failures, MAX_RETRY_DELAY) * self.rng.random()
        self.next_at = self.clock.monotonic() + (delay if failed else timedelta())


class RecordStore:
    """Reads and conditionally updates the record of one service's move.

    A coordinator writes only under its own epoch. A record with that epoch is therefore its own,
    one with a lower epoch is taken over, and one with a higher epoch fences this coordinator.
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
        """Read the record; the result is None if there is none yet or it is malformed."""
        result = self.platform.get(self.key)
        if is_successful(result):
            return self._adopt(result.unwrap())
        if isinstance(result.failure(), NotFound):
            return Success(None)
        return result

    def write(self, record: MoveRecord) -> Result[MoveRecord | None, PlatformError | Fenced]:
        """Replace the record; if the platform does not respond, it stays pending."""
        self.writes += 1
        self.pending = (record, f"{self.node}-{self.epoch}-{self.writes}")
        return self.flush()

    def flush(self) -> Result[MoveRecord | None, PlatformError | Fenced]:
        """Write the pending record, if any.

        :return: the record as written, with the progress of the stored one if that was further
            advanced; None if no record was pending
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
            self.pending = (merge_progress(record, adopted.unwrap()), write_id)
        return Failure(error)

    def _put(self, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        if self.revision == 0:
            return self.platform.create(self.key, value, write_id)
        return self.platform.update(self.key, value, self.revision, write_id)

    def _adopt(self, stored: StoredObject) -> Result[MoveRecord | None, Fenced]:
        """Base the next update on a stored record; return ``Fenced`` if its epoch is higher."""
        record = decode_record(stored.value)
        if record is not None and record.epoch > self.epoch:
            return Failure(Fenced(record.epoch))
        self.revision = stored.revision
        return Success(record)


def decode_record(data: bytes) -> MoveRecord | None:
    """Decode a record; return None if it is malformed, so that the coordinator replaces it."""
    try:
        return decode_msgpack(data, MoveRecord)
    except msgspec.MsgspecError:
        return None


def merge_progress(record: MoveRecord, stored: MoveRecord | None) -> MoveRecord:
    """Return the record with the progress of the stored one: a higher step or a rollback."""
    if stored is None or stored.move_id != record.move_id:
        return record
    if stored.state == MoveState.REVERTED.value:
        return stored._replace(epoch=record.epoch, coordinators=record.coordinators)
    return record._replace(step=max(record.step, stored.step))
