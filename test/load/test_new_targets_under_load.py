"""Load: targets are added while the existing ones are overloaded."""

from testtools import TestCase

from bench.load_scenarios import TARGETS_ADDED_AT_S, simulate, targets_added


class NewTargetsTest(TestCase):
    def simulate(self, seconds):
        return simulate(lambda model: targets_added(model, seconds))

    def test_added_targets_get_requests_within_seconds(self):
        """Guards against new targets that stay idle because no node has a report of their load."""
        before, after = self.simulate(TARGETS_ADDED_AT_S), self.simulate(TARGETS_ADDED_AT_S + 2.0)
        sent = sum(after.sent.values()) - sum(before.sent.values())
        to_new = sum(after.sent[name] for name in ("new0", "new1"))
        self.assertTrue(to_new / sent > 0.25, after.sent)

    def test_requests_are_on_time_soon_after(self):
        """Guards against a queue of late requests that remains after the overload has ended."""
        middle, late = self.simulate(TARGETS_ADDED_AT_S + 2.0), self.simulate(
            TARGETS_ADDED_AT_S + 10.0
        )
        ends = late.ends - middle.ends
        self.assertTrue(ends["on time"] / sum(ends.values()) > 0.95, ends)
