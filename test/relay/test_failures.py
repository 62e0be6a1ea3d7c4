"""Failure tests of a fleet: the production code of all nodes on a simulated network."""

import random
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.messages import TargetState
from bench.fleet import Fleet
from standins.object_store import Fault
from test.relay.invariants import Invariants

CONVERGENCE_SECONDS = 18


class FleetTestCase(TestCase):
    def start(self, *, nodes=12, zones=3, fleet_seed=1, **arguments):
        self.fleet = Fleet(seed=fleet_seed, nodes=nodes, zones=zones, **arguments)
        self.pump, self.store = self.fleet.pump, self.fleet.pump.store
        self.invariants = Invariants(self, self.fleet)
        self.invariants.until(self.started, 60)

    def started(self):
        in_zone = all(node.selection.in_zone for node in self.ordinary_nodes())
        return in_zone and self.fleet.is_converged(1)

    def ordinary_nodes(self):
        return [node for node in self.fleet.nodes if node.relay is None]

    def all_hold(self, version):
        return self.fleet.nodes_at_version(version) == len(self.fleet.nodes)

    def relay_addresses(self):
        return [node.identity.control for node in self.fleet.relays]


class ConfigurationTest(FleetTestCase):
    def test_relays_killed_in_the_middle_of_a_push(self):
        """Guards I10 against nodes that stay on an old version after their relay died in a push."""
        self.start(nodes=45)
        version = self.invariants.publish()
        zone = self.fleet.zones[0]
        for address in self.relay_addresses():
            if self.pump.nodes[address].identity.zone == zone:
                self.pump.kill(address)
        self.assertFalse(self.all_hold(version))
        self.invariants.until(lambda: self.all_hold(version), CONVERGENCE_SECONDS)

    def test_platform_outage_and_a_dead_relay_at_once(self):
        """Guards against a zone that loses its relay while no lease can be acquired.

        A new node joins during the outage; target changes still propagate and no version is lost.
        """
        self.start()
        self.store.fault = Fault.DOWN
        victim = self.relay_addresses()[0]
        zone = self.pump.nodes[victim].identity.zone
        self.pump.kill(victim)
        self.invariants.run(30)
        joined = self.fleet.add(zone)
        self.invariants.until(lambda: self.fleet.is_converged(1), 30)
        self.assertTrue(joined.config.ready)
        self.assertTrue(all(node.selection.connected for node in self.ordinary_nodes()))
        self.store.fault = Fault.NONE
        version = self.invariants.publish()
        self.invariants.until(lambda: self.all_hold(version), CONVERGENCE_SECONDS)
        self.invariants.until(lambda: all(n.selection.in_zone for n in self.ordinary_nodes()), 40)

    def test_lost_answers_and_lost_messages_at_once(self):
        """Guards against a fleet that depends on a response to each write or message."""
        self.start()
        self.pump.drop_rate = 0.1
        self.store.fault = Fault.LOSE_ANSWERS
        self.invariants.run(60)
        self.store.fault = Fault.NONE
        version = self.invariants.publish()
        self.invariants.until(lambda: self.all_hold(version), CONVERGENCE_SECONDS)

    def test_paused_relay_resumes_after_another_took_its_slot(self):
        """Guards against a paused lease holder that acts as a relay again after it resumes."""
        self.start()
        paused = self.relay_addresses()[0]
        zone = self.pump.nodes[paused].identity.zone
        self.pump.paused.add(paused)
        self.invariants.run(40)
        version = self.invariants.publish()
        self.invariants.run(5)
        self.pump.paused.clear()
        self.invariants.until(lambda: self.all_hold(version), CONVERGENCE_SECONDS)
        self.invariants.run(15)
        holders = [n.identity.control for n in self.fleet.relays if n.identity.zone == zone]
        self.assertEqual(1, len(holders))
        self.assertNotEqual(paused, holders[0])
        self.invariants.until(lambda: self.fleet.is_converged(version), 30)

    def test_partition_of_two_regions_for_an_hour_and_recovery(self):
        """Guards against regions that stay different or keep each other's targets declared dead."""
        self.start(nodes=8, zones=4)
        zones = self.fleet.zones
        self.pump.partitions = {
            frozenset((a, b)) for a in zones for b in zones if a.split("-")[1] != b.split("-")[1]
        }
        for _ in range(3):
            version = self.invariants.publish()
            self.fleet.run(timedelta(minutes=20))
            self.invariants.check()
            self.assertTrue(self.all_hold(version))
            self.fleet.add()
            self.pump.kill(self.ordinary_nodes()[0].identity.control)
        self.pump.partitions.clear()
        self.invariants.until(lambda: self.fleet.is_converged(version), 60)
        self.invariants.until(lambda: self.live_records() == len(self.fleet.nodes), 60)
        self.invariants.until(lambda: self.fleet.is_converged(version), 5)

    def live_records(self):
        records = self.fleet.nodes[0].directory.records.values()
        return sum(1 for record in records if record.state is TargetState.UP)

    @seed(20261204)
    @settings(max_examples=15, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def test_invariants_hold_under_random_faults(self, number):
        """Guards I1, I2, I3 under lost, duplicated and reordered messages, kills and restarts."""
        rng = random.Random(number)
        self.start(nodes=9, fleet_seed=number)
        self.pump.drop_rate, self.pump.duplicate_rate = rng.uniform(0, 0.3), rng.uniform(0, 0.3)
        self.pump.max_jitter = timedelta(seconds=rng.uniform(0, 3))
        for _ in range(8):
            action = rng.choice(["publish", "kill", "restart", "drain", "outage", "pause"])
            self.perform(action, rng)
            self.invariants.run(rng.uniform(0, 6))
        self.store.fault, self.pump.drop_rate = Fault.NONE, 0.0
        self.pump.max_jitter = timedelta(milliseconds=1)
        self.pump.paused.clear()
        version = self.invariants.publish()
        self.invariants.until(lambda: self.all_hold(version), CONVERGENCE_SECONDS)

    def perform(self, action, rng):
        addresses = sorted(self.pump.nodes)
        chosen = rng.choice(addresses)
        if action == "publish":
            self.store.fault = Fault.NONE
            self.invariants.publish()
        elif action == "kill" and len(addresses) > 6:
            self.pump.kill(chosen)
        elif action == "restart":
            self.fleet.restart([chosen])
        elif action == "drain":
            node = self.pump.nodes[chosen]
            self.pump.send(chosen, node.announce(node.local.drain_all()))
        elif action == "outage":
            self.store.fault = Fault.DOWN
        elif action == "pause":
            self.pump.paused = {chosen}


class MembershipTest(FleetTestCase):
    def state(self, address, target):
        return self.pump.nodes[address].directory.records[target].state

    def test_drain_is_known_everywhere_within_three_seconds(self):
        """Guards I8 against a drain that stays unknown if its first announcement is lost."""
        self.start()
        node = self.fleet.nodes[4]
        record = node.local.drain_all()
        self.assertEqual(1, len(node.announce(record)))
        self.invariants.run(3)
        states = {self.state(address, record[0].target) for address in self.pump.nodes}
        self.assertEqual({TargetState.LEAVING}, states)

    def test_node_and_its_relay_die_together(self):
        """Guards against an undetected dead node that never sent a heartbeat to another relay."""
        self.start()
        self.invariants.run(20)
        relay = self.fleet.relays[0]
        others = self.fleet.relays[1:]
        heard = {name for other in others for name in other.relay.detector.nodes}
        served = [n for n in self.ordinary_nodes() if n.selection.relay == relay.identity.control]
        victim = next(node for node in served if node.identity.node not in heard)
        targets = [f"target-{node.identity.node}" for node in (relay, victim)]
        for node in (relay, victim):
            self.pump.kill(node.identity.control)
        live = list(self.pump.nodes)
        dead = TargetState.DEAD
        self.invariants.until(
            lambda: all(self.state(a, target) is dead for a in live for target in targets), 90
        )
        left = [n for n in self.fleet.nodes if n.identity.zone == relay.identity.zone]
        self.assertEqual({len(left)}, {node.nodes_in_zone() for node in left})


class FullRestartTest(FleetTestCase):
    def test_restart_of_all_nodes_stays_within_the_platform_limits(self):
        """Guards against excessive platform calls or snapshots when all processes start at once."""
        self.start(nodes=240, zones=4)
        self.fleet.change_service()
        self.fleet.run(timedelta(seconds=5))
        before = dict(self.store.counts)
        self.fleet.restart(list(self.pump.nodes))
        took = self.fleet.run_until(lambda: self.fleet.is_converged(2), timedelta(seconds=60))
        self.assertIsNotNone(took)
        self.assertEqual(0, self.store.counts["refused"])
        calls = sum(self.store.counts[kind] - before[kind] for kind in ("read", "write"))
        self.assertLess(calls, 120)
