"""Load: short calls of running requests meet slots that are full of long requests."""

from testtools import TestCase

from test.load.slots import SlotsBed


class CallsBehindLongRequestsTest(TestCase):
    def test_calls_are_served_while_long_requests_fill_the_slots(self):
        """Guards against calls that are refused, which fails the requests that made them.

        Seen as a target that ran no call for 10 s (chladlog-mesh, trouble-1, seed 125052883930).
        """
        bed = SlotsBed(slots=9)
        bed.arrivals("export", 20, 20, work=550, objective=1500, deadline=3000, urgency=2)
        bed.arrivals("call", 15, 20, work=55, objective=200, deadline=600, urgency=1)
        bed.play()
        self.assertTrue(bed.share("call", "on time", "late") > 0.95, bed.ends)
        self.assertTrue(bed.share("export", "on time", "late") > 0.6, bed.ends)
