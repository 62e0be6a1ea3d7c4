"""Tests of the admission of requests to a target's slots."""

from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.admission import (
    Admitted,
    Queued,
    RefusalReason,
    Refused,
    SlotQueue,
    SlotRequest,
)
from almondshore.limits.concurrency import AdaptiveConcurrency
from almondshore.rules.model import RequestClass

URGENT, INTERNAL, ROUTINE = RequestClass.URGENT, RequestClass.INTERNAL, RequestClass.ROUTINE


class Bed:
    """A slot queue that counts how each offered request ends."""

    def __init__(self, slots=10, **limits):
        self.clock = ManualClock()
        self.queue = SlotQueue(clock=self.clock, slots=slots, **limits)
        self.count = 0
        self.waiting = set()
        self.ends = Counter()
        self.started = Counter()

    def offer(self, request_class, timeout=1.0, request_id=None):
        self.count += 1
        name = request_id or f"r{self.count}"
        deadline = self.clock.monotonic() + timedelta(seconds=timeout)
        answer = self.queue.offer(SlotRequest(name, request_class, deadline))
        if isinstance(answer, Admitted):
            self.started[request_class] += 1
        elif isinstance(answer, Refused):
            self.ends[name] += 1
        else:
            self.waiting.add(name)
            self.shed(answer.shed)
        return answer

    def shed(self, items):
        for item in items:
            self.waiting.remove(item.request.request_id)
            self.ends[item.request.request_id] += 1

    def turn(self, turn):
        self.shed(turn.shed)
        for request in turn.started:
            self.waiting.remove(request.request_id)
            self.started[request.request_class] += 1
        return turn

    def finish(self, name):
        self.ends[name] += 1
        return self.turn(self.queue.release(name))

    def finish_oldest(self):
        return self.finish(next(iter(self.queue.running)))

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))


class ClassTest(TestCase):
    def overload(self, bed, offers, rounds=400):
        """Offer three times what the slots can run; each slot takes 10 ms for a request."""
        for _ in range(rounds):
            bed.advance(0.01)
            for request_class, count in offers.items():
                for _ in range(count):
                    bed.offer(request_class, timeout=0.5)
            for name in list(bed.queue.running):
                bed.finish(name)

    def test_internal_calls_run_under_three_times_overload(self):
        """Guards against urgent requests starving the internal calls that they depend on."""
        bed = Bed()
        self.overload(bed, {URGENT: 28, INTERNAL: 2})
        self.assertTrue(bed.started[INTERNAL] >= 780, bed.started)

    def test_slots_follow_the_weights_when_all_classes_wait(self):
        """Guards against a class taking over the slots because it offers the most."""
        bed = Bed(queue_limit=130, reserved_internal=0)
        self.overload(bed, {URGENT: 30, INTERNAL: 30, ROUTINE: 30}, rounds=1000)
        total = sum(bed.started.values())
        shares = [round(13 * bed.started[name] / total) for name in (URGENT, INTERNAL, ROUTINE)]
        self.assertEqual([8, 4, 1], shares)

    def test_one_slot_is_kept_for_internal_calls(self):
        """Guards against a deadlock of callers that hold all slots and wait for their callees."""
        bed = Bed(slots=3)
        answers = [type(bed.offer(URGENT)) for _ in range(3)]
        self.assertEqual([Admitted, Admitted, Queued], answers)
        for _ in range(2):
            self.assertIsInstance(bed.offer(INTERNAL), Admitted)
            self.assertEqual((), bed.finish(f"r{bed.count}").started)

    def test_lowered_concurrency_leaves_slots_unused(self):
        """Guards against a saturated target that is given all its slots regardless."""
        concurrency = AdaptiveConcurrency(slots=10)
        concurrency.current = 4.9
        bed = Bed(concurrency=concurrency, reserved_internal=0)
        answers = [type(bed.offer(URGENT)) for _ in range(6)]
        self.assertEqual([Admitted] * 4 + [Queued] * 2, answers)

    def test_full_queue_sheds_the_lowest_class_first(self):
        """Guards against fault reads being refused while routine checks wait."""
        bed = Bed(slots=2, queue_limit=4)
        for request_class in (URGENT, INTERNAL, ROUTINE, ROUTINE, ROUTINE, ROUTINE):
            bed.offer(request_class)
        answer = bed.offer(URGENT)
        self.assertEqual(["r6"], [item.request.request_id for item in answer.shed])
        self.assertEqual(RefusalReason.OVERLOADED, answer.shed[0].refused.reason)
        self.assertIsInstance(bed.offer(ROUTINE), Refused)

    def test_urgent_requests_do_not_push_out_the_internal_part_of_the_queue(self):
        """Guards against starvation in the queue rather than in the slots."""
        bed = Bed(slots=2, queue_limit=13)
        for _ in range(30):
            bed.offer(INTERNAL)
            bed.offer(URGENT)
        self.assertEqual(4, len(bed.queue.queues[INTERNAL]))


class DeadlineTest(TestCase):
    def test_expired_work_is_not_started(self):
        """Guards against slots spent on responses that nobody waits for."""
        bed = Bed(slots=1)
        bed.offer(URGENT)
        bed.offer(URGENT, timeout=0.1)
        bed.offer(URGENT, timeout=1.0)
        bed.advance(0.2)
        turn = bed.finish("r1")
        self.assertEqual(["r3"], [request.request_id for request in turn.started])
        self.assertEqual([RefusalReason.DEADLINE], [item.refused.reason for item in turn.shed])
        self.assertEqual(RefusalReason.DEADLINE, Bed().offer(URGENT, timeout=0.0).reason)

    def test_request_that_would_wait_past_its_deadline_is_refused_at_once(self):
        """Guards against a caller that learns too late to try another target."""
        bed = Bed(slots=1)
        bed.offer(URGENT)
        bed.advance(0.1)
        bed.finish("r1")
        bed.offer(URGENT)
        self.assertIsInstance(bed.offer(URGENT, timeout=0.15), Refused)
        self.assertIsInstance(bed.offer(URGENT, timeout=0.5), Queued)

    def test_expiry_needs_no_release(self):
        """Guards against requests that wait for ever behind a stuck target."""
        bed = Bed(slots=1)
        bed.offer(URGENT)
        bed.offer(URGENT, timeout=0.1)
        bed.advance(0.2)
        bed.turn(bed.queue.expire())
        self.assertEqual(set(), bed.waiting)

    def test_drain_refuses_new_work_and_ends_the_queue_within_3_s(self):
        """Guards against a leaving target getting work after the 3 s of I8, or cutting some."""
        bed = Bed(slots=1)
        for _ in range(3):
            bed.offer(URGENT, timeout=60)
        bed.queue.drain()
        self.assertEqual(RefusalReason.DRAINING, bed.offer(URGENT).reason)
        self.assertEqual(1, len(bed.finish("r1").started))
        bed.advance(3)
        self.assertEqual(
            RefusalReason.DRAINING, bed.turn(bed.queue.expire()).shed[0].refused.reason
        )
        self.assertFalse(bed.queue.is_idle())
        bed.finish("r2")
        self.assertTrue(bed.queue.is_idle())

    def test_repeated_release_and_id_free_no_slot(self):
        """Guards against a doubled report that lets two requests into one slot."""
        bed = Bed(slots=1)
        bed.offer(URGENT)
        self.assertEqual(RefusalReason.DUPLICATE, bed.offer(URGENT, request_id="r1").reason)
        bed.offer(URGENT)
        bed.offer(URGENT)
        bed.finish("r1")
        self.assertEqual((), bed.turn(bed.queue.release("r1")).started)
        self.assertEqual(1, len(bed.queue.running))


OPERATION = st.one_of(
    st.tuples(st.just("offer"), st.sampled_from(list(RequestClass)), st.floats(0.0, 0.5)),
    st.tuples(st.just("finish"), st.integers(0, 20), st.none()),
    st.tuples(st.just("cancel"), st.integers(0, 20), st.none()),
    st.tuples(st.just("advance"), st.floats(0.0, 0.3), st.none()),
    st.tuples(st.sampled_from(["expire", "drain"]), st.none(), st.none()),
)


def apply(bed, operation):
    kind, value, timeout = operation
    if kind == "offer":
        bed.offer(value, timeout)
    elif kind == "finish" and bed.queue.running:
        bed.finish(list(bed.queue.running)[value % len(bed.queue.running)])
    elif kind == "cancel" and bed.waiting:
        name = sorted(bed.waiting)[value % len(bed.waiting)]
        bed.ends[name] += bed.queue.cancel(name)
        bed.waiting.discard(name)
    elif kind == "advance":
        bed.advance(value)
    elif kind == "expire":
        bed.turn(bed.queue.expire())
    elif kind == "drain" and bed.count > 15:
        bed.queue.drain()


class PropertyTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(operations=st.lists(OPERATION, max_size=60), slots=st.integers(1, 4))
    def test_slots_hold_and_each_request_ends_once(self, operations, slots):
        """Guards against a lost, doubled or oversold request under any order of events."""
        bed = Bed(slots=slots, queue_limit=5)
        for operation in operations:
            apply(bed, operation)
            self.assertTrue(len(bed.queue.running) <= slots)
            self.assertTrue(bed.queue.queued <= 5)
            self.assertEqual(len(bed.waiting), bed.queue.queued)
        bed.advance(10)
        while bed.queue.running:
            bed.finish_oldest()
        bed.turn(bed.queue.expire())
        self.assertEqual({f"r{n + 1}": 1 for n in range(bed.count)}, dict(bed.ends))
