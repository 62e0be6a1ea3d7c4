"""Load: targets are overloaded, and refused clients immediately repeat requests three times."""

from testtools import TestCase

from bench.load_parts import ClientBehaviour
from bench.load_scenarios import retry_storm, simulate


class RetryStormTest(TestCase):
    def test_repeats_do_not_displace_requests_that_can_be_served(self):
        """Guards against repeated requests that keep targets from answering any request in time."""
        system = simulate(retry_storm)
        without_repeats = simulate(
            lambda model: retry_storm(model)._replace(behaviour=ClientBehaviour())
        )
        self.assertTrue(
            system.client_retries > sum(system.ends.values()) * 0.2, system.client_retries
        )
        # The targets have capacity for two thirds of the requests.
        self.assertTrue(system.share("on time") > 0.5, system.ends)
        self.assertTrue(
            system.share("on time") > without_repeats.share("on time") - 0.05, without_repeats.ends
        )
