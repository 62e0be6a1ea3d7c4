"""Tests of nodes whose store is restored from a copy."""

import time
from datetime import timedelta

import eventlet
from testtools import TestCase

from almondshore.core.messages import CrashDeath
from almondshore.mesh import feeds
from almondshore.mesh.model import Death
from almondshore.mesh.watching import WATCHERS_PER_ZONE
from standins import mesh_deployment
from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until
from test.mesh.test_node import new_mesh

TARGETS = "almondshore-targets"
DEATHS = "almondshore-deaths"
# A node notices an era within 0.8 s, and writes its entries again within 0.6 s.
WRITTEN_AGAIN_S = 2.0
ORDER = {"service": "s", "target_version": "v2", "duration_s": 60}


class RestoreTest(TestCase):
    def setUp(self):
        super().setUp()
        bounds = mesh_deployment.BOUNDS._replace(evacuation=timedelta(seconds=5))
        self.patch(mesh_deployment, "BOUNDS", bounds)
        self.mesh = new_mesh(self)
        self.store = self.mesh.store
        self.store.era = 4
        self.store.put("config", "main", stored_config(3))
        self.mesh.add_node("n1")
        self.mesh.add_node("n2")
        self.copy = self.store.revision
        wait_until(lambda: self.all_nodes(lambda node: len(node.directory.targets) == 2))
        wait_until(lambda: {"i-n1", "i-n2"} <= self.store.objects[TARGETS].keys())
        wait_until(lambda: self.all_nodes(lambda node: node.publisher.stored is not None))
        self.copy = self.store.revision

    def all_nodes(self, condition):
        return all(condition(node) for node in self.mesh.nodes.values())

    def wait_for_era(self, number):
        wait_until(lambda: self.all_nodes(lambda node: node.store.era.number == number))

    def test_lost_entries_are_written_again_and_stay_in_effect(self):
        """Guards against targets that get no requests after the store has lost their entries."""
        self.mesh.add_node("n3")
        wait_until(lambda: self.all_nodes(lambda node: len(node.directory.targets) == 3))
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS])
        restored_at = time.monotonic()
        self.store.restore(revision=self.copy)
        self.assertNotIn("i-n3", self.store.objects[TARGETS])
        while "i-n3" not in self.store.objects[TARGETS]:
            self.assertTrue(self.all_nodes(lambda node: "i-n3" in node.directory.targets))
            self.assertTrue(time.monotonic() - restored_at < WRITTEN_AGAIN_S)
            eventlet.sleep(0.02)
        self.wait_for_era(5)
        self.mesh.announce("n3", state="draining")
        spec = lambda: self.store.get(TARGETS, "i-n3")["spec"]  # noqa: E731
        wait_until(lambda: spec()["state"] == "draining")

    def test_older_entry_of_the_copy_is_not_used(self):
        """Guards against requests for a draining target that the copy shows as ready."""
        self.mesh.announce("n2", state="draining")
        wait_until(lambda: self.store.get(TARGETS, "i-n2")["spec"]["state"] == "draining")
        first = self.mesh.nodes["n1"]
        wait_until(lambda: first.directory.targets["i-n2"].state == "draining")
        self.store.restore(revision=self.copy)
        self.assertEqual("ready", self.store.get(TARGETS, "i-n2")["spec"]["state"])
        while self.store.get(TARGETS, "i-n2")["spec"]["state"] != "draining":
            self.assertEqual("draining", first.directory.targets["i-n2"].state)
            eventlet.sleep(0.02)

    def check_departure_outlives(self, *, copy_has_entry):
        """Check that the record of a departure comes back while the target's node is down."""
        first = self.mesh.nodes["n1"]
        self.mesh.add_node("n3")
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS])
        wait_until(lambda: "i-n3" in first.directory.targets)
        copy = self.store.revision if copy_has_entry else self.copy
        self.mesh.deregister("n3")
        wait_until(lambda: first.directory.targets["i-n3"].state == "gone")
        former = self.mesh.nodes.pop("n3")
        former.close()
        former.store.era.listeners.clear()
        self.store.restore(revision=copy)

        def is_gone():
            entry = self.store.get(TARGETS, "i-n3")
            return entry is not None and entry["spec"]["state"] == "gone"

        self.assertFalse(is_gone())
        wait_until(is_gone, seconds=4)

    def test_departure_outlives_a_restore_while_its_node_is_down(self):
        """Guards against a late heartbeat that brings a target back which has left.

        Found by the soak with seed 21 and all faults.
        """
        self.check_departure_outlives(copy_has_entry=False)

    def test_departure_replaces_the_older_entry_of_the_copy(self):
        """Guards against a target that has left and returns with the copy."""
        self.check_departure_outlives(copy_has_entry=True)

    def test_older_configuration_of_the_copy_is_ignored(self):
        """Guards against a node that returns to the configuration of the copy."""
        self.store.put("config", "main", stored_config(9))
        wait_until(lambda: self.all_nodes(lambda node: node.outbound.config_version() == 9))
        self.store.restore(revision=self.copy)
        self.wait_for_era(5)
        for version, expected in ((6, 9), (9, 9), (10, 10)):
            self.store.put("config", "main", stored_config(version))
            eventlet.sleep(1.0)
            wait_until(
                lambda expected=expected: self.all_nodes(
                    lambda node: node.outbound.config_version() == expected
                )
            )

    def test_change_with_a_reused_revision_is_noticed(self):
        """Guards against changes that are missed because the store has passed the old position."""
        self.store.put(
            "rollouts", "other", {"service": "o", "target_version": "v", "duration_s": 9}
        )
        wait_until(lambda: self.all_nodes(lambda node: "o" in node.shares.rollouts))
        # The watches of the earlier era are lost, and their positions are valid again.
        self.store.pending_watches.clear()
        self.store.restore(revision=self.copy)
        for number in range(5):
            order = {"service": f"o{number}", "target_version": "v", "duration_s": 9}
            self.store.put("rollouts", f"o{number}", order)
        wait_until(
            lambda: self.all_nodes(
                lambda node: {f"o{number}" for number in range(5)} <= node.shares.rollouts.keys()
            ),
            seconds=3,
        )

    def set_progress(self, state, share):
        status = {"state": state, "target_version": "v2", "share": share}
        self.store._store("rollouts", "s", ORDER, status)

    def check_progress_is_kept(self, state, share, copy_has_order):
        """Check that progress which the copy lacks stays in effect and is written again."""

        def is_kept(node):
            rollout = node.shares.rollouts.get("s")
            return rollout is not None and rollout.state == state.replace("_", "-")

        if copy_has_order:
            self.store.put("rollouts", "s", ORDER)
            self.copy = self.store.revision
        self.set_progress(state, share)
        wait_until(lambda: self.all_nodes(is_kept))
        self.store.restore(revision=self.copy)
        if not copy_has_order:
            self.wait_for_era(5)
            eventlet.sleep(0.5)
            self.store.put("rollouts", "s", ORDER)
        ends_at = time.monotonic() + 3
        while (self.store.get("rollouts", "s")["status"] or {}).get("state") != state:
            self.assertTrue(self.all_nodes(is_kept))
            self.assertTrue(time.monotonic() < ends_at)
            eventlet.sleep(0.05)
        eventlet.sleep(0.3)
        self.assertTrue(self.all_nodes(is_kept))

    def test_rolled_back_version_does_not_return(self):
        """Guards against requests for a faulty version after its rollback was lost."""
        self.check_progress_is_kept("rolled_back", 0.0, True)

    def test_rolled_back_version_does_not_return_with_its_order(self):
        """Guards against requests for a faulty version whose order is written again."""
        self.check_progress_is_kept("rolled_back", 0.0, False)

    def test_completed_rollout_is_written_again(self):
        """Guards against requests for the old version, whose targets have stopped."""
        self.check_progress_is_kept("completed", 1.0, True)

    def test_completed_rollout_is_kept_until_its_order_is_written_again(self):
        """Guards against requests for the old version, whose targets have stopped."""
        self.check_progress_is_kept("completed", 1.0, False)

    def test_lost_report_of_a_death_is_written_again(self):
        """Guards against a quarantine that nodes which start after a restore do not know."""
        death = Death("d1", (CrashDeath(7, "i-n2", 1, 2, 3),))
        self.mesh.nodes["n2"]._on_death(death)
        wait_until(lambda: "d1" in self.store.objects.get(DEATHS, {}), seconds=3)
        wait_until(lambda: self.all_nodes(lambda node: "d1" in node.feeds.crashes.reports))
        self.store.restore(revision=self.copy)
        wait_until(lambda: "d1" in self.store.objects[DEATHS], seconds=2.5)
        for node in self.mesh.nodes.values():
            self.assertEqual(1, node.guard.suspects[7].death_count)

    def test_lost_evacuation_stays_in_force(self):
        """Guards against requests for an evacuated zone until its evacuation is written again."""
        self.store.put("evacuations", "b", {})
        wait_until(lambda: self.all_nodes(lambda node: node.feeds.evacuations.is_evacuated("b")))
        self.patch(feeds, "ERA_GRACE", timedelta(seconds=2))
        self.store.restore(revision=self.copy)
        self.wait_for_era(5)
        wait_until(lambda: self.all_nodes(lambda node: not node.feeds.awaits_read))
        self.assertTrue(self.all_nodes(lambda node: node.feeds.evacuations.is_evacuated("b")))
        # An operator that does not write it again has removed it.
        wait_until(
            lambda: self.all_nodes(lambda node: not node.feeds.evacuations.is_evacuated("b")),
            seconds=4,
        )

    def test_followers_learn_of_the_era_and_keep_their_state(self):
        """Guards against followers that take over entries of the copy, or lose those it lacks."""
        self.patch(feeds, "ERA_GRACE", timedelta(seconds=2))
        names = [f"n{number}" for number in range(3, WATCHERS_PER_ZONE + 4)]
        for name in names:
            self.mesh.add_node(name)
        count = len(names) + 2
        nodes = self.mesh.nodes.values()
        wait_until(lambda: self.all_nodes(lambda node: len(node.directory.targets) == count))
        wait_until(lambda: len(self.store.objects[TARGETS]) == count)
        wait_until(lambda: any(node.feeds.follower.followed is not None for node in nodes))
        # The process of this one has ended, so that nothing writes its entry again.
        gone = self.mesh.nodes.pop(names[0])
        gone.close()
        self.store.restore(revision=self.copy)
        restored_at = time.monotonic()
        while len(self.store.objects[TARGETS]) < count - 1:
            self.assertTrue(self.all_nodes(lambda node: f"i-{names[1]}" in node.directory.targets))
            self.assertTrue(time.monotonic() - restored_at < WRITTEN_AGAIN_S)
            eventlet.sleep(0.02)
        self.wait_for_era(5)
        wait_until(
            lambda: self.all_nodes(lambda node: len(node.directory.targets) == count - 1),
            seconds=6,
        )

    def test_era_is_noticed_in_refusals(self):
        """Guards against an era that begins unnoticed while the store refuses all calls."""
        for era, status in ((5, 429), (6, 503), (7, 410), (8, 409)):
            self.store.era, self.store.refusal_status = era, status
            self.wait_for_era(era)

    def test_two_restores_in_quick_succession(self):
        """Guards against entries that are missing after the second restore."""
        self.mesh.add_node("n3")
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS])
        self.store.restore(revision=self.copy)
        eventlet.sleep(0.1)
        self.store.restore(revision=self.copy)
        self.wait_for_era(6)
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS], seconds=2)

    def test_store_that_is_away_during_the_restore(self):
        """Guards against an era that is noticed only in successful responses."""
        self.mesh.add_node("n3")
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS])
        self.store.restore(revision=self.copy, away=timedelta(seconds=1.5))
        self.wait_for_era(5)
        self.assertNotIn("i-n3", self.store.objects[TARGETS])
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS], seconds=3.5)
        self.store.put("config", "main", stored_config(8))
        wait_until(lambda: self.all_nodes(lambda node: node.outbound.config_version() == 8))

    def test_late_answer_of_an_earlier_era_is_ignored(self):
        """Guards against a write that counts as done though the restored store has lost it."""
        publisher = self.mesh.nodes["n2"].publisher
        self.store.hold_responses()
        self.mesh.announce("n2", state="draining")
        wait_until(lambda: self.store.get(TARGETS, "i-n2")["spec"]["state"] == "draining")
        held, self.store.held = self.store.held, None
        self.store.restore(revision=self.copy)
        self.mesh.nodes["n2"].store.era.observe(5, source="test")
        for exchange, response in held:
            exchange.respond(response)
        self.assertNotEqual(publisher.desired, publisher.stored)
        wait_until(lambda: self.store.get(TARGETS, "i-n2")["spec"]["state"] == "draining")

    def test_node_that_was_cut_off_during_the_restore(self):
        """Guards against state of an earlier era that a node brings back from a partition."""
        second = self.mesh.nodes["n2"]
        address = second.store.client.address
        second.store.set_address(("127.0.0.1", 1))
        second.pool.close_idle(address)
        self.mesh.add_node("n3")
        wait_until(lambda: "i-n3" in self.store.objects[TARGETS])
        self.store.restore(revision=self.copy - 1)
        wait_until(lambda: self.mesh.nodes["n1"].store.era.number == 5)
        # The other nodes tell it of the era.
        wait_until(lambda: second.store.era.number == 5, seconds=4)
        second.store.set_address(address)
        wait_until(lambda: {"i-n2", "i-n3"} <= self.store.objects[TARGETS].keys(), seconds=4)
        wait_until(lambda: self.all_nodes(lambda node: len(node.directory.targets) == 3), seconds=4)

    def test_store_without_eras_is_used_as_before(self):
        """Guards against a store that states no era and is read in full again and again."""
        mesh = new_mesh(self)
        mesh.store.put("config", "main", stored_config(3))
        mesh.add_node("n9")
        wait_until(lambda: mesh.nodes["n9"].publisher.stored is not None)
        node = mesh.nodes["n9"]
        self.assertEqual(0, node.store.era.number)
        self.assertFalse(node.feeds.awaits_read)
        self.assertFalse(node.feeds.rollouts.restored.active)
