"""Tests of a node without I/O."""

import random
from datetime import UTC, datetime, timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.daemon.node import Node
from almondshore.relay.control import Identity
from almondshore.versions.publish import Publisher
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore
from test.versions.parts import service_part

AT = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)


class NodeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        platform = MemoryPlatform(store=ObjectStore(clock=self.clock))
        self.publisher = Publisher(platform=platform)
        self.node = Node(
            clock=self.clock,
            rng=random.Random(1),
            identity=Identity("node-1", 1, "zone-a", "10.0.0.1:7402", "10.0.0.1:7401"),
            platform=platform,
            max_tenants=10,
        )

    def version(self):
        return self.node.control.config.state.current.version

    def publish(self):
        self.publisher.publish(
            base=self.publisher.current().unwrap(),
            base_parts={},
            parts=service_part("counter-app"),
            rules=b"",
            author="anna",
            reason="",
            at=AT,
        )

    def announce(self):
        records = self.node.control.local.announce(
            target="t1", service="counter-app", version="v1", slots=1, draining=False
        )
        self.node.announce(records)

    def test_reported_version_and_target_are_in_the_routes(self):
        """Guards against a node that reports a version or a target but routes without it."""
        self.publish()
        while self.version() == 0:
            self.clock.advance(timedelta(seconds=1))
            self.node.platform_step()
            self.node.tick()
            self.node.watch_step()
        self.assertTrue(self.node.current_routes().ready)
        self.assertEqual({}, self.node.current_routes().weights)
        self.announce()
        self.assertEqual({"counter-app"}, self.node.current_routes().weights.keys())
