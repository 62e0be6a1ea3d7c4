"""Tests of the request limits by tenant."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.tenants import Allowed, LimitReason, TenantLimits


class TenantLimitsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limits = TenantLimits(
            clock=self.clock, capacity=100, default_rate=10.0, default_burst=10
        )
        self.limits.configure([{"name": "bakery", "rate": 5.0, "burst": 2}])

    def reasons(self, tenant, times=1):
        results = [self.limits.take(tenant) for _ in range(times)]
        return [None if isinstance(result, Allowed) else result.reason for result in results]

    def test_limit_and_refill(self):
        """Guards against one tenant that uses up the capacity all tenants share."""
        limited = LimitReason.TENANT_LIMITED
        self.assertEqual([None, None, limited], self.reasons("bakery", 3))
        self.assertEqual(timedelta(seconds=0.2), self.limits.take("bakery").retry_after)
        self.clock.advance(timedelta(seconds=0.2))
        self.assertEqual([None, limited], self.reasons("bakery", 2))

    def test_full_table_refuses_only_new_tenants(self):
        """Guards against made-up tenant names that fill memory or lock out known tenants."""
        for n in range(1000):
            self.limits.take(f"made-up-{n}")
        self.assertEqual(100, len(self.limits.unconfigured))
        self.assertEqual([LimitReason.TABLE_FULL], self.reasons("new"))
        self.assertEqual([None], self.reasons("made-up-5"))
        self.assertEqual([None], self.reasons("bakery"))

    def test_full_buckets_are_evicted(self):
        """Guards against a table that stays full after a flood of made-up names has ended."""
        for n in range(100):
            self.limits.take(f"made-up-{n}")
        self.clock.advance(timedelta(seconds=0.2))
        self.assertEqual([None], self.reasons("new"))
        self.assertEqual(100, len(self.limits.unconfigured))

    def test_used_up_bucket_is_not_evicted(self):
        """Guards against a tenant that regains its burst because its bucket was evicted."""
        self.reasons("greedy", 10)
        for n in range(99):
            self.limits.take(f"made-up-{n}")
        self.clock.advance(timedelta(seconds=0.2))
        for n in range(500):
            self.limits.take(f"other-{n}")
        self.assertIn(LimitReason.TENANT_LIMITED, self.reasons("greedy", 3))

    def test_unchanged_limit_keeps_its_bucket(self):
        """Guards against refilling all buckets at each of 10,000 configuration changes a day."""
        self.reasons("bakery", 2)
        self.limits.configure([{"name": "bakery", "rate": 5.0, "burst": 2}])
        self.assertEqual([LimitReason.TENANT_LIMITED], self.reasons("bakery"))

    def test_long_names_take_bounded_space(self):
        """Guards against long tenant names that take up megabytes of memory."""
        self.limits.take("x" * 10_000)
        self.assertTrue(max(map(len, self.limits.unconfigured)) <= 64)
