"""Load: targets of a service differ in speed by a factor of three, at two thirds of capacity."""

from testtools import TestCase

from bench.load_scenarios import simulate, uneven_speeds


class UnevenSpeedsTest(TestCase):
    def test_requests_are_on_time_though_a_zone_has_the_slow_target(self):
        """Guards against an even split, which overloads the slowest target."""
        system = simulate(uneven_speeds)
        self.assertTrue(system.share("on time") > 0.85, system.ends)
        self.assertTrue(system.share("refused") < 0.03, system.ends)
