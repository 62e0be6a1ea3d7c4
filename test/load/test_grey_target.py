"""Load: one target fails half of its requests at once, and so looks idle."""

from testtools import TestCase

from bench.load_scenarios import grey_target, play


class GreyTargetTest(TestCase):
    def test_failing_target_gets_little(self):
        """Guards against a target that draws requests by failing them fast."""
        system = play(grey_target)
        self.assertTrue(system.sent_share("t1") < 0.12, system.sent)
        self.assertTrue(system.share("failed") < 0.06, system.ends)
