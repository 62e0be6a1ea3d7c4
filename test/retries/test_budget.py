"""Tests of the retry budgets of nodes that share a limit."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.retries.budget import RetryBudget

WINDOW = timedelta(seconds=10)
# Nodes, allowed minimum of retries: small and large deployments of the users.
DEPLOYMENTS = ((9, 56), (16, 56), (61, 162), (90, 220), (194, 430))


def node_budget(nodes, minimum):
    clock = ManualClock()
    budget = RetryBudget(clock=clock)
    budget.set_part_of(ratio=0.2, minimum=minimum, window=WINDOW, nodes=nodes)
    return clock, budget


def take_all(budget):
    granted = 0
    while budget.withdraw("s"):
        granted += 1
    return granted


class SharedMinimumTest(TestCase):
    def test_minimum_below_one_retry_per_second_adds_up(self):
        """Guards against a minimum that no node can use because its part of a second is below 1.

        All deployments of the users have less than one retry per second and node.
        """
        for nodes, minimum in DEPLOYMENTS:
            clock, budget = node_budget(nodes, minimum)
            take_all(budget)
            clock.advance(WINDOW * 5)
            self.assertTrue(budget.withdraw("s"), (nodes, minimum))

    def test_all_nodes_together_stay_within_the_minimum(self):
        """Guards against saved retries that exceed the limit when all nodes use them at once."""
        for nodes, minimum in DEPLOYMENTS:
            clock, budget = node_budget(nodes, minimum)
            take_all(budget)
            clock.advance(timedelta(hours=1))
            granted = take_all(budget)
            for _ in range(100):
                clock.advance(WINDOW / 100)
                granted += take_all(budget)
            self.assertTrue(granted * nodes <= minimum, (nodes, minimum, granted))
