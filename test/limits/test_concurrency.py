"""Tests of adaptive concurrency."""

from datetime import timedelta

from testtools import TestCase

from almondshore.limits.concurrency import AdaptiveConcurrency

FAST, SLOW = timedelta(milliseconds=10), timedelta(milliseconds=100)


class AdaptiveConcurrencyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.control = AdaptiveConcurrency(slots=10)

    def observe(self, latency, times, route="read"):
        for _ in range(times):
            self.control.observe(route, latency)

    def test_rising_latency_lowers_the_slots_and_calm_restores_them(self):
        """Guards against a target that is pushed further once it is saturated."""
        self.observe(FAST, 500)
        self.assertEqual(10, self.control.limit())
        self.observe(FAST * 4, 250)
        self.assertTrue(self.control.limit() <= 6, self.control.limit())
        self.observe(FAST, 500)
        self.assertEqual(10, self.control.limit())

    def test_limit_has_a_minimum(self):
        """Guards against a target that gets no requests and can show no better latency."""
        self.observe(FAST, 500)
        self.observe(FAST * 9, 2500)
        self.assertEqual(2, self.control.limit())

    def test_change_in_the_mix_of_routes_is_no_overload(self):
        """Guards against fewer slots because slow reports replace fast reads."""
        for _ in range(50):
            self.observe(FAST, 9)
            self.observe(SLOW, 1, route="report")
        for _ in range(50):
            self.observe(FAST, 1)
            self.observe(SLOW, 9, route="report")
        self.assertEqual(10, self.control.limit())

    def test_lasting_change_becomes_the_new_floor(self):
        """Guards against a slower version being held at few slots for ever."""
        self.observe(FAST, 500)
        self.observe(FAST * 4, 50 * 80)
        self.assertEqual(10, self.control.limit())

    def test_routes_are_bounded(self):
        """Guards against memory growing with the routes that come and go."""
        for n in range(1000):
            self.observe(FAST, 1, route=f"r{n}")
        self.assertEqual(256, len(self.control.routes))
