"""Tests of the expected service times."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.placement.cost import (
    DEFAULT_SERVICE_TIME,
    MAX_ROUTES,
    MAX_VALUES,
    SERVICE_TIME_GAIN,
    CostModel,
    Features,
)

MEAN_S = 0.1
TENANTS = 40


class CostModelTest(TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(1)
        self.model = CostModel()

    def observe(self, features, cost=1.0, spread=0.4):
        work_s = MEAN_S * cost * self.rng.lognormvariate(-spread * spread / 2, spread)
        self.model.observe(features, timedelta(seconds=work_s))
        return work_s

    def expected_cost(self, features):
        return self.model.expected(features).total_seconds() / MEAN_S

    def draw(self):
        path = b"/%d" % self.rng.randrange(300)
        return Features("r", path, f"t{self.rng.randrange(TENANTS)}", self.rng.randrange(10_000))

    def test_uniform_route_has_a_moving_average(self):
        """Guards against structure that is read into the spread of equal requests.

        A moving average with the same gain is the reference; its mean error is about 10%.
        """
        average_s, errors, reference_errors = MEAN_S, [], []
        for _ in range(4000):
            features = self.draw()
            errors.append(abs(self.expected_cost(features) - 1.0))
            reference_errors.append(abs(average_s / MEAN_S - 1.0))
            average_s += (self.observe(features, spread=0.5) - average_s) * SERVICE_TIME_GAIN
        self.assertTrue(sum(errors) < 1.1 * sum(reference_errors), sum(errors))

    def test_each_feature_that_predicts_the_cost_is_learned(self):
        """Guards against requests of 10 times the work that count as others of their route do."""
        for is_expensive in (
            lambda features: features.tenant in ("t1", "t2"),
            lambda features: features.path.startswith(b"/reports/"),
            lambda features: features.body_bytes > 4096,
        ):
            self.model = CostModel()
            for _ in range(3000):
                features = self.draw()
                if self.rng.random() < 0.1:
                    path = b"/reports/%d" % self.rng.randrange(1_000_000)
                    features = features._replace(path=path)
                self.observe(features, 10.0 if is_expensive(features) else 1.0)
            for features in (
                Features("r", b"/reports/7", "t3", 100),
                Features("r", b"/3", "t1", 100),
                Features("r", b"/3", "t3", 8000),
            ):
                cost = 10.0 if is_expensive(features) else 1.0
                ratio = self.expected_cost(features) / cost
                self.assertTrue(0.5 < ratio < 2.0, (features, ratio))

    def test_an_unseen_value_has_the_mean_of_its_route(self):
        """Guards against new tenants that count as cheap ones."""
        for number in range(8000):
            tenant = f"t{number % 10}"
            self.observe(Features("r", b"", tenant), 10.0 if tenant == "t0" else 1.0)
        for features in (Features("r", b"", "new"), Features("r")):
            self.assertTrue(1.3 < self.expected_cost(features) < 2.6, features)
        self.assertTrue(self.model.relative(Features("r", b"", "t0")) > 3.0)

    def test_a_slower_target_is_followed_for_all_values(self):
        """Guards against a target that became slow while few of the tenants sent requests."""
        for _ in range(1000):
            self.observe(self.draw())
        for _ in range(20):
            self.observe(self.draw()._replace(tenant="t1"), 12.0)
        expected = [self.expected_cost(Features("r", b"/1", f"t{n}", 100)) for n in (1, 2, 3)]
        self.assertTrue(all(6.0 < cost < 24.0 for cost in expected), expected)

    def test_unknown_routes(self):
        """Guards against a cold start without an estimate."""
        self.assertEqual(DEFAULT_SERVICE_TIME, self.model.expected(Features("r")))
        self.assertIsNone(self.model.observed("r"))
        self.model.observe(Features("other"), timedelta(seconds=2))
        self.assertEqual(timedelta(seconds=2), self.model.expected(Features("r", b"/a", "t")))
        self.assertEqual(timedelta(seconds=2), self.model.observed("other"))

    def test_memory_is_bounded_and_frequent_values_survive(self):
        """Guards against callers that displace what was learned with ever new paths."""
        for number in range(3 * MAX_VALUES["path"]):
            path = b"/r/report" if number % 50 == 0 else b"/r/%d" % number
            self.observe(Features("r", path, f"t{number}", number), 10.0 if number % 50 == 0 else 1)
        for name, bound in MAX_VALUES.items():
            self.assertTrue(len(self.model.values[name]) <= bound)
        expected = self.expected_cost(Features("r", b"/r/report"))
        self.assertTrue(expected > 5.0, expected)

    def test_values_outlive_their_evicted_route(self):
        """Guards against an expected time that stays wrong after its route was evicted.

        The entries of its values are kept; they must go on learning although the route, when it
        returns, has only requests of one path and tenant.
        """
        cheap, expensive = Features("r", b"/a", "t1", 10), Features("r", b"/b", "t2", 9000)
        for _ in range(200):
            self.observe(cheap, cost=0.5, spread=0.1)
            self.observe(expensive, cost=4.0, spread=0.1)
        for number in range(MAX_ROUTES):
            self.model.observe(Features(f"other{number}"), timedelta(milliseconds=100))
        self.assertNotIn("r", self.model.routes)
        for _ in range(500):
            self.observe(expensive, cost=4.0, spread=0.1)
        self.assertTrue(3.0 < self.expected_cost(expensive) < 5.0, self.expected_cost(expensive))
