"""The target beside this node: what it announced, and how long it takes new work."""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.limits.objective import ObjectiveQueue
from almondshore.mesh.model import Address, Announcement, Target, TargetState

# Shares of the drain time, from the acknowledgement: new requests are taken until the first,
# waiting ones start until the second. The rest is margin for a slow host.
DRAIN_ACCEPT_SHARE = 0.35
DRAIN_START_SHARE = 0.6
# A process that cannot read the store does not know whether the one before it acknowledged that
# the target leaves. It waits this many drain times, after which such a target is gone.
STORE_UNREAD_HOLD_FACTOR = 1.5
# A host runs one target at a time; notices of earlier ones may still arrive.
MAX_DEREGISTRATIONS = 16


class Deregistration(NamedTuple):
    """A target's notice that it leaves for good.

    :ivar born_ms: start of the latest incarnation that it speaks for
    :ivar since: monotonic time at which it was acknowledged
    """

    born_ms: int
    since: timedelta


class AnnouncementResult(Enum):
    """What became of an announcement."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    OUTDATED = "outdated"


class LocalTarget:
    """State of the target beside this node.

    Only an announcement that was received by this process makes the target usable: a node that
    was restarted must not send work to a target whose leaving it acknowledged before.

    :param link_mbps: bandwidth of this node's link, told to the others with the entry
    :ivar announced: the newest announcement
    :ivar draining_since: when the target's leaving was first taken note of
    :ivar confirmed: whether stored entries were seen, which may tell that the target leaves
    :ivar departed: notices of departure by identity of the target
    """

    def __init__(self, *, clock: Clock, node: Address, drain: timedelta, link_mbps: float = 0.0):
        self.clock = clock
        self.node = node
        self.link_mbps = link_mbps
        self.drain = drain
        self.announced: Announcement | None = None
        self.draining_since: timedelta | None = None
        self.warm_at = timedelta()
        self.deregistrations: dict[str, Deregistration] = {}
        self.started_at = clock.monotonic()
        self.store_read = False
        self.queue: ObjectiveQueue | None = None

    def announce(self, announcement: Announcement) -> AnnouncementResult:
        """Take in an announcement of the target."""
        known = self.announced
        if known is not None and self._is_outdated(known, announcement):
            log_event(
                "announcement_outdated",
                target=announcement.target,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                known_target=known.target,
                known_born_ms=known.born_ms,
                known_sequence=known.sequence,
            )
            return AnnouncementResult.OUTDATED
        is_new = known is None or (known.target, known.born_ms) != (
            announcement.target,
            announcement.born_ms,
        )
        if is_new:
            if self.queue is not None:
                self.queue.close()
            self.queue = ObjectiveQueue(clock=self.clock, slots=announcement.slots)
            self.draining_since = None
        elif announcement.slots != known.slots:
            self.queue.resize(announcement.slots)
        leaving = self.draining_since is not None or self._is_deregistered(announcement)
        if leaving and announcement.state is TargetState.READY:
            # A late announcement does not call back a target that said it leaves.
            announcement = announcement._replace(state=TargetState.DRAINING)
        self.announced = announcement
        self.warm_at = self.clock.monotonic() + announcement.warmup
        if announcement.state is not TargetState.READY:
            self._begin_drain(announcement)
        changed = is_new or self._differs(known, announcement)
        return AnnouncementResult.ACCEPTED if changed else AnnouncementResult.UNCHANGED

    def deregister(self, target: str, born_ms: int, *, since: timedelta | None = None) -> bool:
        """Take note that a target leaves for good.

        The notice binds also if it comes before any announcement of the target.

        :param since: when it was acknowledged, by default now
        :returns: whether it is the present one
        """
        since = self.clock.monotonic() if since is None else since
        known = self.deregistrations.pop(target, None)
        if known is not None and known.born_ms >= born_ms:
            self.deregistrations[target] = known._replace(since=min(since, known.since))
        else:
            self.deregistrations[target] = Deregistration(born_ms, since)
        while len(self.deregistrations) > MAX_DEREGISTRATIONS:
            del self.deregistrations[next(iter(self.deregistrations))]
        if self.announced is None or not self._is_deregistered(self.announced):
            return False
        self.announced = self.announced._replace(state=TargetState.GONE)
        self._begin_drain(self.announced)
        return True

    def accepts_requests(self) -> bool:
        """Tell whether new requests for the target may be taken now."""
        if self.announced is None:
            return False
        if not self.store_read and self.clock.monotonic() < self.started_at + self._hold_time():
            return False
        if self.draining_since is None:
            return True
        return self.clock.monotonic() < self.draining_since + self.drain * DRAIN_ACCEPT_SHARE

    def apply_stored_entry(self, target: Target) -> None:
        """Take note of a stored entry, which another process of this node may have written."""
        own = self.announced is not None and self.announced.target == target.target
        if own and self.draining_since is not None:
            return
        if target.node == self.node and target.state is not TargetState.READY:
            # The acknowledgement may be any time ago.
            since = self.clock.monotonic() - self.drain
            self.deregister(target.target, target.born_ms, since=since)

    def enforce_drain(self) -> None:
        """Refuse waiting requests once the drain time is nearly over; call this regularly."""
        if self.draining_since is None or self.queue is None or self.queue.closed:
            return
        if self.clock.monotonic() >= self.draining_since + self.drain * DRAIN_START_SHARE:
            self.queue.close()

    def is_warm(self) -> bool:
        """Tell whether the target is past its slow start."""
        return self.clock.monotonic() >= self.warm_at

    def record(self) -> Target | None:
        """Return the entry that other nodes see."""
        announcement = self.announced
        if announcement is None:
            return None
        return Target(
            target=announcement.target,
            service=announcement.service,
            version=announcement.version,
            zone=announcement.zone,
            slots=announcement.slots,
            state=announcement.state,
            node=self.node,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            link_mbps=self.link_mbps,
        )

    def _hold_time(self) -> timedelta:
        return self.drain * STORE_UNREAD_HOLD_FACTOR

    def _is_deregistered(self, announcement: Announcement) -> bool:
        deregistration = self.deregistrations.get(announcement.target)
        return deregistration is not None and announcement.born_ms <= deregistration.born_ms

    def _begin_drain(self, announcement: Announcement) -> None:
        """Count the drain from its first acknowledgement."""
        since = self.clock.monotonic()
        if self._is_deregistered(announcement):
            since = min(since, self.deregistrations[announcement.target].since)
        if self.draining_since is None or since < self.draining_since:
            self.draining_since = since

    @staticmethod
    def _is_outdated(known: Announcement, announcement: Announcement) -> bool:
        if announcement.born_ms != known.born_ms:
            return announcement.born_ms < known.born_ms
        return announcement.target == known.target and announcement.sequence < known.sequence

    @staticmethod
    def _differs(known: Announcement, announcement: Announcement) -> bool:
        return known._replace(sequence=0, warmup=announcement.warmup) != announcement._replace(
            sequence=0
        )
