"""Load: a target accepts two of five requests and never answers them."""

from testtools import TestCase

from bench.load_scenarios import simulate, target_that_never_answers


class UnansweredRequestsTest(TestCase):
    def test_target_that_does_not_answer_gets_few_requests(self):
        """Guards against choosing a target again and again because lost requests have no result."""
        system = simulate(target_that_never_answers)
        self.assertTrue(system.sent_share("t1") < 0.12, system.sent)
        self.assertTrue(system.share("failed") < 0.04, system.ends)
