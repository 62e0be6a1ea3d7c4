"""Load: all callers are in one zone, whose targets cannot serve all their requests."""

from testtools import TestCase

from bench.load_choosers import RandomChooser
from bench.load_scenarios import clients_moved, simulate


class ClientsMovedTest(TestCase):
    def test_other_zones_serve_the_excess_requests(self):
        """Guards against requests that are refused or late though other zones have capacity."""
        system = simulate(clients_moved)
        self.assertTrue(system.share("on time") > 0.95, system.ends)

    def test_a_choice_that_ignores_zones_serves_hardly_more_in_time(self):
        """Guards against requests that wait in their zone although another zone would be faster."""
        random_choice = simulate(clients_moved, chooser=RandomChooser)
        system = simulate(clients_moved)
        difference = random_choice.share("on time") - system.share("on time")
        self.assertTrue(difference < 0.02, (system.ends, random_choice.ends))

    def test_own_zone_is_used_while_it_has_capacity(self):
        """Guards against traffic between zones, which is charged, without need."""
        system = simulate(lambda model: clients_moved(model, per_s=20))
        self.assertTrue(system.sent_share("t0") > 0.95, system.sent)
