"""Load: the load of each zone rises and falls by 55%, one zone after the other."""

from testtools import TestCase

from bench.load_patterns import waves_by_zone
from bench.load_scenarios import simulate


class WavesByZoneTest(TestCase):
    def test_a_full_zone_is_left_and_a_quiet_one_is_not(self):
        """Guards against a zone that fills up, and against traffic between zones without need.

        The loads of zones that no request went to were taken from the full zone: 0.988 on time.
        """
        system = simulate(waves_by_zone)
        self.assertTrue(system.share("on time") > 0.995, system.ends)
        self.assertTrue(system.cross_zone < 0.15 * sum(system.sent.values()), system.cross_zone)
