"""Admission of requests to the slots of one target, at the node beside it."""

from collections import OrderedDict
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.limits.concurrency import AdaptiveConcurrency
from almondshore.rules.model import RequestClass

WEIGHTS = {RequestClass.URGENT: 8, RequestClass.INTERNAL: 4, RequestClass.ROUTINE: 1}
# Lowest class first.
SHED_ORDER = (RequestClass.ROUTINE, RequestClass.INTERNAL, RequestClass.URGENT)
RESERVED_INTERNAL = 1
QUEUE_PER_SLOT = 2
# Queued requests may still start for this long after a drain begins; invariant I8 allows 3 s.
DRAIN_GRACE = timedelta(seconds=2.5)
MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=10)
SERVICE_TIME_GAIN = 0.1


class RefusalReason(StrEnum):
    """Why a request was not admitted; the request was not run."""

    OVERLOADED = "overloaded"
    DEADLINE = "deadline-passed"
    DRAINING = "draining"
    DUPLICATE = "duplicate-request-id"


class SlotRequest(NamedTuple):
    """A request for a slot.

    :ivar deadline: monotonic time after which the response is of no use
    :ivar route: key of the route, for the latency floors of adaptive concurrency
    """

    request_id: str
    request_class: RequestClass
    deadline: timedelta
    route: str = ""


class Refused(NamedTuple):
    """The request was not handed to the target and will not be."""

    retry_after: timedelta
    reason: RefusalReason


class Shed(NamedTuple):
    """A queued request that has been refused after all."""

    request: SlotRequest
    refused: Refused


class Admitted(NamedTuple):
    """The request has a slot and runs now; the caller must release it."""


class Queued(NamedTuple):
    """The request waits.

    :ivar shed: requests that left the queue to make room for it
    """

    shed: tuple[Shed, ...] = ()


class DispatchResult(NamedTuple):
    """Requests that left the queue because a slot became free or because they were refused.

    :ivar started: requests that have a slot now; the caller must release each
    :ivar shed: requests that were refused
    """

    started: tuple[SlotRequest, ...] = ()
    shed: tuple[Shed, ...] = ()


class _Running(NamedTuple):
    request: SlotRequest
    started: timedelta


class SlotQueue:
    """Slots of one target and the classes that wait for them.

    Each offered request ends in exactly one of: released after it ran, refused or shed, cancelled.
    Slots go to the classes in proportion to their weights. One slot is kept for internal calls,
    since a chain of services deadlocks if callers hold all slots while their callees wait. Each
    class keeps a part of the queue in proportion to its weight; beyond it, the lowest class is
    shed first.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        queue_limit: int | None = None,
        reserved_internal: int = RESERVED_INTERNAL,
        concurrency: AdaptiveConcurrency | None = None,
        drain_grace: timedelta = DRAIN_GRACE,
    ):
        """Create an empty queue.

        :param slots: requests that the target runs at the same time, at least 1
        :param queue_limit: requests that may wait; by default twice the slots
        :param concurrency: lowers the slots in use when latency rises
        """
        if slots < 1:
            raise ValueError(f"a target needs at least 1 slot, not {slots}")
        self.clock = clock
        self.slots = slots
        self.queue_limit = QUEUE_PER_SLOT * slots if queue_limit is None else queue_limit
        self.reserved_internal = min(reserved_internal, slots - 1)
        self.concurrency = concurrency
        self.drain_grace = drain_grace
        self.drain_started: timedelta | None = None
        self.running: dict[str, _Running] = {}
        self.running_internal = 0
        self.queues: dict[RequestClass, OrderedDict[str, SlotRequest]] = {
            name: OrderedDict() for name in WEIGHTS
        }
        self.queued = 0
        # No queued request has a deadline before this; spares a scan on each offer.
        self.next_deadline = timedelta.max
        self.credit = dict.fromkeys(WEIGHTS, 0)
        self.service_time = timedelta()
        total = sum(WEIGHTS.values())
        self.share = {name: self.queue_limit * weight // total for name, weight in WEIGHTS.items()}

    def offer(self, request: SlotRequest) -> Admitted | Queued | Refused:
        """Admit a request to a slot, queue it or refuse it."""
        now = self.clock.monotonic()
        queue = self.queues[request.request_class]
        if request.request_id in self.running or self._is_queued(request.request_id):
            return Refused(MAX_RETRY_AFTER, RefusalReason.DUPLICATE)
        if self.drain_started is not None:
            return self._refuse(RefusalReason.DRAINING)
        if request.deadline <= now:
            return self._refuse(RefusalReason.DEADLINE)
        if not queue and self._has_slot(request.request_class):
            self._start(request, now)
            return Admitted()
        if now + self._expected_wait(request.request_class) + self.service_time > request.deadline:
            return self._refuse(RefusalReason.OVERLOADED)
        return self._enqueue(request, now)

    def release(self, request_id: str) -> DispatchResult:
        """Free the slot of a request that has ended, and start those that come next.

        A request id that holds no slot is ignored, so that a repeated release frees nothing.
        """
        entry = self.running.pop(request_id, None)
        now = self.clock.monotonic()
        if entry is not None:
            if entry.request.request_class is RequestClass.INTERNAL:
                self.running_internal -= 1
            self._observe(entry, now - entry.started)
        return self._dispatch(now)

    def cancel(self, request_id: str) -> bool:
        """Take a request that its caller gave up out of the queue.

        :returns: whether it was queued; if not, it has a slot, or its wait is over
        """
        for queue in self.queues.values():
            if queue.pop(request_id, None) is not None:
                self.queued -= 1
                return True
        return False

    def expire(self) -> DispatchResult:
        """Shed queued requests whose deadline or drain grace has passed; call this regularly."""
        now = self.clock.monotonic()
        shed = self._purge(now)
        turn = self._dispatch(now)
        return DispatchResult(turn.started, (*shed, *turn.shed))

    def drain(self) -> None:
        """Refuse new requests from now on; queued ones may start within the grace period."""
        if self.drain_started is None:
            self.drain_started = self.clock.monotonic()

    def is_idle(self) -> bool:
        """Tell whether nothing runs and nothing waits."""
        return not self.running and not self.queued

    def limit(self) -> int:
        """Return the slots in use at most now."""
        if self.concurrency is None:
            return self.slots
        return max(1, min(self.slots, self.concurrency.limit()))

    def _is_queued(self, request_id: str) -> bool:
        return any(request_id in queue for queue in self.queues.values())

    def _has_slot(self, request_class: RequestClass) -> bool:
        limit = self.limit()
        if request_class is RequestClass.INTERNAL:
            return len(self.running) < limit
        reserved = min(self.reserved_internal, limit - 1)
        kept = max(0, reserved - self.running_internal)
        return len(self.running) + kept < limit

    def _start(self, request: SlotRequest, now: timedelta) -> None:
        self.running[request.request_id] = _Running(request, now)
        if request.request_class is RequestClass.INTERNAL:
            self.running_internal += 1

    def _observe(self, entry: _Running, took: timedelta) -> None:
        if self.service_time:
            self.service_time += (took - self.service_time) * SERVICE_TIME_GAIN
        else:
            self.service_time = took
        if self.concurrency is not None:
            self.concurrency.observe(entry.request.route, took)

    def _expected_wait(self, request_class: RequestClass) -> timedelta:
        """Estimate the wait from the class's part of the slots and the whole queue."""
        weights = sum(
            weight for name, weight in WEIGHTS.items() if self.queues[name] or name is request_class
        )
        own = (len(self.queues[request_class]) + 1) * weights / WEIGHTS[request_class]
        ahead = min(own, self.queued + 1)
        return self.service_time * (ahead / self.limit())

    def _refuse(self, reason: RefusalReason) -> Refused:
        wait = self.service_time * ((self.queued + 1) / self.limit())
        return Refused(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)), reason)

    def _enqueue(self, request: SlotRequest, now: timedelta) -> Queued | Refused:
        shed = self._purge(now) if self.queued >= self.queue_limit else ()
        if self.queued >= self.queue_limit:
            victim = self._victim(request.request_class)
            if victim is None:
                return self._refuse(RefusalReason.OVERLOADED)
            _, displaced = self.queues[victim].popitem(last=True)
            self.queued -= 1
            shed = (*shed, Shed(displaced, self._refuse(RefusalReason.OVERLOADED)))
        self.queues[request.request_class][request.request_id] = request
        self.queued += 1
        self.next_deadline = min(self.next_deadline, request.deadline)
        return Queued(shed)

    def _victim(self, request_class: RequestClass) -> RequestClass | None:
        """Return the class whose newest request makes room, or None if the offer must go."""
        under_share = len(self.queues[request_class]) < self.share[request_class]
        for name in SHED_ORDER:
            if name is request_class and not under_share:
                return None
            if len(self.queues[name]) > self.share[name]:
                return name
        return None

    def _purge(self, now: timedelta) -> tuple[Shed, ...]:
        drained = self._is_drained(now)
        if not drained and now < self.next_deadline:
            return ()
        reason = RefusalReason.DRAINING if drained else RefusalReason.DEADLINE
        shed = []
        for queue in self.queues.values():
            gone = [item for item in queue.values() if drained or item.deadline <= now]
            for request in gone:
                del queue[request.request_id]
                self.queued -= 1
                shed.append(Shed(request, self._refuse(reason)))
        left = (item.deadline for queue in self.queues.values() for item in queue.values())
        self.next_deadline = min(left, default=timedelta.max)
        return tuple(shed)

    def _is_drained(self, now: timedelta) -> bool:
        return self.drain_started is not None and now >= self.drain_started + self.drain_grace

    def _dispatch(self, now: timedelta) -> DispatchResult:
        if not self.queued:
            return DispatchResult()
        started: list[SlotRequest] = []
        shed: list[Shed] = list(self._purge(now)) if self._is_drained(now) else []
        while (name := self._next_class()) is not None:
            _, request = self.queues[name].popitem(last=False)
            self.queued -= 1
            if request.deadline <= now:
                shed.append(Shed(request, self._refuse(RefusalReason.DEADLINE)))
                continue
            self._charge_credit(name)
            self._start(request, now)
            started.append(request)
        return DispatchResult(tuple(started), tuple(shed))

    def _next_class(self) -> RequestClass | None:
        """Return the waiting class with the most credit that can have a slot."""
        ready = [name for name, queue in self.queues.items() if queue and self._has_slot(name)]
        return max(ready, key=lambda name: self.credit[name] + WEIGHTS[name], default=None)

    def _charge_credit(self, chosen: RequestClass) -> None:
        """Account a start by smooth weighted round robin among the classes that wait."""
        total = 0
        for name, queue in self.queues.items():
            if queue or name is chosen:
                self.credit[name] += WEIGHTS[name]
                total += WEIGHTS[name]
            else:
                self.credit[name] = 0
        self.credit[chosen] -= total
