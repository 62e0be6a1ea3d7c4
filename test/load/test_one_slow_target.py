"""Load: one of four targets becomes five times slower, and the others have enough capacity."""

from testtools import TestCase

from bench.load_scenarios import one_slow_target, simulate


class OneSlowTargetTest(TestCase):
    def test_requests_move_to_the_other_targets(self):
        """Guards against requests that queue at a slow target because it is in their zone."""
        system = simulate(one_slow_target)
        self.assertTrue(system.share("on time") > 0.9, system.ends)
        self.assertTrue(system.sent_share("t1") < 0.1, system.sent)
