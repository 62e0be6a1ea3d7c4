"""Load: all callers are in one zone, whose targets cannot serve them alone."""

from testtools import TestCase

from bench.load_choosers import RandomChooser
from bench.load_scenarios import clients_moved, play


class ClientsMovedTest(TestCase):
    def test_other_zones_take_what_does_not_fit(self):
        """Guards against requests that are refused or late though other zones have room."""
        system = play(clients_moved)
        self.assertTrue(system.share("on time") > 0.95, system.ends)

    def test_a_choice_that_ignores_zones_serves_hardly_more_in_time(self):
        """Guards against requests that wait in their zone for the sake of its nearness."""
        plain = play(clients_moved, chooser=RandomChooser)
        system = play(clients_moved)
        lost = plain.share("on time") - system.share("on time")
        self.assertTrue(lost < 0.02, (system.ends, plain.ends))

    def test_the_own_zone_is_used_as_long_as_it_has_room(self):
        """Guards against traffic between zones, which is charged, without a need."""
        system = play(lambda model: clients_moved(model, per_s=20))
        self.assertTrue(system.sent_share("t0") > 0.95, system.sent)
