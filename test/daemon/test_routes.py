"""Tests of the routes of a node."""

from testtools import TestCase

from almondshore.core.messages import MoveStep
from almondshore.daemon.routes import RouteUpdater
from almondshore.moves.state import MoveTable
from almondshore.versions.view import RoutingView
from test.moves.helpers import SERVICE, make_part, make_targets

TARGETS = make_targets({"v1": ["a1", "a2", "a3", "a4"], "v2": ["b1", "b2", "b3", "b4"]})


class FakeBuilder:
    """Returns the view that a test has set."""

    def __init__(self):
        self.current = RoutingView(0, {}, {}, {}, frozenset())
        self.services = {}

    def view(self):
        return self.current

    def set(self, version, part, idle=()):
        self.services = {SERVICE: part} | {other["name"]: other for other in idle}
        active, idle_names = {SERVICE: part}, frozenset(other["name"] for other in idle)
        self.current = RoutingView(version, active, {SERVICE: TARGETS}, {}, idle_names)


class FakeSink:
    """Stands in for the chooser, the tenant limits and the retry budget."""

    def __init__(self):
        self.targets = {}

    def update(self, service, records):
        self.targets[service] = [record.target for record in records]

    def configure(self, tenants):
        pass

    def keep(self, services):
        pass


class RouteUpdaterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.builder, self.sink, self.moves = FakeBuilder(), FakeSink(), MoveTable()
        self.updater = RouteUpdater(
            builder=self.builder,
            moves=self.moves,
            chooser=self.sink,
            tenants=self.sink,
            budget=self.sink,
        )

    def new_targets(self, step_number=None):
        if step_number is not None:
            self.moves.apply_step(MoveStep(SERVICE, "m1", 1, step_number))
        self.updater.refresh(ready=True)
        return [name for name in self.sink.targets[SERVICE] if name.startswith("b")]

    def test_move_uses_few_new_targets_until_its_last_step(self):
        """Guards against a small share spread over all new targets, so that none gets full load."""
        self.builder.set(1, make_part())
        self.assertEqual(
            [1, 2, 4], [len(self.new_targets(step_number)) for step_number in (1, 4, 5)]
        )

    def test_all_targets_are_used_after_a_move(self):
        """Guards against a service limited to few targets after its move is done or removed."""
        self.builder.set(1, make_part())
        self.assertEqual(1, len(self.new_targets(3)))
        self.builder.set(2, {**make_part(), "move": None})
        self.assertEqual(4, len(self.new_targets()))
        self.builder.set(3, make_part(state="done"))
        self.assertEqual(4, len(self.new_targets()))

    def test_route_without_targets_is_in_the_table(self):
        """Guards against 404, or another service's response, for a route without known targets."""
        route = {"path": "/a/*", "methods": ["GET"]}
        part = {**make_part(), "routes": [route]}
        idle = {**make_part(), "name": "idle", "routes": [{**route, "path": "/a/b/*"}]}
        self.builder.set(1, part, idle=[idle])
        self.updater.refresh(ready=True)
        table, weights = self.updater.current.table, self.updater.current.weights
        self.assertEqual("idle", table.match("GET", "/a/b/1").service)
        self.assertEqual(SERVICE, table.match("GET", "/a/1").service)
        self.assertEqual({SERVICE}, weights.keys())
