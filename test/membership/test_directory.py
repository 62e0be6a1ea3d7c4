"""Tests of the directory of targets."""

import random
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import ALL_ZONES, TargetState
from almondshore.membership.directory import Directory
from test.membership.records import make_record


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = Directory(clock=self.clock)

    def test_late_up_does_not_revive_a_leaving_or_dead_target(self):
        """Guards I8 against an old announcement that arrives after the drain."""
        self.directory.merge([make_record("t1", state=TargetState.LEAVING)])
        self.assertEqual([], self.directory.merge([make_record("t1")]))
        self.assertEqual((), self.directory.lookup("counter-app", "v1"))
        self.directory.declare_dead("node-t1")
        self.assertEqual([], self.directory.merge([make_record("t1")]))

    def test_higher_incarnation_revives(self):
        """Guards against a target that was declared dead by mistake and cannot return."""
        self.directory.merge([make_record("t1", state=TargetState.DEAD)])
        self.directory.merge([make_record("t1", incarnation=2)])
        self.assertEqual(1, len(self.directory.lookup("counter-app", "v1")))

    def test_tombstone_outlives_a_partition_of_an_hour(self):
        """Guards against the other side of a partition restoring targets that died on this side."""
        self.directory.merge([make_record("t1")])
        self.directory.declare_dead("node-t1")
        self.clock.advance(timedelta(minutes=70))
        self.directory.expire()
        self.assertEqual([], self.directory.merge([make_record("t1")]))
        self.clock.advance(timedelta(hours=1))
        self.directory.expire()
        self.assertEqual({}, self.directory.records)

    def test_the_bound_refuses_unknown_targets_only(self):
        """Guards against memory that grows with the number of announced names."""
        directory = Directory(clock=self.clock, max_records=2)
        directory.merge([make_record(f"t{n}") for n in range(3)])
        directory.merge([make_record("t0", incarnation=2)])
        self.assertEqual({"t0", "t1"}, directory.records.keys())
        self.assertEqual(2, directory.records["t0"].incarnation)
        self.assertEqual(1, directory.refused)

    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.integers())
    def test_replicas_converge_in_any_order(self, number):
        """Guards against replicas that differ after the same records in different orders."""
        rng = random.Random(number)
        records = [
            make_record(
                f"t{rng.randint(0, 3)}",
                node=rng.choice(["n1", "n2"]),
                version=rng.choice(["v1", "v2"]),
                zone=rng.choice(["zone-a", "zone-b"]),
                incarnation=rng.randint(1, 3),
                state=rng.choice(list(TargetState)),
            )
            for _ in range(20)
        ]
        other = Directory(clock=self.clock)
        self.directory = Directory(clock=self.clock)
        self.directory.merge(records)
        for record in rng.sample(records * 2, 40):
            other.merge([record])
        self.assertEqual(self.directory.records, other.records)
        self.assertEqual(self.directory.digests(), other.digests())
        self.assertEqual([], self.directory.differing_zones(other.digests()))
        live = [r for r in other.records.values() if r.state is not TargetState.DEAD]
        self.assertEqual(bool(live), other.digest()[ALL_ZONES] != 0)
        for record in live:
            up = record.state is TargetState.UP
            self.assertEqual(up, record in other.lookup(record.service, record.version))
