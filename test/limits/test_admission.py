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


class QueueHarness:
    """Drives a slot queue and counts how often each offered request ends."""

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
        result = self.queue.offer(SlotRequest(name, request_class, deadline))
        if isinstance(result, Admitted):
            self.started[request_class] += 1
        elif isinstance(result, Refused):
            self.ends[name] += 1
        else:
            self.waiting.add(name)
            self.shed(result.shed)
        return result

    def shed(self, items):
        for item in items:
            self.waiting.remove(item.request.request_id)
            self.ends[item.request.request_id] += 1

    def apply_result(self, result):
        self.shed(result.shed)
        for request in result.started:
            self.waiting.remove(request.request_id)
            self.started[request.request_class] += 1
        return result

    def finish(self, name):
        self.ends[name] += 1
        return self.apply_result(self.queue.release(name))

    def finish_oldest(self):
        return self.finish(next(iter(self.queue.running)))

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))


class ClassTest(TestCase):
    def overload(self, harness, offers, rounds=400):
        """Offer three times as many requests as the slots can run, at 10 ms for each request."""
        for _ in range(rounds):
            harness.advance(0.01)
            for request_class, count in offers.items():
                for _ in range(count):
                    harness.offer(request_class, timeout=0.5)
            for name in list(harness.queue.running):
                harness.finish(name)

    def test_internal_calls_run_under_three_times_overload(self):
        """Guards against urgent requests that starve the internal calls they depend on."""
        harness = QueueHarness()
        self.overload(harness, {URGENT: 28, INTERNAL: 2})
        self.assertTrue(harness.started[INTERNAL] >= 780, harness.started)

    def test_slots_are_shared_by_weight_when_all_classes_wait(self):
        """Guards against a class that gets most slots because it offers the most requests."""
        harness = QueueHarness(queue_limit=130, reserved_internal=0)
        self.overload(harness, {URGENT: 30, INTERNAL: 30, ROUTINE: 30}, rounds=1000)
        total = sum(harness.started.values())
        shares = [round(13 * harness.started[name] / total) for name in (URGENT, INTERNAL, ROUTINE)]
        self.assertEqual([8, 4, 1], shares)

    def test_one_slot_is_reserved_for_internal_calls(self):
        """Guards against a deadlock of callers that hold all slots and wait for their callees."""
        harness = QueueHarness(slots=3)
        result_types = [type(harness.offer(URGENT)) for _ in range(3)]
        self.assertEqual([Admitted, Admitted, Queued], result_types)
        for _ in range(2):
            self.assertIsInstance(harness.offer(INTERNAL), Admitted)
            self.assertEqual((), harness.finish(f"r{harness.count}").started)

    def test_lowered_concurrency_leaves_slots_unused(self):
        """Guards against a saturated target that is still given all its slots."""
        concurrency = AdaptiveConcurrency(slots=10)
        concurrency.current_limit = 4.9
        harness = QueueHarness(concurrency=concurrency, reserved_internal=0)
        result_types = [type(harness.offer(URGENT)) for _ in range(6)]
        self.assertEqual([Admitted] * 4 + [Queued] * 2, result_types)

    def test_full_queue_sheds_the_lowest_class_first(self):
        """Guards against urgent requests that are refused while routine ones wait."""
        harness = QueueHarness(slots=2, queue_limit=4)
        for request_class in (URGENT, INTERNAL, ROUTINE, ROUTINE, ROUTINE, ROUTINE):
            harness.offer(request_class)
        result = harness.offer(URGENT)
        self.assertEqual(["r6"], [item.request.request_id for item in result.shed])
        self.assertEqual(RefusalReason.OVERLOADED, result.shed[0].refused.reason)
        self.assertIsInstance(harness.offer(ROUTINE), Refused)

    def test_urgent_requests_do_not_displace_the_internal_share_of_the_queue(self):
        """Guards against internal calls that starve because urgent ones fill the queue."""
        harness = QueueHarness(slots=2, queue_limit=13)
        for _ in range(30):
            harness.offer(INTERNAL)
            harness.offer(URGENT)
        self.assertEqual(4, len(harness.queue.queues[INTERNAL]))


class DeadlineTest(TestCase):
    def test_expired_request_is_not_started(self):
        """Guards against slots that run requests whose callers no longer wait."""
        harness = QueueHarness(slots=1)
        harness.offer(URGENT)
        harness.offer(URGENT, timeout=0.1)
        harness.offer(URGENT, timeout=1.0)
        harness.advance(0.2)
        result = harness.finish("r1")
        self.assertEqual(["r3"], [request.request_id for request in result.started])
        self.assertEqual([RefusalReason.DEADLINE], [item.refused.reason for item in result.shed])
        self.assertEqual(RefusalReason.DEADLINE, QueueHarness().offer(URGENT, timeout=0.0).reason)

    def test_request_that_would_wait_past_its_deadline_is_refused_at_once(self):
        """Guards against a refusal that comes too late for the caller to try another target."""
        harness = QueueHarness(slots=1)
        harness.offer(URGENT)
        harness.advance(0.1)
        harness.finish("r1")
        harness.offer(URGENT)
        self.assertIsInstance(harness.offer(URGENT, timeout=0.15), Refused)
        self.assertIsInstance(harness.offer(URGENT, timeout=0.5), Queued)

    def test_queued_requests_expire_without_a_release(self):
        """Guards against requests that wait forever for a target that releases no slot."""
        harness = QueueHarness(slots=1)
        harness.offer(URGENT)
        harness.offer(URGENT, timeout=0.1)
        harness.advance(0.2)
        harness.apply_result(harness.queue.expire())
        self.assertEqual(set(), harness.waiting)

    def test_drain_refuses_new_requests_and_empties_the_queue_within_3_s(self):
        """Guards against a draining target that starts requests after the 3 s of I8.

        Requests that run must not be cut off either.
        """
        harness = QueueHarness(slots=1)
        for _ in range(3):
            harness.offer(URGENT, timeout=60)
        harness.queue.drain()
        self.assertEqual(RefusalReason.DRAINING, harness.offer(URGENT).reason)
        self.assertEqual(1, len(harness.finish("r1").started))
        harness.advance(3)
        self.assertEqual(
            RefusalReason.DRAINING,
            harness.apply_result(harness.queue.expire()).shed[0].refused.reason,
        )
        self.assertFalse(harness.queue.is_idle())
        harness.finish("r2")
        self.assertTrue(harness.queue.is_idle())

    def test_repeated_release_and_id_free_no_slot(self):
        """Guards against a repeated report that lets two requests into one slot."""
        harness = QueueHarness(slots=1)
        harness.offer(URGENT)
        self.assertEqual(RefusalReason.DUPLICATE, harness.offer(URGENT, request_id="r1").reason)
        harness.offer(URGENT)
        harness.offer(URGENT)
        harness.finish("r1")
        self.assertEqual((), harness.apply_result(harness.queue.release("r1")).started)
        self.assertEqual(1, len(harness.queue.running))


OPERATION = st.one_of(
    st.tuples(st.just("offer"), st.sampled_from(list(RequestClass)), st.floats(0.0, 0.5)),
    st.tuples(st.just("finish"), st.integers(0, 20), st.none()),
    st.tuples(st.just("cancel"), st.integers(0, 20), st.none()),
    st.tuples(st.just("advance"), st.floats(0.0, 0.3), st.none()),
    st.tuples(st.sampled_from(["expire", "drain"]), st.none(), st.none()),
)


def apply(harness, operation):
    kind, value, timeout = operation
    if kind == "offer":
        harness.offer(value, timeout)
    elif kind == "finish" and harness.queue.running:
        harness.finish(list(harness.queue.running)[value % len(harness.queue.running)])
    elif kind == "cancel" and harness.waiting:
        name = sorted(harness.waiting)[value % len(harness.waiting)]
        harness.ends[name] += harness.queue.cancel(name)
        harness.waiting.discard(name)
    elif kind == "advance":
        harness.advance(value)
    elif kind == "expire":
        harness.apply_result(harness.queue.expire())
    elif kind == "drain" and harness.count > 15:
        harness.queue.drain()


class PropertyTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(operations=st.lists(OPERATION, max_size=60), slots=st.integers(1, 4))
    def test_slots_are_not_exceeded_and_each_request_ends_once(self, operations, slots):
        """Guards against lost or repeated requests and exceeded slots in any order of events."""
        harness = QueueHarness(slots=slots, queue_limit=5)
        for operation in operations:
            apply(harness, operation)
            self.assertTrue(len(harness.queue.running) <= slots)
            self.assertTrue(harness.queue.queued <= 5)
            self.assertEqual(len(harness.waiting), harness.queue.queued)
        harness.advance(10)
        while harness.queue.running:
            harness.finish_oldest()
        harness.apply_result(harness.queue.expire())
        self.assertEqual({f"r{n + 1}": 1 for n in range(harness.count)}, dict(harness.ends))
