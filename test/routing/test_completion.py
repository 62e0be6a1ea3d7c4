"""Tests of the choice of a target by expected completion."""

import random
from collections import Counter
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.model import LoadReport, Target, TargetState
from almondshore.routing.completion import CompletionChooser

OBJECTIVE = timedelta(milliseconds=600)


def target(name, zone="a", slots=9):
    return Target(name, "s", "v1", zone, slots, TargetState.READY, (name, 1), 1, 1)


def make_report(running=0, waiting=0, ms=100, failures=0.0, leaving=False):
    return LoadReport(running, waiting, 9, timedelta(milliseconds=ms), failures, leaving)


class CompletionChooserTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.chooser = CompletionChooser(clock=self.clock, rng=random.Random(1), zone="a")

    def receive_report(self, name, **fields):
        self.chooser.started(name)
        self.chooser.finished(name, "r", make_report(**fields))

    def count(self, targets, times=200, **fields):
        return Counter(
            self.chooser.choose(targets, route="r", objective=OBJECTIVE, **fields).target
            for _ in range(times)
        )

    def test_own_zone_is_preferred_until_it_is_full(self):
        """Guards against traffic between zones that does not shorten the response time."""
        near, far = target("near"), target("far", zone="b")
        for name in ("near", "far"):
            self.receive_report(name)
        self.assertEqual({"near": 200}, self.count([near, far]))
        self.receive_report("near", running=9, waiting=36)
        self.assertEqual({"far": 200}, self.count([near, far]))

    def test_large_responses_come_from_hosts_with_wide_links(self):
        """Guards against downloads that wait for the narrowest link of a zone.

        The links of a deployment differ by up to 20 times. A target on this host uses none.
        """
        self.chooser.node = ("own", 1)
        narrow, wide = target("narrow")._replace(link_mbps=5), target("wide")._replace(link_mbps=50)
        own = target("own")._replace(link_mbps=5)
        for name in ("narrow", "wide", "own"):
            self.receive_report(name)
        self.assertEqual({"narrow", "wide"}, set(self.count([narrow, wide])))
        self.chooser.record_size("r", 90_000)
        self.assertEqual({"wide": 200}, self.count([narrow, wide]))
        self.assertEqual({"own": 200}, self.count([narrow, own]))

    def test_large_responses_leave_the_zone_only_for_the_objective(self):
        """Guards against traffic between zones for a gain that no caller needs."""
        near, far = target("near"), target("far", zone="b")
        self.receive_report("near", running=9, waiting=18)
        self.receive_report("far")
        self.assertEqual({"far": 50}, self.count([near, far], times=50))
        self.chooser.record_size("r", 90_000)
        self.assertEqual({"near": 50}, self.count([near, far], times=50))
        self.receive_report("near", running=9, waiting=45)
        self.assertEqual({"far": 50}, self.count([near, far], times=50))

    def test_failing_and_leaving_targets_are_chosen_last(self):
        """Guards against preferring a target that looks idle because it fails fast or leaves."""
        for fields in ({"failures": 0.5}, {"leaving": True}):
            good, bad = target("good", zone="b"), target("bad")
            self.receive_report("good", running=5)
            self.receive_report("bad", ms=20, **fields)
            self.assertEqual({"good": 200}, self.count([good, bad]))
            self.assertEqual({"bad": 200}, self.count([good, bad], exclude=("good",)))

    def test_old_reports_are_ignored(self):
        """Guards against a target that is never chosen again after one bad report."""
        bad, good = target("bad"), target("good", zone="b")
        self.receive_report("bad", failures=0.5)
        self.receive_report("good")
        self.clock.advance(timedelta(seconds=3))
        self.assertEqual({"bad": 200}, self.count([good, bad]))

    def test_own_requests_count_before_the_next_report(self):
        """Guards against sending a whole burst to a single target."""
        targets = [target("t1"), target("t2"), target("t3")]
        for name in ("t1", "t2", "t3"):
            self.receive_report(name)
        chosen = Counter()
        for _ in range(27):
            choice = self.chooser.choose(targets, route="r", objective=OBJECTIVE)
            self.chooser.started(choice.target)
            chosen[choice.target] += 1
        self.assertTrue(max(chosen.values()) <= 12, chosen)
