"""Load: one request of ten costs 10 times as much, as its path or its tenant tells."""

from statistics import fmean

from testtools import TestCase

from bench.load_former import FormerChooser
from bench.load_patterns import hidden_costs_by_path, hidden_costs_by_tenant
from bench.load_scenarios import simulate


def mean_s(system, kind):
    return fmean(time.total_seconds() for time in system.times_by_kind[kind])


class HiddenCostsTest(TestCase):
    def test_cheap_requests_do_not_wait_behind_expensive_ones(self):
        """Guards against targets that look fast or slow by the costs of their last requests."""
        for pattern in (hidden_costs_by_path, hidden_costs_by_tenant):
            system = simulate(pattern)
            former = simulate(pattern, chooser=FormerChooser)
            cheap, former_cheap = mean_s(system, "cheap"), mean_s(former, "cheap")
            self.assertTrue(cheap < 0.8 * former_cheap, (pattern.__name__, cheap, former_cheap))
            expensive, former_expensive = mean_s(system, "expensive"), mean_s(former, "expensive")
            self.assertTrue(expensive < former_expensive, (expensive, former_expensive))
