"""Tests of the choice of targets."""

from testtools import TestCase

from almondshore.core.messages import TargetState
from almondshore.routing.choice import ResultKind, TargetResult
from test.routing.helpers import Bed, target


def names(prefix, count, **fields):
    return [target(f"{prefix}{n}", **fields) for n in range(count)]


class VersionTest(TestCase):
    def test_share_of_a_move_does_not_depend_on_the_number_of_targets(self):
        """Guards against a new version with few targets getting less or more than its step."""
        bed = Bed(names("old", 9) + names("new", 1, version="v2"))
        bed.report("new0", 10, 5)
        got = bed.chosen(10_000, {"v1": 0.95, "v2": 0.05}, by="version")
        self.assertTrue(400 < got["v2"] < 600, got)

    def test_version_without_targets_is_left_out(self):
        """Guards against a route to a version that no target serves."""
        bed = Bed(names("old", 2))
        self.assertEqual({"v1"}, set(bed.chosen(100, {"v1": 0.5, "v2": 0.5}, by="version")))
        self.assertIsNone(bed.chooser.choose("s", {"v2": 1.0}))

    def test_version_on_trial_never_takes_over_from_the_old_one(self):
        """Guards against all requests landing on a new version once the old targets are tried."""
        bed = Bed(names("old", 1) + names("new", 1, version="v2"))
        weights = {"v1": 0.99, "v2": 0.01}
        got = bed.chosen(1000, weights, exclude={"old0"})
        self.assertTrue(got["new0"] < 30, got)
        self.assertEqual({"old0": 1000}, bed.chosen(1000, weights, exclude={"new0"}))


class LoadTest(TestCase):
    def test_no_herd_onto_a_target_that_looks_idle(self):
        """Guards against every node sending to the one target whose last report was idle."""
        bed = Bed(names("t", 10), spillover=2.0)
        for n in range(10):
            bed.report(f"t{n}", 0 if n == 0 else 8)
        self.assertTrue(bed.chosen(10_000)["t0"] < 2200)
        bed.advance(6)
        self.assertTrue(bed.chosen(10_000)["t0"] < 1200, "an old report still attracts requests")

    def test_target_without_evidence_gets_at_most_its_share(self):
        """Guards against a new target being flooded because nothing is known of it."""
        bed = Bed(names("t", 9), spillover=2.0)
        for n in range(9):
            bed.report(f"t{n}", 4 + n % 3)
        bed.chooser.update("s", names("t", 10))
        bed.advance(4)
        self.assertTrue(bed.chosen(10_000)["t9"] < 1000)
        bed.advance(8)
        for n in range(9):
            bed.report(f"t{n}", 4 + n % 3)
        self.assertTrue(bed.chosen(10_000)["t9"] < 1300, "idle once its ramp is over")

    def test_old_report_weighs_less_than_own_requests(self):
        """Guards against sending on to a target because of what it reported seconds ago."""
        bed = Bed(names("t", 2), spillover=2.0)
        bed.report("t1", 8)
        bed.report("t0", 0)
        for _ in range(3):
            bed.chooser.started("t0")
        self.assertEqual({"t0": 100}, bed.chosen(100))
        bed.advance(3)
        self.assertEqual({"t1": 100}, bed.chosen(100))

    def test_cold_target_ramps_up(self):
        """Guards against a cold start that times out under its full share at once."""
        bed = Bed(names("t", 4))
        bed.chooser.update("s", names("t", 5))
        shares = [bed.chosen(10_000)["t4"]]
        for _ in range(2):
            bed.advance(5)
            shares.append(bed.chosen(10_000)["t4"])
        self.assertTrue(shares[0] < 400 < shares[1] < 1600 < shares[2], shares)

    def test_slow_target_among_good_ones_gets_less(self):
        """Guards against an even split that queues a quarter of all requests at a slow target."""
        bed = Bed(names("t", 4))
        held = []
        slow = 0
        for tick in range(4000):
            bed.advance(0.001)
            while held and held[0][0] <= tick:
                _, name = held.pop(0)
                bed.chooser.finished(name, bed_result(bed, name))
            name = bed.chooser.choose("s", {"v1": 1.0}).target
            slow += name == "t0"
            bed.chooser.started(name)
            held.append((tick + (100 if name == "t0" else 10), name))
            held.sort()
        self.assertTrue(slow < 400, slow)

    def test_target_that_fails_fast_does_not_look_idle(self):
        """Guards against a broken target swallowing requests because it answers at once."""
        bed = Bed(names("t", 4), spillover=2.0)
        for n in range(4):
            bed.report(f"t{n}", 5)
        bed.report("t0", 0, kind=ResultKind.FAILED)
        self.assertTrue(bed.chosen(1000)["t0"] < 100)

    def test_tried_and_leaving_targets_are_not_chosen(self):
        """Guards against a retry to the same target, and new work for a leaving one."""
        bed = Bed([*names("t", 2), target("gone", state=TargetState.LEAVING)])
        self.assertEqual({"t1": 100}, bed.chosen(100, exclude={"t0"}))
        self.assertEqual({None: 10}, bed.chosen(10, exclude={"t0", "t1"}))

    def test_removed_targets_leave_nothing_behind(self):
        """Guards against memory growing with 5,400 replaced hosts a day."""
        bed = Bed(names("t", 2))
        for n in range(50):
            bed.chooser.update("s", names(f"t{n}-", 2))
            bed.chooser.started(f"t{n}-0")
        for n in range(50):
            bed.chooser.finished(f"t{n}-0", bed_result(bed, f"t{n}-0"))
        self.assertEqual(2, len(bed.chooser.loads))
        self.assertEqual(2, len(bed.ejector.health))


class ZoneTest(TestCase):
    def setUp(self):
        super().setUp()
        self.near = names("near", 2)
        self.far = names("far", 2, zone="z2")

    def test_own_zone_is_used_while_it_has_room(self):
        """Guards against paying the way between zones without need."""
        self.assertEqual({"z1"}, set(Bed(self.near + self.far).chosen(100, by="zone")))

    def test_full_zone_spills_over(self):
        """Guards against queueing in the own zone while others have idle slots."""
        bed = Bed(self.near + self.far)
        for name in ("near0", "near1"):
            bed.report(name, 10, 5)
        self.assertEqual({"z2"}, set(bed.chosen(100, by="zone")))

    def test_lost_zone_is_replaced_by_the_others(self):
        """Guards against requests failing after a zone loss although others have targets."""
        bed = Bed(self.near + self.far)
        bed.chooser.update("s", self.far)
        self.assertEqual({"z2"}, set(bed.chosen(100, by="zone")))

    def test_zone_that_dies_while_still_listed_is_ejected(self):
        """Guards against a held directory, which lists the targets of a lost zone as up."""
        bed = Bed(self.near + self.far)
        for _ in range(6):
            for name in ("near0", "near1"):
                bed.report(name, None, kind=ResultKind.FAILED)
            bed.advance(1)
        self.assertTrue(bed.ejector.is_ejected("near0", 0.0))
        self.assertEqual({"z2"}, set(bed.chosen(100, by="zone")))


def bed_result(bed, name):
    load = bed.chooser.loads[name]
    return TargetResult(ResultKind.OK, load.own, 0)
