"""Leases in the platform, with an epoch that increases with each new holder."""

from datetime import datetime, timedelta
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_msgpack
from almondshore.storage.port import (
    Conflict,
    NotFound,
    Platform,
    PlatformError,
    StoredObject,
    Unavailable,
)

RELAY_LEASE_PREFIX = "lease/relay/"
LEASE_TTL = timedelta(seconds=15)
# Tolerated difference between the clocks of two hosts.
CLOCK_SKEW = timedelta(seconds=2)


class LeaseRecord(NamedTuple):
    """Content of the object that stores a lease."""

    holder: str
    epoch: int
    expires: datetime


class Held(NamedTuple):
    """This process holds the lease."""

    epoch: int


class HeldElsewhere(NamedTuple):
    """Another process holds the lease, or is acquiring it.

    :ivar record: the current lease; None if it was not reported with the write conflict
    """

    record: LeaseRecord | None


class Unknown(NamedTuple):
    """The platform call failed; a lease acquired earlier remains valid until it expires."""

    error: PlatformError


LeaseResult = Held | HeldElsewhere | Unknown


class Lease:
    """A lease that this process holds or tries to acquire.

    A holder that was paused beyond the expiry of its lease does no harm: its next write conflicts,
    and receivers reject messages with its lower epoch. A lease counts as expired once its expiry
    time has passed by the wall clock, or its object has not changed for a full ``ttl`` by this
    process's monotonic clock.

    :ivar epoch: epoch of the lease held; 0 if none
    :ivar revision: revision of the lease's object after the last confirmed write
    :ivar pending_write: id of a write whose result is not known
    """

    def __init__(
        self,
        *,
        platform: Platform,
        key: str,
        holder: str,
        clock: Clock,
        ttl: timedelta = LEASE_TTL,
        clock_skew: timedelta = CLOCK_SKEW,
    ):
        self.platform = platform
        self.key = key
        self.holder = holder
        self.clock = clock
        self.ttl = ttl
        self.clock_skew = clock_skew
        self.epoch = 0
        self.revision = 0
        self.writes = 0
        self.valid_until = timedelta()
        self.pending_write: str | None = None
        self.pending_sent_at = timedelta()
        self.observed_revision = 0
        self.observed_at = timedelta()

    @property
    def held(self) -> bool:
        """Whether this process holds an unexpired lease by its own monotonic clock."""
        return self.epoch > 0 and self.clock.monotonic() < self.valid_until

    def acquire_or_renew(self, known: StoredObject | None = None) -> LeaseResult:
        """Renew the lease if it is held, else acquire it if it is free or expired.

        A renewal takes one platform call, an acquisition two.

        :param known: the lease's object if it has just been read, which saves a call
        """
        if self.epoch and self.pending_write is None:
            return self._write(self.epoch, self.revision)
        if known is not None:
            return self._evaluate(known)
        result = self.platform.get(self.key)
        if is_successful(result):
            return self._evaluate(result.unwrap())
        if isinstance(result.failure(), NotFound):
            return self._write(1, 0)
        return Unknown(result.failure())

    def renew_with_new_epoch(self) -> LeaseResult:
        """Renew the held lease under a higher epoch."""
        if not self.epoch or self.pending_write is not None:
            return self.acquire_or_renew()
        return self._write(self.epoch + 1, self.revision)

    def release(self) -> None:
        """Release the lease, so that other processes need not wait for it to expire."""
        if self.epoch:
            self._put(self.epoch, self.revision, timedelta())
        self._reset()

    def _evaluate(self, stored: StoredObject) -> LeaseResult:
        """Confirm a pending write, renew or acquire the lease, depending on its stored state."""
        record = decode_lease(stored)
        if self.pending_write is not None and stored.write_id == self.pending_write:
            return self._confirm(record.epoch, stored.revision)
        if self.epoch and (record.holder, record.epoch) == (self.holder, self.epoch):
            return self._write(self.epoch, stored.revision)
        self._reset()
        if self._expired(stored, record):
            return self._write(record.epoch + 1, stored.revision)
        return HeldElsewhere(record)

    def _confirm(self, epoch: int, revision: int) -> Held:
        """Record a write that took effect; the lease is valid from the time the write was sent."""
        self.epoch, self.revision, self.pending_write = epoch, revision, None
        self.valid_until = self.pending_sent_at + self.ttl
        return Held(epoch)

    def _expired(self, stored: StoredObject, record: LeaseRecord) -> bool:
        now = self.clock.monotonic()
        if stored.revision != self.observed_revision:
            self.observed_revision, self.observed_at = stored.revision, now
        if now - self.observed_at >= self.ttl:
            return True
        return record.holder == self.holder or self.clock.now() > record.expires + self.clock_skew

    def _write(self, epoch: int, revision: int) -> LeaseResult:
        result = self._put(epoch, revision, self.ttl)
        if is_successful(result):
            return self._confirm(epoch, result.unwrap().revision)
        error = result.failure()
        if not isinstance(error, Unavailable):
            self.pending_write = None
        if isinstance(error, Conflict):
            self._reset()
            return HeldElsewhere(decode_lease(error.current) if error.current else None)
        return Unknown(error)

    def _put(
        self, epoch: int, revision: int, ttl: timedelta
    ) -> Result[StoredObject, PlatformError]:
        self.writes += 1
        self.pending_sent_at = self.clock.monotonic()
        self.pending_write = f"{self.holder}/{epoch}/{self.writes}"
        record = LeaseRecord(self.holder, epoch, self.clock.now() + ttl)
        value = msgspec.msgpack.encode(record)
        return self.platform.update(self.key, value, revision, self.pending_write)

    def _reset(self) -> None:
        self.epoch, self.revision, self.pending_write = 0, 0, None
        self.valid_until = timedelta()


def decode_lease(stored: StoredObject) -> LeaseRecord:
    """Decode the object that stores a lease."""
    return decode_msgpack(stored.value, LeaseRecord)


def lease_slot(key: str) -> int:
    """Return the relay slot that a lease's key names."""
    return int(key.rpartition("/")[2])


def relay_lease_key(zone: str, slot: int) -> str:
    """Return the key of the lease of a zone's relay slot."""
    return f"{RELAY_LEASE_PREFIX}{zone}/{slot}"
