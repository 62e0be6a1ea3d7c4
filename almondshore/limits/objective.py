"""Admission control for the slots of one target by latency objective, run by its node."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from heapq import heapify, heapreplace
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.limits.rate import RateLimit
from almondshore.limits.shares import ServiceShares, Share
from almondshore.placement.cost import CostModel, Features

ZERO = timedelta()
# The expected wait is multiplied by the mean ratio of actual to expected waits, within these
# limits: requests that arrive later and go first, because they are more urgent or come from callers
# that were refused before, make a wait longer than the queue ahead suggests.
MIN_WAIT_RATIO = 1.3
MAX_WAIT_RATIO = 3.0
# Weight of the newest wait in that mean.
WAIT_RATIO_GAIN = 0.05
# Shorter waits say little, as a single request may double them.
MIN_OBSERVED_WAIT = timedelta(milliseconds=20)
# Maximum number of queued requests for each slot; beyond it the last one in the order is refused.
MAX_QUEUED_PER_SLOT = 4
# Share of the expected service time that must fit before the deadline for a request to be started.
# It is below 1 because service times vary by a factor of two around the expected one.
MIN_SERVICE_TIME_SHARE = 0.75
# A request that cannot meet its objective may wait only while fewer than this many requests for
# each slot are ahead of it. It gets only slots that others leave free, and in an overload there
# are none; an early refusal leaves the caller time to react.
LATE_QUEUE_PER_SLOT = 0.25
# Expected remaining time of a request that has exceeded its expected service time, as a share of
# that service time.
OVERDUE_REMAINING_SHARE = 0.2
MIN_RETRY_AFTER = timedelta(milliseconds=50)
MAX_RETRY_AFTER = timedelta(seconds=2)


class Refusal(StrEnum):
    """Why a request was refused; a refused request has not run."""

    OVERLOADED = "overloaded"
    TOO_LATE = "too-late"
    DRAINING = "draining"
    RATE_LIMITED = "rate-limited"


class Terms(NamedTuple):
    """Route, priority and time limits of a request.

    :ivar urgency: requests with a lower value are served first
    :ivar objective_at: monotonic time up to which the response counts as on time
    :ivar deadline_at: monotonic time after which the response is of no use
    :ivar features: what predicts the service time, None if only the route is known
    """

    route: str
    urgency: int
    objective_at: timedelta
    deadline_at: timedelta
    features: Features | None = None

    def cost_features(self) -> Features:
        """Return what predicts the service time."""
        return self.features if self.features is not None else Features(self.route)

    def share(self) -> Share:
        """Return what the request counts towards."""
        tenant = self.features.tenant if self.features is not None else ""
        return Share(self.route, self.urgency, tenant)


class Rank(NamedTuple):
    """Sort key of the order of service; the lowest is served first.

    :ivar late: whether the request cannot meet its objective any more
    :ivar places_behind: how far its tenant is over its share
    :ivar time: monotonic time of its objective, or of its deadline if it is late
    """

    urgency: int
    late: bool
    places_behind: int
    time: timedelta


class Refused(NamedTuple):
    """A request would not be started.

    :ivar reason: a ``Refusal``, or another reason of the node
    :ivar retry_after: time after which a retry may succeed
    """

    reason: str
    retry_after: timedelta


class Job(ABC):
    """A request that needs a slot."""

    terms: Terms

    @abstractmethod
    def start(self) -> None:
        """Run the request; ``ObjectiveQueue.release`` must be called when it has ended."""

    @abstractmethod
    def refuse(self, reason: Refusal, retry_after: timedelta) -> None:
        """Handle the refusal of the request; it will not be started.

        :param retry_after: time after which a retry may succeed
        """


class WaitPredictions:
    """Compares the expected waits of queued requests with their actual ones.

    :ivar ratio: factor by which an expected wait is to be multiplied
    """

    def __init__(self) -> None:
        self.ratio = MIN_WAIT_RATIO
        self.expected: dict[Job, tuple[timedelta, timedelta]] = {}

    def begin(self, job: Job, now: timedelta, wait: timedelta) -> None:
        """Record that a request is queued, with its expected wait."""
        self.expected[job] = (now, wait)

    def end(self, job: Job, now: timedelta) -> None:
        """Record that the wait of a request has ended, because it is started or is too late."""
        began, wait = self.expected.pop(job, (now, ZERO))
        if wait < MIN_OBSERVED_WAIT:
            return
        self.ratio += ((now - began) / wait - self.ratio) * WAIT_RATIO_GAIN
        self.ratio = min(MAX_WAIT_RATIO, max(MIN_WAIT_RATIO, self.ratio))

    def drop(self, job: Job) -> None:
        """Forget a request that left the queue early."""
        self.expected.pop(job, None)


class ObjectiveQueue:
    """The slots of one target, with a priority queue of the requests that wait for them.

    The most urgent requests are started first. Among equally urgent ones, those that can still
    meet their objective are ordered by it, and late ones follow in the order of their deadlines;
    tenants that are over their share come after the others. A request that cannot end before its
    deadline is refused as soon as that is known.

    A limit on the rate of requests holds back or refuses what exceeds it.

    :param schedule: calls a function after a time
    :param shares: counts what each tenant gets; by default new ones
    :ivar dispatch_at: monotonic time of the next scheduled dispatch, None if there is none
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        schedule: Callable[[timedelta, Callable[[], None]], None] = lambda _delay, _call: None,
        shares: ServiceShares | None = None,
    ):
        self.clock = clock
        self.slots = slots
        self.shares = shares if shares is not None else ServiceShares(clock=clock)
        self.schedule = schedule
        self.dispatch_at: timedelta | None = None
        self.rate_limit = RateLimit(clock=clock)
        self.running: dict[Job, timedelta] = {}
        self.waiting: list[Job] = []
        self.times = CostModel()
        self.waits = WaitPredictions()
        self.closed = False

    def offer(self, job: Job) -> None:
        """Start a request, queue it or refuse it.

        ``Job.start`` or ``Job.refuse`` may be called before this returns.
        """
        now = self.clock.monotonic()
        self.shares.record_offer(job.terms.share())
        verdict = self.judge(job.terms)
        if isinstance(verdict, Refused):
            job.refuse(verdict.reason, verdict.retry_after)
            return
        if self._has_free_slot() and self.rate_limit.take():
            self._start(job, now)
            return
        self.waiting.append(job)
        self.waits.begin(job, now, verdict)
        if len(self.waiting) > MAX_QUEUED_PER_SLOT * self.slots:
            last_in_order = max(self.waiting, key=lambda item: self._rank(item.terms, now))
            self.waiting.remove(last_in_order)
            self.waits.drop(last_in_order)
            last_in_order.refuse(Refusal.OVERLOADED, self._retry_after(now))
        self._schedule_dispatch(now)

    def judge(self, terms: Terms) -> "timedelta | Refused":
        """Return the expected wait of a request that is offered now, or why it would be refused."""
        now = self.clock.monotonic()
        if self.closed:
            return Refused(Refusal.DRAINING, MIN_RETRY_AFTER)
        if not self._can_meet_deadline(terms, now):
            return Refused(Refusal.TOO_LATE, self._retry_after(now))
        if self._has_free_slot() and self.rate_limit.wait() <= ZERO:
            return ZERO
        ahead = self._ahead_of(terms, now)
        rate_wait = self.rate_limit.wait(len(ahead))
        service_time = self.times.expected(terms.cost_features())
        if now + rate_wait + service_time > terms.objective_at and rate_wait:
            # Nothing frees room earlier: the limit holds whatever becomes of other requests.
            return Refused(Refusal.RATE_LIMITED, self.rate_limit.wait(len(self.waiting)))
        expected_wait = max(rate_wait, self.expected_wait(ahead, now))
        wait = expected_wait * self.waits.ratio
        late = now + wait + service_time > terms.objective_at
        too_late = now + wait + service_time > terms.deadline_at
        if too_late or (late and self._exceeds_late_limit(len(ahead))):
            return Refused(Refusal.OVERLOADED, self._retry_after(now))
        return expected_wait

    def release(self, job: Job, *, observed: bool) -> None:
        """Free the slot of a request that ended, and start the next waiting requests.

        :param observed: whether its duration counts as a service time of its route
        """
        started = self.running.pop(job, None)
        now = self.clock.monotonic()
        if started is not None and observed:
            self.times.observe(job.terms.cost_features(), now - started)
        self.dispatch()

    def cancel(self, job: Job) -> bool:
        """Remove a waiting request from the queue.

        :return: whether it was waiting
        """
        if job in self.waiting:
            self.waiting.remove(job)
            self.waits.drop(job)
            return True
        return False

    def close(self) -> None:
        """Refuse the waiting requests and all new ones."""
        self.closed = True
        waiting, self.waiting = self.waiting, []
        for job in waiting:
            self.waits.drop(job)
            job.refuse(Refusal.DRAINING, MIN_RETRY_AFTER)

    def resize(self, slots: int) -> None:
        """Change the number of slots; waiting requests may start."""
        self.slots = slots
        self.dispatch()

    def dispatch(self) -> None:
        """Start waiting requests while slots are free.

        Those that would end too late, and late ones beyond their limit, are refused.
        """
        if not self.waiting or self.closed:
            return
        now = self.clock.monotonic()
        kept: list[Job] = []
        refused: list[Job] = []
        for late, job in self._ordered(now):
            # A request that has become late must meet the same limit as a late one on arrival.
            over_limit = late and self._exceeds_late_limit(len(kept))
            (refused if over_limit or not self._can_meet_deadline(job.terms, now) else kept).append(
                job
            )
        free_slots = max(0, self.slots - len(self.running))
        started = 0
        while started < min(free_slots, len(kept)) and self.rate_limit.take():
            started += 1
        self.waiting = kept[started:]
        for job in refused:
            self.waits.end(job, now)
            job.refuse(Refusal.TOO_LATE, self._retry_after(now))
        for job in kept[:started]:
            self.waits.end(job, now)
            self._start(job, now)
        self._schedule_dispatch(now)

    def expected_wait(self, ahead: list[Job], now: timedelta) -> timedelta:
        """Return the expected time until a request would start.

        The requests ahead of it are assigned to the slots in the order in which these become
        free, so that a request at the front waits for the first free slot, not for an average one.
        """
        free_after = [
            self._remaining(other, started, now) for other, started in self.running.items()
        ]
        free_after.extend([ZERO] * (self.slots - len(free_after)))
        heapify(free_after)
        for other in sorted(ahead, key=lambda item: self._rank(item.terms, now)):
            heapreplace(free_after, free_after[0] + self._expected(other))
        return free_after[0]

    def work_left(self) -> timedelta:
        """Return the sum of the expected service times left of running and waiting requests."""
        now = self.clock.monotonic()
        work = sum(map(self._expected, self.waiting), ZERO)
        for job, started in self.running.items():
            work += self._remaining(job, started, now)
        return work

    def _schedule_dispatch(self, now: timedelta) -> None:
        """Have requests that only wait for the rate limit started when it allows the next one."""
        if not self.waiting or len(self.running) >= self.slots or self.closed:
            return
        if self.dispatch_at is not None and self.dispatch_at > now:
            return
        wait = self.rate_limit.wait()
        self.dispatch_at = now + wait
        self.schedule(wait, self.dispatch)

    def _expected(self, job: Job) -> timedelta:
        return self.times.expected(job.terms.cost_features())

    def _remaining(self, job: Job, started: timedelta, now: timedelta) -> timedelta:
        """Return the expected remaining time of a running request.

        A request that has exceeded its expected service time still has a share of it left.
        """
        expected = self._expected(job)
        return max(expected - (now - started), expected * OVERDUE_REMAINING_SHARE)

    def _start(self, job: Job, now: timedelta) -> None:
        self.running[job] = now
        share = job.terms.share()
        if share.tenant:
            self.shares.record_start(share, self._expected(job))
        job.start()

    def _ordered(self, now: timedelta) -> list[tuple[bool, Job]]:
        """Return the waiting requests in the order of service, each with whether it is late."""
        ranked = [(self._rank(job.terms, now), job) for job in self.waiting]
        ranked.sort(key=lambda item: item[0])
        return [(rank.late, job) for rank, job in ranked]

    def _has_free_slot(self) -> bool:
        return len(self.running) < self.slots and not self.waiting

    def _ahead_of(self, terms: Terms, now: timedelta) -> list[Job]:
        rank = self._rank(terms, now)
        return [other for other in self.waiting if self._rank(other.terms, now) <= rank]

    def _exceeds_late_limit(self, ahead: int) -> bool:
        return ahead >= self.slots * LATE_QUEUE_PER_SLOT

    def _can_meet_deadline(self, terms: Terms, now: timedelta) -> bool:
        service_time = self.times.expected(terms.cost_features())
        return now + service_time * MIN_SERVICE_TIME_SHARE <= terms.deadline_at

    def _rank(self, terms: Terms, now: timedelta) -> Rank:
        """Return the sort key for the order of service; the lowest is served first."""
        late = now + self.times.expected(terms.cost_features()) > terms.objective_at
        urgency, places_behind = terms.urgency, 0
        if terms.features is not None and terms.features.tenant:
            urgency, places_behind = self.shares.rank(terms.share())
        return Rank(urgency, late, places_behind, terms.deadline_at if late else terms.objective_at)

    def _retry_after(self, now: timedelta) -> timedelta:
        """Estimate the time until the running and waiting requests have ended."""
        work = sum(map(self._expected, self.waiting), ZERO)
        for job, started in self.running.items():
            work += max(self._expected(job) - (now - started), ZERO)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, work / self.slots))
