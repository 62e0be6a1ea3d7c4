"""Load: a third of the targets is lost while the others have just enough room."""

from datetime import timedelta

from testtools import TestCase

from test.load.fleet import Fleet


class CapacityLostTest(TestCase):
    def test_the_targets_that_are_left_serve_what_they_can(self):
        """Guards against requests that are refused, or late, while targets have room."""
        fleet = Fleet()
        for number, zone in enumerate("abcabc"):
            fleet.add(f"t{number}", zone)
        for name in ("t0", "t4"):
            fleet.after(timedelta(seconds=8), lambda name=name: fleet.remove(name))
        # 36 slots are left for work that fills 27 of them.
        fleet.play(135, 20)
        self.assertTrue(fleet.share("on time") > 0.95, fleet.ends)
        self.assertTrue(fleet.share("refused") < 0.01, fleet.ends)
