"""Tests of relay selection, candidacy and snapshot admission."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import (
    Busy,
    Heartbeat,
    HeartbeatAck,
    Keepalive,
    KeepaliveAck,
    RelayEntry,
    RelayList,
    RelayQuery,
)
from almondshore.relay.admission import SnapshotAdmission
from almondshore.relay.candidacy import Candidacy
from almondshore.relay.selection import RelaySelection
from almondshore.relay.table import RelayTable

OWN = [RelayEntry("zone-a", slot, f"a{slot}", 1) for slot in range(2)]
OTHER = [RelayEntry("zone-b", 0, "b0", 1)]
ACK = HeartbeatAck([], 0, b"", {}, 0)


def seconds(number):
    return timedelta(seconds=number)


class SelectionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.selection = self.make(1)

    def make(self, number):
        return RelaySelection(
            clock=self.clock,
            rng=random.Random(number),
            node=f"node-{number}",
            zone="zone-a",
            address="self",
            table=RelayTable(),
            heartbeat=lambda: Heartbeat(f"node-{number}", 1, 0, b"", {}, 0, True),
            peers=lambda: ["s1", "s2"],
        )

    def run_for(self, duration, *, answering=()):
        """Run for a time; return the heartbeat receivers, of which ``answering`` acknowledge."""
        receivers = []
        for _ in range(int(duration / 0.1)):
            self.clock.advance(seconds(0.1))
            for send in self.selection.tick():
                if not isinstance(send.message, Heartbeat | Keepalive):
                    continue
                receivers.append(send.to)
                if send.to in answering:
                    is_full = isinstance(send.message, Heartbeat)
                    self.selection.handle(ACK if is_full else KeepaliveAck(True), send.to)
        return receivers

    def test_seeds_are_queried_without_known_relays(self):
        """Guards against a start that depends on the platform."""
        self.clock.advance(seconds(1))
        sends = self.selection.tick()
        self.assertEqual({"s1", "s2"}, {send.to for send in sends})
        self.assertEqual({RelayQuery("zone-a")}, {send.message for send in sends})
        self.selection.handle(RelayList(OWN), "s1")
        self.assertIn(self.run_for(6, answering=["a0", "a1"])[-1], {"a0", "a1"})

    def test_node_fails_over_after_two_missed_acks(self):
        """Guards against a node that stays connected to a dead relay."""
        self.selection.table.merge(OWN + OTHER)
        preferred = self.run_for(4, answering=["a0", "a1"])[-1]
        self.assertTrue(self.selection.in_zone)
        second = ({"a0", "a1"} - {preferred}).pop()
        after = self.run_for(9, answering=[second])
        self.assertEqual([preferred] * 2, after[:2])
        self.assertEqual({second}, set(after[2:]))
        self.assertTrue(self.selection.connected)

    def test_relay_of_another_zone_serves_until_the_own_zone_has_one(self):
        """Guards against a zone that is cut off when it loses all its relays."""
        self.selection.table.merge(OTHER)
        self.assertEqual({"b0"}, set(self.run_for(5, answering=["b0"])))
        self.assertEqual((True, False), (self.selection.connected, self.selection.in_zone))
        self.selection.handle(RelayList(OWN[:1]), "b0")
        self.assertEqual("a0", self.run_for(5, answering=["a0", "b0"])[-1])

    def test_relay_that_does_not_know_the_node_gets_a_full_heartbeat(self):
        """Guards against a restarted relay that gets only keepalives, which it cannot check."""
        self.selection.table.merge(OWN[:1])
        self.run_for(3, answering=["a0"])
        self.assertEqual("a0", self.selection.acknowledged)
        self.selection.handle(KeepaliveAck(False), "a0")
        sent = self.selection.tick()
        self.assertEqual([Heartbeat], [type(send.message) for send in sent])

    def test_refused_node_goes_to_another_relay(self):
        """Guards against a node that waits for a relay at its limit."""
        self.selection.table.merge(OWN)
        first = self.run_for(3, answering=["a0", "a1"])[-1]
        self.selection.handle(Busy(5.0, "Heartbeat"), first)
        self.assertTrue(self.selection.has_usable_relay)
        self.assertNotIn(first, self.run_for(4, answering=["a0", "a1"]))

    def test_failovers_of_many_nodes_are_spread(self):
        """Guards against all nodes of a dead relay reconnecting at the same moment."""
        due = []
        for number in range(400):
            self.selection = self.make(number)
            self.selection.relay, self.selection.failures = "a0", 5
            self.selection._fail_over(seconds(30))
            due.append((self.selection.next_send - self.clock.monotonic()).total_seconds())
        tenths = [sum(1 for d in due if n / 2 <= d < (n + 1) / 2) for n in range(10)]
        self.assertEqual(400, sum(tenths))
        self.assertLess(max(tenths), 60)
        self.assertGreater(min(tenths), 20)


class CandidacyTest(TestCase):
    def first_attempts(self, nodes):
        rng = random.Random(nodes)
        clock = ManualClock()
        candidacies = [Candidacy(clock=clock, rng=rng) for _ in range(nodes)]
        for candidacy in candidacies:
            candidacy.should_attempt(False)
        return sorted(candidacy.due.total_seconds() for candidacy in candidacies)

    def test_few_nodes_attempt_before_they_learn_of_the_first_success(self):
        """Guards against many nodes calling the platform for the same lease."""
        for nodes, max_attempts in ((4, 4), (463, 30), (2000, 60)):
            attempts = self.first_attempts(nodes)
            self.assertLess(attempts[0], 9)
            early = [due for due in attempts if due < attempts[0] + 2.5]
            self.assertLessEqual(len(early), max_attempts)

    def test_known_relays_are_tried_before_the_platform(self):
        """Guards against many nodes calling the platform although they know a relay."""
        clock = ManualClock()
        candidacy = Candidacy(clock=clock, rng=random.Random(1))
        for _ in range(20):
            clock.advance(seconds(1))
            self.assertFalse(candidacy.should_attempt(False, has_usable_relay=True))
        self.assertTrue(candidacy.should_attempt(False, has_usable_relay=False))

    def test_node_with_a_relay_in_its_zone_never_attempts(self):
        """Guards against platform calls by ordinary nodes in steady state."""
        clock = ManualClock()
        candidacy = Candidacy(clock=clock, rng=random.Random(1))
        for _ in range(1000):
            clock.advance(seconds(1))
            self.assertFalse(candidacy.should_attempt(True))


class AdmissionTest(TestCase):
    def test_many_callers_are_served_at_the_rate_and_retries_are_spread(self):
        """Guards against snapshots above the rate and refused callers that retry together."""
        clock = ManualClock()
        admission = SnapshotAdmission(clock=clock, rng=random.Random(1), rate=50)
        waiting = [0.0] * 1000
        served = []
        for step in range(600):
            now = step / 10
            due = [at for at in waiting if at <= now]
            waiting = [at for at in waiting if at > now]
            for _ in due:
                retry = admission.admit()
                if retry is None:
                    served.append(now)
                else:
                    self.assertLessEqual(retry, admission.max_retry_after)
                    waiting.append(now + retry.total_seconds())
            clock.advance(seconds(0.1))
        self.assertEqual(1000, len(served))
        self.assertLess(served[-1], 30)
        for second in range(60):
            self.assertLessEqual(sum(1 for at in served if at <= second), 50 + 50 * second)
