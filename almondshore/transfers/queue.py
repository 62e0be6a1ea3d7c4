"""Order and pace in which large bodies may be sent to one host."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock

ZERO = timedelta()
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# Part of a link that large bodies may use. The rest keeps small requests and the nodes' own
# messages fast: a body of 60 KB takes 87 ms on a link of 5.5 Mbit/s.
LINK_SHARE = 0.7
# Bodies that may be under way at once: one more than the link needs, since a sender may be slow.
MAX_UNDER_WAY = 2
# Time that a body under way may take beyond the expected one before its place is given to another.
ARRIVAL_SLACK = timedelta(milliseconds=500)
MAX_WAITING = 64
MIN_RETRY_AFTER = timedelta(milliseconds=100)


class TransferTerms(NamedTuple):
    """Size and time limits of a body.

    :ivar size: bytes
    :ivar urgency: bodies with a lower value are sent first
    :ivar objective_at: monotonic time up to which the request counts as on time
    :ivar run_time: expected time from the arrival of the body to the response
    """

    size: int
    urgency: int
    objective_at: timedelta
    run_time: timedelta = ZERO


class Transfer(ABC):
    """A body that a sender wants to send."""

    terms: TransferTerms

    @abstractmethod
    def grant(self) -> None:
        """Let the sender send the body; ``TransferQueue.finish`` must be called on its arrival."""

    @abstractmethod
    def refuse(self, retry_after: timedelta) -> None:
        """Tell the sender that the body is not wanted.

        :param retry_after: time after which the link is expected to have room
        """


class TransferQueue:
    """Grants bodies one after the other, at a pace that leaves room on the link.

    :param link_mbps: bandwidth of the host's link, 0 for a link without a known limit
    :param schedule: calls a function after a time
    :ivar free_at: monotonic time at which the part of the link for bodies is free again
    :ivar under_way: granted bodies, with the monotonic time at which each is given up
    """

    def __init__(
        self,
        *,
        clock: Clock,
        link_mbps: float,
        schedule: Callable[[timedelta, Callable[[], None]], None],
    ):
        self.clock = clock
        self.bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE
        self.schedule = schedule
        self.free_at = ZERO
        self.waiting: list[Transfer] = []
        self.under_way: dict[Transfer, timedelta] = {}
        self.refusals = 0
        self.next_check_at: timedelta | None = None

    def offer(self, transfer: Transfer) -> None:
        """Grant, queue or refuse a body.

        A body whose request would miss its objective is refused at once: it would delay others.
        """
        if not self.bytes_per_s:
            transfer.grant()
            return
        now = self.clock.monotonic()
        terms = transfer.terms
        ahead = sum(
            (self._duration(other) for other in self.waiting if _rank(other) <= _rank(transfer)),
            ZERO,
        )
        ends_at = max(now, self.free_at) + ahead + self._duration(transfer) + terms.run_time
        if ends_at > terms.objective_at or len(self.waiting) >= MAX_WAITING:
            self._refuse(transfer, now)
            return
        self.waiting.append(transfer)
        self.check()

    def finish(self, transfer: Transfer) -> None:
        """Record that a granted body has arrived, or that its sender has given up."""
        if self.under_way.pop(transfer, None) is not None:
            self.check()

    def cancel(self, transfer: Transfer) -> None:
        """Drop a body whose sender has left."""
        if transfer in self.waiting:
            self.waiting.remove(transfer)
        self.finish(transfer)

    def check(self) -> None:
        """Grant the bodies for which the link has room, and refuse those that have become late."""
        now = self.clock.monotonic()
        for transfer in [item for item, ends_at in self.under_way.items() if ends_at <= now]:
            del self.under_way[transfer]
        self.waiting.sort(key=_rank)
        while self.waiting and self.free_at <= now and len(self.under_way) < MAX_UNDER_WAY:
            transfer = self.waiting.pop(0)
            if now + self._duration(transfer) > transfer.terms.objective_at:
                self._refuse(transfer, now)
                continue
            duration = self._duration(transfer)
            self.free_at = now + duration
            self.under_way[transfer] = now + duration + ARRIVAL_SLACK
            transfer.grant()
        self._schedule_check(now)

    def _schedule_check(self, now: timedelta) -> None:
        if not self.waiting:
            return
        at = max(self.free_at, now)
        if len(self.under_way) >= MAX_UNDER_WAY:
            at = max(at, min(self.under_way.values()))
        if self.next_check_at is not None and now < self.next_check_at <= at:
            return
        self.next_check_at = at
        self.schedule(max(ZERO, at - now), self.check)

    def _refuse(self, transfer: Transfer, now: timedelta) -> None:
        self.refusals += 1
        queued = sum((self._duration(other) for other in self.waiting), ZERO)
        transfer.refuse(max(MIN_RETRY_AFTER, self.free_at - now + queued))

    def _duration(self, transfer: Transfer) -> timedelta:
        """Return the time for which a body occupies its part of the link."""
        return timedelta(seconds=transfer.terms.size / self.bytes_per_s)


def _rank(transfer: Transfer) -> tuple[int, timedelta]:
    return transfer.terms.urgency, transfer.terms.objective_at
