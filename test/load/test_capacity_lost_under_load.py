"""Load: a third of the targets is lost, and the others have just enough capacity."""

from testtools import TestCase

from bench.load_scenarios import capacity_lost, simulate


class CapacityLostTest(TestCase):
    def test_remaining_targets_serve_the_requests(self):
        """Guards against requests that are refused or late while targets have free slots."""
        system = simulate(capacity_lost)
        self.assertTrue(system.share("on time") > 0.95, system.ends)
        self.assertTrue(system.share("refused") < 0.01, system.ends)
