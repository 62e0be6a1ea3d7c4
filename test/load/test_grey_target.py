"""Load: one target fails half of its requests at once, and so looks idle."""

from testtools import TestCase

from test.load.fleet import Fleet


class GreyTargetTest(TestCase):
    def test_failing_target_gets_little(self):
        """Guards against a target that draws requests by failing them fast."""
        fleet = Fleet()
        fleet.add("t1", "a", failures=0.5, speed=5.0)
        for name, zone in (("t2", "b"), ("t3", "c"), ("t4", "a")):
            fleet.add(name, zone)
        fleet.play(60, 20)
        self.assertTrue(fleet.sent_share("t1") < 0.12, fleet.sent)
        self.assertTrue(fleet.share("failed") < 0.06, fleet.ends)
