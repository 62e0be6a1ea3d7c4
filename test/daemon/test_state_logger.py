"""Tests of the log events for state changes of a node."""

import io
import random
from datetime import timedelta

from loguru import logger
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.logs import setup_logs
from almondshore.daemon.metrics import Metrics
from almondshore.daemon.node import Node
from almondshore.daemon.state_logger import StateLogger
from almondshore.relay.control import Identity
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore


class StateLoggerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock, self.log = ManualClock(), io.StringIO()
        self.store = ObjectStore(clock=self.clock)
        setup_logs(stream=self.log)
        self.addCleanup(logger.remove)
        node = Node(
            clock=self.clock,
            rng=random.Random(1),
            identity=Identity("node-1", 1, "zone-a", "10.0.0.1:7402", "10.0.0.1:7401"),
            platform=MemoryPlatform(store=self.store),
            max_tenants=10,
        )
        self.node = node
        self.state_logger = StateLogger(
            node=node, metrics=Metrics(max_tenants=10, constant_labels={}), transport_counts={}
        )

    def run_for(self, seconds):
        for _ in range(seconds):
            self.clock.advance(timedelta(seconds=1))
            self.node.platform_step()
            self.node.watch_step()
            self.node.tick()
            self.state_logger.observe()

    def outages(self):
        lines = self.log.getvalue().splitlines()
        return [line.partition("level=")[2] for line in lines if "event=platform_" in line]

    def test_platform_outage_is_logged_once(self):
        """Guards against an outage that is not logged, or is logged on every tick."""
        self.run_for(30)
        self.assertEqual([], self.outages())
        self.store.fault = Fault.DOWN
        self.run_for(30)
        self.assertEqual(["WARNING event=platform_down"], self.outages())
        self.store.fault = Fault.NONE
        self.run_for(30)
        self.assertEqual(["INFO event=platform_up"], self.outages()[1:])
