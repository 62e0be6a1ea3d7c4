"""Tests of the verdict on a version."""

import random

from testtools import TestCase

from almondshore.moves.controls import SlotsInUse
from almondshore.moves.verdict import FALSE_POSITIVE_RATE, FaultKind, MoveVerdict
from test.moves.helpers import ROUTES, SERVICE, row

SLOW_BUCKET = 12


def make_verdict(alpha=FALSE_POSITIVE_RATE):
    return MoveVerdict(service=SERVICE, old="v1", new="v2", routes=len(ROUTES), alpha=alpha)


def observe(verdict, seconds, *, new, old, extra=(), slots=None, start=0):
    """Feed windows of (requests, errors) or rows; return the window of the regression, if any."""
    for window in range(start, start + seconds):
        rows = [row("v1", *old) if isinstance(old, tuple) and len(old) == 2 else old]
        rows += [row("v2", *new) if isinstance(new, tuple) and len(new) == 2 else new]
        verdict.observe(window, [*rows, *extra], slots=slots)
        if verdict.regression is not None:
            return verdict.regression.window
    return None


def count_events(rng, count, rate):
    return sum(rng.random() < rate for _ in range(count))


class MoveVerdictTest(TestCase):
    def test_false_positive_rate_is_kept(self):
        """Guards against a test that rejects good versions more often than alpha.

        The new version has the highest accepted error rate, 1.5 times the odds of the old one.
        """
        rejected = 0
        for seed in range(300):
            rng = random.Random(seed)
            verdict = make_verdict(alpha=0.2)
            for window in range(120):
                share = (1, 5, 25, 50)[window // 30]
                rows = [row("v2", share, count_events(rng, share, 0.143))]
                rows.append(row("v1", 100 - share, count_events(rng, 100 - share, 0.1)))
                verdict.observe(window, rows)
            rejected += verdict.regression is not None
        self.assertLessEqual(rejected, 0.2 * 300)

    def test_bad_version_is_found_within_few_errors(self):
        """Guards against a bad version that is detected only after many errors."""
        self.assertLess(observe(make_verdict(), 60, new=(2, 1), old=(198, 0)), 6)
        self.assertEqual(0, observe(make_verdict(), 60, new=(50, 15), old=(150, 0)))

    def test_errors_on_both_versions_reject_neither(self):
        """Guards against reverting a good version for an overload or a fault of both versions."""
        verdict = make_verdict()
        observe(verdict, 30, new=(50, 0), old=(150, 0))
        self.assertIsNone(observe(verdict, 200, new=(50, 20), old=(150, 60), start=30))

    def test_one_bad_route_is_named(self):
        """Guards against a fault on a rare route that is hidden in the sum over all routes."""
        verdict = make_verdict()
        good = [row("v1", 900, 9, route=ROUTES[1]), row("v2", 100, 1, route=ROUTES[1])]
        self.assertIsNotNone(observe(verdict, 60, new=(5, 3), old=(45, 0), extra=good))
        self.assertEqual(ROUTES[0], verdict.regression.route)

    def test_version_that_turns_bad_late_is_found(self):
        """Guards against old evidence of a good version that outweighs a current fault."""
        verdict = make_verdict()
        self.assertIsNone(observe(verdict, 600, new=(50, 0), old=(150, 1)))
        window = observe(verdict, 60, new=(50, 10), old=(150, 1), start=600)
        self.assertLess(window, 605)

    def test_fault_after_the_move_is_found_against_the_old_rates(self):
        """Guards against a bad version that stays because the old one gets no requests."""
        verdict = make_verdict()
        observe(verdict, 60, new=(50, 0), old=(150, 0))
        self.assertIsNone(observe(verdict, 300, new=(200, 0), old=(0, 0), start=60))
        window = observe(verdict, 60, new=(200, 60), old=(0, 0), start=360)
        self.assertLess(window, 363)

    def test_fault_of_all_services_after_the_move_is_tolerated(self):
        """Guards against reverting a good version for a zone loss or overload after the move."""

        def controls(errors):
            return [row("", 100, errors, service=name, route="*") for name in ("a", "b", "c")]

        verdict = make_verdict()
        observe(verdict, 60, new=(50, 0), old=(150, 0), extra=controls(0))
        window = observe(verdict, 20, new=(200, 40), old=(0, 0), extra=controls(20), start=60)
        self.assertIsNone(window)

    def test_crash_request_does_not_reject_a_version(self):
        """Guards against a version rejected because one request crashes its targets.

        Each crash also breaks all other requests that the target is running.
        """
        verdict = make_verdict()
        observe(verdict, 30, new=(100, 0), old=(100, 0))
        crash = row("v2", 100, 0, broken=20)
        self.assertIsNone(observe(verdict, 1, new=crash, old=(100, 0), start=30))
        self.assertIsNone(observe(verdict, 100, new=(100, 0), old=(100, 0), start=31))

    def test_crashing_version_is_found(self):
        """Guards against a version whose responses are truncated without an error status."""
        verdict = make_verdict()
        window = observe(verdict, 60, new=row("v2", 50, 0, broken=25), old=(150, 0))
        self.assertLess(window, 8)
        self.assertEqual(FaultKind.BROKEN, verdict.regression.kind)

    def test_slow_version_is_found(self):
        """Guards against a version that responds correctly but slowly."""
        verdict = make_verdict()
        slots = SlotsInUse(10, 40)
        observe(verdict, 20, new=(10, 0), old=(190, 0), slots=slots)
        slow = row("v2", 10, 0, bucket=SLOW_BUCKET)
        window = observe(verdict, 60, new=slow, old=(190, 0), slots=slots, start=20)
        self.assertLess(window, 25)
        self.assertEqual(FaultKind.SLOW, verdict.regression.kind)

    def test_overload_does_not_change_the_latency_baseline(self):
        """Guards against a slow version that is tolerated because the old one was overloaded."""
        verdict = make_verdict()
        slots = SlotsInUse(10, 40)
        observe(verdict, 20, new=(10, 0), old=(190, 0), slots=slots)
        overload = row("v1", 190, bucket=SLOW_BUCKET)._replace(refused=100)
        observe(verdict, 60, new=(10, 0), old=overload, slots=slots, start=20)
        slow = row("v2", 190, bucket=SLOW_BUCKET)
        window = observe(verdict, 20, new=slow, old=(0, 0), slots=SlotsInUse(40, 40), start=80)
        self.assertIsNotNone(window)

    def test_load_does_not_count_as_a_slow_version(self):
        """Guards against reverting a good version whose few targets have a higher load."""
        for slots in (SlotsInUse(2, 40), None):
            verdict = make_verdict()
            observe(verdict, 20, new=(10, 0), old=(190, 0), slots=slots)
            slow = row("v2", 50, 0, bucket=SLOW_BUCKET)
            self.assertIsNone(observe(verdict, 60, new=slow, old=(150, 0), slots=slots, start=20))
