"""Load: a third of the targets is lost while the others have just enough room."""

from testtools import TestCase

from bench.load_scenarios import capacity_lost, play


class CapacityLostTest(TestCase):
    def test_the_targets_that_are_left_serve_what_they_can(self):
        """Guards against requests that are refused, or late, while targets have room."""
        system = play(capacity_lost)
        self.assertTrue(system.share("on time") > 0.95, system.ends)
        self.assertTrue(system.share("refused") < 0.01, system.ends)
