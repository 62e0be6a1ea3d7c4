"""Tests of the failure detector and the prober."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import PeerProbe, PeerProbeReply, Send
from almondshore.membership.detector import DetectorLimits, FailureDetector
from almondshore.membership.prober import MAX_PENDING_PROBES, Prober

HELPERS = ["h1", "h2", "h3", "h4"]
SECOND = timedelta(seconds=1)


class DetectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.detector = FailureDetector(clock=self.clock, rng=random.Random(1), address="relay")

    def run_seconds(self, seconds, alive):
        """Tick every second while the live nodes send heartbeats; return the messages sent."""
        sends = []
        for _ in range(seconds):
            self.clock.advance(SECOND)
            for number in alive:
                self.detector.record_heartbeat(f"n{number}", f"a{number}", 1)
            sends += self.detector.tick(lambda: HELPERS)
        return sends

    def reply_to_probes(self, sends, *, reachable):
        for send in sends:
            reply = PeerProbeReply(send.message.probe_id, send.message.suspect, reachable, 1)
            self.detector.handle(reply, send.to)

    def test_two_confirmations_declare_a_silent_node_dead(self):
        """Guards against a single observer declaring a node dead."""
        self.run_seconds(1, range(10))
        sends = self.run_seconds(6, range(1, 10))
        self.assertEqual(["h1", "h2", "h3"], [send.to for send in sends])
        self.reply_to_probes(sends[:1] * 2, reachable=False)
        self.assertEqual([], self.detector.take_dead())
        self.reply_to_probes(sends[1:2], reachable=False)
        self.assertEqual(["n0"], self.detector.take_dead())

    def test_node_that_others_reach_is_not_dead(self):
        """Guards against declaring a node dead that now uses another relay."""
        self.run_seconds(1, range(10))
        sends = self.run_seconds(6, range(1, 10))
        self.reply_to_probes(sends[:1], reachable=True)
        self.reply_to_probes(sends[1:], reachable=False)
        self.assertEqual([], self.detector.take_dead())

    def test_paused_observer_suspects_no_node(self):
        """Guards against a relay that declares its zone dead after a pause of its own."""
        self.run_seconds(1, range(10))
        self.clock.advance(timedelta(seconds=40))
        self.assertEqual([], self.detector.tick(lambda: HELPERS))
        self.assertEqual([], self.run_seconds(3, []))

    def test_no_node_is_declared_dead_if_most_of_a_zone_is_silent(self):
        """Guards against a network fault at the observer that empties the directory."""
        self.run_seconds(1, range(10))
        sends = self.run_seconds(30, range(4, 10))
        self.assertTrue(self.detector.suppressing)
        self.reply_to_probes(sends, reachable=False)
        self.assertEqual([], self.detector.take_dead())
        self.run_seconds(30, range(1, 10))
        self.assertFalse(self.detector.suppressing)
        sends = self.run_seconds(3, range(1, 10))
        self.reply_to_probes(sends, reachable=False)
        self.assertEqual(["n0"], self.detector.take_dead())

    def test_the_bound_leaves_further_nodes_untracked(self):
        """Guards against memory that grows with the number of names in heartbeats."""
        self.detector.limits = DetectorLimits(max_nodes=5)
        self.run_seconds(1, range(10))
        self.assertEqual(5, len(self.detector.nodes))


class ProberTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.prober = Prober(clock=self.clock, node="helper", incarnation=3)
        self.probe = PeerProbe(7, "suspect", "suspect-address", "relay")

    def test_reply_is_forwarded_to_the_relay(self):
        """Guards against a probe result that does not come from the suspect."""
        self.assertEqual(
            [Send("suspect-address", self.probe)], self.prober.handle(self.probe, "relay")
        )
        reply = PeerProbeReply(7, "suspect", True, 2)
        self.assertEqual([Send("relay", reply)], self.prober.handle(reply, "suspect-address"))
        self.assertEqual([], self.prober.handle(reply, "suspect-address"))

    def test_missing_reply_is_reported_unless_the_helper_was_paused(self):
        """Guards against a paused helper confirming the death of a live node."""
        self.prober.handle(self.probe, "relay")
        self.clock.advance(SECOND)
        self.assertFalse(self.prober.tick()[0].message.reachable)
        self.prober.handle(self.probe, "relay")
        self.clock.advance(SECOND * 20)
        self.assertEqual([], self.prober.tick())

    def test_the_bound_drops_further_requests(self):
        """Guards against memory that grows with the number of probe requests."""
        for number in range(MAX_PENDING_PROBES + 10):
            self.prober.handle(self.probe._replace(probe_id=number), "relay")
        self.assertEqual(MAX_PENDING_PROBES, len(self.prober.pending))
