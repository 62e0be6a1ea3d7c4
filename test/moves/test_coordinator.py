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
from test.moves.helpers import SERVICE, START, Simulation, make_part, row

DONE = [("m1", MoveState.DONE)]
REVERTED = [("m1", MoveState.REVERTED)]


def record(simulation):
    return msgspec.msgpack.decode(
        simulation.store.objects[f"move/{SERVICE}"].value, type=MoveRecord
    )


def steps(messages):
    return [(message.epoch, message.step) for message in messages if isinstance(message, MoveStep)]


class MoveCoordinatorTest(TestCase):
    def test_good_version_is_done_before_the_deadline(self):
        """Guards against a good version that misses its deadline."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        sent = simulation.run(coordinator, 290)
        self.assertEqual([(1, n) for n in range(6)], steps(sent))
        self.assertEqual(DONE, simulation.publisher.published)
        self.assertEqual(Status.DONE, coordinator.report().status)

    def test_bad_version_is_vetoed_and_reverted(self):
        """Guards against a bad version that keeps its share."""
        simulation = Simulation(seconds=300)
        simulation.error_rates["v2"] = 0.5
        coordinator = simulation.coordinator(1)
        sent = simulation.run(coordinator, 30)
        self.assertEqual([MoveStep, MoveStep, Veto], [type(message) for message in sent])
        self.assertEqual({"v1": 1.0}, coordinator.table.weights(simulation.part))
        self.assertEqual(REVERTED, simulation.publisher.published)
        self.assertIn("veto/counter-app/v2", simulation.store.objects)
        report = coordinator.report()
        self.assertEqual((Status.REVERTED, True), (report.status, report.recorded))
        self.assertIn("v2", report.evidence)

    def test_fault_after_completion_is_rolled_back(self):
        """Guards against keeping a version that becomes faulty after the move is done."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 290)
        simulation.part = make_part(seconds=300, state="done")
        coordinator.set_configuration(simulation.part, 8)
        simulation.error_rates["v2"] = 0.3
        sent = simulation.run(coordinator, 5)
        self.assertEqual([Veto], [type(message) for message in sent])
        self.assertEqual(DONE + REVERTED, simulation.publisher.published)
        self.assertEqual({"v1": 1.0}, coordinator.table.weights(simulation.part))

    def test_fault_after_completion_is_found_by_a_successor(self):
        """Guards against losing the old version's rates when the coordinator is replaced."""
        simulation = Simulation(seconds=300)
        table = MoveTable()
        simulation.run(simulation.coordinator(1, table), 250)
        simulation.error_rates["v2"] = 0.3
        sent = simulation.run(simulation.coordinator(2, table), 5)
        self.assertEqual([MoveStep, Veto], [type(message) for message in sent])

    def test_rollback_recorded_by_a_predecessor_is_published_after_an_outage(self):
        """Guards against a successor that completes a reverted move after an outage."""
        simulation = Simulation(seconds=300)
        simulation.error_rates["v2"] = 0.5
        simulation.run(simulation.coordinator(1), 30)
        simulation.publisher.published.clear()
        simulation.error_rates["v2"] = 0.0
        simulation.store.fault = Fault.DOWN
        successor = simulation.coordinator(2)
        simulation.run(successor, 20)
        simulation.store.fault = Fault.NONE
        simulation.run(successor, 10)
        self.assertEqual("reverted", record(simulation).state)
        self.assertEqual(REVERTED, simulation.publisher.published)

    def test_successor_announces_a_step_recorded_before_a_crash(self):
        """Guards against a step that is recorded and never takes effect."""
        simulation = Simulation(seconds=300)
        simulation.run(simulation.coordinator(1), 80)
        self.assertEqual(2, record(simulation).step)
        successor = simulation.coordinator(2)
        sent = simulation.run(successor, 1)
        self.assertEqual([(2, 2)], steps(sent))
        simulation.run(successor, 210)
        self.assertEqual(DONE, simulation.publisher.published)

    def test_successor_keeps_a_step_that_was_not_recorded(self):
        """Guards against a share that falls back to the record after an outage."""
        simulation = Simulation(seconds=300)
        table = MoveTable()
        first = simulation.coordinator(1, table)
        simulation.run(first, 30)
        simulation.store.fault = Fault.DOWN
        simulation.run(first, 120)
        self.assertEqual((1, 3), (record(simulation).step, table.step(simulation.part).step))
        simulation.store.fault = Fault.NONE
        sent = simulation.run(simulation.coordinator(2, table), 1)
        self.assertEqual([(2, 3)], steps(sent))
        self.assertEqual((2, 3), (record(simulation).epoch, record(simulation).step))

    def test_paused_coordinator_changes_nothing_when_it_resumes(self):
        """Guards against writes by a coordinator whose lease expired while it was paused."""
        simulation = Simulation(seconds=300)
        paused = simulation.coordinator(1)
        simulation.run(paused, 30)
        successor = simulation.coordinator(2)
        simulation.run(successor, 120)
        before = dict(simulation.store.objects)
        self.assertEqual([], simulation.run(paused, 60))
        self.assertTrue(paused.fenced)
        self.assertEqual(before, simulation.store.objects)
        self.assertEqual([], simulation.publisher.published)

    def test_paused_coordinator_in_an_outage_changes_no_receiver(self):
        """Guards against steps of a paused coordinator that cannot read its successor's record."""
        simulation = Simulation(seconds=300)
        paused, successor = simulation.coordinator(1), simulation.coordinator(2)
        simulation.run(paused, 30)
        sent = simulation.run(successor, 30)
        simulation.store.fault = Fault.DOWN
        stale = simulation.run(paused, 200)
        self.assertNotEqual([], steps(stale))
        receiver = MoveTable()
        for message in sent + stale:
            receiver.apply_step(message)
        self.assertEqual(successor.table.step(simulation.part), receiver.step(simulation.part))

    def test_message_of_a_successor_fences_the_old_coordinator(self):
        """Guards against two coordinators that both take steps of a move during an outage."""
        simulation = Simulation(seconds=300)
        first = simulation.coordinator(1)
        simulation.run(first, 30)
        simulation.store.fault = Fault.DOWN
        first.table.apply_step(MoveStep(SERVICE, "m1", 2, 1))
        self.assertEqual([], simulation.run(first, 200))

    def test_outage_across_the_deadline(self):
        """Guards against a deadline missed because the platform is down."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 40)
        simulation.store.fault = Fault.DOWN
        sent = simulation.run(coordinator, 320)
        self.assertEqual([2, 3, 4, 5], [step for _, step in steps(sent)])
        self.assertEqual({"v2": 1.0}, coordinator.table.weights(simulation.part))
        self.assertFalse(coordinator.report().recorded)
        simulation.store.fault = Fault.NONE
        simulation.run(coordinator, 10)
        self.assertEqual((5, "done"), (record(simulation).step, record(simulation).state))
        self.assertEqual(DONE, simulation.publisher.published)

    def test_rollback_in_an_outage_acts_at_once_and_is_recorded_later(self):
        """Guards against a bad version that stays until the platform is available again."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 10)
        simulation.store.fault = Fault.DOWN
        simulation.error_rates["v2"] = 0.5
        sent = simulation.run(coordinator, 30)
        self.assertEqual([Veto], [type(message) for message in sent])
        simulation.store.fault = Fault.NONE
        simulation.run(coordinator, 10)
        self.assertEqual(REVERTED, simulation.publisher.published)
        self.assertIn("veto/counter-app/v2", simulation.store.objects)

    def test_lost_platform_responses_do_not_fence_the_coordinator(self):
        """Guards against a coordinator that mistakes its own write for a successor's."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.store.fault = Fault.LOSE_ANSWERS
        sent = simulation.run(coordinator, 250)
        simulation.store.fault = Fault.NONE
        simulation.run(coordinator, 40)
        self.assertFalse(coordinator.fenced)
        self.assertEqual([(1, n) for n in range(6)], steps(sent))
        self.assertEqual("done", record(simulation).state)

    def test_veto_of_a_node_is_recorded_and_published(self):
        """Guards against losing a veto when the nodes that know it restart."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 10)
        coordinator.table.add_veto(Veto(SERVICE, "v2", 7, "errors", "n9", START))
        simulation.run(coordinator, 3)
        self.assertEqual(REVERTED, simulation.publisher.published)
        self.assertEqual("reverted", record(simulation).state)

    def test_recorded_veto_survives_the_restart_of_every_node(self):
        """Guards against a bad version that gets requests again after a restart of all nodes."""
        simulation = Simulation(seconds=300)
        simulation.error_rates["v2"] = 0.5
        simulation.run(simulation.coordinator(1), 30)
        simulation.publisher.published.clear()
        successor = simulation.coordinator(2)
        simulation.run(successor, 3)
        self.assertEqual({"v1": 1.0}, successor.table.weights(simulation.part))
        self.assertEqual(REVERTED, simulation.publisher.published)

    def test_missing_capacity_is_reported_at_risk(self):
        """Guards against missing a deadline without reporting it to the operator."""
        simulation = Simulation(seconds=300)
        simulation.target_counts = TargetCounts(
            new_targets=1, new_slots=2, old_targets=4, old_slots=40
        )
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 290)
        report = coordinator.report()
        self.assertEqual(Status.AT_RISK, report.status)
        self.assertIn("capacity", report.reason)
        self.assertLess(report.step, 5)

    def test_cold_start_does_not_count_as_a_slow_version(self):
        """Guards against a good version reverted while its caches fill."""
        simulation = Simulation(seconds=300)
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 5)
        simulation.requests = 0
        slow = row("v2", 10, bucket=12)
        self.assertEqual([], simulation.run(coordinator, 20, extra=[slow, row("v1", 190)]))
        sent = simulation.run(coordinator, 40, extra=[slow, row("v1", 190)])
        self.assertIn(Veto, {type(message) for message in sent})

    def test_allow_rule_starts_a_new_verdict(self):
        """Guards against a new veto, based on evidence from before the allow rule."""
        simulation = Simulation(seconds=300)
        simulation.error_rates["v2"] = 0.5
        coordinator = simulation.coordinator(1)
        simulation.run(coordinator, 20)
        self.assertIsNotNone(coordinator.verdict.regression)
        coordinator.set_configuration(make_part(allowed={"v2": 9}), 9)
        self.assertIsNone(coordinator.verdict)
        self.assertEqual(timedelta(seconds=20), simulation.clock.elapsed)
