"""Load: one target of four becomes five times as slow, the others have room for all."""

from testtools import TestCase

from test.load.fleet import Fleet


class OneSlowTargetTest(TestCase):
    def test_work_moves_to_the_others(self):
        """Guards against requests that follow their zone into a queue."""
        fleet = Fleet()
        for name, zone, speed in (("t1", "a", 0.2), ("t2", "b", 1), ("t3", "c", 1), ("t4", "a", 1)):
            fleet.add(name, zone, speed=speed)
        fleet.play(60, 20)
        self.assertTrue(fleet.share("on time") > 0.9, fleet.ends)
        self.assertTrue(fleet.sent_share("t1") < 0.1, fleet.sent)
