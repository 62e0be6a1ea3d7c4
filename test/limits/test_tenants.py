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
        answers = [self.limits.take(tenant) for _ in range(times)]
        return [None if isinstance(answer, Allowed) else answer.reason for answer in answers]

    def test_limit_and_refill(self):
        """Guards against one tenant using up what all share."""
        limited = LimitReason.TENANT_LIMITED
        self.assertEqual([None, None, limited], self.reasons("bakery", 3))
        self.assertEqual(timedelta(seconds=0.2), self.limits.take("bakery").retry_after)
        self.clock.advance(timedelta(seconds=0.2))
        self.assertEqual([None, limited], self.reasons("bakery", 2))

    def test_full_table_refuses_only_new_identities(self):
        """Guards against made-up tenant names filling memory or locking known tenants out."""
        for n in range(1000):
            self.limits.take(f"made-up-{n}")
        self.assertEqual(100, len(self.limits.others))
        self.assertEqual([LimitReason.TABLE_FULL], self.reasons("new"))
        self.assertEqual([None], self.reasons("made-up-5"))
        self.assertEqual([None], self.reasons("bakery"))

    def test_buckets_at_capacity_make_room(self):
        """Guards against a table that stays full after a flood has ended."""
        for n in range(100):
            self.limits.take(f"made-up-{n}")
        self.clock.advance(timedelta(seconds=0.2))
        self.assertEqual([None], self.reasons("new"))
        self.assertEqual(100, len(self.limits.others))

    def test_eviction_never_forgives_a_used_up_bucket(self):
        """Guards against a tenant that renews its burst by having itself evicted."""
        self.reasons("greedy", 10)
        for n in range(99):
            self.limits.take(f"made-up-{n}")
        self.clock.advance(timedelta(seconds=0.2))
        for n in range(500):
            self.limits.take(f"other-{n}")
        self.assertIn(LimitReason.TENANT_LIMITED, self.reasons("greedy", 3))

    def test_unchanged_limit_keeps_its_bucket(self):
        """Guards against each of 10,000 configuration changes a day refilling all buckets."""
        self.reasons("bakery", 2)
        self.limits.configure([{"name": "bakery", "rate": 5.0, "burst": 2}])
        self.assertEqual([LimitReason.TENANT_LIMITED], self.reasons("bakery"))

    def test_long_names_take_bounded_space(self):
        """Guards against megabytes of memory by way of long tenant names."""
        self.limits.take("x" * 10_000)
        self.assertTrue(max(map(len, self.limits.others)) <= 64)
