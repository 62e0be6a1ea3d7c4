"""Tests of the shares of tenants and kinds of requests at one target."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.shares import MAX_TENANTS, MEMORY, UPDATE_INTERVAL, ServiceShares, Share

SERVICE_TIME = timedelta(milliseconds=100)


class ServiceSharesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.shares = ServiceShares(clock=self.clock)

    def record(self, share, *, offered, started):
        for number in range(offered):
            self.shares.record_offer(share)
            if number < started:
                self.shares.record_start(share, SERVICE_TIME)

    def rank(self, share):
        """Return the rank after the next update."""
        self.clock.advance(UPDATE_INTERVAL)
        self.shares.record_offer(Share("other", 1, "other"))
        return self.shares.rank(share)

    def test_tenant_over_its_share_ranks_behind(self):
        """Guards against a tenant that gets most slots because it sends the most requests."""
        for number in range(10):
            self.record(Share("r", 1, f"t{number}"), offered=4, started=4)
        self.record(Share("r", 1, "busy"), offered=60, started=60)
        self.assertEqual((1, 0), self.rank(Share("r", 1, "t1")))
        urgency, behind = self.rank(Share("r", 1, "busy"))
        self.assertEqual(1, urgency)
        self.assertTrue(behind > 0, behind)

    def test_tenant_with_a_larger_quota_has_a_larger_share(self):
        """Guards against a large tenant that is starved within its quota."""
        self.shares.set_weights({f"t{number}": 4.0 for number in range(10)} | {"large": 60.0})
        for number in range(10):
            self.record(Share("r", 1, f"t{number}"), offered=4, started=4)
        self.record(Share("r", 1, "large"), offered=60, started=60)
        self.assertEqual((1, 0), self.rank(Share("r", 1, "large")))

    def test_single_request_of_a_rare_tenant(self):
        """Guards against a tenant that ranks behind for seconds because of one request."""
        self.shares.set_weights({"large": 100.0, "rare": 0.1})
        self.record(Share("r", 1, "large"), offered=50, started=50)
        self.record(Share("r", 1, "rare"), offered=1, started=1)
        self.assertEqual((1, 0), self.rank(Share("r", 1, "rare")))

    def test_starved_kind_ranks_first(self):
        """Guards against a kind of request, or a tenant, that gets no slot at all."""
        self.record(Share("urgent", 0, "a"), offered=50, started=40)
        self.record(Share("routine", 2, "b"), offered=20, started=1)
        self.assertEqual((0, 0), self.rank(Share("routine", 2, "b")))
        self.record(Share("routine", 2, "b"), offered=20, started=20)
        self.assertEqual((2, 0), self.rank(Share("routine", 2, "b")))

    def test_few_refusals_are_no_starvation(self):
        """Guards against routine requests that go before urgent ones by chance."""
        self.record(Share("urgent", 0, "a"), offered=50, started=40)
        self.record(Share("routine", 2, "b"), offered=4, started=0)
        self.assertEqual((2, 0), self.rank(Share("routine", 2, "b")))

    def test_counts_are_forgotten(self):
        """Guards against a tenant that stays behind for what it got long ago."""
        for number in range(10):
            self.record(Share("r", 1, f"t{number}"), offered=4, started=4)
        self.record(Share("r", 1, "busy"), offered=60, started=60)
        for _ in range(100):
            self.clock.advance(MEMORY)
            self.record(Share("r", 1, "t1"), offered=20, started=20)
        self.assertEqual((1, 0), self.rank(Share("r", 1, "busy")))
        self.assertNotIn("t2", self.shares.tenants)

    def test_bounded_tenants(self):
        """Guards against memory that grows with the names of tenants."""
        for number in range(MAX_TENANTS + 100):
            self.record(Share("r", 1, f"t{number}"), offered=1, started=1)
        self.assertEqual(MAX_TENANTS, len(self.shares.tenants))

    def test_requests_without_a_tenant_keep_their_urgency(self):
        """Guards against another order where the configuration has no tenants."""
        self.record(Share("urgent", 0, ""), offered=50, started=50)
        self.record(Share("routine", 2, ""), offered=50, started=0)
        self.assertEqual((2, 0), self.rank(Share("routine", 2, "")))

    def test_hours_without_a_request(self):
        """Guards against a target that refuses tenants for good after an hour without requests.

        The factor of a new count overflowed once the last scaling was 59 minutes ago, and counts
        that had almost decayed to 0 were used as divisors.
        """
        for idle_s in (3000, 3500, *range(3600, 3800, 5), 86_400):
            self.shares = ServiceShares(clock=self.clock)
            self.shares.set_weights({"a": 100.0, "b": 100.0})
            self.record(Share("r", 1, "a"), offered=50, started=50)
            self.clock.advance(timedelta(seconds=idle_s))
            self.assertEqual((1, 0), self.rank(Share("r", 1, "a")), idle_s)
            self.record(Share("r", 1, "b"), offered=1, started=1)
            self.assertEqual((1, 0), self.rank(Share("r", 1, "b")), idle_s)
