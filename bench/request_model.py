"""Discrete-event model of one service: caller-side nodes, targets with slots, zones, failures."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from almondshore.core.clock import ManualClock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.limits.admission import Admitted, Queued, SlotQueue, SlotRequest
from almondshore.retries.outcome import Reason
from almondshore.routing.choice import ResultKind, TargetResult
from almondshore.rules.model import RequestClass

ZONES = ("z1", "z2", "z3")
TARGETS_PER_ZONE = 2
SLOTS = 10
SERVICE_MS = 50.0
# One-way network delay within a zone and between zones.
SAME_ZONE_MS, CROSS_ZONE_MS = 0.2, 1.0
# A lost host does not respond at all, so connection attempts end only after this time.
CONNECT_TIMEOUT_MS = 250.0
# Time until all nodes know of a death: suspicion after 6 s, confirmation, and the directory delta.
DEATH_PROPAGATION_MS = 8000.0
TIMEOUT_MS = 1000.0
CLASS_SHARES = {RequestClass.URGENT: 0.3, RequestClass.INTERNAL: 0.1, RequestClass.ROUTINE: 0.6}
CAPACITY_PER_S = len(ZONES) * TARGETS_PER_ZONE * SLOTS * 1000.0 / SERVICE_MS


class Scenario(NamedTuple):
    """Load and faults of a run; times in milliseconds.

    :ivar load: offered requests as a multiple of the capacity
    :ivar slow_factor: service time of the first target as a multiple of the others'
    :ivar lost_zone_at_ms: when all targets of the first zone die, None for never
    :ivar failing_ms: period (start, end) in which every run ends with a lost connection
    """

    name: str
    load: float
    duration_ms: float = 8000.0
    slow_factor: float = 1.0
    lost_zone_at_ms: float | None = None
    failing_ms: tuple[float, float] = (0.0, 0.0)


class Call:
    """A caller's request.

    :ivar hop: index of the caller-side node that sends it
    :ivar tried: targets that it was sent to, in order
    :ivar done: whether the call has ended
    """

    __slots__ = ("name", "request_class", "hop", "sent_ms", "deadline_ms", "tried", "done")

    def __init__(self, name: str, request_class: RequestClass, hop: int, sent_ms: float):
        self.name = name
        self.request_class = request_class
        self.hop = hop
        self.sent_ms = sent_ms
        self.deadline_ms = sent_ms + TIMEOUT_MS
        self.tried: list[str] = []
        self.done = False


class Components(NamedTuple):
    """The decision code under test, as factories that are called with the model.

    :ivar chooser: makes the target chooser of a first hop (a caller-side node), with
        ``choose(call)``, ``started``, ``finished`` and ``update``
    :ivar queue: makes the queue of a target, with ``offer`` and ``release`` like ``SlotQueue``
    :ivar retry: makes the retry policy of a first hop, with ``record_first_attempt()`` and
        ``decide(call, reason)``, which returns the delay of a retry in milliseconds or None
    """

    name: str
    chooser: Callable
    queue: Callable
    retry: Callable


class Totals:
    """Counts and latencies of a run.

    :ivar offered: requests sent by callers, by class
    :ivar good: successful responses before the deadline, by class
    """

    def __init__(self) -> None:
        self.offered: Counter = Counter()
        self.good: Counter = Counter()
        self.attempts = 0
        self.retries = 0
        self.latency_us = {name: HdrHistogram(1, 60_000_000, 3) for name in CLASS_SHARES}

    def p99_ms(self, request_class: RequestClass) -> float:
        """Return the 99th percentile of the latency of good responses."""
        return self.latency_us[request_class].get_value_at_percentile(99) / 1000


class Target:
    """A target with the request queue of its node.

    :ivar factor: factor on the service time
    :ivar calls: queued and running calls by request id
    """

    def __init__(self, record: TargetRecord, queue, factor: float):
        self.record = record
        self.queue = queue
        self.factor = factor
        self.alive = True
        self.calls: dict[str, Call] = {}


class Model:
    """Runs one scenario with one set of components under a manual clock and a fixed seed."""

    def __init__(self, scenario: Scenario, components: Components, seed: int = 7):
        self.scenario = scenario
        # Arrivals have their own random generator, so that all components get the same requests.
        self.arrivals = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.clock = ManualClock()
        self.now_ms = 0.0
        self.events: list = []
        self.sequence = 0
        self.totals = Totals()
        self.targets: dict[str, Target] = {}
        for zone in ZONES:
            for index in range(TARGETS_PER_ZONE):
                name = f"{zone}-{index}"
                record = TargetRecord(name, name, "s", "v1", "", zone, SLOTS, 1, TargetState.UP)
                factor = scenario.slow_factor if not self.targets else 1.0
                self.targets[name] = Target(record, components.queue(self), factor)
        self.choosers = [components.chooser(self, zone) for zone in ZONES for _ in range(2)]
        self.retries = [components.retry(self) for _ in self.choosers]
        self._update_choosers()

    def run(self) -> Totals:
        """Run the scenario until no event is left and return the totals."""
        self.schedule_at(0.0, self._arrive, 0)
        if self.scenario.lost_zone_at_ms is not None:
            self.schedule_at(self.scenario.lost_zone_at_ms, self._lose_zone)
            self.schedule_at(
                self.scenario.lost_zone_at_ms + DEATH_PROPAGATION_MS, self._update_choosers
            )
        while self.events:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            if at_ms > self.now_ms:
                self.clock.advance(timedelta(milliseconds=at_ms - self.now_ms))
                self.now_ms = at_ms
            action(*arguments)
        return self.totals

    def schedule_at(self, at_ms: float, action: Callable, *arguments) -> None:
        """Schedule an action at a simulated time in milliseconds."""
        self.sequence += 1
        heapq.heappush(self.events, (at_ms, self.sequence, action, arguments))

    def _update_choosers(self) -> None:
        records = [target.record for target in self.targets.values() if target.alive]
        for chooser in self.choosers:
            chooser.update("s", records)

    def _lose_zone(self) -> None:
        for target in self.targets.values():
            if target.record.zone == ZONES[0]:
                target.alive = False
                for call in target.calls.values():
                    self.schedule_at(
                        self.now_ms + 1.0, self._fail, call, target, Reason.TARGET_LOST
                    )
                target.calls = {}

    def _arrive(self, number: int) -> None:
        request_class = self.arrivals.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
        hop = self.arrivals.randrange(len(self.choosers))
        call = Call(f"c{number}", request_class, hop, self.now_ms)
        self.totals.offered[request_class] += 1
        self.retries[hop].record_first_attempt()
        self._send(call)
        gap_ms = self.arrivals.expovariate(self.scenario.load * CAPACITY_PER_S / 1000.0)
        if self.now_ms + gap_ms < self.scenario.duration_ms:
            self.schedule_at(self.now_ms + gap_ms, self._arrive, number + 1)

    def _send(self, call: Call) -> None:
        record = self.choosers[call.hop].choose(call)
        if record is None:
            call.done = True
            return
        target = self.targets[record.target]
        self.totals.attempts += 1
        call.tried.append(record.target)
        self.choosers[call.hop].started(record.target)
        if not target.alive:
            self.schedule_at(
                self.now_ms + CONNECT_TIMEOUT_MS, self._fail, call, target, Reason.HOP_UNREACHABLE
            )
            return
        self.schedule_at(self.now_ms + self._one_way_ms(call, target), self._offer, call, target)

    def _one_way_ms(self, call: Call, target: Target) -> float:
        return SAME_ZONE_MS if ZONES[call.hop // 2] == target.record.zone else CROSS_ZONE_MS

    def _offer(self, call: Call, target: Target) -> None:
        if not target.alive:
            self._fail(call, target, Reason.HOP_UNREACHABLE)
            return
        name = f"{call.name}/{len(call.tried)}"
        deadline = timedelta(milliseconds=call.deadline_ms)
        request = SlotRequest(name, call.request_class, deadline)
        target.calls[name] = call
        admission = target.queue.offer(request)
        if isinstance(admission, Admitted):
            self._start(name, target)
        elif isinstance(admission, Queued):
            for item in admission.shed:
                self._refuse(item.request.request_id, target)
        else:
            self._refuse(name, target)

    def _refuse(self, name: str, target: Target) -> None:
        call = target.calls.pop(name)
        self.schedule_at(
            self.now_ms + self._one_way_ms(call, target),
            self._fail,
            call,
            target,
            Reason.OVERLOADED,
        )

    def _start(self, name: str, target: Target) -> None:
        took_ms = self.rng.gammavariate(4.0, SERVICE_MS / 4.0) * target.factor
        begin, end = self.scenario.failing_ms
        if begin <= self.now_ms < end:
            took_ms /= 10.0
        self.schedule_at(self.now_ms + took_ms, self._end, name, target, begin <= self.now_ms < end)

    def _end(self, name: str, target: Target, failed: bool) -> None:
        if not target.alive:
            return
        call = target.calls.pop(name)
        dispatched = target.queue.release(name)
        for item in dispatched.shed:
            self._refuse(item.request.request_id, target)
        for request in dispatched.started:
            self._start(request.request_id, target)
        one_way_ms = self._one_way_ms(call, target)
        if failed:
            self.schedule_at(self.now_ms + one_way_ms, self._fail, call, target, Reason.TARGET_LOST)
        else:
            load = (len(target.queue.running), target.queue.queued)
            self.schedule_at(self.now_ms + one_way_ms, self._complete, call, target, load)

    def _complete(self, call: Call, target: Target, load: tuple[int, int]) -> None:
        result = TargetResult(ResultKind.OK, *load)
        self.choosers[call.hop].finished(target.record.target, result)
        if not call.done and self.now_ms <= call.deadline_ms:
            self.totals.good[call.request_class] += 1
            latency_us = round((self.now_ms - call.sent_ms) * 1000)
            self.totals.latency_us[call.request_class].record_value(max(1, latency_us))
        call.done = True

    def _fail(self, call: Call, target: Target, reason: Reason) -> None:
        refused = reason is Reason.OVERLOADED
        kind = ResultKind.REFUSED if refused else ResultKind.FAILED
        load = (len(target.queue.running), target.queue.queued) if refused else (None, None)
        self.choosers[call.hop].finished(target.record.target, TargetResult(kind, *load))
        delay_ms = self.retries[call.hop].decide(call, reason)
        if delay_ms is None:
            call.done = True
            return
        self.totals.retries += 1
        self.schedule_at(self.now_ms + delay_ms, self._send, call)


def make_slot_queue(model: Model) -> SlotQueue:
    """Return the product's queue for a target."""
    return SlotQueue(clock=model.clock, slots=SLOTS)
