"""Admission control for the slots of one target, run by the target's node."""

from collections import OrderedDict
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.limits.concurrency import AdaptiveConcurrency
from almondshore.rules.model import RequestClass

CLASS_WEIGHTS = {RequestClass.URGENT: 8, RequestClass.INTERNAL: 4, RequestClass.ROUTINE: 1}
# Lowest class first.
SHED_ORDER = (RequestClass.ROUTINE, RequestClass.INTERNAL, RequestClass.URGENT)
RESERVED_INTERNAL_SLOTS = 1
MAX_QUEUED_PER_SLOT = 2
# Queued requests may still start for this long after a drain begins; invariant I8 allows 3 s.
DRAIN_GRACE = timedelta(seconds=2.5)
MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=10)
# Weight of the newest observation in the moving average of the service time.
SERVICE_TIME_GAIN = 0.1


class RefusalReason(StrEnum):
    """Why a request was refused; a refused request has not run."""

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
    """The request was not sent to the target and will not be.

    :ivar retry_after: time after which a retry may succeed
    """

    retry_after: timedelta
    reason: RefusalReason


class Shed(NamedTuple):
    """A request that was queued and then refused."""

    request: SlotRequest
    refused: Refused


class Admitted(NamedTuple):
    """The request has a slot and may run now; the caller must release the slot."""


class Queued(NamedTuple):
    """The request waits in the queue.

    :ivar shed: requests that were removed from the queue to make room for it
    """

    shed: tuple[Shed, ...] = ()


class DispatchResult(NamedTuple):
    """Requests that left the queue because a slot became free or because they were refused.

    :ivar started: requests that have a slot now; the caller must release each of them
    :ivar shed: requests that were refused
    """

    started: tuple[SlotRequest, ...] = ()
    shed: tuple[Shed, ...] = ()


class _Running(NamedTuple):
    request: SlotRequest
    started: timedelta


class SlotQueue:
    """The slots of one target, with a queue of waiting requests for each request class.

    Each offered request ends in exactly one way: it is released after it ran, refused, shed or
    cancelled. Slots are given to the classes in proportion to their weights. One slot is reserved
    for internal calls, because a chain of services deadlocks if callers hold all slots while
    their callees wait. Each class is guaranteed a share of the queue in proportion to its weight;
    among the classes that exceed their share, the lowest is shed first.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        queue_limit: int | None = None,
        reserved_internal: int = RESERVED_INTERNAL_SLOTS,
        concurrency: AdaptiveConcurrency | None = None,
        drain_grace: timedelta = DRAIN_GRACE,
    ):
        """Create an empty queue.

        :param slots: requests that the target runs at the same time, at least 1
        :param queue_limit: maximum number of queued requests; by default twice the slots
        :param reserved_internal: slots that only internal calls may use
        :param concurrency: lowers the number of usable slots when latency rises
        """
        if slots < 1:
            raise ValueError(f"a target needs at least 1 slot, not {slots}")
        self.clock = clock
        self.slots = slots
        self.queue_limit = MAX_QUEUED_PER_SLOT * slots if queue_limit is None else queue_limit
        self.reserved_internal = min(reserved_internal, slots - 1)
        self.concurrency = concurrency
        self.drain_grace = drain_grace
        self.drain_started: timedelta | None = None
        self.running: dict[str, _Running] = {}
        self.running_internal = 0
        self.queues: dict[RequestClass, OrderedDict[str, SlotRequest]] = {
            request_class: OrderedDict() for request_class in CLASS_WEIGHTS
        }
        self.queued = 0
        # Lower bound of the deadlines of queued requests; avoids scanning the queues when none
        # can have expired.
        self.earliest_deadline = timedelta.max
        self.credit = dict.fromkeys(CLASS_WEIGHTS, 0)
        self.service_time = timedelta()
        total_weight = sum(CLASS_WEIGHTS.values())
        self.queue_shares = {
            request_class: self.queue_limit * weight // total_weight
            for request_class, weight in CLASS_WEIGHTS.items()
        }

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
        """Free the slot of a request that has ended, and start the next queued requests.

        A request id that holds no slot is ignored, so that a repeated release has no effect.
        """
        entry = self.running.pop(request_id, None)
        now = self.clock.monotonic()
        if entry is not None:
            if entry.request.request_class is RequestClass.INTERNAL:
                self.running_internal -= 1
            self._observe(entry, now - entry.started)
        return self._dispatch(now)

    def cancel(self, request_id: str) -> bool:
        """Remove a request from the queue after its caller gave up.

        :return: whether it was queued; if not, it has a slot, was shed or has ended
        """
        for queue in self.queues.values():
            if queue.pop(request_id, None) is not None:
                self.queued -= 1
                return True
        return False

    def expire(self) -> DispatchResult:
        """Shed queued requests whose deadline or drain grace has passed; call this regularly."""
        now = self.clock.monotonic()
        shed = self._shed_expired(now)
        result = self._dispatch(now)
        return DispatchResult(result.started, (*shed, *result.shed))

    def drain(self) -> None:
        """Refuse new requests from now on; queued ones may start within the grace period."""
        if self.drain_started is None:
            self.drain_started = self.clock.monotonic()

    def is_idle(self) -> bool:
        """Return whether no request is running or queued."""
        return not self.running and not self.queued

    def limit(self) -> int:
        """Return the number of slots that may be in use at present."""
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
        withheld = max(0, reserved - self.running_internal)
        return len(self.running) + withheld < limit

    def _start(self, request: SlotRequest, now: timedelta) -> None:
        self.running[request.request_id] = _Running(request, now)
        if request.request_class is RequestClass.INTERNAL:
            self.running_internal += 1

    def _observe(self, entry: _Running, duration: timedelta) -> None:
        if self.service_time:
            self.service_time += (duration - self.service_time) * SERVICE_TIME_GAIN
        else:
            self.service_time = duration
        if self.concurrency is not None:
            self.concurrency.observe(entry.request.route, duration)

    def _expected_wait(self, request_class: RequestClass) -> timedelta:
        """Estimate the wait for a slot, from the class's weight and the length of the queues."""
        weights = sum(
            weight
            for other_class, weight in CLASS_WEIGHTS.items()
            if self.queues[other_class] or other_class is request_class
        )
        ahead_by_weight = (
            (len(self.queues[request_class]) + 1) * weights / CLASS_WEIGHTS[request_class]
        )
        ahead = min(ahead_by_weight, self.queued + 1)
        return self.service_time * (ahead / self.limit())

    def _refuse(self, reason: RefusalReason) -> Refused:
        wait = self.service_time * ((self.queued + 1) / self.limit())
        return Refused(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)), reason)

    def _enqueue(self, request: SlotRequest, now: timedelta) -> Queued | Refused:
        shed = self._shed_expired(now) if self.queued >= self.queue_limit else ()
        if self.queued >= self.queue_limit:
            shed_class = self._class_to_shed(request.request_class)
            if shed_class is None:
                return self._refuse(RefusalReason.OVERLOADED)
            _, displaced = self.queues[shed_class].popitem(last=True)
            self.queued -= 1
            shed = (*shed, Shed(displaced, self._refuse(RefusalReason.OVERLOADED)))
        self.queues[request.request_class][request.request_id] = request
        self.queued += 1
        self.earliest_deadline = min(self.earliest_deadline, request.deadline)
        return Queued(shed)

    def _class_to_shed(self, request_class: RequestClass) -> RequestClass | None:
        """Return the class whose newest request is shed, or None to refuse the offered one."""
        under_share = len(self.queues[request_class]) < self.queue_shares[request_class]
        for shed_class in SHED_ORDER:
            if shed_class is request_class and not under_share:
                return None
            if len(self.queues[shed_class]) > self.queue_shares[shed_class]:
                return shed_class
        return None

    def _shed_expired(self, now: timedelta) -> tuple[Shed, ...]:
        grace_over = self._is_drain_grace_over(now)
        if not grace_over and now < self.earliest_deadline:
            return ()
        reason = RefusalReason.DRAINING if grace_over else RefusalReason.DEADLINE
        shed = []
        for queue in self.queues.values():
            removed = [item for item in queue.values() if grace_over or item.deadline <= now]
            for request in removed:
                del queue[request.request_id]
                self.queued -= 1
                shed.append(Shed(request, self._refuse(reason)))
        deadlines = (item.deadline for queue in self.queues.values() for item in queue.values())
        self.earliest_deadline = min(deadlines, default=timedelta.max)
        return tuple(shed)

    def _is_drain_grace_over(self, now: timedelta) -> bool:
        return self.drain_started is not None and now >= self.drain_started + self.drain_grace

    def _dispatch(self, now: timedelta) -> DispatchResult:
        if not self.queued:
            return DispatchResult()
        started: list[SlotRequest] = []
        shed: list[Shed] = list(self._shed_expired(now)) if self._is_drain_grace_over(now) else []
        while (request_class := self._next_class()) is not None:
            _, request = self.queues[request_class].popitem(last=False)
            self.queued -= 1
            if request.deadline <= now:
                shed.append(Shed(request, self._refuse(RefusalReason.DEADLINE)))
                continue
            self._charge_credit(request_class)
            self._start(request, now)
            started.append(request)
        return DispatchResult(tuple(started), tuple(shed))

    def _next_class(self) -> RequestClass | None:
        """Return the class with the most credit among those with a queued request and a slot."""
        ready = [
            request_class
            for request_class, queue in self.queues.items()
            if queue and self._has_slot(request_class)
        ]
        return max(
            ready,
            key=lambda request_class: self.credit[request_class] + CLASS_WEIGHTS[request_class],
            default=None,
        )

    def _charge_credit(self, started_class: RequestClass) -> None:
        """Update the credits of smooth weighted round robin after a start.

        Classes without queued requests lose their credit.
        """
        total_weight = 0
        for request_class, queue in self.queues.items():
            if queue or request_class is started_class:
                self.credit[request_class] += CLASS_WEIGHTS[request_class]
                total_weight += CLASS_WEIGHTS[request_class]
            else:
                self.credit[request_class] = 0
        self.credit[started_class] -= total_weight
