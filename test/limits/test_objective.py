"""Tests of admission by latency objective."""

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.objective import Job, ObjectiveQueue, Refusal, Terms
from almondshore.placement.cost import Features


def ms(number):
    return timedelta(milliseconds=number)


class FakeJob(Job):
    """Records whether it was started or refused."""

    def __init__(self, name, terms, log):
        self.name, self.terms, self.log = name, terms, log
        self.ends = []

    def start(self):
        self.ends.append("started")
        self.log.append(self.name)

    def refuse(self, reason, retry_after):
        self.ends.append(reason)
        self.retry_after = retry_after


class ObjectiveQueueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.started = []

    def queue(self, slots=1, service_ms=100):
        queue = ObjectiveQueue(clock=self.clock, slots=slots)
        for _ in range(50):
            queue.times.observe(Features("r"), ms(service_ms))
        return queue

    def job(self, name="j", urgency=1, objective=1000, deadline=3000):
        now = self.clock.monotonic()
        return FakeJob(
            name, Terms("r", urgency, now + ms(objective), now + ms(deadline)), self.started
        )

    def offer(self, queue, *args, **fields):
        job = self.job(*args, **fields)
        queue.offer(job)
        return job

    def test_urgent_requests_go_first_and_then_the_nearest_objective(self):
        """Guards against an urgent request that waits behind routine ones."""
        queue = self.queue()
        running = self.offer(queue, "running")
        self.offer(queue, "routine", urgency=2, objective=500)
        self.offer(queue, "later", urgency=1, objective=900)
        self.offer(queue, "sooner", urgency=1, objective=700)
        job = running
        for _ in range(3):
            queue.release(job, observed=False)
            job = next(iter(queue.running))
        self.assertEqual(["running", "sooner", "later", "routine"], self.started)

    def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        """Guards against a request that is held until its deadline passes."""
        queue = self.queue()
        self.offer(queue)
        late = self.offer(queue, objective=50, deadline=120)
        self.assertEqual([Refusal.OVERLOADED], late.ends)
        too_late = self.offer(queue, objective=10, deadline=20)
        self.assertEqual([Refusal.TOO_LATE], too_late.ends)

    def test_late_requests_start_after_those_on_time(self):
        """Guards against late requests that delay others until these are late too."""
        queue = self.queue()
        first = self.offer(queue, "first")
        self.offer(queue, "late", objective=150, deadline=3000)
        self.offer(queue, "on-time", objective=1000)
        self.clock.advance(ms(100))
        queue.release(first, observed=False)
        self.assertEqual(["first", "on-time"], self.started)

    def test_waiting_request_is_refused_once_it_would_miss_its_deadline(self):
        """Guards against a target that runs requests whose callers no longer wait."""
        queue = self.queue()
        self.offer(queue)
        waiting = self.offer(queue, objective=250, deadline=320)
        self.clock.advance(ms(290))
        queue.dispatch()
        self.assertEqual([Refusal.TOO_LATE], waiting.ends)

    def test_closed_queue_refuses_all(self):
        """Guards against requests that are sent to a target after it has left."""
        queue = self.queue()
        self.offer(queue)
        waiting = self.offer(queue)
        queue.close()
        self.assertEqual([Refusal.DRAINING], waiting.ends)
        self.assertEqual([Refusal.DRAINING], self.offer(queue).ends)

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(1, 2000), st.integers(1, 4000)), max_size=60
        ),
        st.randoms(use_true_random=False),
    )
    @settings(max_examples=60, deadline=None)
    def test_each_request_ends_once_and_slots_are_not_exceeded(self, requests, rng):
        """Guards against lost or repeated requests, and more running requests than slots."""
        self.clock = ManualClock()
        queue = self.queue(slots=3)
        jobs = []
        for urgency, objective, deadline in requests:
            jobs.append(self.offer(queue, "j", urgency, objective, deadline))
            self.assertTrue(len(queue.running) <= 3)
            self.clock.advance(ms(rng.randrange(60)))
            if queue.running and rng.random() < 0.5:
                queue.release(rng.choice(list(queue.running)), observed=rng.random() < 0.5)
        while queue.running:
            self.clock.advance(ms(50))
            queue.release(next(iter(queue.running)), observed=True)
        self.assertEqual([], queue.waiting)
        self.assertEqual([1] * len(jobs), [len(job.ends) for job in jobs])
