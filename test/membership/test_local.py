"""Tests of a node's local targets."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import TargetState
from almondshore.membership.local import LocalTargets


class LocalTargetsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.local = self.make_local()

    def make_local(self):
        return LocalTargets(
            clock=self.clock, node="n1", zone="zone-a", address="a:1", control="a:2", max_targets=2
        )

    def announce(self, target="t1", **changes):
        arguments = {"target": target, "service": "counter-app", "version": "v1", "slots": 10}
        return self.local.announce(**{**arguments, **changes})

    def test_only_changes_are_reported_and_raise_the_incarnation(self):
        """Guards against control traffic for each unchanged announcement."""
        first = self.announce()[0]
        self.assertEqual([], self.announce())
        second = self.announce(slots=5)[0]
        self.assertGreater(second.incarnation, first.incarnation)

    def test_silent_target_is_declared_dead(self):
        """Guards against routing to a target whose process ended without deregistering."""
        self.announce()
        self.clock.advance(timedelta(seconds=6))
        self.assertEqual([], self.local.tick())
        self.clock.advance(timedelta(seconds=1))
        self.assertEqual([TargetState.DEAD], [record.state for record in self.local.tick()])
        self.assertEqual([], self.local.tick())

    def test_repeated_announcement_does_not_end_a_drain(self):
        """Guards I8 against a draining target that keeps announcing itself and gets new work."""
        self.announce()
        self.assertEqual(TargetState.LEAVING, self.local.drain("t1")[0].state)
        self.assertEqual([], self.announce())
        self.assertEqual(TargetState.LEAVING, self.local.records()[0].state)

    def test_target_declared_dead_by_mistake_comes_back(self):
        """Guards against a live target that remains dead in all directories."""
        record = self.announce()[0]
        corrected = self.local.correct(record._replace(state=TargetState.DEAD))
        self.assertEqual(record.incarnation + 1, corrected[0].incarnation)
        self.assertEqual(TargetState.UP, corrected[0].state)
        self.assertEqual([], self.local.correct(corrected[0]))

    def test_records_of_a_restarted_node_supersede_older_ones(self):
        """Guards against records of a restarted node that its former records supersede."""
        old = self.announce()[0]
        self.local = self.make_local()
        self.assertEqual([], self.local.correct(old))
        new = self.announce(version="v2")[0]
        raised = (self.local.correct(old) or [new])[0]
        self.assertGreater(raised.incarnation, old.incarnation)
        self.assertEqual("v2", raised.version)

    def test_record_of_a_vanished_target_is_declared_dead_after_the_start(self):
        """Guards against stale records of a target that ended while its node was down."""
        old = self.announce()[0]
        self.local = self.make_local()
        self.clock.advance(timedelta(seconds=7))
        self.assertEqual(TargetState.DEAD, self.local.correct(old)[0].state)

    def test_the_bound_refuses_further_targets(self):
        """Guards against memory that grows when a target announces itself under many names."""
        for name in ("t1", "t2", "t3"):
            self.announce(name)
        self.assertEqual({"t1", "t2"}, self.local.targets.keys())
