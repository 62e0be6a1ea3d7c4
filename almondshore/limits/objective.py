"""Admission to the slots of one target by latency objective, at the node beside it."""

from abc import ABC, abstractmethod
from datetime import timedelta
from enum import StrEnum
from heapq import heapify, heapreplace
from typing import NamedTuple

from almondshore.core.clock import Clock

ZERO = timedelta()
# Weight of the newest observation in the expected service time of a route.
SERVICE_TIME_GAIN = 0.15
# Used before the first observation; targets take between 15 ms and 550 ms.
DEFAULT_SERVICE_TIME = timedelta(milliseconds=100)
# More urgent requests that arrive later lengthen a wait; the expected one is scaled by this.
WAIT_MARGIN = 1.3
# Requests queued for each slot at most; beyond it the least urgent one is refused.
QUEUE_PER_SLOT = 4
# A request is started though its expected end is past its deadline, as long as this part of the
# expected service time fits: service times vary by a factor of two around the expected one.
MIN_FIT = 0.75
# A request that cannot be served on time waits only while fewer than this many requests for each
# slot are ahead: it gets the slots that others leave, and in an overload there are none. A refusal
# is worth the more to the caller, the earlier it comes.
LATE_QUEUE_PER_SLOT = 0.25
# Expected rest of a running request that is past its expected time, as a share of that time.
OVERDUE_SHARE = 0.2
MIN_RETRY_AFTER = timedelta(milliseconds=50)
MAX_RETRY_AFTER = timedelta(seconds=2)


class Refusal(StrEnum):
    """Why a request was not started. It has not run."""

    OVERLOADED = "overloaded"
    TOO_LATE = "too-late"
    DRAINING = "draining"


class Terms(NamedTuple):
    """What a request needs.

    :ivar urgency: lower is served first
    :ivar objective_at: monotonic time by which the response is on time
    :ivar deadline_at: monotonic time after which the response is of no use
    """

    route: str
    urgency: int
    objective_at: timedelta
    deadline_at: timedelta


class Job(ABC):
    """A request that needs a slot."""

    terms: Terms

    @abstractmethod
    def start(self) -> None:
        """Run the request; ``ObjectiveQueue.release`` must follow."""

    @abstractmethod
    def refuse(self, reason: Refusal, retry_after: timedelta) -> None:
        """Take note that the request will not be started."""


class ServiceTimes:
    """Expected service time by route, from the requests that ended."""

    def __init__(self) -> None:
        self.by_route: dict[str, timedelta] = {}
        self.overall = ZERO

    def observe(self, route: str, took: timedelta) -> None:
        """Take in the service time of a request that ended."""
        known = self.by_route.get(route)
        self.by_route[route] = took if known is None else known + (took - known) * SERVICE_TIME_GAIN
        if self.overall:
            self.overall += (took - self.overall) * SERVICE_TIME_GAIN
        else:
            self.overall = took

    def expected(self, route: str) -> timedelta:
        """Return the expected service time of a route."""
        return self.by_route.get(route) or self.overall or DEFAULT_SERVICE_TIME

    def observed(self, route: str) -> timedelta | None:
        """Return the service time of a route, None before its first observation."""
        return self.by_route.get(route)


class ObjectiveQueue:
    """Slots of one target and the requests that wait for them.

    The most urgent requests go first. Among equally urgent ones, those that can still be on time
    go by their objective, and the others use the slots that are left. A request that has no chance
    to end before its deadline is refused as soon as that is known.
    """

    def __init__(self, *, clock: Clock, slots: int):
        self.clock = clock
        self.slots = slots
        self.running: dict[Job, timedelta] = {}
        self.waiting: list[Job] = []
        self.times = ServiceTimes()
        self.closed = False

    def offer(self, job: Job) -> None:
        """Start a request, queue it or refuse it, before this returns."""
        now = self.clock.monotonic()
        if self.closed:
            job.refuse(Refusal.DRAINING, MIN_RETRY_AFTER)
            return
        if not self._fits(job, now):
            job.refuse(Refusal.TOO_LATE, self._retry_after(now))
            return
        if len(self.running) < self.slots and not self.waiting:
            self._start(job, now)
            return
        ahead = self._ahead_of(job, now)
        wait = self.expected_wait(ahead, now) * WAIT_MARGIN
        needed = self.times.expected(job.terms.route)
        late = now + wait + needed > job.terms.objective_at
        hopeless = now + wait + needed > job.terms.deadline_at
        if hopeless or (late and self._is_crowded(len(ahead))):
            job.refuse(Refusal.OVERLOADED, self._retry_after(now))
            return
        self.waiting.append(job)
        if len(self.waiting) > QUEUE_PER_SLOT * self.slots:
            victim = max(self.waiting, key=lambda item: self._rank(item, now))
            self.waiting.remove(victim)
            victim.refuse(Refusal.OVERLOADED, self._retry_after(now))

    def release(self, job: Job, *, observed: bool) -> None:
        """Free the slot of a request that ended, and start those that come next.

        :param observed: whether the time it took says how long requests of its route take
        """
        started = self.running.pop(job, None)
        now = self.clock.monotonic()
        if started is not None and observed:
            self.times.observe(job.terms.route, now - started)
        self.dispatch()

    def cancel(self, job: Job) -> bool:
        """Take a waiting request out of the queue.

        :returns: whether it was waiting
        """
        if job in self.waiting:
            self.waiting.remove(job)
            return True
        return False

    def close(self) -> None:
        """Refuse the waiting requests and all new ones."""
        self.closed = True
        waiting, self.waiting = self.waiting, []
        for job in waiting:
            job.refuse(Refusal.DRAINING, MIN_RETRY_AFTER)

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self.slots = slots
        self.dispatch()

    def dispatch(self) -> None:
        """Start waiting requests while slots are free, and refuse those without a chance."""
        if not self.waiting or self.closed:
            return
        now = self.clock.monotonic()
        kept: list[Job] = []
        hopeless: list[Job] = []
        for late, job in self._ordered(now):
            # One that has become late would not be admitted again behind as many others.
            crowded = late and self._is_crowded(len(kept))
            (hopeless if crowded or not self._fits(job, now) else kept).append(job)
        free = max(0, self.slots - len(self.running))
        self.waiting = kept[free:]
        for job in hopeless:
            job.refuse(Refusal.TOO_LATE, self._retry_after(now))
        for job in kept[:free]:
            self._start(job, now)

    def expected_wait(self, ahead: list[Job], now: timedelta) -> timedelta:
        """Return the expected time until a request would start.

        The requests ahead of it are assigned to the slots in the order in which these become
        free: a request at the front waits for the first slot, not for the mean one.
        """
        free = [self._remaining(other, started, now) for other, started in self.running.items()]
        free.extend([ZERO] * (self.slots - len(free)))
        heapify(free)
        for other in sorted(ahead, key=lambda item: self._rank(item, now)):
            heapreplace(free, free[0] + self.times.expected(other.terms.route))
        return free[0]

    def _remaining(self, job: Job, started: timedelta, now: timedelta) -> timedelta:
        """Return the expected rest of a running request.

        One past its expected time is about to end, but has not yet.
        """
        expected = self.times.expected(job.terms.route)
        return max(expected - (now - started), expected * OVERDUE_SHARE)

    def _start(self, job: Job, now: timedelta) -> None:
        self.running[job] = now
        job.start()

    def _ordered(self, now: timedelta) -> list[tuple[bool, Job]]:
        """Return the waiting requests in the order of service, and whether each is late."""
        ranked = [(self._rank(job, now), job) for job in self.waiting]
        ranked.sort(key=lambda item: item[0])
        return [(rank[1], job) for rank, job in ranked]

    def _ahead_of(self, job: Job, now: timedelta) -> list[Job]:
        rank = self._rank(job, now)
        return [other for other in self.waiting if self._rank(other, now) <= rank]

    def _is_crowded(self, ahead: int) -> bool:
        return ahead >= self.slots * LATE_QUEUE_PER_SLOT

    def _fits(self, job: Job, now: timedelta) -> bool:
        needed = self.times.expected(job.terms.route)
        return now + needed * MIN_FIT <= job.terms.deadline_at

    def _rank(self, job: Job, now: timedelta) -> tuple[int, bool, timedelta]:
        """Return the place in the order of service, lowest first."""
        late = now + self.times.expected(job.terms.route) > job.terms.objective_at
        return (job.terms.urgency, late, job.terms.deadline_at if late else job.terms.objective_at)

    def _retry_after(self, now: timedelta) -> timedelta:
        """Return when the present queue will have been worked off."""
        work = sum((self.times.expected(job.terms.route) for job in self.waiting), ZERO)
        for job, started in self.running.items():
            work += max(self.times.expected(job.terms.route) - (now - started), ZERO)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, work / self.slots))
