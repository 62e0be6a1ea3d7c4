"""Load: a target takes two of five requests and never answers them."""

from testtools import TestCase

from test.load.fleet import Fleet


class UnansweredRequestsTest(TestCase):
    def test_target_that_swallows_requests_gets_little(self):
        """Guards against a target that is chosen on, since what it swallows has no result."""
        fleet = Fleet()
        fleet.add("t1", "a", unanswered=0.4)
        for name, zone in (("t2", "b"), ("t3", "c"), ("t4", "a")):
            fleet.add(name, zone)
        fleet.play(60, 20)
        self.assertTrue(fleet.sent_share("t1") < 0.12, fleet.sent)
        self.assertTrue(fleet.share("failed") < 0.04, fleet.ends)
