"""Tests of the limit of cold targets, and of when a target counts as cold."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.rate import RateLimit
from almondshore.mesh.model import WarmupLimit
from almondshore.mesh.settings import WarmupBound
from almondshore.placement.warmup import MAX_REPORT_AGE, WarmupTracker, cold_limit

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
BOUND = WarmupBound()
RATES = (0.1, 1.0, 6.0, 20.0, 200.0)


class WarmupTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.clock.advance(100 * SECOND)
        self.start(20.0)

    def start(self, rate):
        self.tracker = WarmupTracker(clock=self.clock)
        self.tracker.limit = lambda: WarmupLimit(10 * SECOND, rate)
        self.tracker.bound = BOUND
        self.rate_limit = RateLimit(clock=self.clock)
        self.rate_limit.cold_limit = self.tracker.cold_limit

    def is_cold(self):
        return self.tracker.cold_limit() is not None

    def make_warm(self):
        self.clock.advance(SECOND)
        self.tracker.on_heartbeat(timedelta())
        self.assertFalse(self.is_cold())

    def test_target_of_a_new_process_is_cold_until_it_reports(self):
        """Guards against full load on a cold target from a node that has just started."""
        self.assertTrue(self.is_cold())
        self.tracker.on_heartbeat(5 * SECOND)
        self.assertEqual(5 * SECOND, self.tracker.cold_limit().left)
        self.tracker.on_heartbeat(timedelta())
        self.assertFalse(self.is_cold())

    def test_service_without_a_limit_is_never_cold(self):
        """Guards against a limit in deployments that state none."""
        self.tracker.limit = lambda: None
        self.tracker.on_heartbeat(5 * SECOND)
        self.tracker.on_evacuation_end()
        self.assertEqual((False, False), (self.is_cold(), self.tracker.needs_check()))
        self.assertTrue(all(self.rate_limit.take() for _ in range(500)))

    def test_only_a_later_report_ends_the_doubt(self):
        """Guards against a report from before the target became cold."""
        for doubt in (
            self.tracker.on_evacuation_end,
            self.tracker.on_refused_connection,
            lambda: self.tracker.on_broken_run(others=0),
        ):
            self.make_warm()
            asked_at = self.clock.monotonic()
            self.clock.advance(10 * MS)
            doubt()
            self.tracker.on_heartbeat(timedelta())
            self.tracker.on_health(timedelta(), asked_at=asked_at)
            self.assertTrue(self.is_cold())
            self.clock.advance(1100 * MS)
            self.tracker.on_health(timedelta(), asked_at=self.clock.monotonic())
            self.assertFalse(self.is_cold())

    def test_outdated_report_does_not_shorten_a_warm_up(self):
        """Guards against a heartbeat that was sent before a health check found a cold target."""
        self.make_warm()
        self.clock.advance(SECOND)
        self.tracker.on_health(5 * SECOND, asked_at=self.clock.monotonic())
        self.clock.advance(100 * MS)
        self.tracker.on_heartbeat(timedelta())
        self.assertTrue(self.is_cold())

    def test_missing_reports_and_a_suspended_process_raise_doubt(self):
        """Guards against a target that became cold while its node could not notice it."""
        self.make_warm()
        self.clock.advance(MAX_REPORT_AGE + SECOND)
        self.assertTrue(self.is_cold())
        self.make_warm()
        self.tracker.tick()
        self.clock.advance(2 * SECOND)
        self.tracker.on_heartbeat(timedelta())
        self.assertTrue(self.is_cold())
        self.tracker.tick()
        self.make_warm()
        self.tracker.tick()
        self.clock.advance(2 * SECOND)
        self.tracker.tick()
        self.assertTrue(self.is_cold())

    def test_single_broken_run_is_no_restart(self):
        """Guards against a limit on targets that fail single requests."""
        self.make_warm()
        self.tracker.on_broken_run(others=3)
        self.clock.advance(500 * MS)
        self.tracker.on_broken_run(others=3)
        self.assertFalse(self.is_cold())
        self.tracker.on_broken_run(others=2)
        self.assertTrue(self.is_cold())

    def test_target_is_asked_once_and_not_before_a_heartbeat(self):
        """Guards against health checks that take the time of targets, and against missing ones."""
        self.assertTrue(self.tracker.needs_check())
        self.tracker.on_check()
        self.assertFalse(self.tracker.needs_check())
        self.make_warm()
        self.tracker.on_refused_connection()
        self.assertTrue(self.tracker.needs_check())
        self.clock.advance(1300 * MS)
        self.assertFalse(self.tracker.needs_check())
        self.clock.advance(400 * MS)
        self.assertTrue(self.tracker.needs_check())
        self.tracker.on_evacuation_end()
        self.assertFalse(self.tracker.needs_check())

    def test_each_second_stays_within_the_bound(self):
        """Guards against bursts: when cold begins, after idle times, at any rate and limit."""
        rng = random.Random(7)
        for rate in RATES:
            self.start(rate)
            self.rate_limit.set_rate(None)
            allowed = rate * BOUND.factor + BOUND.slack
            self.assertTrue(cold_limit(WarmupLimit(SECOND, rate), BOUND, None).most < allowed)
            cold_starts, all_cold = [], []
            for step in range(6000):
                self.clock.advance(10 * MS)
                now = self.clock.monotonic()
                if step % 100 == 0:
                    cold = step // 1000 % 2 == 0 or rng.random() < 0.3
                    self.tracker.on_health((1 if cold else 0) * 1500 * MS, asked_at=now)
                if rng.random() < 0.001:
                    self.tracker.on_refused_connection()
                for _ in range(rng.choice((0, 0, 1, 5, 40))):
                    if self.rate_limit.take() and self.is_cold():
                        cold_starts.append(now)
            for index, at in enumerate(cold_starts):
                all_cold.append(sum(at <= other < at + SECOND for other in cold_starts[index:]))
            self.assertTrue(max(all_cold) <= allowed * 0.85, (rate, max(all_cold), allowed))

    def test_limit_is_used(self):
        """Guards against a cold target that gets far less than it bears."""
        for rate in (6.0, 20.0):
            self.start(rate)
            taken = 0
            for _ in range(1000):
                self.clock.advance(10 * MS)
                taken += self.rate_limit.take()
            self.assertTrue(9 * rate <= taken <= 11 * rate, (rate, taken))

    def test_lower_one_of_both_limits_applies(self):
        """Guards against a stated limit that replaces that of a cold target, or the reverse."""
        for stated, rate in ((5.0, 5.0), (50.0, 20.0), (None, 20.0)):
            self.start(20.0)
            self.rate_limit.set_rate(stated)
            self.assertEqual(rate, self.rate_limit.effective_rate())
            taken = 0
            for _ in range(400):
                self.clock.advance(10 * MS)
                taken += self.rate_limit.take()
            self.assertTrue(3.5 * rate <= taken <= 4 * rate + 6, (rate, taken))

    def test_wait_ends_when_the_target_is_warm(self):
        """Guards against requests that are refused for a limit which is about to end."""
        self.start(1.0)
        self.tracker.on_heartbeat(300 * MS)
        self.assertEqual(300 * MS, self.rate_limit.wait(5))
