"""Load: running requests make short calls to a target whose slots are held by long requests."""

from testtools import TestCase

from test.load.slots import SlotsSimulation


class CallsBehindLongRequestsTest(TestCase):
    def test_calls_are_served_while_long_requests_fill_the_slots(self):
        """Guards against running requests that fail because their calls are refused.

        On chladlog-mesh, trouble-1, seed 125052883930, a target ran no call for 10 s.
        """
        simulation = SlotsSimulation(slots=9)
        simulation.schedule_arrivals(
            "export", 20, 20, work=550, objective=1500, deadline=3000, urgency=2
        )
        simulation.schedule_arrivals(
            "call", 15, 20, work=55, objective=200, deadline=600, urgency=1
        )
        simulation.run()
        self.assertTrue(simulation.share("call", "on time", "late") > 0.95, simulation.ends)
        self.assertTrue(simulation.share("export", "on time", "late") > 0.6, simulation.ends)
