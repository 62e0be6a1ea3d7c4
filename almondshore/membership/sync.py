"""Repair of a node's directory by the digests that its relay shows."""

from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import (
    ALL_ZONES,
    Announce,
    Busy,
    DirectoryDelta,
    DirectoryRequest,
    DirectorySnapshot,
    HeartbeatAck,
    Message,
    Send,
    TargetRecord,
)
from almondshore.membership.directory import Directory
from almondshore.membership.local import LocalTargets

REQUEST_INTERVAL = timedelta(seconds=4)
EXPIRE_INTERVAL = timedelta(minutes=1)


class DirectorySync:
    """Keeps an ordinary node's directory and its own records in step with its relay.

    A difference is repaired when two acknowledgements in a row show the same digest and it is
    not the own one, so that changes under way cause no requests.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        local: LocalTargets,
        announce: Callable[[list[TargetRecord]], list[Send]],
        request_interval: timedelta = REQUEST_INTERVAL,
    ):
        self.clock = clock
        self.directory = directory
        self.local = local
        self.announce = announce
        self.request_interval = request_interval
        self.relay: str | None = None
        self.differing: int | None = None
        self.next_request = clock.monotonic()
        self.next_expiry = clock.monotonic() + EXPIRE_INTERVAL

    def handle(self, message: Message, sender: str) -> list[Send]:
        """React to directory messages and to the digest in acknowledgements."""
        match message:
            case DirectoryDelta(records) | DirectorySnapshot(records):
                return self._merge(records)
            case HeartbeatAck():
                return self._compare(message.directory_digests.get(ALL_ZONES, 0), sender)
            case Busy(retry_after, "DirectoryRequest"):
                delay = timedelta(seconds=retry_after)
                self.next_request = max(self.next_request, self.clock.monotonic() + delay)
        return []

    def tick(self) -> list[Send]:
        """Withdraw silent targets and drop old tombstones."""
        if self.clock.monotonic() >= self.next_expiry:
            self.next_expiry = self.clock.monotonic() + EXPIRE_INTERVAL
            self.directory.expire()
        return self.announce(self.local.tick())

    def _merge(self, records: list[TargetRecord]) -> list[Send]:
        self.directory.merge(records)
        corrected = [raised for record in records for raised in self.local.correct(record)]
        return self.announce(corrected)

    def _compare(self, digest: int, sender: str) -> list[Send]:
        new_relay, self.relay = sender != self.relay, sender
        sends: list[Send] = []
        if new_relay and self.local.targets:
            sends.append(Send(sender, Announce(self.local.records())))
        if digest == self.directory.digest()[ALL_ZONES]:
            self.differing = None
            return sends
        repeated, self.differing = digest == self.differing, digest
        if not (repeated or new_relay) or self.clock.monotonic() < self.next_request:
            return sends
        self.next_request = self.clock.monotonic() + self.request_interval
        if self.local.targets and not new_relay:
            sends.append(Send(sender, Announce(self.local.records())))
        return [*sends, Send(sender, DirectoryRequest(self.directory.digests()))]
