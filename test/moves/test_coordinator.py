"""Tests of the coordinator of a move."""

from testtools import TestCase

from almondshore.core.messages import MoveStep, Veto
from almondshore.moves.coordinator import Status
from almondshore.rules.model import MoveState
from test.moves.helpers import World


class MoveCoordinatorTest(TestCase):
    def test_good_version_is_done_before_the_deadline(self):
        """Guards against a good version that misses its deadline."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        sent = world.run(coordinator, 290)
        self.assertEqual([0, 1, 2, 3, 4, 5], [message.step for message in sent])
        self.assertEqual([("m1", MoveState.DONE)], world.publisher.published)
        self.assertEqual(Status.DONE, coordinator.report().status)

    def test_bad_version_is_vetoed_and_reverted(self):
        """Guards against a bad version that keeps its share."""
        world = World(seconds=300)
        world.rates["v2"] = 0.5
        coordinator = world.coordinator(1)
        sent = world.run(coordinator, 30)
        self.assertEqual([MoveStep, MoveStep, Veto], [type(message) for message in sent])
        self.assertEqual({"v1": 1.0}, coordinator.table.weights(world.part))
        self.assertEqual([("m1", MoveState.REVERTED)], world.publisher.published)
        self.assertIn("veto/counter-app/v2", world.store.objects)
        self.assertEqual(Status.REVERTED, coordinator.report().status)
