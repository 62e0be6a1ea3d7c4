"""Tests of the checks of evacuations and of contact that the soak makes."""

from datetime import timedelta
from types import SimpleNamespace

from testtools import TestCase

from almondshore.core.clock import ManualClock
from soak.contact import ContactTracker
from soak.evacuations import Evacuations
from standins.mesh_platform import StoreStandIn

# One in contact, one that was never in contact, one in another zone.
HOSTS = (("n1", "a"), ("n2", "a"), ("n1", "b"))


class EvacuationsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.contact = ContactTracker(clock=self.clock)
        self.store = StoreStandIn()
        self.violations = []
        self.evacuations = Evacuations(
            clock=self.clock, store=self.store, contact=self.contact, violations=self.violations
        )
        self.contact.disturb("n1")
        self.advance(60)

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def run_request(self, zone="a"):
        self.evacuations.on_run("n1", zone, "t1", "q1")

    def test_run_in_an_evacuated_zone_is_reported(self):
        """Guards against overlooking a request that reaches an evacuated zone too late."""
        self.evacuations.begin("a")
        self.advance(5.4)
        self.run_request()
        self.assertEqual([], self.violations)
        self.advance(0.2)
        self.run_request("b")
        self.assertEqual([], self.violations)
        self.run_request()
        self.assertEqual(1, len(self.violations))

    def test_run_from_a_node_out_of_contact_is_not_reported(self):
        """Guards against reporting nodes that could not learn of the evacuation."""
        self.evacuations.begin("a")
        self.advance(60)
        self.contact.disturb("n1")
        self.advance(2.9)
        self.run_request()
        self.assertEqual([], self.violations)

    def test_run_after_the_removal_is_not_reported(self):
        """Guards against a check that does not see the end of an evacuation."""
        self.evacuations.begin("a")
        self.advance(8)
        self.evacuations.end("a")
        self.run_request()
        self.assertEqual([], self.violations)

    def test_time_in_which_evacuations_are_checked_is_measured(self):
        """Guards against runs that pass because no node in contact was ever checked."""
        hosts = [SimpleNamespace(name=name, zone=zone) for name, zone in HOSTS]
        self.evacuations.begin("a")
        for _ in range(80):
            self.advance(0.1)
            self.evacuations.sample(hosts)
        self.assertAlmostEqual(2.5, self.evacuations.checked_s, delta=0.11)

    def test_evacuation_lost_in_a_restore_counts_from_its_next_write(self):
        """Guards against reporting runs while the store has lost an evacuation."""
        self.evacuations.begin("a")
        self.advance(30)
        self.store.restore(revision=1)
        self.evacuations.on_restored()
        self.run_request()
        self.evacuations.write_again()
        self.advance(5.4)
        self.run_request()
        self.assertEqual([], self.violations)
        self.advance(0.2)
        self.run_request()
        self.assertEqual(1, len(self.violations))

    def test_evacuation_that_a_restore_brings_back_is_removed(self):
        """Guards against an ended evacuation that a restore puts into force for good."""
        self.evacuations.begin("a")
        revision = self.store.revision
        self.evacuations.end("a")
        self.store.restore(revision=revision)
        self.evacuations.on_restored()
        self.assertEqual({"a"}, set(self.evacuations.since))
        self.evacuations.write_again()
        self.assertEqual({}, self.evacuations.since)
        self.assertEqual({}, self.store.objects["evacuations"])

    def test_zone_that_serves_nothing_after_its_evacuation_is_reported(self):
        """Guards against overlooking a zone that never returns to service."""
        self.evacuations.begin("a")
        self.run_request()
        self.evacuations.end("a")
        self.evacuations.reset_runs()
        self.run_request("b")
        self.evacuations.check_returned()
        self.assertEqual(1, len(self.violations))
        self.run_request()
        self.evacuations.check_returned()
        self.assertEqual(1, len(self.violations))


class ContactTrackerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.contact = ContactTracker(clock=self.clock)
        self.host = SimpleNamespace(name="n1", has_contact=lambda: self.undisturbed)
        self.undisturbed = True
        self.reachable = True

    def sample(self, seconds, step_s=0.05):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(timedelta(seconds=step_s))
            self.contact.sample([self.host], store_reachable=self.reachable)

    def test_node_is_in_contact_after_an_undisturbed_time(self):
        """Guards against nodes that never count as in contact, so that no check applies."""
        self.contact.disturb("n1")
        self.sample(2.9)
        self.assertFalse(self.contact.in_contact("n1"))
        self.sample(0.1)
        self.assertTrue(self.contact.in_contact("n1"))
        self.assertFalse(self.contact.in_contact("n2"))

    def test_disturbances_end_the_contact(self):
        """Guards against holding a node to a rule while a fault concerns it."""

        def disturb_node():
            self.undisturbed = False

        def disturb_store():
            self.reachable = False

        for disturb in (disturb_node, disturb_store):
            self.contact.disturb("n1")
            self.undisturbed = self.reachable = True
            self.sample(3)
            disturb()
            self.sample(0.05)
            self.assertFalse(self.contact.in_contact("n1"))

    def test_stall_of_the_soak_ends_the_contact(self):
        """Guards against reporting nodes while the process with the store does not run."""
        self.contact.disturb("n1")
        self.sample(3)
        self.sample(0.35, step_s=0.35)
        self.assertFalse(self.contact.in_contact("n1"))
