"""Tests of the choice of targets."""

from testtools import TestCase

from almondshore.core.messages import TargetState
from almondshore.routing.choice import ResultKind, TargetResult
from test.routing.helpers import ChooserHarness, target


def make_targets(prefix, count, **fields):
    return [target(f"{prefix}{n}", **fields) for n in range(count)]


class VersionTest(TestCase):
    def test_share_of_a_move_does_not_depend_on_the_number_of_targets(self):
        """Guards against a new version whose share of requests depends on its few targets."""
        harness = ChooserHarness(make_targets("old", 9) + make_targets("new", 1, version="v2"))
        harness.report("new0", 10, 5)
        counts = harness.chosen(10_000, {"v1": 0.95, "v2": 0.05}, by="version")
        self.assertTrue(400 < counts["v2"] < 600, counts)

    def test_version_without_targets_is_left_out(self):
        """Guards against requests for a version that no target serves."""
        harness = ChooserHarness(make_targets("old", 2))
        self.assertEqual({"v1"}, set(harness.chosen(100, {"v1": 0.5, "v2": 0.5}, by="version")))
        self.assertIsNone(harness.chooser.choose("s", {"v2": 1.0}))

    def test_version_with_a_small_share_is_no_fallback(self):
        """Guards against sending all requests to a new version if the old targets are excluded."""
        harness = ChooserHarness(make_targets("old", 1) + make_targets("new", 1, version="v2"))
        weights = {"v1": 0.99, "v2": 0.01}
        counts = harness.chosen(1000, weights, exclude={"old0"})
        self.assertTrue(counts["new0"] < 30, counts)
        self.assertEqual({"old0": 1000}, harness.chosen(1000, weights, exclude={"new0"}))


class LoadTest(TestCase):
    def test_idle_report_does_not_attract_all_requests(self):
        """Guards against all nodes sending to the one target whose last report showed no load."""
        harness = ChooserHarness(make_targets("t", 10), spillover=2.0)
        for n in range(10):
            harness.report(f"t{n}", 0 if n == 0 else 8)
        self.assertTrue(harness.chosen(10_000)["t0"] < 2200)
        harness.advance(6)
        self.assertTrue(
            harness.chosen(10_000)["t0"] < 1200, "an old report still attracts requests"
        )

    def test_target_without_a_report_gets_at_most_its_share(self):
        """Guards against overloading a new target because it has not reported its load."""
        harness = ChooserHarness(make_targets("t", 9), spillover=2.0)
        for n in range(9):
            harness.report(f"t{n}", 4 + n % 3)
        harness.chooser.update("s", make_targets("t", 10))
        harness.advance(4)
        self.assertTrue(harness.chosen(10_000)["t9"] < 1000)
        harness.advance(8)
        for n in range(9):
            harness.report(f"t{n}", 4 + n % 3)
        self.assertTrue(harness.chosen(10_000)["t9"] < 1300, "still treated as idle after its ramp")

    def test_old_report_weighs_less_than_own_requests(self):
        """Guards against preferring a target because of a low load reported seconds ago."""
        harness = ChooserHarness(make_targets("t", 2), spillover=2.0)
        harness.report("t1", 8)
        harness.report("t0", 0)
        for _ in range(3):
            harness.chooser.started("t0")
        self.assertEqual({"t0": 100}, harness.chosen(100))
        harness.advance(3)
        self.assertEqual({"t1": 100}, harness.chosen(100))

    def test_cold_target_ramps_up(self):
        """Guards against time-outs at a new target that gets its full share while it starts."""
        harness = ChooserHarness(make_targets("t", 4))
        harness.chooser.update("s", make_targets("t", 5))
        shares = [harness.chosen(10_000)["t4"]]
        for _ in range(2):
            harness.advance(5)
            shares.append(harness.chosen(10_000)["t4"])
        self.assertTrue(shares[0] < 400 < shares[1] < 1600 < shares[2], shares)

    def test_slow_target_among_good_ones_gets_less(self):
        """Guards against an even split, which queues a quarter of all requests at a slow target."""
        harness = ChooserHarness(make_targets("t", 4))
        running = []
        sent_to_slow = 0
        for tick in range(4000):
            harness.advance(0.001)
            while running and running[0][0] <= tick:
                _, name = running.pop(0)
                harness.chooser.finished(name, success_with_load(harness, name))
            name = harness.chooser.choose("s", {"v1": 1.0}).target
            sent_to_slow += name == "t0"
            harness.chooser.started(name)
            running.append((tick + (100 if name == "t0" else 10), name))
            running.sort()
        self.assertTrue(sent_to_slow < 400, sent_to_slow)

    def test_target_that_fails_fast_does_not_look_idle(self):
        """Guards against a failing target that attracts requests because it fails immediately."""
        harness = ChooserHarness(make_targets("t", 4), spillover=2.0)
        for n in range(4):
            harness.report(f"t{n}", 5)
        harness.report("t0", 0, kind=ResultKind.FAILED)
        self.assertTrue(harness.chosen(1000)["t0"] < 100)

    def test_excluded_and_leaving_targets_are_not_chosen(self):
        """Guards against a retry at the same target, and new requests to a leaving target."""
        harness = ChooserHarness([*make_targets("t", 2), target("gone", state=TargetState.LEAVING)])
        self.assertEqual({"t1": 100}, harness.chosen(100, exclude={"t0"}))
        self.assertEqual({None: 10}, harness.chosen(10, exclude={"t0", "t1"}))

    def test_state_of_removed_targets_is_dropped(self):
        """Guards against memory use that grows with 5,400 replaced hosts a day."""
        harness = ChooserHarness(make_targets("t", 2))
        for n in range(50):
            harness.chooser.update("s", make_targets(f"t{n}-", 2))
            harness.chooser.started(f"t{n}-0")
        for n in range(50):
            harness.chooser.finished(f"t{n}-0", success_with_load(harness, f"t{n}-0"))
        self.assertEqual(2, len(harness.chooser.loads))
        self.assertEqual(2, len(harness.ejector.health))


class ZoneTest(TestCase):
    def setUp(self):
        super().setUp()
        self.near = make_targets("near", 2)
        self.far = make_targets("far", 2, zone="z2")

    def test_own_zone_is_used_while_it_has_capacity(self):
        """Guards against traffic between zones, which is charged, without need."""
        self.assertEqual({"z1"}, set(ChooserHarness(self.near + self.far).chosen(100, by="zone")))

    def test_full_zone_spills_over(self):
        """Guards against queueing in the node's zone while other zones have idle slots."""
        harness = ChooserHarness(self.near + self.far)
        for name in ("near0", "near1"):
            harness.report(name, 10, 5)
        self.assertEqual({"z2"}, set(harness.chosen(100, by="zone")))

    def test_lost_zone_is_replaced_by_the_others(self):
        """Guards against requests that fail after the loss of a zone though others have targets."""
        harness = ChooserHarness(self.near + self.far)
        harness.chooser.update("s", self.far)
        self.assertEqual({"z2"}, set(harness.chosen(100, by="zone")))

    def test_lost_zone_that_is_still_listed_is_ejected(self):
        """Guards against an outdated directory that lists the targets of a lost zone as up."""
        harness = ChooserHarness(self.near + self.far)
        for _ in range(6):
            for name in ("near0", "near1"):
                harness.report(name, None, kind=ResultKind.FAILED)
            harness.advance(1)
        self.assertTrue(harness.ejector.is_ejected("near0", 0.0))
        self.assertEqual({"z2"}, set(harness.chosen(100, by="zone")))


def success_with_load(harness, name):
    load = harness.chooser.loads[name]
    return TargetResult(ResultKind.OK, load.own_requests, 0)
