"""Tests of the demo."""

from datetime import UTC, datetime, timedelta

from testtools import TestCase

from standins.demo import MOVE_TIME, move_deadline

START = datetime(2026, 12, 4, 17, 8, tzinfo=UTC)


class MoveDeadlineTest(TestCase):
    def test_move_has_its_time_whenever_the_demo_runs(self):
        """Guards against a deadline in whole minutes that is past when the rules are applied.

        Seen in `make demo`, begun 2 s before a full minute: "the deadline has passed".
        """
        for second in range(60):
            now = START + timedelta(seconds=second)
            deadline = move_deadline(now)
            self.assertEqual((0, 0), (deadline.second, deadline.microsecond))
            self.assertTrue(MOVE_TIME <= deadline - now <= MOVE_TIME + timedelta(minutes=1))
