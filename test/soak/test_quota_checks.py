"""Tests of the check of quotas that the soak makes."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from soak.config_history import QuotaLimit
from soak.contact import ContactTracker
from soak.quotas import QuotaChecker

HIGH, LOW = QuotaLimit(12.0, 5.0), QuotaLimit(4.0, 5.0)
# (rate x 5 s + burst) x 1.1 + 20, rounded down
HIGH_ALLOWANCE, LOW_ALLOWANCE = 91, 47


class QuotaCheckerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.contact = ContactTracker(clock=self.clock)
        self.violations = []
        self.quota = QuotaChecker(
            clock=self.clock,
            contact=self.contact,
            nodes=("n1", "n2"),
            violations=self.violations,
        )
        self.contact.disturb("n1")
        self.contact.disturb("n2")
        self.count = 0

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        self.quota.sample()

    def run_requests(self, count, sent_before_s=0.0):
        sent_at = self.clock.monotonic() - timedelta(seconds=sent_before_s)
        for _ in range(count):
            self.count += 1
            self.quota.on_run(f"q{self.count}", sent_at)

    def test_only_a_run_over_the_limit_is_reported(self):
        """Guards against a wrong limit, and against a check that overlooks a run over it."""
        self.quota.on_written(HIGH)
        self.run_requests(HIGH_ALLOWANCE)
        self.assertEqual([], self.violations)
        self.run_requests(1)
        self.assertEqual(1, len(self.violations))
        self.assertTrue(self.quota.used_share > 1)

    def test_window_slides(self):
        """Guards against fixed windows, between which a burst is not seen."""
        self.quota.on_written(HIGH)
        self.advance(3)
        self.run_requests(50)
        self.advance(4.9)
        self.run_requests(42)
        self.assertEqual(1, len(self.violations))
        self.advance(0.2)
        self.run_requests(49)
        self.assertEqual(1, len(self.violations))

    def test_repeated_run_counts_once(self):
        """Guards against reporting requests that are retried or delivered twice."""
        self.quota.on_written(HIGH)
        for _ in range(HIGH_ALLOWANCE + 1):
            self.quota.on_run("q", self.clock.monotonic())
        self.assertEqual([], self.violations)

    def test_request_sent_before_the_window_does_not_count(self):
        """Guards against counting requests that were delayed into a window."""
        self.quota.on_written(HIGH)
        self.advance(10)
        self.run_requests(HIGH_ALLOWANCE + 9, sent_before_s=5.1)
        self.assertEqual([], self.violations)

    def test_lowered_limit_binds_a_window_after_contact_of_all(self):
        """Guards against a lowered limit that binds too early, or never."""
        self.quota.on_written(HIGH)
        self.advance(60)
        self.contact.disturb("n2")
        self.quota.on_written(LOW)
        self.advance(2.9)
        self.contact.disturb("n2")
        self.advance(3.1)
        self.advance(4.9)
        self.run_requests(HIGH_ALLOWANCE)
        self.assertEqual([], self.violations)
        self.advance(5)
        self.run_requests(LOW_ALLOWANCE)
        self.assertEqual([], self.violations)
        self.run_requests(1)
        self.assertEqual(1, len(self.violations))

    def test_raised_limit_counts_at_once(self):
        """Guards against reporting nodes that apply a raised limit."""
        self.quota.on_written(LOW)
        self.advance(60)
        self.quota.on_written(HIGH)
        self.run_requests(HIGH_ALLOWANCE)
        self.assertEqual([], self.violations)

    def test_restored_limit_counts_until_the_next_binds(self):
        """Guards against reporting nodes that apply an older limit of a restored store."""
        self.quota.on_written(HIGH)
        self.quota.on_written(LOW)
        self.quota.on_restored(HIGH)
        self.advance(60)
        self.run_requests(HIGH_ALLOWANCE)
        self.assertEqual([], self.violations)
        self.quota.on_written(LOW)
        self.advance(3.1)
        self.advance(5.1)
        self.run_requests(LOW_ALLOWANCE + 1)
        self.assertEqual(1, len(self.violations))

    def test_refusal_below_the_quota_is_reported(self):
        """Guards against overlooking 429 in the quiet phase."""
        self.quota.check_below_quota("n1", 200)
        self.quota.check_below_quota("n1", None)
        self.assertEqual([], self.violations)
        self.quota.check_below_quota("n1", 429)
        self.assertEqual(1, len(self.violations))
