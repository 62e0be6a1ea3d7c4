"""Load: more than the targets can do, and refused clients come back at once, three times."""

from testtools import TestCase

from bench.load_model import Habits
from bench.load_scenarios import play, retry_storm


class RetryStormTest(TestCase):
    def test_repeats_do_not_displace_what_can_be_served(self):
        """Guards against a storm of repeats in which targets work for nobody in time."""
        system = play(retry_storm)
        calm = play(lambda model: retry_storm(model)._replace(habits=Habits()))
        self.assertTrue(system.repeats > sum(system.ends.values()) * 0.2, system.repeats)
        # Targets have room for two thirds of the requests.
        self.assertTrue(system.share("on time") > 0.5, system.ends)
        self.assertTrue(system.share("on time") > calm.share("on time") - 0.05, calm.ends)
