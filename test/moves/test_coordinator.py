"""Tests of the coordinator of a move."""

from datetime import timedelta

import msgspec
from testtools import TestCase

from almondshore.core.messages import MoveStep, Veto
from almondshore.moves.coordinator import Status, TargetCounts
from almondshore.moves.record import MoveRecord
from almondshore.moves.state import MoveTable
from almondshore.rules.model import MoveState
from standins.object_store import Fault
from test.moves.helpers import SERVICE, START, World, make_part, row

DONE = [("m1", MoveState.DONE)]
REVERTED = [("m1", MoveState.REVERTED)]


def record(world):
    return msgspec.msgpack.decode(world.store.objects[f"move/{SERVICE}"].value, type=MoveRecord)


def steps(messages):
    return [(message.epoch, message.step) for message in messages if isinstance(message, MoveStep)]


class MoveCoordinatorTest(TestCase):
    def test_good_version_is_done_before_the_deadline(self):
        """Guards against a good version that misses its deadline."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        sent = world.run(coordinator, 290)
        self.assertEqual([(1, n) for n in range(6)], steps(sent))
        self.assertEqual(DONE, world.publisher.published)
        self.assertEqual(Status.DONE, coordinator.report().status)

    def test_bad_version_is_vetoed_and_reverted(self):
        """Guards against a bad version that keeps its share."""
        world = World(seconds=300)
        world.rates["v2"] = 0.5
        coordinator = world.coordinator(1)
        sent = world.run(coordinator, 30)
        self.assertEqual([MoveStep, MoveStep, Veto], [type(message) for message in sent])
        self.assertEqual({"v1": 1.0}, coordinator.table.weights(world.part))
        self.assertEqual(REVERTED, world.publisher.published)
        self.assertIn("veto/counter-app/v2", world.store.objects)
        report = coordinator.report()
        self.assertEqual((Status.REVERTED, True), (report.status, report.recorded))
        self.assertIn("v2", report.evidence)

    def test_fault_after_completion_is_rolled_back(self):
        """Guards against a version that turns bad once the move is reported done."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.run(coordinator, 290)
        world.part = make_part(seconds=300, state="done")
        coordinator.set_configuration(world.part, 8)
        world.rates["v2"] = 0.3
        sent = world.run(coordinator, 5)
        self.assertEqual([Veto], [type(message) for message in sent])
        self.assertEqual(DONE + REVERTED, world.publisher.published)
        self.assertEqual({"v1": 1.0}, coordinator.table.weights(world.part))

    def test_fault_after_completion_is_found_by_a_successor(self):
        """Guards against old rates that are lost with the coordinator that saw them."""
        world = World(seconds=300)
        table = MoveTable()
        world.run(world.coordinator(1, table), 250)
        world.rates["v2"] = 0.3
        sent = world.run(world.coordinator(2, table), 5)
        self.assertEqual([MoveStep, Veto], [type(message) for message in sent])

    def test_rollback_recorded_by_a_predecessor_is_published_after_an_outage(self):
        """Guards against a takeover during an outage that completes a reverted move."""
        world = World(seconds=300)
        world.rates["v2"] = 0.5
        world.run(world.coordinator(1), 30)
        world.publisher.published.clear()
        world.rates["v2"] = 0.0
        world.store.fault = Fault.DOWN
        successor = world.coordinator(2)
        world.run(successor, 20)
        world.store.fault = Fault.NONE
        world.run(successor, 10)
        self.assertEqual("reverted", record(world).state)
        self.assertEqual(REVERTED, world.publisher.published)

    def test_killed_after_the_record_its_step_is_announced_by_the_next(self):
        """Guards against a step that is recorded and never takes effect."""
        world = World(seconds=300)
        world.run(world.coordinator(1), 80)
        self.assertEqual(2, record(world).step)
        successor = world.coordinator(2)
        sent = world.run(successor, 1)
        self.assertEqual([(2, 2)], steps(sent))
        world.run(successor, 210)
        self.assertEqual(DONE, world.publisher.published)

    def test_killed_before_the_record_its_step_is_kept(self):
        """Guards against a share that falls back to the record after an outage."""
        world = World(seconds=300)
        table = MoveTable()
        first = world.coordinator(1, table)
        world.run(first, 30)
        world.store.fault = Fault.DOWN
        world.run(first, 120)
        self.assertEqual((1, 3), (record(world).step, table.step(world.part).step))
        world.store.fault = Fault.NONE
        sent = world.run(world.coordinator(2, table), 1)
        self.assertEqual([(2, 3)], steps(sent))
        self.assertEqual((2, 3), (record(world).epoch, record(world).step))

    def test_paused_coordinator_changes_nothing_when_it_wakes(self):
        """Guards against a holder whose lease expired while it was paused."""
        world = World(seconds=300)
        paused = world.coordinator(1)
        world.run(paused, 30)
        successor = world.coordinator(2)
        world.run(successor, 120)
        before = dict(world.store.objects)
        self.assertEqual([], world.run(paused, 60))
        self.assertTrue(paused.fenced)
        self.assertEqual(before, world.store.objects)
        self.assertEqual([], world.publisher.published)

    def test_paused_coordinator_in_an_outage_moves_no_receiver(self):
        """Guards against an old holder that cannot see the record of its successor."""
        world = World(seconds=300)
        paused, successor = world.coordinator(1), world.coordinator(2)
        world.run(paused, 30)
        sent = world.run(successor, 30)
        world.store.fault = Fault.DOWN
        stale = world.run(paused, 200)
        self.assertNotEqual([], steps(stale))
        receiver = MoveTable()
        for message in sent + stale:
            receiver.apply_step(message)
        self.assertEqual(successor.table.step(world.part), receiver.step(world.part))

    def test_successor_heard_of_through_a_message_ends_the_old_holder(self):
        """Guards against two coordinators that both move a service during an outage."""
        world = World(seconds=300)
        first = world.coordinator(1)
        world.run(first, 30)
        world.store.fault = Fault.DOWN
        first.table.apply_step(MoveStep(SERVICE, "m1", 2, 1))
        self.assertEqual([], world.run(first, 200))

    def test_outage_across_the_deadline(self):
        """Guards against a deadline missed because the platform is down."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.run(coordinator, 40)
        world.store.fault = Fault.DOWN
        sent = world.run(coordinator, 320)
        self.assertEqual([2, 3, 4, 5], [step for _, step in steps(sent)])
        self.assertEqual({"v2": 1.0}, coordinator.table.weights(world.part))
        self.assertFalse(coordinator.report().recorded)
        world.store.fault = Fault.NONE
        world.run(coordinator, 10)
        self.assertEqual((5, "done"), (record(world).step, record(world).state))
        self.assertEqual(DONE, world.publisher.published)

    def test_rollback_in_an_outage_acts_at_once_and_is_recorded_later(self):
        """Guards against a bad version that stays until the platform is back."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.run(coordinator, 10)
        world.store.fault = Fault.DOWN
        world.rates["v2"] = 0.5
        sent = world.run(coordinator, 30)
        self.assertEqual([Veto], [type(message) for message in sent])
        world.store.fault = Fault.NONE
        world.run(coordinator, 10)
        self.assertEqual(REVERTED, world.publisher.published)
        self.assertIn("veto/counter-app/v2", world.store.objects)

    def test_lost_responses_of_the_platform_fence_nobody(self):
        """Guards against a coordinator that takes its own write for a successor's."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.store.fault = Fault.LOSE_ANSWERS
        sent = world.run(coordinator, 250)
        world.store.fault = Fault.NONE
        world.run(coordinator, 40)
        self.assertFalse(coordinator.fenced)
        self.assertEqual([(1, n) for n in range(6)], steps(sent))
        self.assertEqual("done", record(world).state)

    def test_veto_of_a_node_is_recorded_and_published(self):
        """Guards against a veto that lasts only as long as the nodes that know it."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.run(coordinator, 10)
        coordinator.table.add_veto(Veto(SERVICE, "v2", 7, "errors", "n9", START))
        world.run(coordinator, 3)
        self.assertEqual(REVERTED, world.publisher.published)
        self.assertEqual("reverted", record(world).state)

    def test_recorded_veto_survives_the_restart_of_every_node(self):
        """Guards against a bad version that returns after a restart of the whole fleet."""
        world = World(seconds=300)
        world.rates["v2"] = 0.5
        world.run(world.coordinator(1), 30)
        world.publisher.published.clear()
        successor = world.coordinator(2)
        world.run(successor, 3)
        self.assertEqual({"v1": 1.0}, successor.table.weights(world.part))
        self.assertEqual(REVERTED, world.publisher.published)

    def test_missing_capacity_is_reported_at_risk(self):
        """Guards against a deadline that passes without a word to the operator."""
        world = World(seconds=300)
        world.fleet = TargetCounts(new_targets=1, new_slots=2, old_targets=4, old_slots=40)
        coordinator = world.coordinator(1)
        world.run(coordinator, 290)
        report = coordinator.report()
        self.assertEqual(Status.AT_RISK, report.status)
        self.assertIn("capacity", report.reason)
        self.assertLess(report.step, 5)

    def test_cold_start_of_the_version_is_not_slowness(self):
        """Guards against a good version reverted while its caches fill."""
        world = World(seconds=300)
        coordinator = world.coordinator(1)
        world.run(coordinator, 5)
        world.requests = 0
        slow = row("v2", 10, bucket=12)
        self.assertEqual([], world.run(coordinator, 20, extra=[slow, row("v1", 190)]))
        sent = world.run(coordinator, 40, extra=[slow, row("v1", 190)])
        self.assertIn(Veto, {type(message) for message in sent})

    def test_allow_rule_starts_a_new_verdict(self):
        """Guards against an override that the old evidence cancels at once."""
        world = World(seconds=300)
        world.rates["v2"] = 0.5
        coordinator = world.coordinator(1)
        world.run(coordinator, 20)
        self.assertIsNotNone(coordinator.verdict.regression)
        coordinator.set_configuration(make_part(allowed={"v2": 9}), 9)
        self.assertIsNone(coordinator.verdict)
        self.assertEqual(timedelta(seconds=20), world.clock.elapsed)
