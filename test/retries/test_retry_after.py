"""Tests of the time after which refused callers should return."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.retries.retry_after import MIN_RETRY_AFTER, retry_after

MS = timedelta(milliseconds=1)
ZERO = timedelta()


class RetryAfterTest(TestCase):
    def wait(self, stated=ZERO, slack=None, time_left=10_000):
        rng = random.Random(1)
        waits = [
            retry_after(rng=rng, stated=stated, slack=slack, time_left=time_left * MS) / MS
            for _ in range(200)
        ]
        return min(waits), max(waits)

    def test_callers_return_while_they_can_still_be_on_time(self):
        """Guards against returns that are too late to count, in an overload that lasts."""
        least, most = self.wait(stated=400 * MS, slack=350 * MS)
        self.assertTrue(least > 130 and most <= 210, (least, most))

    def test_callers_that_cannot_be_on_time_wait_for_room(self):
        """Guards against a second refusal while the queue of the target is still full."""
        for slack in (-100 * MS, 10 * MS):
            least, most = self.wait(stated=400 * MS, slack=slack)
            self.assertTrue(least >= 400 and most <= 600, (least, most))

    def test_early_return_is_not_asked_for_while_no_target_is_known(self):
        """Guards against using the only return of a caller before a target can have come back."""
        least, _ = self.wait(slack=None)
        self.assertTrue(least >= 250, least)

    def test_waits_are_spread_and_bounded_by_the_deadline(self):
        """Guards against callers that all return at once, or when it is too late."""
        least, most = self.wait(stated=100 * MS)
        self.assertTrue(most - least > 30, (least, most))
        self.assertEqual(60.0, self.wait(stated=900 * MS, time_left=200)[1])
        self.assertEqual(MIN_RETRY_AFTER / MS, self.wait(stated=900 * MS, time_left=20)[1])
