"""Load: all callers are in one zone, whose targets cannot serve them alone."""

from testtools import TestCase

from test.load.fleet import Fleet


class ClientsMovedTest(TestCase):
    def play(self, per_s):
        fleet = Fleet()
        for number, zone in enumerate("abc"):
            fleet.add(f"t{number}", zone)
        fleet.play(per_s, 20, zones=("a",))
        return fleet

    def test_other_zones_take_what_does_not_fit(self):
        """Guards against requests that are refused or late though other zones have room."""
        # The work fills 20 slots; the zone has 9, all zones have 27.
        fleet = self.play(100)
        self.assertTrue(fleet.share("on time") > 0.95, fleet.ends)

    def test_the_own_zone_is_used_as_long_as_it_has_room(self):
        """Guards against traffic between zones, which is charged, without a need."""
        fleet = self.play(20)
        self.assertTrue(fleet.sent_share("t0") > 0.95, fleet.sent)
