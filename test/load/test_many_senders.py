"""Load: many nodes choose among many equal targets, of which each has old reports only."""

from testtools import TestCase

from bench.load_choosers import RandomChooser
from bench.load_scenarios import many_senders, simulate


class ManySendersTest(TestCase):
    def test_a_random_choice_serves_no_more_in_time(self):
        """Guards against nodes that choose alike by loads that have changed since."""
        random_choice = simulate(many_senders, chooser=RandomChooser)
        system = simulate(many_senders)
        difference = random_choice.share("on time") - system.share("on time")
        self.assertTrue(difference < 0.005, (system.ends, random_choice.ends))
