"""Tests of the synchronization of a node's configuration with its peers."""

import random
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import (
    Busy,
    ConfigRequest,
    ConfigSnapshot,
    ConfigStatus,
    HeartbeatAck,
    Send,
)
from almondshore.relay.admission import SnapshotAdmission
from almondshore.versions.history import DeltaHistory
from almondshore.versions.sync import MAX_REPORTED_PEERS, ConfigSync, ReportedVersion
from test.versions.parts import delta_between, make_chain, service_part, snapshot, snapshot_of

CHAIN = make_chain(12)
BAD = snapshot(3, {"service/bad": b"\xc1"})


def make_sync(clock, peers=("a", "b", "c", "d")):
    return ConfigSync(clock=clock, rng=random.Random(1), peers=lambda: list(peers))


def status(version, *, ready=True, confirmed=False):
    return ConfigStatus(version, CHAIN[version].digest, ready, confirmed)


def ack(version):
    return HeartbeatAck([], version, CHAIN[version].digest, {}, 0)


class ReadyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.sync = make_sync(self.clock)

    def test_waits_for_the_newest_of_three_peers(self):
        """Guards against serving an old version because an outdated peer responded first."""
        self.assertEqual(3, len({send.to for send in self.sync.tick()}))
        self.sync.handle(status(2), "a")
        self.sync.handle(snapshot_of(CHAIN[2]), "a")
        self.assertFalse(self.sync.ready)
        sends = self.sync.handle(status(5), "b")
        self.assertEqual([Send("b", ConfigRequest(2, CHAIN[2].digest))], sends)
        self.sync.handle(status(2), "c")
        self.assertFalse(self.sync.ready)
        self.sync.handle(snapshot_of(CHAIN[5]), "b")
        self.assertTrue(self.sync.ready)

    def test_peers_that_are_not_ready_do_not_count(self):
        """Guards against starting nodes that confirm to each other that no version exists."""
        for peer in "abcd":
            self.sync.handle(status(0, ready=False), peer)
        self.clock.advance(timedelta(seconds=60))
        self.assertFalse(self.sync.ready)

    def test_one_confirmed_answer_is_enough(self):
        """Guards against waiting for the start-up time-out although a relay knows the head."""
        self.sync.handle(status(0, confirmed=True), "a")
        self.assertTrue(self.sync.ready)

    def test_is_ready_with_what_is_known_at_the_startup_timeout(self):
        """Guards against a start that waits for dead peers forever."""
        self.sync.handle(status(1), "a")
        self.sync.handle(snapshot_of(CHAIN[1]), "a")
        self.clock.advance(timedelta(seconds=9))
        self.assertFalse(self.sync.ready)
        self.clock.advance(timedelta(seconds=1))
        self.assertTrue(self.sync.ready)

    def test_a_bad_newest_version_does_not_block_the_start(self):
        """Guards against an invalid version on the platform that keeps nodes from starting."""
        self.sync.record_platform_version(BAD.version, BAD.digest)
        self.sync.offer(BAD)
        self.sync.handle(status(2), "a")
        self.assertFalse(self.sync.ready)
        self.sync.handle(snapshot_of(CHAIN[2]), "a")
        self.assertTrue(self.sync.ready)
        self.assertEqual(2, self.sync.state.current.version)


class RepairTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.sync = make_sync(self.clock)
        self.sync.handle(status(0, confirmed=True), "a")
        self.assertTrue(self.sync.ready)

    def after(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        return self.sync.tick()

    def test_a_lost_push_is_requested(self):
        """Guards against a node that stays behind after a lost delta."""
        self.assertEqual([], self.sync.handle(ack(1), "relay"))
        self.assertEqual([], self.sync.tick())
        self.assertEqual([Send("relay", ConfigRequest(0, CHAIN[0].digest))], self.after(4))

    def test_a_delta_on_another_base_leads_to_a_request(self):
        """Guards against a node that ignores a delta it cannot apply and stays behind."""
        sends = self.sync.handle(delta_between(CHAIN[4], CHAIN[5]), "relay")
        self.assertEqual([Send("relay", ConfigRequest(0, CHAIN[0].digest))], sends)

    def test_busy_delays_the_next_request(self):
        """Guards against repeated requests to an overloaded relay."""
        self.sync.handle(delta_between(CHAIN[4], CHAIN[5]), "relay")
        self.sync.handle(Busy(20.0, "ConfigRequest"), "relay")
        self.after(4)
        self.assertEqual([], self.after(15))
        self.assertEqual(1, len(self.after(2)))

    def test_an_invalid_version_is_requested_once_and_a_damaged_copy_again(self):
        """Guards against endless requests for an invalid version, and giving up on a valid one."""
        damaged = snapshot_of(CHAIN[3])._replace(parts=service_part("other"))
        self.assertEqual(1, len(self.sync.handle(damaged, "relay")))
        self.assertEqual({}, dict(self.sync.refused))
        self.sync.handle(BAD, "relay")
        self.sync.reported.clear()
        self.sync.handle(HeartbeatAck([], BAD.version, BAD.digest, {}, 0), "relay")
        self.assertEqual([], self.after(60))
        self.assertEqual(0, self.sync.state.current.version)

    def test_tables_are_bounded(self):
        """Guards against memory that grows with the number of peers and invalid versions."""
        for number in range(500):
            self.sync.handle(status(0), f"peer-{number}")
            self.sync.offer(snapshot(1 + number, {"service/bad": b"\xc1" * (1 + number)}))
        self.assertEqual(MAX_REPORTED_PEERS, len(self.sync.reported))
        self.assertEqual(64, len(self.sync.refused))


class ConfigReplyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.sync = make_sync(self.clock)
        self.sync.admission = SnapshotAdmission(clock=self.clock, rng=random.Random(1), rate=2)
        self.sync.handle(status(0, confirmed=True), "a")
        self.assertTrue(self.sync.ready)
        for old, new in zip(CHAIN, CHAIN[1:], strict=False):
            self.sync.offer(delta_between(old, new))

    def request(self, version, digest):
        return self.sync.reply_to(ConfigRequest(version, digest))

    def test_a_lagging_node_gets_one_delta(self):
        """Guards against snapshots for nodes that the backlog still covers."""
        combined = self.request(5, CHAIN[5].digest)
        other = make_sync(self.clock)
        other.offer(snapshot_of(CHAIN[5]))
        other.offer(combined)
        self.assertEqual(CHAIN[12], other.state.current)

    def test_beyond_the_backlog_snapshots_are_admitted_in_turn(self):
        """Guards against an unbounded backlog and against snapshots above the rate."""
        self.sync.history = DeltaHistory(max_deltas=4)
        for old, new in zip(CHAIN, CHAIN[1:], strict=False):
            self.sync.history.append(old, new)
        self.assertEqual(4, len(self.sync.history.entries))
        replies = [self.request(1, CHAIN[1].digest) for _ in range(3)]
        self.assertIsInstance(replies[0], ConfigSnapshot)
        self.assertIsInstance(replies[1], ConfigSnapshot)
        self.assertIsInstance(replies[2], Busy)

    def test_a_starting_node_gives_no_configuration(self):
        """Guards against distributing an old version from a node that lacks the newest one."""
        starting = make_sync(self.clock)
        starting.offer(snapshot_of(CHAIN[2]))
        reply = starting.reply_to(ConfigRequest(0, CHAIN[0].digest))
        self.assertEqual(status(2, ready=False), reply)


class RandomOrderTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.data())
    def test_versions_only_increase_and_are_complete(self, data):
        """Guards I1 and I3 under reordered, duplicated, lost and damaged messages."""
        clock = ManualClock()
        sync = make_sync(clock)
        highest = 0
        for _ in range(data.draw(st.integers(1, 25))):
            sync.handle(data.draw(st.sampled_from(message_samples())), "peer")
            clock.advance(timedelta(milliseconds=data.draw(st.integers(0, 3000))))
            sync.tick()
            current = sync.state.current
            self.assertGreaterEqual(current.version, highest)
            self.assertEqual(CHAIN[current.version], current)
            highest = current.version
        self.assertLessEqual(len(sync.history.entries), sync.history.max_deltas)
        sync.observe(ReportedVersion(12, CHAIN[12].digest, True, False), "peer")
        sync.handle(snapshot_of(CHAIN[12]), "peer")
        self.assertEqual(CHAIN[12], sync.state.current)


def message_samples():
    pairs = [(i, j) for i in range(12) for j in range(i + 1, min(i + 4, 13))]
    deltas = [delta_between(CHAIN[i], CHAIN[j]) for i, j in pairs]
    bad_part = {"service/service-1": b"\xc1"}
    mixed = deltas[0]._replace(parts={**deltas[0].parts, **bad_part})
    part_bad = snapshot(9, {**CHAIN[9].parts, **bad_part})
    return [*deltas, *(snapshot_of(c) for c in CHAIN[1:]), mixed, part_bad, status(7), ack(11)]
