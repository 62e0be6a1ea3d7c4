"""Load: one target of four becomes five times as slow, the others have room for all."""

from testtools import TestCase

from bench.load_scenarios import one_slow_target, play


class OneSlowTargetTest(TestCase):
    def test_work_moves_to_the_others(self):
        """Guards against requests that follow their zone into a queue."""
        system = play(one_slow_target)
        self.assertTrue(system.share("on time") > 0.9, system.ends)
        self.assertTrue(system.sent_share("t1") < 0.1, system.sent)
