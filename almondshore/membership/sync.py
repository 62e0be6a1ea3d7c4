"""Synchronization of a node's directory with its relay, by comparing digests."""

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
    KeepaliveAck,
    Message,
    Send,
    TargetRecord,
)
from almondshore.membership.directory import Directory
from almondshore.membership.local import LocalTargets
from almondshore.membership.record import is_newer

REQUEST_INTERVAL = timedelta(seconds=4)
# Three heartbeat intervals; a change that is still being distributed takes less.
DIFFERENCE_TOLERANCE = timedelta(seconds=6)
ANNOUNCE_INTERVAL = timedelta(seconds=1)
EXPIRE_INTERVAL = timedelta(minutes=1)


class DirectorySync:
    """Synchronizes an ordinary node's directory and the records of its targets with its relay.

    A changed record of a local target is announced repeatedly until the relay returns it. Records
    are requested if the relay reports the same differing digest twice in a row, or if the digests
    differ for ``DIFFERENCE_TOLERANCE``, so that changes still being distributed cause no requests.
    Until the digests have matched once, records are requested without waiting for either.

    :ivar forward_changes: called with changed records of local targets if this node is a relay;
        None on other nodes
    :ivar synchronized: whether the digests have matched at least once
    :ivar differing_digest: the relay's last digest if it differed; None if it matched
    :ivar unconfirmed: records of local targets that the relay has not confirmed, by target
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        local: LocalTargets,
        forward_changes: Callable[[list[TargetRecord]], None] | None = None,
        request_interval: timedelta = REQUEST_INTERVAL,
    ):
        self.clock = clock
        self.directory = directory
        self.local = local
        self.forward_changes = forward_changes
        self.request_interval = request_interval
        self.relay: str | None = None
        self.synchronized = False
        self.differing_digest: int | None = None
        self.differing_since = timedelta()
        self.unconfirmed: dict[str, TargetRecord] = {}
        self.next_announce = clock.monotonic()
        self.next_request = clock.monotonic()
        self.next_expiry = clock.monotonic() + EXPIRE_INTERVAL

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle directory messages and the digests in acknowledgements."""
        match message:
            case DirectoryDelta(records) | DirectorySnapshot(records):
                return self._merge(records)
            case HeartbeatAck():
                return self._compare(message.directory_digests.get(ALL_ZONES, 0), sender)
            case KeepaliveAck(True):
                self.synchronized, self.differing_digest = True, None
            case Busy(retry_after, "DirectoryRequest"):
                delay = timedelta(seconds=retry_after)
                self.next_request = max(self.next_request, self.clock.monotonic() + delay)
        return []

    def own_records_changed(self, records: list[TargetRecord]) -> list[Send]:
        """Store changed records of local targets and announce them to the relay."""
        if not records:
            return []
        self.directory.merge(records)
        if self.forward_changes is not None:
            self.forward_changes(records)
            return []
        self.unconfirmed.update({record.target: record for record in records})
        return self._announce()

    def tick(self) -> list[Send]:
        """Withdraw targets that timed out, repeat announcements and expire tombstones."""
        now = self.clock.monotonic()
        if now >= self.next_expiry:
            self.next_expiry = now + EXPIRE_INTERVAL
            self.directory.expire()
        corrections = self._corrections(self.directory.of_node(self.local.node))
        sends = self.own_records_changed(self.local.tick() + corrections)
        if self.unconfirmed and now >= self.next_announce and not sends:
            return self._announce()
        return sends

    def _announce(self) -> list[Send]:
        self.next_announce = self.clock.monotonic() + ANNOUNCE_INTERVAL
        if self.relay is None or not self.unconfirmed:
            return []
        return [Send(self.relay, Announce(list(self.unconfirmed.values())))]

    def _merge(self, records: list[TargetRecord]) -> list[Send]:
        self.directory.merge(records)
        for record in records:
            unconfirmed = self.unconfirmed.get(record.target)
            if unconfirmed is not None and not is_newer(unconfirmed, record):
                del self.unconfirmed[record.target]
        return self.own_records_changed(self._corrections(records))

    def _corrections(self, records: list[TargetRecord]) -> list[TargetRecord]:
        return [corrected for record in records for corrected in self.local.correct(record)]

    def _compare(self, digest: int, sender: str) -> list[Send]:
        new_relay, self.relay = sender != self.relay, sender
        if digest == self.directory.digest()[ALL_ZONES]:
            self.synchronized, self.differing_digest = True, None
            self.unconfirmed.clear()
            return []
        sends: list[Send] = []
        if new_relay:
            self.unconfirmed.update({r.target: r for r in self.local.records()})
            sends = self._announce()
        return sends + self._request_if_due(digest, sender)

    def _request_if_due(self, digest: int, sender: str) -> list[Send]:
        """Request the records of differing zones unless a change may still be on its way."""
        now = self.clock.monotonic()
        if self.differing_digest is None:
            self.differing_since = now
        repeated, self.differing_digest = digest == self.differing_digest, digest
        lasting = now - self.differing_since >= DIFFERENCE_TOLERANCE
        if now < self.next_request or (self.synchronized and not repeated and not lasting):
            return []
        self.next_request = now + self.request_interval
        if repeated:
            self.unconfirmed.update({r.target: r for r in self.local.records()})
        return [Send(sender, DirectoryRequest(self.directory.digests()))]
