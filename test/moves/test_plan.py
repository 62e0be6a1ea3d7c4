"""Tests of the plan of a move."""

from datetime import timedelta

from testtools import TestCase

from almondshore.moves.plan import Capacity, Plan, RequestCounts, target_count
from almondshore.rules.model import Preference
from test.moves.helpers import START

ENOUGH = RequestCounts(10_000, 1000)
NONE = RequestCounts(0, 0)
FULL = Capacity(new_slots=40, demand=30, old_slots=40)


def walk(prefer, *, counts=ENOUGH, capacity=FULL, from_second=0, seconds=200, first=0):
    """Return the second of each step taken in a move of 100 s, from ``from_second`` on."""
    plan = Plan(started=START, deadline=START + timedelta(seconds=100), prefer=prefer)
    step, taken_at, taken = first, START, []
    for second in range(from_second, seconds):
        now = START + timedelta(seconds=second)
        decision = plan.decide(
            step=step, taken_at=taken_at, now=now, capacity=capacity, counts=counts
        )
        if decision.allowed:
            step, taken_at = step + 1, now
            taken.append(second)
        if plan.is_complete(step, taken_at, now):
            return [*taken, second]
    return taken


class PlanTest(TestCase):
    def test_steps_are_spread_to_the_margin(self):
        """Guards against steps that bunch up and leave no time to see a fault."""
        self.assertEqual([0, 18, 36, 54, 72, 90], walk(Preference.DEADLINE))

    def test_late_targets_compress_the_schedule(self):
        """Guards against a deadline missed because targets came up late."""
        taken = walk(Preference.DEADLINE, from_second=70)
        self.assertEqual(6, len(taken))
        self.assertLess(taken[-1], 100)

    def test_scarce_evidence_holds_safety_but_not_the_deadline(self):
        """Guards against a preference that is not followed."""
        taken = walk(Preference.DEADLINE, counts=NONE)
        self.assertEqual(6, len(taken))
        self.assertLess(taken[-1], 100)
        self.assertEqual([0], walk(Preference.SAFETY, counts=NONE))

    def test_a_route_without_requests_holds_the_larger_steps(self):
        """Guards against a version that is bad on a route that nobody has tried yet."""
        self.assertEqual(2, len(walk(Preference.SAFETY, counts=RequestCounts(10_000, 0))))

    def test_capacity_is_required_even_when_late(self):
        """Guards against a share that the live targets cannot carry."""
        capacity = Capacity(new_slots=10, demand=30, old_slots=40)
        self.assertEqual(3, len(walk(Preference.DEADLINE, capacity=capacity)))
        self.assertEqual([], walk(Preference.DEADLINE, capacity=capacity._replace(new_slots=0)))

    def test_overload_does_not_demand_more_slots_than_the_old_version_has(self):
        """Guards against a good version held back because demand exceeds all capacity."""
        capacity = Capacity(new_slots=40, demand=80, old_slots=40)
        self.assertEqual(6, len(walk(Preference.DEADLINE, capacity=capacity)))

    def test_small_shares_go_to_few_targets(self):
        """Guards against new targets that never see full load before they have all of it."""
        counts = [target_count(share, 4, 4) for share in (0.01, 0.05, 0.25, 0.5, 1.0)]
        self.assertEqual([1, 1, 1, 2, 4], counts)
        self.assertEqual([1, 2, 3], [target_count(share, 3, 3) for share in (0.25, 0.5, 1.0)])
