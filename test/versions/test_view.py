"""Tests of the effective routing view."""

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import TargetState
from almondshore.membership.directory import Directory
from almondshore.versions.state import ConfigState
from almondshore.versions.view import ViewBuilder
from test.membership.records import make_record
from test.versions.parts import service_part, snapshot

SERVICES = ["counter-app", "fault-desk", "unknown"]


class ViewTest(TestCase):
    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        self.directory = Directory(clock=ManualClock())
        self.state = ConfigState()
        self.builder = ViewBuilder(state=self.state, directory=self.directory)
        parts = {**service_part("counter-app"), **service_part("fault-desk")}
        self.state.offer_snapshot(snapshot(1, parts))

    def test_service_without_targets_comes_back_with_them(self):
        """Guards I2 against a route to a service without targets, and one that never returns."""
        self.assertEqual({"counter-app", "fault-desk"}, self.builder.view().without_targets)
        self.directory.merge([make_record("t1", service="counter-app")])
        self.assertEqual({"counter-app"}, self.builder.view().services.keys())
        leaving = make_record("t1", service="counter-app", state=TargetState.LEAVING)
        self.directory.merge([leaving])
        self.assertEqual({}, self.builder.view().services)

    def test_split_names_only_versions_with_known_targets(self):
        """Guards I2 against a share of traffic for a version that has no known targets yet."""
        self.directory.merge([make_record("t1", service="counter-app", version="v1")])
        view = self.builder.view()
        self.assertEqual({"v1": 1.0}, view.split("counter-app", {"v1": 0.75, "v2": 0.25}))
        self.assertEqual({}, view.split("counter-app", {"v2": 1.0}))

    def test_removed_service_leaves_the_view(self):
        """Guards I2 against routes of a service that was removed from the configuration."""
        self.directory.merge([make_record("t1", service="fault-desk")])
        self.state.offer_snapshot(snapshot(2, service_part("counter-app")))
        self.assertNotIn("fault-desk", self.builder.view().services)

    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.integers())
    def test_references_are_closed_after_every_step(self, number):
        """Guards I2 under any order of configuration and directory changes."""
        rng = random.Random(number)
        self.start()
        for step in range(30):
            if rng.random() < 0.3:
                names = rng.sample(SERVICES[:2], rng.randint(0, 2))
                parts = {k: v for name in names for k, v in service_part(name).items()}
                self.state.offer_snapshot(snapshot(2 + step, parts))
            else:
                record = make_record(
                    f"t{rng.randint(0, 4)}",
                    service=rng.choice(SERVICES),
                    version=rng.choice(["v1", "v2"]),
                    incarnation=rng.randint(1, 9),
                    state=rng.choice(list(TargetState)),
                )
                self.directory.merge([record])
            assert_closed(self, self.builder.view(), self.state, self.directory)


def assert_closed(test, view, state, directory):
    """Check that a view names only services, versions and targets that the node knows."""
    test.assertEqual(state.current.version, view.version)
    for name in view.services:
        test.assertIn(f"service/{name}", state.current.parts)
        test.assertNotEqual({}, view.targets[name])
        for version, targets in view.targets[name].items():
            test.assertGreater(len(targets), 0)
            for target in targets:
                test.assertEqual(target, directory.records[target.target])
                test.assertEqual((name, version), (target.service, target.version))
                test.assertEqual(TargetState.UP, target.state)
