"""Tests of the plan of a move."""

from datetime import timedelta

from testtools import TestCase

from almondshore.moves.plan import Capacity, Plan, RequestCounts, target_count
from almondshore.rules.model import Preference
from test.moves.helpers import START

ENOUGH = RequestCounts(10_000, 1000)
NONE = RequestCounts(0, 0)
FULL = Capacity(new_slots=40, demand=30, old_slots=40)


def run_plan(prefer, *, counts=ENOUGH, capacity=FULL, start_second=0, end_second=200, first_step=0):
    """Return the second of each step taken in a move of 100 s, from ``start_second`` on.

    The last second is that of completion, if the move was completed.
    """
    plan = Plan(started=START, deadline=START + timedelta(seconds=100), prefer=prefer)
    step, taken_at, step_seconds = first_step, START, []
    for second in range(start_second, end_second):
        now = START + timedelta(seconds=second)
        decision = plan.decide(
            step=step, taken_at=taken_at, now=now, capacity=capacity, counts=counts
        )
        if decision.allowed:
            step, taken_at = step + 1, now
            step_seconds.append(second)
        if plan.is_complete(step, taken_at, now):
            return [*step_seconds, second]
    return step_seconds


class PlanTest(TestCase):
    def test_steps_are_spread_to_the_margin(self):
        """Guards against steps in quick succession that leave no time to detect a fault."""
        self.assertEqual([0, 18, 36, 54, 72, 90], run_plan(Preference.DEADLINE))

    def test_late_start_compresses_the_schedule(self):
        """Guards against a deadline missed because targets started late."""
        step_seconds = run_plan(Preference.DEADLINE, start_second=70)
        self.assertEqual(6, len(step_seconds))
        self.assertLess(step_seconds[-1], 100)

    def test_few_requests_delay_a_move_that_prefers_safety(self):
        """Guards against ignoring the preference: with ``deadline`` the move ends in time."""
        step_seconds = run_plan(Preference.DEADLINE, counts=NONE)
        self.assertEqual(6, len(step_seconds))
        self.assertLess(step_seconds[-1], 100)
        self.assertEqual([0], run_plan(Preference.SAFETY, counts=NONE))

    def test_route_without_requests_delays_the_larger_steps(self):
        """Guards against a version that is faulty on a route without requests so far."""
        self.assertEqual(2, len(run_plan(Preference.SAFETY, counts=RequestCounts(10_000, 0))))

    def test_capacity_is_required_even_when_late(self):
        """Guards against a share that exceeds the capacity of the live targets."""
        capacity = Capacity(new_slots=10, demand=30, old_slots=40)
        self.assertEqual(3, len(run_plan(Preference.DEADLINE, capacity=capacity)))
        self.assertEqual([], run_plan(Preference.DEADLINE, capacity=capacity._replace(new_slots=0)))

    def test_overload_does_not_demand_more_slots_than_the_old_version_has(self):
        """Guards against delaying a good version because demand exceeds all capacity."""
        capacity = Capacity(new_slots=40, demand=80, old_slots=40)
        self.assertEqual(6, len(run_plan(Preference.DEADLINE, capacity=capacity)))

    def test_small_shares_go_to_few_targets(self):
        """Guards against new targets that get full load only with the last step."""
        counts = [target_count(share, 4, 4) for share in (0.01, 0.05, 0.25, 0.5, 1.0)]
        self.assertEqual([1, 1, 1, 2, 4], counts)
        self.assertEqual([1, 2, 3], [target_count(share, 3, 3) for share in (0.25, 0.5, 1.0)])
