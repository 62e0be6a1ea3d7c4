"""Tests of outlier ejection."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.routing.outlier import OutlierEjector


class OutlierTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ejector = OutlierEjector(clock=self.clock)
        self.ejector.set_group("s", ["a", "b", "c", "d", "e"])

    def fail(self, name, times=5):
        return [self.ejector.record(name, False) for _ in range(times)]

    def ejected(self):
        now_s = self.clock.monotonic().total_seconds()
        return {name for name in "abcde" if self.ejector.is_ejected(name, now_s)}

    def test_never_more_than_half_is_ejected(self):
        """Guards against a common fault that ejects all targets of a service."""
        for name in "abcde":
            self.fail(name, 30)
        self.assertEqual({"a", "b"}, self.ejected())

    def test_limit_holds_when_the_group_shrinks(self):
        """Guards against ejected targets outnumbering the rest after others have left."""
        self.fail("a")
        self.fail("b")
        self.ejector.set_group("s", ["a", "b", "c"])
        self.assertEqual(1, len(self.ejected()))

    def test_single_target_is_never_ejected(self):
        """Guards against a service whose only target is ejected, so that all requests fail."""
        self.ejector.set_group("t", ["only"])
        self.fail("only", 30)
        self.assertFalse(self.ejector.is_ejected("only", 0.0))

    def test_success_resets_the_count_of_failures(self):
        """Guards against ejecting a target for failures that are hours apart."""
        self.fail("a", 4)
        self.ejector.record("a", True)
        self.assertNotIn(True, self.fail("a", 4))

    def test_high_error_rate_ejects_without_consecutive_failures(self):
        """Guards against keeping a target that fails two of three requests, never five in a row."""
        for _ in range(10):
            self.fail("a", 2)
            self.ejector.record("a", True)
        self.assertEqual({"a"}, self.ejected())

    def test_target_that_still_fails_is_ejected_for_longer(self):
        """Guards against a dead target that gets five requests after each ejection."""
        self.fail("a")
        self.clock.advance(timedelta(seconds=6))
        self.assertEqual(set(), self.ejected())
        self.assertEqual([True], self.fail("a", 1))
        self.clock.advance(timedelta(seconds=6))
        self.assertEqual({"a"}, self.ejected())
