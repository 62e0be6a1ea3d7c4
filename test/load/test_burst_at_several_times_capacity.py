"""Load: a burst of requests at several times the capacity of the target."""

from testtools import TestCase

from test.load.slots import SlotsSimulation


class BurstTest(TestCase):
    def simulate(self):
        simulation = SlotsSimulation(slots=9)
        simulation.schedule_arrivals(
            "read", 120, 15, work=220, objective=600, deadline=1200, urgency=2
        )
        simulation.schedule_arrivals(
            "urgent", 12, 15, work=88, objective=300, deadline=1200, urgency=1
        )
        simulation.run()
        return simulation

    def test_capacity_goes_to_requests_that_are_on_time(self):
        """Guards against a queue in which all requests miss their objective."""
        simulation = self.simulate()
        capacity = 9 / 0.22 * 15
        self.assertTrue(simulation.ends["read", "on time"] > 0.6 * capacity, simulation.ends)
        self.assertTrue(simulation.ends["read", "useless"] < 0.01 * capacity, simulation.ends)

    def test_urgent_requests_are_on_time(self):
        """Guards against urgent requests that wait behind routine ones."""
        self.assertTrue(self.simulate().share("urgent", "on time") > 0.95)

    def test_refusals_come_early(self):
        """Guards against requests that wait for long before they are refused."""
        simulation = self.simulate()
        refusal_delays = sorted(simulation.refusal_delays["read"])
        early = sum(delay.total_seconds() < 0.6 / 8 for delay in refusal_delays)
        self.assertTrue(early > 0.9 * len(refusal_delays), (early, len(refusal_delays)))
