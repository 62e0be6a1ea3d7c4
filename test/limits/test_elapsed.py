"""Tests of the estimate of what a caller has waited in earlier attempts."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits import elapsed
from almondshore.limits.elapsed import ElapsedEstimator

MS = timedelta(milliseconds=1)


class ElapsedEstimatorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.estimator = ElapsedEstimator(clock=self.clock)

    def test_returning_callers_are_recognised_by_their_deadline(self):
        """Guards against treating a caller that was refused before like one that just arrived."""
        for _ in range(50):
            self.assertEqual(timedelta(), self.estimator.observe("r", 1200 * MS))
            self.assertEqual(400 * MS, self.estimator.observe("r", 800 * MS))
        self.assertEqual(timedelta(), self.estimator.observe("other", 800 * MS))

    def test_deadlines_that_vary_say_nothing(self):
        """Guards against callers with short deadlines that are taken for returning ones."""
        rng = random.Random(1)
        for _ in range(200):
            self.estimator.observe("r", rng.uniform(100, 1200) * MS)
        self.assertEqual(timedelta(), self.estimator.observe("r", 300 * MS))

    def test_a_largest_deadline_of_the_past_is_forgotten(self):
        """Guards against one odd caller that makes all others look like returning ones."""
        self.estimator.observe("r", 60_000 * MS)
        for _ in range(3):
            self.clock.advance(elapsed.PERIOD + MS)
            self.estimator.observe("r", 1200 * MS)
        self.assertEqual(timedelta(), self.estimator.observe("r", 1200 * MS))

    def test_routes_are_bounded(self):
        """Guards against memory that grows with each route that ever existed."""
        for number in range(elapsed.MAX_ROUTES + 10):
            self.estimator.observe(f"r{number}", 1200 * MS)
        self.assertEqual(elapsed.MAX_ROUTES, len(self.estimator.routes))
