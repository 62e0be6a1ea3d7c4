"""Tests of the limit on the rate of requests, alone and in the queue of a target."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.objective import Job, ObjectiveQueue, Refusal, Terms
from almondshore.limits.rate import MIN_RATE, ColdLimit, RateLimit

SECOND = timedelta(seconds=1)


class FakeJob(Job):
    def __init__(self, clock, objective=SECOND):
        now = clock.monotonic()
        self.terms = Terms("r", 1, now + objective, now + 3 * SECOND)
        self.started, self.refusal = False, None

    def start(self):
        self.started = True

    def refuse(self, reason, retry_after):
        self.refusal = reason, retry_after


class RateLimitTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limit = RateLimit(clock=self.clock)

    def taken(self, seconds):
        """Return how many requests may start in some seconds, tried 100 times a second."""
        count = 0
        for _ in range(int(seconds * 100)):
            self.clock.advance(SECOND / 100)
            count += self.limit.take()
        return count

    def test_rate_is_kept(self):
        """Guards against more requests than a limit allows, or fewer."""
        self.assertEqual(100, self.taken(1.0))
        for rate in (0.5, 3.0, 20.0):
            self.limit.set_rate(rate)
            self.clock.advance(60 * SECOND)
            self.assertTrue(4 * rate <= self.taken(4.0) <= 4 * rate + 1 + rate / 4, rate)

    def test_changed_rate_grants_nothing_more(self):
        """Guards against a limit that allows a burst each time that it is stated anew."""
        self.limit.set_rate(2.0)
        count = 0
        for number in range(100):
            self.limit.set_rate(2.0 if number % 2 else 2.1)
            count += self.taken(0.1)
        self.assertTrue(count <= 10 * 2.1 + 1, count)

    def test_limit_of_zero_lets_its_end_be_noticed(self):
        """Guards against a target that gets no request again since none could end its limit."""
        self.limit.set_rate(0.0)
        self.assertEqual(SECOND / MIN_RATE, self.limit.wait())
        self.assertTrue(1 <= self.taken(8.0) <= 2)

    def test_rate_lowered_and_raised_at_once_keeps_the_lower_burst(self):
        """Guards against saved starts that survive a lower limit, as a burst of the next one."""
        self.limit.set_rate(40.0)
        self.clock.advance(60 * SECOND)
        self.limit.set_rate(8.0)
        self.limit.set_rate(40.0)
        self.assertEqual([True, True, False], [self.limit.take() for _ in range(3)])

    def test_limit_that_was_removed_starts_empty(self):
        """Guards against starts that are saved up while there is no limit."""
        self.limit.set_rate(40.0)
        self.clock.advance(60 * SECOND)
        self.limit.set_rate(None)
        self.clock.advance(60 * SECOND)
        self.limit.set_rate(40.0)
        self.assertFalse(self.limit.take())

    def test_start_that_cannot_be_held_back_delays_the_next(self):
        """Guards against health checks of a cold target that come on top of its requests."""
        cold = ColdLimit(rate=4.0, burst=2.0, most=100)
        self.limit.cold_limit = lambda: cold
        self.assertFalse(self.limit.take())
        for _ in range(3):
            self.limit.record_start()
        self.assertEqual(SECOND, self.limit.wait())
        self.clock.advance(SECOND)
        self.assertEqual([True, False], [self.limit.take() for _ in range(2)])

    def test_changed_limit_of_a_cold_target_holds_at_once(self):
        """Guards against the burst of an earlier configuration at a cold target."""
        limits = [ColdLimit(rate=4.0, burst=8.0, most=100)]
        self.limit.cold_limit = lambda: limits[-1]
        self.assertFalse(self.limit.take())
        self.clock.advance(60 * SECOND)
        self.assertTrue(self.limit.take())
        limits.append(ColdLimit(rate=4.0, burst=2.0, most=100))
        self.assertEqual([True, True, False], [self.limit.take() for _ in range(3)])
        # The time since the last refill counts at the new rate.
        limits.append(ColdLimit(rate=1.0, burst=2.0, most=100))
        self.clock.advance(SECOND)
        self.assertEqual([True, False], [self.limit.take() for _ in range(2)])

    def test_target_that_becomes_cold_again_starts_empty(self):
        """Guards against starts saved up while the target was warm, or a debt from before."""
        limits = [ColdLimit(rate=4.0, burst=8.0, most=100)]
        self.limit.cold_limit = lambda: limits[-1]
        self.limit.wait()
        for _ in range(5):
            self.limit.record_start()
        limits.append(None)
        self.assertTrue(self.limit.take())
        self.clock.advance(60 * SECOND)
        limits.append(limits[0])
        self.assertEqual(SECOND / 4, self.limit.wait())


class LimitedQueueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.scheduled = []
        self.queue = ObjectiveQueue(
            clock=self.clock,
            slots=4,
            schedule=lambda delay, call: self.scheduled.append((delay, call)),
        )
        self.queue.rate_limit.set_rate(2.0)

    def offer(self, **options):
        job = FakeJob(self.clock, **options)
        self.queue.offer(job)
        return job

    def test_request_waits_for_the_rate_and_not_longer(self):
        """Guards against a request that waits for the next periodic dispatch."""
        job = self.offer()
        self.assertEqual((False, None), (job.started, job.refusal))
        delay, call = self.scheduled.pop()
        self.assertEqual(SECOND / 2, delay)
        self.clock.advance(delay)
        call()
        self.assertTrue(job.started)

    def test_what_exceeds_the_rate_is_refused_at_once(self):
        """Guards against requests that wait for a limit although they cannot be on time."""
        self.offer()
        self.assertEqual((Refusal.RATE_LIMITED, SECOND), self.offer().refusal)
        self.assertEqual(Refusal.RATE_LIMITED, self.offer(objective=SECOND / 4).refusal[0])

    def test_free_slots_are_used_when_the_limit_ends(self):
        """Guards against a queue that waits on for a limit that no longer holds."""
        jobs = [self.offer(objective=3 * SECOND) for _ in range(3)]
        self.queue.rate_limit.set_rate(None)
        self.queue.dispatch()
        self.assertEqual([True] * 3, [job.started for job in jobs])
