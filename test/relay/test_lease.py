"""Tests of leases and the detection of expired ones."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import RelayEntry
from almondshore.relay.lease import (
    RELAY_LEASE_PREFIX,
    Held,
    HeldElsewhere,
    Lease,
    Unknown,
    relay_lease_key,
)
from almondshore.relay.lease_monitor import LeaseMonitor
from almondshore.relay.table import RelayTable, vacancy
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

KEY = relay_lease_key("zone-a", 0)


class LeaseTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)
        self.platform = MemoryPlatform(store=self.store)
        self.first = self.make("first")
        self.second = self.make("second")

    def make(self, holder, clock=None):
        clock = clock or self.clock
        return Lease(platform=self.platform, key=KEY, holder=holder, clock=clock)

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))


class LeaseTest(LeaseTestCase):
    def test_only_one_holds_and_renewal_is_one_call(self):
        """Guards against two holders, and against more than one write for each renewal."""
        self.assertEqual(Held(1), self.first.acquire_or_renew())
        self.assertIsInstance(self.second.acquire_or_renew(), HeldElsewhere)
        before = dict(self.store.counts)
        self.assertEqual(Held(1), self.first.acquire_or_renew())
        self.assertEqual(before["read"], self.store.counts["read"])
        self.assertEqual(before["write"] + 1, self.store.counts["write"])

    def test_paused_holder_finds_a_higher_epoch(self):
        """Guards against a holder that acts on a lease that expired while it was paused."""
        self.first.acquire_or_renew()
        self.advance(18)
        self.assertFalse(self.first.held)
        self.assertEqual(Held(2), self.second.acquire_or_renew())
        result = self.first.acquire_or_renew()
        self.assertEqual("second", result.record.holder)
        self.assertEqual((False, 0), (self.first.held, self.first.epoch))
        table = RelayTable()
        table.merge([RelayEntry("zone-a", 0, "second", 2)])
        self.assertFalse(table.merge([RelayEntry("zone-a", 0, "first", 1)]))

    def test_acquisition_whose_response_was_lost_is_recognised(self):
        """Guards against a lease that stays unused until it expires, and a wasted epoch."""
        self.store.fault = Fault.LOSE_ANSWERS
        self.assertIsInstance(self.first.acquire_or_renew(), Unknown)
        self.assertFalse(self.first.held)
        self.store.fault = Fault.NONE
        self.assertEqual(Held(1), self.first.acquire_or_renew())
        self.assertTrue(self.first.held)

    def test_renewal_whose_response_was_lost_is_recognised(self):
        """Guards against a holder that mistakes its own renewal for another holder's."""
        self.first.acquire_or_renew()
        self.store.fault = Fault.LOSE_ANSWERS
        self.first.acquire_or_renew()
        self.store.fault = Fault.NONE
        self.assertEqual(Held(1), self.first.acquire_or_renew())
        self.assertEqual(Held(1), self.first.acquire_or_renew())

    def test_restarted_holder_takes_a_new_epoch(self):
        """Guards against a restarted process that continues the epoch of its former process."""
        self.first.acquire_or_renew()
        self.assertEqual(Held(2), self.make("first").acquire_or_renew())
        self.assertIsInstance(self.first.acquire_or_renew(), HeldElsewhere)

    def test_a_wrong_wall_clock_only_delays_the_takeover(self):
        """Guards against a lease that never expires because its holder's clock is ahead."""
        ahead = ManualClock(start=self.clock.start + timedelta(days=1))
        self.make("first", ahead).acquire_or_renew()
        self.assertIsInstance(self.second.acquire_or_renew(), HeldElsewhere)
        self.advance(15)
        self.assertEqual(Held(2), self.second.acquire_or_renew())

    def test_released_lease_can_be_acquired_after_the_clock_skew(self):
        """Guards against a zone without a relay until the lease expires after a shutdown."""
        self.first.acquire_or_renew()
        self.first.release()
        self.advance(3)
        self.assertEqual(Held(2), self.second.acquire_or_renew())


class LeaseMonitorTest(LeaseTestCase):
    def setUp(self):
        super().setUp()
        self.table = RelayTable()
        self.lease_monitor = LeaseMonitor(clock=self.clock, table=self.table)

    def live(self):
        leases = self.platform.list(RELAY_LEASE_PREFIX).unwrap()
        return [entry.address for entry in self.lease_monitor.update(leases)]

    def test_expired_lease_is_not_restored_by_a_late_message(self):
        """Guards against a late message that restores a relay that has gone."""
        self.first.acquire_or_renew()
        self.assertEqual(["first"], self.live())
        self.advance(15)
        self.assertEqual([], self.live())
        self.table.merge([RelayEntry("zone-a", 0, "first", 1)])
        self.assertEqual([], self.table.addresses())
        self.table.merge([RelayEntry("zone-a", 0, "second", 2)])
        self.assertEqual(["second"], self.table.addresses())

    def test_leases_get_time_to_be_renewed_after_an_outage(self):
        """Guards against removing all relays when the platform recovers from an outage."""
        self.first.acquire_or_renew()
        self.live()
        self.advance(600)
        self.lease_monitor.on_list_failure()
        self.assertEqual(["first"], self.live())

    def test_the_table_is_bounded(self):
        """Guards against memory that grows with the number of zone names in messages."""
        table = RelayTable(max_relays=3)
        table.merge([RelayEntry(f"zone-{n}", 0, "a", 1) for n in range(9)])
        table.merge([vacancy("zone-0", 0, 1)])
        self.assertEqual(3, len(table.entries))
        self.assertTrue(table.is_vacant("zone-0", 0, 1))
