"""Tests of the choice of a target by expected completion."""

import random
from collections import Counter
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.model import LoadReport, Target, TargetState
from almondshore.placement.cost import Features
from almondshore.routing.completion import CompletionChooser

OBJECTIVE = timedelta(milliseconds=600)


def target(name, zone="a", slots=9):
    return Target(name, "s", "v1", zone, slots, TargetState.READY, (name, 1), 1, 1)


def make_report(running=0, waiting=0, ms=100, failures=0.0, leaving=False, **times):
    return LoadReport(
        running,
        waiting,
        9,
        timedelta(milliseconds=ms),
        failures,
        leaving,
        **{name: timedelta(milliseconds=value) for name, value in times.items()},
    )


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

    def test_an_old_report_counts_as_the_mean_load(self):
        """Guards against nodes that all send to the target whose report is the oldest.

        With 201 nodes most reports are older than 2 s, and a full target then looked idle.
        """
        targets = [target(name) for name in ("old", "idle", "busy")]
        self.receive_report("old", running=9, waiting=20)
        self.clock.advance(timedelta(seconds=4))
        self.receive_report("idle", running=2)
        self.receive_report("busy", running=9, waiting=9)
        self.assertEqual({"idle": 200}, self.count(targets))
        self.assertEqual({"old": 200}, self.count(targets, exclude=("idle",)))

    def test_a_full_zone_is_left_for_one_without_reports(self):
        """Guards against zones that look as full as the own one because no request went there."""
        near = [target(f"near{number}") for number in range(4)]
        for item in near:
            self.receive_report(item.target, running=9, waiting=27)
        self.assertEqual({"far": 200}, self.count([*near, target("far", zone="b")]))

    def test_work_left_tells_long_queues_from_short_ones(self):
        """Guards against queues that are compared by the number of their requests."""
        targets = [target("short"), target("long")]
        self.receive_report("short", running=9, waiting=9, work=1400)
        self.receive_report("long", running=9, waiting=6, work=8000)
        self.assertEqual({"short": 200}, self.count(targets))

    def test_expensive_requests_wait_for_a_fast_target(self):
        """Guards against a choice that weighs waits and speeds alike for all requests of a route.

        A cheap request is sooner done at the idle slow target.
        """
        cheap, expensive = (Features("r", path) for path in (b"/items/1", b"/reports/1"))
        for features, ran in (*((cheap, 50),) * 45, *((expensive, 500),) * 5) * 10:
            self.chooser.started("fast", features)
            report = make_report(ran=ran)
            self.chooser.finished("fast", "r", report, features)
        self.receive_report("fast", running=9, waiting=27, ms=40)
        self.receive_report("slow", ms=170)
        targets = [target("fast"), target("slow")]
        self.assertEqual({"slow"}, set(self.count(targets, features=cheap)))
        self.assertEqual({"fast"}, set(self.count(targets, features=expensive)))

    def test_service_times_below_a_millisecond(self):
        """Guards against an exception, which cuts the caller's connection, for a fast route.

        Nodes report service times in whole milliseconds, and those of fast routes as 0.
        """
        for name in ("fast", "slow"):
            self.receive_report(name, ms=0, running=2, waiting=1, work=300)
        self.receive_report("slow", ms=5, running=2, waiting=1, work=300)
        self.assertEqual({"fast", "slow"}, set(self.count([target("fast"), target("slow")])))

    def test_large_request_bodies_use_wide_links_and_stay_on_the_host(self):
        """Guards against uploads that cross narrow links though there is a target on the host."""
        self.chooser.node, self.chooser.link_mbps = ("own", 1), 5.0
        upload = Features("r", body_bytes=60_000)
        own, narrow = target("own")._replace(link_mbps=5), target("narrow")._replace(link_mbps=5)
        wide, far = target("wide")._replace(link_mbps=100), target("far", zone="b")
        for name in ("narrow", "wide", "far"):
            self.receive_report(name)
        self.receive_report("own", running=9, waiting=1)
        self.assertEqual({"wide": 200}, self.count([narrow, wide], features=upload))
        self.assertEqual({"own": 200}, self.count([own, wide, far], features=upload))
        self.receive_report("narrow", running=9, waiting=18)
        self.assertEqual({"far": 200}, self.count([narrow, far]))
        self.assertEqual({"narrow": 200}, self.count([narrow, far], features=upload))

    def test_a_slow_target_is_tried_again(self):
        """Guards against a target that is avoided long after it was slow."""
        targets = [target("slow"), target("other")]
        self.receive_report("slow", ms=1200)
        self.receive_report("other")
        self.assertEqual({"other": 200}, self.count(targets))
        self.clock.advance(timedelta(seconds=20))
        self.receive_report("other", running=9, waiting=9)
        self.assertEqual({"other": 200}, self.count(targets))
        self.clock.advance(timedelta(seconds=100))
        self.receive_report("other", running=9, waiting=9)
        self.assertEqual({"slow": 200}, self.count(targets))
