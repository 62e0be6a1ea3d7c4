"""Tests of a relay's messages to its subscribers and other relays."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import (
    ALL_ZONES,
    Announce,
    Busy,
    ConfigDelta,
    ConfigSnapshot,
    DirectoryDelta,
    Heartbeat,
    HeartbeatAck,
    RelayEntry,
)
from almondshore.membership.detector import FailureDetector
from almondshore.membership.directory import Directory
from almondshore.relay.fanout import Relay, RelayLimits
from almondshore.relay.table import RelayTable
from almondshore.versions.history import DeltaHistory
from almondshore.versions.sync import ConfigSync
from test.membership.records import make_record
from test.versions.parts import delta_between, make_chain

CHAIN = make_chain(6)
ADDRESSES = ["r0", "r1", "r2", "r3", "r4", "r5"]


class RelayTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.relays = {address: self.make(address) for address in ADDRESSES}
        self.relay = self.relays["r0"]

    def make(self, address):
        clock, rng = self.clock, random.Random(address)
        sync = ConfigSync(clock=clock, rng=rng, history=DeltaHistory(max_deltas=3))
        sync.record_platform_version(0, CHAIN[0].digest)
        table = RelayTable()
        table.merge([RelayEntry("zone-a", slot, a, 1) for slot, a in enumerate(ADDRESSES)])
        return Relay(
            clock=clock,
            rng=rng,
            address=address,
            zone="zone-a",
            sync=sync,
            directory=Directory(clock=clock),
            detector=FailureDetector(clock=clock, rng=rng, address=address),
            table=table,
            limits=RelayLimits(max_changes=4),
        )

    def apply_versions(self, relay, versions):
        self.assertTrue(relay.sync.ready)
        for version in range(1, versions + 1):
            relay.sync.offer(delta_between(CHAIN[version - 1], CHAIN[version]))

    def subscribe(self, address, version=0):
        heartbeat = Heartbeat(address, 1, version, CHAIN[version].digest, {}, 0, True)
        return self.relay.handle(heartbeat, address)

    def receivers_of(self, sends, kind):
        return [send.to for send in sends if isinstance(send.message, kind)]

    def test_new_version_goes_to_subscribers_and_some_relays(self):
        """Guards I10 against a version that only the relay that read it from the platform knows."""
        self.subscribe("n1")
        self.subscribe("n2")
        self.apply_versions(self.relay, 1)
        receivers = self.receivers_of(self.relay.tick(), ConfigDelta)
        self.assertEqual(["n1", "n2"], receivers[:2])
        self.assertEqual(3, len(set(receivers[2:]) & set(ADDRESSES[1:])))

    def test_subscriber_beyond_the_backlog_gets_a_snapshot(self):
        """Guards against an unbounded backlog for a node that was disconnected."""
        self.apply_versions(self.relay, 6)
        self.assertEqual(["n1"], self.receivers_of(self.subscribe("n1", 3), ConfigDelta))
        self.assertEqual(["n2"], self.receivers_of(self.subscribe("n2", 2), ConfigSnapshot))

    def test_lost_push_is_repeated_with_growing_delays(self):
        """Guards against a subscriber that stays behind, and against resending without backoff."""
        self.apply_versions(self.relay, 1)
        pushes = []
        for second in range(60):
            self.clock.advance(timedelta(seconds=1))
            if self.receivers_of(self.subscribe("n1"), ConfigDelta):
                pushes.append(second)
        self.assertEqual([0, 2, 6, 14, 30], pushes)

    def test_anti_entropy_converges_relays(self):
        """Guards against relays that remain different after a partition or lost messages."""
        self.apply_versions(self.relays["r3"], 2)
        self.relays["r1"].directory.merge([make_record("t1")])
        for _ in range(600):
            self.clock.advance(timedelta(milliseconds=100))
            ticks = [(a, s) for a in ADDRESSES for s in self.relays[a].tick()]
            queue = [(a, s) for a, s in ticks if not isinstance(s.message, ConfigDelta)]
            while queue:
                sender, send = queue.pop()
                relay = self.relays[send.to]
                replies = relay.handle(send.message, sender)
                if isinstance(send.message, ConfigDelta):
                    replies += relay.sync.handle(send.message, sender)
                queue += [(send.to, reply) for reply in replies]
        held = {relay.sync.state.current.version for relay in self.relays.values()}
        known = {relay.directory.digest()[ALL_ZONES] for relay in self.relays.values()}
        self.assertEqual(({2}, 1), (held, len(known)))
        self.assertNotEqual({0}, known)

    def test_changes_beyond_the_limit_are_repaired_by_digests(self):
        """Guards against a queue of changes that grows without bound."""
        self.subscribe("n1")
        self.relay.handle(Announce([make_record(f"t{n}") for n in range(5)]), "n2")
        self.assertEqual([], self.receivers_of(self.relay.tick(), DirectoryDelta))
        self.assertEqual(5, self.relay.dropped_changes)
        ack = next(s.message for s in self.subscribe("n1") if isinstance(s.message, HeartbeatAck))
        self.assertEqual(self.relay.directory.digest(), ack.directory_digests)

    def test_relay_at_its_fair_share_refuses_only_new_nodes(self):
        """Guards against one relay that serves most nodes of its zone."""
        self.relay.fair_share = lambda: 1
        self.assertEqual(["n1"], self.receivers_of(self.subscribe("n1"), HeartbeatAck))
        self.assertEqual(["n2"], self.receivers_of(self.subscribe("n2"), Busy))
        self.assertEqual(["n1"], self.receivers_of(self.subscribe("n1"), HeartbeatAck))

    def test_nodes_assigned_to_a_relay_are_tracked(self):
        """Guards against an undetected dead node that failed together with its relay."""
        for relay in self.relays.values():
            relay.directory.merge([make_record(f"t{n}") for n in range(30)])
        self.clock.advance(timedelta(seconds=31))
        for relay in self.relays.values():
            relay.tick()
        tracked = sorted(node for relay in self.relays.values() for node in relay.detector.nodes)
        self.assertEqual(sorted(f"node-t{n}" for n in range(30)), tracked)
