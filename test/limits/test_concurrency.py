"""Tests of adaptive concurrency."""

from datetime import timedelta

from testtools import TestCase

from almondshore.limits.concurrency import AdaptiveConcurrency

FAST, SLOW = timedelta(milliseconds=10), timedelta(milliseconds=100)


class AdaptiveConcurrencyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.concurrency = AdaptiveConcurrency(slots=10)

    def observe(self, latency, times, route="read"):
        for _ in range(times):
            self.concurrency.observe(route, latency)

    def test_limit_falls_with_rising_latency_and_recovers_afterwards(self):
        """Guards against a saturated target that is still given all its slots."""
        self.observe(FAST, 500)
        self.assertEqual(10, self.concurrency.limit())
        self.observe(FAST * 4, 250)
        self.assertTrue(self.concurrency.limit() <= 6, self.concurrency.limit())
        self.observe(FAST, 500)
        self.assertEqual(10, self.concurrency.limit())

    def test_limit_has_a_minimum(self):
        """Guards against a target without requests, whose latency can never be seen to improve."""
        self.observe(FAST, 500)
        self.observe(FAST * 9, 2500)
        self.assertEqual(2, self.concurrency.limit())

    def test_change_in_the_mix_of_routes_keeps_the_limit(self):
        """Guards against a lowered limit when the share of requests to a slow route rises."""
        for _ in range(50):
            self.observe(FAST, 9)
            self.observe(SLOW, 1, route="report")
        for _ in range(50):
            self.observe(FAST, 1)
            self.observe(SLOW, 9, route="report")
        self.assertEqual(10, self.concurrency.limit())

    def test_lasting_change_becomes_the_new_baseline(self):
        """Guards against a slower version that is limited to a few slots permanently."""
        self.observe(FAST, 500)
        self.observe(FAST * 4, 50 * 80)
        self.assertEqual(10, self.concurrency.limit())

    def test_number_of_tracked_routes_is_bounded(self):
        """Guards against memory use that grows with each route that was ever seen."""
        for n in range(1000):
            self.observe(FAST, 1, route=f"r{n}")
        self.assertEqual(256, len(self.concurrency.routes))
