"""Load: 90 nodes, 74 targets whose speeds differ between 0.7 and 1.6, and a burst of requests."""

from datetime import timedelta

from testtools import TestCase

from bench.load_former import FormerChooser
from bench.load_patterns import speeds_of_74_targets
from bench.load_scenarios import simulate


class SpeedsOfManyTargetsTest(TestCase):
    def test_response_times(self):
        """Guards against nodes that all prefer the few targets which they saw to be fast."""
        system = simulate(speeds_of_74_targets)
        former = simulate(speeds_of_74_targets, chooser=FormerChooser)
        for kind, times in former.times_by_kind.items():
            mean = sum(system.times_by_kind[kind], timedelta()) / len(system.times_by_kind[kind])
            former_mean = sum(times, timedelta()) / len(times)
            self.assertTrue(mean < former_mean * 0.95, (kind, mean, former_mean))
        self.assertTrue(system.share("on time") > 0.99, system.ends)
