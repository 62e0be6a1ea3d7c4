"""Tests of what a node makes of the announcements of its target."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.local import AnnouncementResult, LocalTarget
from almondshore.mesh.model import TargetState
from test.mesh.samples import announcement, target

DRAIN = timedelta(seconds=2)
READY, DRAINING = TargetState.READY, TargetState.DRAINING


class LocalTargetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.local = LocalTarget(clock=self.clock, node=("10.0.0.1", 1), drain=DRAIN)
        self.local.store_read = True

    def test_new_process_knows_no_target(self):
        """Guards against work for a target whose leaving the former process acknowledged."""
        self.assertFalse(self.local.accepts_requests())
        self.local.announce(announcement())
        self.assertTrue(self.local.accepts_requests())

    def test_leaving_target_gets_no_work_well_before_the_bound(self):
        """Guards against requests that reach a target after its drain time."""
        self.local.announce(announcement())
        self.local.announce(announcement(sequence=2, state=DRAINING))
        self.assertTrue(self.local.accepts_requests())
        self.clock.advance(DRAIN * 0.4)
        self.assertFalse(self.local.accepts_requests())
        self.local.enforce_drain()
        self.assertFalse(self.local.queue.closed)
        self.clock.advance(DRAIN * 0.3)
        self.local.enforce_drain()
        self.assertTrue(self.local.queue.closed)

    def test_late_announcements_do_not_call_a_target_back(self):
        """Guards against an announcement that was delayed until after the drain."""
        self.local.announce(announcement(sequence=5, state=DRAINING))
        self.assertEqual(AnnouncementResult.OUTDATED, self.local.announce(announcement(sequence=4)))
        self.local.announce(announcement(sequence=6, state=READY))
        self.assertEqual(DRAINING, self.local.record().state)
        self.clock.advance(DRAIN)
        self.assertFalse(self.local.accepts_requests())

    def test_departed_target_stays_away(self):
        """Guards against a heartbeat that crosses the notice of departure."""
        self.local.announce(announcement())
        self.assertFalse(self.local.deregister("other", 1000))
        self.assertTrue(self.local.deregister("t1", 1000))
        self.local.announce(announcement(sequence=9))
        self.clock.advance(DRAIN)
        self.assertFalse(self.local.accepts_requests())

    def test_departure_before_any_announcement_binds(self):
        """Guards against a restarted node that forgets a departure it acknowledged."""
        self.assertFalse(self.local.deregister("t1", 1000))
        self.clock.advance(DRAIN * 0.9)
        self.local.announce(announcement())
        self.assertEqual(DRAINING, self.local.record().state)
        self.assertFalse(self.local.accepts_requests())
        self.local.enforce_drain()
        self.assertTrue(self.local.queue.closed)
        self.local.announce(announcement(born_ms=2000))
        self.assertTrue(self.local.accepts_requests())

    def test_process_without_the_store_waits_before_it_uses_a_target(self):
        """Guards against a target that is used after a former process acknowledged its leaving."""
        self.local.store_read = False
        self.local.announce(announcement())
        self.assertFalse(self.local.accepts_requests())
        self.clock.advance(DRAIN * 1.6)
        self.assertTrue(self.local.accepts_requests())

    def test_stored_departure_binds_the_next_process(self):
        """Guards against a departure that is forgotten with the process that took it."""
        gone = target("t1", node=("10.0.0.1", 1), state=TargetState.GONE)
        self.local.apply_stored_entry(gone._replace(node=("10.0.0.2", 1)))
        self.local.announce(announcement())
        self.assertEqual(READY, self.local.record().state)
        self.local.apply_stored_entry(gone)
        self.local.announce(announcement(sequence=2))
        self.assertEqual(DRAINING, self.local.record().state)
        self.assertFalse(self.local.accepts_requests())

    def test_own_entry_does_not_shorten_the_drain(self):
        """Guards against waiting requests that are refused as soon as the entry is written."""
        self.local.announce(announcement(state=DRAINING))
        self.local.apply_stored_entry(self.local.record())
        self.assertTrue(self.local.accepts_requests())
        self.assertEqual(DRAINING, self.local.record().state)

    def test_new_incarnation_under_the_same_name_starts_afresh(self):
        """Guards against a restarted target that inherits the drain of the former one."""
        self.local.announce(announcement(sequence=7, state=DRAINING))
        reborn = announcement(sequence=1, born_ms=5000)
        self.assertEqual(AnnouncementResult.ACCEPTED, self.local.announce(reborn))
        self.clock.advance(DRAIN)
        self.assertTrue(self.local.accepts_requests())
        outdated = self.local.announce(announcement(sequence=99, born_ms=1000))
        self.assertEqual(AnnouncementResult.OUTDATED, outdated)

    def test_unchanged_announcements_are_not_worth_a_write(self):
        """Guards against a store call for each heartbeat."""
        self.assertEqual(AnnouncementResult.ACCEPTED, self.local.announce(announcement()))
        self.assertEqual(
            AnnouncementResult.UNCHANGED, self.local.announce(announcement(sequence=2))
        )
