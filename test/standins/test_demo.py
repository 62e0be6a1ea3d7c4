"""Tests of the demo."""

from datetime import UTC, datetime, timedelta

from testtools import TestCase

from standins.demo import MOVE_DURATION, move_deadline

START = datetime(2026, 12, 4, 17, 8, tzinfo=UTC)


class MoveDeadlineTest(TestCase):
    def test_deadline_leaves_the_move_duration_at_every_second(self):
        """Guards against a deadline in whole minutes that has passed when the rules are applied.

        `make demo` failed with "the deadline has passed" when started 2 s before a full minute.
        """
        for second in range(60):
            now = START + timedelta(seconds=second)
            deadline = move_deadline(now)
            self.assertEqual((0, 0), (deadline.second, deadline.microsecond))
            self.assertTrue(MOVE_DURATION <= deadline - now <= MOVE_DURATION + timedelta(minutes=1))
