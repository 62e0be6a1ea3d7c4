"""Load: one of twelve targets becomes 12 times slower while requests arrive."""

from testtools import TestCase

from bench.load_former import FormerChooser
from bench.load_patterns import target_12_times_slower
from bench.load_scenarios import simulate


class SlowerTargetTest(TestCase):
    def test_requests_leave_the_slower_target(self):
        """Guards against a slower target that keeps its share until its slots are full."""
        system = simulate(target_12_times_slower)
        former = simulate(target_12_times_slower, chooser=FormerChooser)
        self.assertTrue(system.share("on time") > 0.97, system.ends)
        self.assertTrue(system.share("on time") > former.share("on time") - 0.005, former.ends)
        self.assertTrue(system.sent_share("t0") < 0.06, system.sent)
