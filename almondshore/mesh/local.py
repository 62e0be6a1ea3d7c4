"""State of the local target: its announcements, drain and deregistration."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.limits.objective import ObjectiveQueue
from almondshore.limits.shares import ServiceShares
from almondshore.mesh.dialect import TargetStatement
from almondshore.mesh.model import Address, Announcement, Target, TargetState
from almondshore.placement.warmup import WarmupTracker

# Shares of the drain time, counted from the acknowledgement: new requests are accepted until the
# first, waiting ones are started until the second. The rest is a margin for slow hosts.
DRAIN_ACCEPT_SHARE = 0.35
DRAIN_START_SHARE = 0.6
# A process that has not read the store does not know whether its predecessor acknowledged a drain
# of the target. It sends no requests for this many drain times, after which that drain is over.
STORE_UNREAD_HOLD_FACTOR = 1.5
# A host runs one target at a time, but deregistrations of earlier ones may still arrive.
MAX_DEREGISTRATIONS = 16


class Deregistration(NamedTuple):
    """A target's notice that it leaves the mesh permanently.

    :ivar born_ms: start time of the latest incarnation that it applies to
    :ivar since: monotonic time at which it was acknowledged
    """

    born_ms: int
    since: timedelta


class AnnouncementResult(Enum):
    """Whether an announcement was applied."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    OUTDATED = "outdated"


class LocalTarget:
    """State of the local target.

    The target gets requests only after this process has received an announcement: a restarted
    node must not send requests to a target whose drain or deregistration it acknowledged before.

    :param drain: longest time in which a draining target may get new requests
    :param link_mbps: bandwidth of this node's link, published with the entry
    :ivar announced: the newest announcement
    :ivar draining_since: monotonic time of the first acknowledged drain or deregistration
    :ivar warm_at: monotonic time at which the target's slow start ends
    :ivar store_read: whether the stored entries have been read, in which an earlier process may
        have recorded a drain of the target
    :ivar deregistrations: the latest ones, by identity of the target
    :ivar on_departure: called when a response has stated that the target leaves
    :ivar schedule: calls a function after a time
    :ivar has_responded: whether the target has responded to this process
    :ivar statement: what the target last said of itself in a response
    :ivar stated_at: monotonic time of the last response that stated a limit or a departure
    :ivar warmup: whether the target is cold, and what it may get while it is
    :ivar service_shares: what tenants and kinds of requests get of the target, kept when it is
        replaced
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
        self.on_departure: Callable[[], None] = lambda: None
        self.schedule: Callable[[timedelta, Callable[[], None]], None] = _never
        self.statement = TargetStatement()
        self.stated_at = clock.monotonic()
        self.has_responded = False
        self.warmup = WarmupTracker(clock=clock)
        self.service_shares = ServiceShares(clock=clock)

    def announce(
        self, announcement: Announcement, *, is_heartbeat: bool = True
    ) -> AnnouncementResult:
        """Apply an announcement of the target, unless it is outdated.

        :param is_heartbeat: whether the target has sent it; otherwise it was read from the store
        """
        current = self.announced
        if current is not None and self._is_outdated(current, announcement):
            log_event(
                "announcement_outdated",
                target=announcement.target,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                known_target=current.target,
                known_born_ms=current.born_ms,
                known_sequence=current.sequence,
            )
            return AnnouncementResult.OUTDATED
        is_new = current is None or (current.target, current.born_ms) != (
            announcement.target,
            announcement.born_ms,
        )
        if is_new:
            if self.queue is not None:
                self.queue.close()
            self.queue = ObjectiveQueue(
                clock=self.clock,
                slots=announcement.slots,
                schedule=self.schedule,
                shares=self.service_shares,
            )
            self.queue.rate_limit.cold_limit = self.warmup.cold_limit
            self.draining_since = None
            self.statement = TargetStatement()
            self.has_responded = False
        elif announcement.slots != current.slots:
            self.queue.resize(announcement.slots)
        leaving = self.draining_since is not None or self._is_deregistered(announcement)
        if leaving and announcement.state is TargetState.READY:
            # A delayed announcement must not end the drain.
            announcement = announcement._replace(state=TargetState.DRAINING)
        self.announced = announcement
        self.warm_at = self.clock.monotonic() + announcement.warmup
        if is_heartbeat:
            self.warmup.on_heartbeat(announcement.warmup)
        if announcement.state is not TargetState.READY:
            self._begin_drain(announcement)
        changed = is_new or self._differs(current, announcement)
        return AnnouncementResult.ACCEPTED if changed else AnnouncementResult.UNCHANGED

    def deregister(self, target: str, born_ms: int, *, since: timedelta | None = None) -> bool:
        """Record that a target leaves the mesh permanently, even if it was never announced.

        :param born_ms: start time of the latest incarnation that leaves
        :param since: monotonic time of the acknowledgement, by default now
        :return: whether it is the current target
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

    def observe_statement(
        self, target: str, statement: TargetStatement, *, sent_at: timedelta
    ) -> None:
        """Note what the target says of itself in a response.

        :param sent_at: monotonic time at which the request was sent. A response without a statement
            ends an earlier one only if its request was sent later, since responses may arrive in
            another order.
        """
        if self.announced is None or target != self.announced.target:
            return
        self.has_responded = True
        if _says_more(statement):
            self.stated_at = self.clock.monotonic()
        elif sent_at < self.stated_at:
            return
        if statement == self.statement:
            return
        self.statement = statement
        self.queue.rate_limit.set_rate(statement.rate_limit)
        log_event(
            "target_statement",
            target=target,
            rate_limit="none" if statement.rate_limit is None else statement.rate_limit,
            leaving=statement.leaving,
        )
        if statement.leaving and self.draining_since is None:
            self.announced = self.announced._replace(state=TargetState.DRAINING)
            self._begin_drain(self.announced)
            self.on_departure()

    def adopt_rate_limit(self, target: str, rate_limit: float) -> None:
        """Keep to a limit that another node knows, until the target responds to this process."""
        if self.has_responded or self.announced is None or target != self.announced.target:
            return
        if self.statement.rate_limit is None:
            log_event("rate_limit_adopted", target=target, rate_limit=rate_limit)
            self.statement = self.statement._replace(rate_limit=rate_limit)
            self.queue.rate_limit.set_rate(rate_limit)

    def accepts_requests(self) -> bool:
        """Return whether new requests for the target are accepted now."""
        if self.announced is None:
            return False
        if not self.store_read and self.clock.monotonic() < self.started_at + self._hold_time():
            return False
        if self.draining_since is None:
            return True
        return self.clock.monotonic() < self.draining_since + self.drain * DRAIN_ACCEPT_SHARE

    def is_leaving(self, target: str) -> bool:
        """Return whether a target is the local one and has said or announced that it leaves."""
        is_current = self.announced is not None and self.announced.target == target
        return is_current and self.draining_since is not None

    def apply_stored_entry(self, target: Target) -> None:
        """Apply a stored entry, which an earlier process of this node may have written."""
        is_current = self.announced is not None and self.announced.target == target.target
        if is_current and self.draining_since is not None:
            return
        if target.node == self.node and target.state is not TargetState.READY:
            # It is not known when the drain was acknowledged; assume that its time is over.
            since = self.clock.monotonic() - self.drain
            self.deregister(target.target, target.born_ms, since=since)

    def enforce_drain(self) -> None:
        """Refuse waiting requests late in the drain; must be called periodically."""
        if self.draining_since is None or self.queue is None or self.queue.closed:
            return
        if self.clock.monotonic() >= self.draining_since + self.drain * DRAIN_START_SHARE:
            self.queue.close()

    def is_warm(self) -> bool:
        """Return whether the target is past its slow start."""
        return self.clock.monotonic() >= self.warm_at

    def entry(self) -> Target | None:
        """Return the entry to publish to other nodes, None before any announcement."""
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
        """Start the drain, or move its start back to an earlier acknowledgement."""
        since = self.clock.monotonic()
        if self._is_deregistered(announcement):
            since = min(since, self.deregistrations[announcement.target].since)
        if self.draining_since is None or since < self.draining_since:
            self.draining_since = since

    @staticmethod
    def _is_outdated(current: Announcement, announcement: Announcement) -> bool:
        if announcement.born_ms != current.born_ms:
            return announcement.born_ms < current.born_ms
        return announcement.target == current.target and announcement.sequence < current.sequence

    @staticmethod
    def _differs(current: Announcement, announcement: Announcement) -> bool:
        return current._replace(sequence=0, warmup=announcement.warmup) != announcement._replace(
            sequence=0
        )


def _never(_delay: timedelta, _call: Callable[[], None]) -> None:
    """Schedule nothing: the queue is dispatched when something changes, and periodically."""


def _says_more(statement: TargetStatement) -> bool:
    """Return whether a statement names a limit or a departure."""
    return statement.rate_limit is not None or statement.leaving
