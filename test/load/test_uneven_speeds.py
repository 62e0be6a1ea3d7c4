"""Load: targets of one service differ in speed by three times, at two thirds of the capacity."""

from testtools import TestCase

from test.load.fleet import Fleet


class UnevenSpeedsTest(TestCase):
    def test_requests_are_on_time_though_a_zone_has_the_slow_target(self):
        """Guards against an equal split, which overloads the slowest target."""
        fleet = Fleet()
        for name, zone, speed in (("t1", "a", 0.5), ("t2", "b", 1.0), ("t3", "c", 1.5)):
            fleet.add(name, zone, speed=speed)
        fleet.play(90, 20)
        self.assertTrue(fleet.share("on time") > 0.85, fleet.ends)
        self.assertTrue(fleet.share("refused") < 0.03, fleet.ends)
