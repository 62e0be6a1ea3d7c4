"""Tests of evacuations and cold targets with complete nodes, a stand-in store and targets."""

import os
from datetime import timedelta
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.core.bounded_stream import BoundedStream
from almondshore.http.messages import Response, encode_request
from standins import mesh_deployment
from standins.mesh_deployment import BOUNDS, MeshDeployment, stored_config
from standins.mesh_platform import HEALTH_PATH
from test.http.loopback import wait_until

WARMUP_PER_S = 2.0
# What a cold target of that rate bears in a second.
BOUND = WARMUP_PER_S * 1.5 + 8


class EvacuationTest(TestCase):
    def setUp(self):
        super().setUp()
        bounds = BOUNDS._replace(evacuation=timedelta(seconds=5))
        patch = mock.patch.object(mesh_deployment, "BOUNDS", bounds)
        patch.start()
        self.addCleanup(patch.stop)
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        self.mesh = MeshDeployment(log_stream=BoundedStream(descriptor=sink))
        self.addCleanup(self.mesh.close)
        config = stored_config(3, ("s", "other"))
        config["services"]["s"] |= {"warmup_s": 30.0, "warmup_per_s": WARMUP_PER_S}
        self.mesh.store.put("config", "main", config)
        self.mesh.add_node("n1", service="other")
        self.node = self.mesh.add_node("n2")
        self.target = self.mesh.target_standins["n2"]
        self.checks, self.warmup_ms = 0, b"20000"
        handle = self.target.handle

        def handle_with_warmup(exchange):
            if exchange.request.target != HEALTH_PATH:
                handle(exchange)
                return
            self.checks += 1
            headers = ((b"Instance-Id", b"i-n2"), (b"Warmup-Ms", self.warmup_ms))
            exchange.respond(Response(200, headers))

        self.target.handle = handle_with_warmup
        self.mesh.wait_for_targets("n1", 2)

    def is_cold(self):
        return self.node.local.warmup.cold_limit() is not None

    def evacuate(self):
        self.mesh.store.put("evacuations", "a", {})
        wait_until(lambda: all(n.evacuations.own_evacuated for n in self.mesh.nodes.values()))

    def end_evacuation(self):
        request = encode_request(b"DELETE", b"/objects/evacuations/a", ((b"Host", b"h"),), b"")
        self.mesh.call(self.mesh.store_server.address(), request)
        wait_until(lambda: not any(n.evacuations.own_evacuated for n in self.mesh.nodes.values()))

    def test_zone_is_evacuated_and_returns_with_a_cold_target(self):
        """Guards against an order that does not reach the request path, and a crash afterwards."""
        self.assertFalse(self.is_cold())
        self.assertEqual(200, self.mesh.request_status("n1"))
        self.evacuate()
        ran, checks = len(self.target.executed), self.checks
        self.assertEqual(503, self.mesh.request_status("n1"))
        self.assertEqual(503, self.mesh.request_status("n2"))
        eventlet.sleep(0.6)
        self.assertEqual((ran, checks), (len(self.target.executed), self.checks))
        self.end_evacuation()
        self.assertTrue(self.is_cold())
        statuses = []
        for number in range(60):
            eventlet.spawn(
                lambda number=number: statuses.append(
                    self.mesh.request_status("n1", request_id=f"b{number}")
                )
            )
            eventlet.sleep(0.03)
        wait_until(lambda: len(statuses) == 60)
        self.assertEqual({200, 503}, set(statuses))
        self.assertTrue(len(self.target.executed) - ran <= BOUND, len(self.target.executed))
        self.assertEqual("evacuation-ended", self.node.local.warmup.reason)
        wait_until(lambda: self.checks > checks, seconds=3)
        wait_until(lambda: self.node.local.warmup.unknown_since is None, seconds=3)
        self.assertTrue(self.is_cold())
        metrics = self.node.metrics.render(self.node)[0].decode()
        self.assertIn('almondshore_target_cold{node="n2",zone="a"} 1', metrics)
        self.assertIn('almondshore_target_refusals{node="n2",reason="rate-limited"', metrics)

    def test_target_that_is_warm_is_asked_once(self):
        """Guards against a warm target that stays limited, and against a series of checks."""
        self.warmup_ms = b"0"
        self.evacuate()
        checks = self.checks
        self.end_evacuation()
        wait_until(lambda: not self.is_cold(), seconds=4)
        eventlet.sleep(1)
        self.assertEqual(checks + 1, self.checks)
        self.assertEqual(200, self.mesh.request_status("n1"))

    def test_restarted_node_asks_its_target_before_full_load(self):
        """Guards against a node that starts and does not know that its target is cold."""
        former = self.mesh.nodes.pop("n2")
        former.close()
        self.node = self.mesh.start_node(former.settings)
        self.assertTrue(self.is_cold())
        wait_until(lambda: self.node.local.announced is not None, seconds=3)
        self.assertTrue(self.is_cold())
        self.assertEqual(1, self.checks)
        left = self.node.local.warmup.cold_limit().left
        self.assertTrue(timedelta(seconds=15) < left < timedelta(seconds=20), left)
