"""Tests of fetching state from peers."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.mesh.changes import ChangeResponse, compress_config, encode_response
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.model import Evacuation, Rollout, RolloutState
from almondshore.mesh.peers import PeerSync
from almondshore.mesh.state import ConfigSink, EvacuationSink, PeerSink, RolloutSink
from test.mesh.fakes import OWN_NODE, RequestPathHarness
from test.mesh.samples import config, target

NEAR, FAR = ("10.0.0.1", 1), ("10.0.0.2", 1)


class FakeClient:
    """Returns the state of a peer and records its calls."""

    def __init__(self, state):
        self.state = state
        self.calls = []

    def get(self, node, path, *, timeout=None):
        self.calls.append((node, path))
        return encode_response(self.state) if self.state is not None else None


class PeerSyncTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness()
        self.unavailable_since = None
        self.rollout = Rollout("s", "v2", timedelta(seconds=9), RolloutState.RUNNING, 0.25, 8)
        config_of_peer = compress_config(b'{"x": 1}')
        self.client = FakeClient(
            ChangeResponse(
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
                evacuations=EvacuationSink(),
                decode=lambda raw: config(version=7, raw=raw),
            ),
            node=OWN_NODE,
            zone="a",
            store_unavailable_since=lambda: self.unavailable_since,
        )

    def test_state_of_a_peer_is_applied(self):
        """Guards against a node that keeps outdated state while the store is unreachable."""
        self.unavailable_since = self.harness.clock.monotonic() - timedelta(seconds=1)
        self.assertTrue(self.sync.fetch(NEAR))
        self.assertEqual(7, self.harness.outbound.config_version())
        self.assertEqual({"t9": target("t9")}, self.harness.directory.targets)
        self.assertEqual({"s": self.rollout}, self.harness.shares.rollouts)
        self.assertEqual([(NEAR, b"/changes?config=1")], self.client.calls)

    def test_only_the_configuration_is_fetched_while_the_store_answers(self):
        """Guards against removed entries that reappear from the outdated state of a peer."""
        self.assertTrue(self.sync.fetch(NEAR))
        self.assertEqual(7, self.harness.outbound.config_version())
        self.assertEqual({}, self.harness.directory.targets)
        self.assertEqual({}, self.harness.shares.rollouts)

    def test_ended_evacuation_does_not_return_from_an_outdated_peer(self):
        """Guards against a zone that stays evacuated because a peer still has the ended order."""
        order = Evacuation("a", 5)
        sink = self.sync.sink
        sink.evacuations.update({"a": order})
        sink.evacuations.update({"a": None})
        response = self.client.state._replace(evacuations=[order], whole=False)
        sink.apply(response, source="peer", remove=False)
        self.assertFalse(sink.evacuations.is_evacuated("a"))
        sink.apply(
            response._replace(evacuations=[order._replace(revision=6)]), source="p", remove=False
        )
        self.assertTrue(sink.evacuations.is_evacuated("a"))

    def test_state_is_fetched_from_a_peer_only_if_the_store_is_late(self):
        """Guards against each node copying each new configuration across zones."""
        self.sync.on_peer_version(NEAR, 7)
        self.assertFalse(self.sync.fetching)
        self.harness.clock.advance(timedelta(seconds=1.3))
        self.sync.on_peer_version(NEAR, 7)
        self.assertTrue(self.sync.fetching)

    def test_state_is_fetched_from_a_peer_immediately_in_an_outage(self):
        """Guards against a change that takes effect late during an outage of the store."""
        self.unavailable_since = timedelta()
        self.harness.clock.advance(timedelta(seconds=1))
        self.sync.on_peer_version(NEAR, 7)
        self.assertTrue(self.sync.fetching)

    def test_peers_in_the_same_zone_are_preferred(self):
        """Guards against avoidable traffic between zones."""
        self.assertIs(None, self.sync.choose_peer())
        self.harness.directory.replace([target("t1", node=NEAR), target("t2", node=FAR, zone="b")])
        self.assertEqual({NEAR}, {self.sync.choose_peer() for _ in range(20)})
        self.harness.directory.mark_unreachable(NEAR, "test")
        self.assertEqual({FAR}, {self.sync.choose_peer() for _ in range(20)})
