"""Whether the local target is cold, and how many requests it may get until it is warm."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.limits.rate import MIN_RATE, ColdLimit
from almondshore.mesh.model import WarmupLimit

if TYPE_CHECKING:
    from almondshore.mesh.settings import WarmupBound

ZERO = timedelta()
HEARTBEAT_INTERVAL = timedelta(seconds=1.5)
# A heartbeat may have been sent this long before it is read.
HEARTBEAT_DELAY = timedelta(milliseconds=300)
# A target that has not reported for this long, more than two heartbeats, may have become cold.
MAX_REPORT_AGE = timedelta(seconds=4)
# The target is asked only if no heartbeat is due within this time.
HEARTBEAT_NEAR = timedelta(milliseconds=300)
# Shortest time between two health checks, each of which costs the target 6 ms.
CHECK_INTERVAL = timedelta(seconds=1)
# Targets of a zone that returns may still restart just after the evacuation has ended.
RETURN_SETTLE_TIME = timedelta(seconds=1)
# Runs whose connections break within this time of each other were ended by a restart. A single one
# may be the fault of its request.
RESTART_BREAK_TIME = timedelta(milliseconds=200)
# A process that was not run for this long may have missed that its target became cold.
MAX_TICK_GAP = timedelta(seconds=1)
# Share of the bound that is used. The rest is for requests that the node doesn't send, and for
# those that a slow host delivers closer together than they were sent.
USED_BOUND_SHARE = 0.8
# Requests of this time may start at once, but at most this share of what a second may have.
COLD_BURST_TIME = timedelta(milliseconds=250)
MAX_BURST_SHARE = 0.25
# A longer warm-up is stated by mistake; it keeps sums of times in range.
MAX_WARMUP = timedelta(hours=1)
# Rate before the configuration is known. With the usual slack of 8 it is below the bound of any
# service.
UNCONFIGURED_LIMIT = WarmupLimit(ZERO, 1.0)


def cold_limit(limit: WarmupLimit, bound: "WarmupBound", left: timedelta | None) -> ColdLimit:
    """Return what a cold target may get, so that each second stays below the bound.

    :param left: time until the target is warm, None if it is not known
    """
    usable = (limit.rate_per_s * bound.factor + bound.slack) * USED_BOUND_SHARE
    burst = min(limit.rate_per_s * COLD_BURST_TIME.total_seconds(), usable * MAX_BURST_SHARE)
    burst = max(1.0, burst)
    rate = max(MIN_RATE, min(limit.rate_per_s, usable - burst))
    return ColdLimit(rate=rate, burst=burst, most=max(1, int(usable)), left=left)


class WarmupTracker:
    """Keeps what the local target has reported of its warm-up.

    The target counts as cold while it is not known whether it is: from the start of this process,
    from the end of an evacuation, and after signs of a restart, until a report that was sent later.

    :ivar limit: returns the limit of the target's service, None if it has none
    :ivar bound: how far a cold target may be loaded, None until it is set, without any limit
    :ivar cold_until: monotonic time at which the target is warm, by its last report
    :ivar reported_at: monotonic time at which that report was sent, at the earliest
    :ivar unknown_since: a report counts only if it was sent after this monotonic time; None while
        it is known whether the target is cold
    :ivar reason: why it is not known
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.limit: Callable[[], WarmupLimit | None] = lambda: None
        self.bound: WarmupBound | None = None
        # All heartbeats that this process reads were sent after it opened its listener.
        since = clock.monotonic() - HEARTBEAT_DELAY
        self.cold_until = since
        self.reported_at = since
        self.unknown_since: timedelta | None = since
        self.reason = "started"
        self.heartbeat_at: timedelta | None = None
        self.checked_at: timedelta | None = None
        self.ticked_at: timedelta | None = None
        self.broken_at: timedelta | None = None

    def cold_limit(self) -> ColdLimit | None:
        """Return the limit that holds now, None if the target is known to be warm."""
        limit = self.limit()
        if limit is None or self.bound is None:
            return None
        if not self.is_known():
            return cold_limit(limit, self.bound, None)
        left = self.cold_until - self.clock.monotonic()
        return cold_limit(limit, self.bound, left) if left > ZERO else None

    def is_known(self) -> bool:
        """Return whether the target has reported recently if it is cold."""
        if self.unknown_since is not None:
            return False
        now = self.clock.monotonic()
        if now - self.reported_at > MAX_REPORT_AGE:
            self.doubt("no-report")
        elif self.ticked_at is not None and now - self.ticked_at > MAX_TICK_GAP:
            # Requests and old heartbeats that have piled up may be handled before the next tick.
            self.doubt("suspended")
        return self.unknown_since is None

    def doubt(self, reason: str, *, settle: timedelta = ZERO) -> None:
        """Treat the target as cold until it reports again.

        :param settle: time within which it may still become cold; reports count after that
        """
        if self.unknown_since is None and self.limit() is not None:
            log_event("target_warmth_unknown", reason=reason)
        self.reason = reason
        since = self.clock.monotonic() + settle
        self.unknown_since = max(since, self.unknown_since or since)

    def on_broken_run(self, *, others: int) -> None:
        """Note that the target has closed the connection of a request that it ran.

        :param others: requests that it still seems to run
        """
        now = self.clock.monotonic()
        previous, self.broken_at = self.broken_at, now
        if others == 0 or (previous is not None and now - previous <= RESTART_BREAK_TIME):
            self.doubt("connections-lost")

    def on_refused_connection(self) -> None:
        """Note that the target does not accept connections, as while it restarts."""
        self.doubt("connection-refused")

    def on_evacuation_end(self) -> None:
        """Note that the target's zone returns to service; it may be about to start anew."""
        self.doubt("evacuation-ended", settle=RETURN_SETTLE_TIME)

    def on_heartbeat(self, left: timedelta) -> None:
        """Note a heartbeat.

        :param left: for how much longer the target is cold, by its statement
        """
        now = self.clock.monotonic()
        self.heartbeat_at = now
        self._on_report(left, sent_at=now - HEARTBEAT_DELAY, source="heartbeat")

    def on_health(self, left: timedelta, *, asked_at: timedelta) -> None:
        """Note the response to a health check.

        :param left: for how much longer the target is cold, by its statement
        :param asked_at: monotonic time at which the check was sent
        """
        self._on_report(left, sent_at=asked_at, source="health-check")

    def needs_check(self) -> bool:
        """Return whether the target is to be asked now, by a health check."""
        if self.limit() is None or self.is_known():
            return False
        now = self.clock.monotonic()
        if now < self.unknown_since:
            return False
        if self.checked_at is not None and now - self.checked_at < CHECK_INTERVAL:
            return False
        return not self._is_heartbeat_near(now)

    def on_check(self) -> None:
        """Note that the target is being asked."""
        self.checked_at = self.clock.monotonic()

    def tick(self) -> None:
        """Show that the process runs; must be called several times per second."""
        self.is_known()
        self.ticked_at = self.clock.monotonic()

    def _is_heartbeat_near(self, now: timedelta) -> bool:
        """Return whether a heartbeat that will count is due soon."""
        if self.heartbeat_at is None:
            return False
        due_at = self.heartbeat_at + HEARTBEAT_INTERVAL
        counts = due_at - HEARTBEAT_DELAY > self.unknown_since
        return counts and ZERO <= due_at - now <= HEARTBEAT_NEAR

    def _on_report(self, left: timedelta, *, sent_at: timedelta, source: str) -> None:
        now = self.clock.monotonic()
        left = min(left, MAX_WARMUP)
        cold_until = now + left
        outdated = sent_at < self.reported_at
        doubted = self.unknown_since is not None and sent_at < self.unknown_since
        if outdated or doubted:
            # It may precede the moment at which the target became cold, but not follow its end.
            self.cold_until = max(self.cold_until, cold_until if left > ZERO else ZERO)
            return
        changed = self.unknown_since is not None or (left > ZERO) != (self.cold_until > now)
        if changed and self.limit() is not None:
            log_event(
                "target_cold" if left > ZERO else "target_warm",
                left_ms=int(left / timedelta(milliseconds=1)),
                source=source,
                **({"after": self.reason} if self.unknown_since is not None else {}),
            )
        self.reported_at = sent_at
        self.unknown_since = None
        self.cold_until = cold_until
