"""Load: one target fails half of its requests immediately, so that it looks idle."""

from testtools import TestCase

from bench.load_scenarios import grey_target, simulate


class GreyTargetTest(TestCase):
    def test_failing_target_gets_few_requests(self):
        """Guards against a failing target that attracts requests because it fails fast."""
        system = simulate(grey_target)
        self.assertTrue(system.sent_share("t1") < 0.12, system.sent)
        self.assertTrue(system.share("failed") < 0.06, system.ends)
