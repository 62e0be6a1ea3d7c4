"""Tests of when a node asks its peers for state."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.mesh.changes import ChangeAnswer, compress_config, encode_answer
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.model import Rollout, RolloutState
from almondshore.mesh.peers import PeerSync
from almondshore.mesh.state import ConfigSink, PeerSink, RolloutSink
from test.mesh.fakes import OWN_NODE, RequestPathHarness
from test.mesh.samples import config, target

NEAR, FAR = ("10.0.0.1", 1), ("10.0.0.2", 1)


class FakeClient:
    """Answers with the state of a peer."""

    def __init__(self, state):
        self.state = state
        self.asked = []

    def get(self, node, path, *, timeout=None):
        self.asked.append((node, path))
        return encode_answer(self.state) if self.state is not None else None


class PeerSyncTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness()
        self.away = None
        self.rollout = Rollout("s", "v2", timedelta(seconds=9), RolloutState.RUNNING, 0.25, 8)
        config_of_peer = compress_config(b'{"x": 1}')
        self.client = FakeClient(
            ChangeAnswer(
                "e", 3, 0, True, config_of_peer, [target("t9")], [], [self.rollout], [], [], []
            )
        )
        self.sync = PeerSync(
            clock=self.harness.clock,
            rng=random.Random(1),
            client=self.client,
            sink=PeerSink(
                crashes=CrashSink(guard=self.harness.guard),
                config=ConfigSink(outbound=self.harness.outbound, name="main"),
                directory=self.harness.directory,
                rollouts=RolloutSink(shares=self.harness.shares),
                decode=lambda raw: config(version=7, raw=raw),
            ),
            node=OWN_NODE,
            zone="a",
            store_unavailable_since=lambda: self.away,
        )

    def test_state_of_a_peer_is_taken_over(self):
        """Guards against a node that stays on an old state while the store is away."""
        self.away = self.harness.clock.monotonic() - timedelta(seconds=1)
        self.assertTrue(self.sync.fetch(NEAR))
        self.assertEqual(7, self.harness.outbound.config_version())
        self.assertEqual({"t9": target("t9")}, self.harness.directory.targets)
        self.assertEqual({"s": self.rollout}, self.harness.shares.rollouts)
        self.assertEqual([(NEAR, b"/changes?config=1")], self.client.asked)

    def test_a_peer_brings_only_the_configuration_while_the_store_answers(self):
        """Guards against entries that were removed and come back with a peer's older state."""
        self.assertTrue(self.sync.fetch(NEAR))
        self.assertEqual(7, self.harness.outbound.config_version())
        self.assertEqual({}, self.harness.directory.targets)
        self.assertEqual({}, self.harness.shares.rollouts)

    def test_store_is_given_time_before_a_peer_is_asked(self):
        """Guards against a configuration that each node copies across zones at each change."""
        self.sync.on_peer_version(NEAR, 7)
        self.assertFalse(self.sync.fetching)
        self.harness.clock.advance(timedelta(seconds=1.3))
        self.sync.on_peer_version(NEAR, 7)
        self.assertTrue(self.sync.fetching)

    def test_peer_is_asked_at_once_while_the_store_is_away(self):
        """Guards against a change that is not in force in time during an outage."""
        self.away = timedelta()
        self.harness.clock.advance(timedelta(seconds=1))
        self.sync.on_peer_version(NEAR, 7)
        self.assertTrue(self.sync.fetching)

    def test_peers_of_the_own_zone_come_first(self):
        """Guards against traffic between zones that a nearer node could spare."""
        self.assertIs(None, self.sync.choose_peer())
        self.harness.directory.replace([target("t1", node=NEAR), target("t2", node=FAR, zone="b")])
        self.assertEqual({NEAR}, {self.sync.choose_peer() for _ in range(20)})
        self.harness.directory.mark_unreachable(NEAR, "test")
        self.assertEqual({FAR}, {self.sync.choose_peer() for _ in range(20)})
