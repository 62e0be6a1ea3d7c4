"""Load: targets are added while the present ones are overloaded."""

from datetime import timedelta

from testtools import TestCase

from test.load.fleet import Fleet

ADDED_AT_S = 6.0


class NewTargetsTest(TestCase):
    def play(self, seconds):
        fleet = Fleet()
        for number, zone in enumerate("abc"):
            fleet.add(f"t{number}", zone)
        for number, zone in enumerate("ab"):
            fleet.after(
                timedelta(seconds=ADDED_AT_S),
                lambda number=number, zone=zone: fleet.add(f"new{number}", zone),
            )
        # The work fills 34 slots; there are 27, and 45 later.
        fleet.play(170, seconds)
        return fleet

    def test_added_targets_get_work_within_seconds(self):
        """Guards against new targets that stay idle since nobody has heard of their load."""
        before, after = self.play(ADDED_AT_S), self.play(ADDED_AT_S + 2.0)
        sent = sum(after.sent.values()) - sum(before.sent.values())
        to_new = sum(after.sent[name] for name in ("new0", "new1"))
        self.assertTrue(to_new / sent > 0.25, after.sent)

    def test_requests_are_on_time_soon_after(self):
        """Guards against a queue of late requests that outlives the overload."""
        middle, late = self.play(ADDED_AT_S + 2.0), self.play(ADDED_AT_S + 10.0)
        ends = late.ends - middle.ends
        self.assertTrue(ends["on time"] / sum(ends.values()) > 0.95, ends)
