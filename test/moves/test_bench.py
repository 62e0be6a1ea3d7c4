"""Bounds on the results of a small, fixed subset of the benchmark of moves."""

from testtools import TestCase

from bench.move_kinds import BAD_KINDS, GOOD_KINDS
from bench.move_world import FOUR_ZONE_DEPLOYMENT, THREE_ZONE_DEPLOYMENT
from bench.moves import PRODUCT, SHORT_MOVE_S, Case, is_in_time, run_case


def results(kinds, names):
    selected = [kind for kind in kinds if kind.name in names]
    assert len(selected) == len(names)
    sizes = (FOUR_ZONE_DEPLOYMENT, THREE_ZONE_DEPLOYMENT)
    return [
        run_case(Case(PRODUCT, kind, sizes[n % len(sizes)], SHORT_MOVE_S, 1))
        for n, kind in enumerate(selected)
    ]


class MovesBenchTest(TestCase):
    def test_good_versions_are_done_in_time(self):
        """Guards against disturbances that delay or revert the move to a good version."""
        names = {
            "good, overload",
            "good, overload + zone loss",
            "good, outage + coordinator death",
            "good, coordinator death + crash request",
        }
        for result in results(GOOD_KINDS, names):
            self.assertTrue(is_in_time(result), result)

    def test_bad_versions_are_rolled_back_within_bounds(self):
        """Guards against a bad version that stays, harms many requests or is removed late."""
        names = {
            "bad at once",
            "bad after the move",
            "bad only under load",
            "bad later, coordinator death",
        }
        for result in results(BAD_KINDS, names):
            self.assertTrue(result.reverted, result)
            self.assertLessEqual(result.harmed, 0.05, result)
            # None if the version was removed before its fifth bad response.
            self.assertLessEqual(result.fifth_bad_to_last or 0.0, 5.0, result)
            if result.case.kind.version.is_bad_at_start():
                self.assertLessEqual(result.exposed, 0.05, result)
