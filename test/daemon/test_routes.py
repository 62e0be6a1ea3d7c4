"""Tests of the routes of a node."""

from testtools import TestCase

from almondshore.core.messages import MoveStep
from almondshore.daemon.routes import RouteKeeper
from almondshore.moves.state import MoveTable
from almondshore.versions.view import RoutingView
from test.moves.helpers import SERVICE, make_part, make_targets

TARGETS = make_targets({"v1": ["a1", "a2", "a3", "a4"], "v2": ["b1", "b2", "b3", "b4"]})


class FakeBuilder:
    """Builds the view that a test sets."""

    def __init__(self):
        self.current = RoutingView(0, {}, {}, {}, frozenset())
        self.services = {}

    def view(self):
        return self.current

    def set(self, version, part, idle=()):
        self.services = {SERVICE: part} | {other["name"]: other for other in idle}
        active, without = {SERVICE: part}, frozenset(other["name"] for other in idle)
        self.current = RoutingView(version, active, {SERVICE: TARGETS}, {}, without)


class FakeSink:
    """Takes the place of the chooser, the tenant limits and the retry budget."""

    def __init__(self):
        self.targets = {}

    def update(self, service, records):
        self.targets[service] = [record.target for record in records]

    def configure(self, tenants):
        pass

    def keep(self, services):
        pass


class RouteKeeperTest(TestCase):
    def setUp(self):
        super().setUp()
        self.builder, self.sink, self.moves = FakeBuilder(), FakeSink(), MoveTable()
        self.keeper = RouteKeeper(
            builder=self.builder,
            moves=self.moves,
            chooser=self.sink,
            tenants=self.sink,
            budget=self.sink,
        )

    def new_targets(self, number=None):
        if number is not None:
            self.moves.apply_step(MoveStep(SERVICE, "m1", 1, number))
        self.keeper.refresh(ready=True)
        return [name for name in self.sink.targets[SERVICE] if name.startswith("b")]

    def test_a_move_uses_few_new_targets_until_its_last_step(self):
        """Guards against new targets that never see full load while their share is small."""
        self.builder.set(1, make_part())
        self.assertEqual([1, 2, 4], [len(self.new_targets(number)) for number in (1, 4, 5)])

    def test_the_end_of_a_move_gives_back_all_targets(self):
        """Guards against a service left with few targets when its move is done or removed."""
        self.builder.set(1, make_part())
        self.assertEqual(1, len(self.new_targets(3)))
        self.builder.set(2, {**make_part(), "move": None})
        self.assertEqual(4, len(self.new_targets()))
        self.builder.set(3, make_part(state="done"))
        self.assertEqual(4, len(self.new_targets()))

    def test_a_route_without_targets_is_known(self):
        """Guards against 404, or another service's answer, for a route whose targets are away."""
        wide = {"path": "/a/*", "methods": ["GET"]}
        part = {**make_part(), "routes": [wide]}
        idle = {**make_part(), "name": "idle", "routes": [{**wide, "path": "/a/b/*"}]}
        self.builder.set(1, part, idle=[idle])
        self.keeper.refresh(ready=True)
        table, weights = self.keeper.current.table, self.keeper.current.weights
        self.assertEqual("idle", table.match("GET", "/a/b/1").service)
        self.assertEqual(SERVICE, table.match("GET", "/a/1").service)
        self.assertEqual({SERVICE}, weights.keys())
