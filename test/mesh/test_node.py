"""Tests of whole nodes against stand-ins of the store and of upstreams."""

import contextlib
import os
import time
from datetime import timedelta

import eventlet
import msgspec
from eventlet.green import socket
from testtools import TestCase

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.messages import CrashDeath
from almondshore.http.messages import Response, encode_request
from almondshore.http.server import MAX_UNREAD_BYTES, ExchangeHandler
from almondshore.mesh.model import Death
from almondshore.mesh.view import NodeView, TargetsView
from almondshore.mesh.watching import WATCHERS_PER_ZONE
from standins.mesh_deployment import MeshDeployment, stored_config


def new_mesh(test):
    """Return a deployment that ends with the test and logs nowhere."""
    sink = os.open(os.devnull, os.O_WRONLY)
    mesh = MeshDeployment(log_stream=BoundedStream(descriptor=sink))
    test.addCleanup(os.close, sink)
    test.addCleanup(mesh.close)
    return mesh


def wait_until(condition, seconds=3.0):
    with eventlet.Timeout(seconds):
        while not condition():
            eventlet.sleep(0.02)


class NodeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.mesh = new_mesh(self)
        self.mesh.store.put("config", "main", stored_config(3, ("s", "other")))
        self.mesh.add_node("n1", service="other")
        self.mesh.add_node("n2")
        wait_until(lambda: len(self.mesh.nodes["n1"].directory.targets) == 2)

    def test_request_crosses_to_the_host_of_its_target(self):
        """Guards against a path that is broken between any two of its parts."""
        result = self.mesh.request("n1")
        self.assertEqual((200, b"from i-n2"), (result.response.status, result.response.body))
        self.assertEqual([(b"a1", b"other")], self.mesh.upstreams["n2"].ran)
        self.assertEqual(404, self.mesh.status("n1", path="/unknown/"))

    def test_node_without_configuration_is_not_ready(self):
        """Guards against callers that are sent to a node which cannot route."""
        self.assertEqual(200, self.mesh.ready("n1"))
        self.mesh.store.refuse = 503
        self.mesh.add_node("n3", announce=False)
        self.assertEqual(503, self.mesh.ready("n3"))
        self.assertEqual(503, self.mesh.status("n3"))

    def test_configuration_changes_without_the_store(self):
        """Guards against a node that keeps an old version while the store refuses it."""
        first = self.mesh.nodes["n1"]
        first.store.set_address(("127.0.0.1", 1))
        first.pool.drop(self.mesh.store_server.address())
        self.mesh.store.put("config", "main", stored_config(9, ("s",)))
        wait_until(lambda: self.mesh.nodes["n2"].outbound.config_version() == 9)
        wait_until(lambda: first.outbound.config_version() == 9)

    def test_lost_history_loses_no_change(self):
        """Guards against a node that misses a change when the store drops its history."""
        self.mesh.store.forget_history()
        self.mesh.store.put("config", "main", stored_config(4, ("s",)))
        wait_until(lambda: self.mesh.nodes["n1"].outbound.config_version() == 4)

    def test_lost_answer_of_the_store_is_made_up_for(self):
        """Guards against a node that knows no target since an answer of the store was lost.

        Seen in the soak with seed 4: one node had outdated targets 10 s later.
        """
        first = self.mesh.nodes["n1"]
        for connection in list(self.mesh.store_server.connections):
            # The store believes that it answered, and the node that it still waits.
            connection.stream.write = lambda data: None
        self.mesh.add_node("n3")
        self.assertNotIn("i-n3", first.directory.targets)
        wait_until(lambda: "i-n3" in first.directory.targets, seconds=8)

    def test_changes_are_in_force_soon_after_the_store_was_silent(self):
        """Guards against a feed that waits on for the answer to a call that was swallowed.

        Seen on valpadana-mesh, trouble-3 --seed 565540342273: no node had a version 2.2 s old.
        """
        server = self.mesh.store_server
        handler, server.handler = server.handler, _Silent()
        self.mesh.store.waiting.clear()
        eventlet.sleep(4)
        server.handler = handler
        self.mesh.store.put("config", "main", stored_config(8, ("s",)))
        for node in self.mesh.nodes.values():
            wait_until(lambda node=node: node.outbound.config_version() == 8, seconds=2.5)

    def test_leaving_target_gets_no_requests(self):
        """Guards against requests that reach a target after its leaving was acknowledged."""
        self.assertEqual(200, self.mesh.announce("n2", state="draining"))
        eventlet.sleep(0.5)
        ran = len(self.mesh.upstreams["n2"].ran)
        self.assertEqual(503, self.mesh.status("n1"))
        self.assertEqual(ran, len(self.mesh.upstreams["n2"].ran))

    def test_departure_outlives_the_process(self):
        """Guards against a restarted node that uses a target which deregistered before."""
        self.assertEqual(200, self.mesh.depart("n2"))
        entry = ("almondshore-targets", "i-n2")
        wait_until(lambda: self.mesh.store.get(*entry)["spec"]["state"] == "gone")
        former = self.mesh.nodes.pop("n2")
        former.close()
        self.mesh.start(former.settings)
        wait_until(lambda: self.mesh.nodes["n2"].local.store_read)
        self.mesh.announce("n2")
        eventlet.sleep(0.5)
        self.assertEqual(503, self.mesh.status("n1"))
        self.assertEqual([], self.mesh.upstreams["n2"].ran)

    def test_caller_that_leaves_stops_the_target(self):
        """Guards against a target that works for a caller that is gone."""
        upstream = self.mesh.upstreams["n2"]
        upstream.work = timedelta(seconds=2)
        with eventlet.Timeout(0.2, False):
            self.mesh.request("n1")
        for connection in list(self.mesh.nodes["n1"].outbound_server.connections):
            connection.stream._finish(clean=True)
        wait_until(lambda: upstream.cancelled == 1, seconds=0.5)

    def test_silent_host_is_passed_over(self):
        """Guards against connections to a host that went silent without a reset."""
        self.mesh.add_node("n3")
        wait_until(lambda: len(self.mesh.nodes["n1"].directory.targets) == 3)
        for number in range(6):
            self.mesh.status("n1", request_id=f"w{number}")
        # Neither accepts connections nor reads from those that it has.
        server = self.mesh.nodes["n2"].inbound_server
        server.close_listener()
        for connection in server.connections:
            connection.stream.pause_reading()
        statuses = [self.mesh.status("n1", request_id=f"a{number}") for number in range(8)]
        self.assertEqual([200] * 8, statuses)

    def test_host_that_is_back_gets_requests_again(self):
        """Guards against a host that is passed over for ever after it was away."""
        first, second = self.mesh.nodes["n1"], self.mesh.nodes.pop("n2")
        second.close()
        wait_until(lambda: self.mesh.status("n1") == 503)
        self.mesh.start(second.settings)
        self.mesh.announce("n2")
        wait_until(lambda: first.directory.is_reachable(second.settings.inbound), seconds=8)
        wait_until(lambda: self.mesh.status("n1") == 200, seconds=8)

    def test_lost_answer_is_made_up_for_on_idempotent_routes(self):
        """Guards against a caller that waits in vain for an answer that was lost."""
        self.mesh.add_node("n3")
        wait_until(lambda: len(self.mesh.nodes["n1"].directory.targets) == 3)
        for name in ("n2", "n3"):
            upstream = self.mesh.upstreams[name]
            upstream.answer = self._cut_first(upstream)
        statuses = [self.mesh.status("n1", request_id=f"a{number}") for number in range(8)]
        self.assertTrue(statuses.count(200) >= 6, statuses)

    def test_deaths_of_the_own_target_are_counted_and_reported(self):
        """Guards against a request that takes targets down, and of which nobody learns.

        The node called a part that was gone, and the request at the dead target got no answer.
        """
        node, other = self.mesh.nodes["n2"], self.mesh.nodes["n1"]
        for number in (1, 2):
            run = CrashDeath(77, f"i-{number}", 1, number * 1_000, number * 1_000 + 500)
            node.inbound.on_death(Death(f"i-{number}-1", (run,)))
        self.assertIsNot(None, node.guard.check(77))
        wait_until(lambda: other.guard.check(77) is not None, seconds=5)

    def test_stop_finishes_what_runs(self):
        """Guards against requests that are cut by a planned stop."""
        self.mesh.upstreams["n2"].work = timedelta(seconds=1)
        pool = eventlet.GreenPool()
        replies = [pool.spawn(self.mesh.status, "n1", request_id=f"a{number}") for number in (1, 2)]
        eventlet.sleep(0.2)
        node = self.mesh.nodes["n1"]
        node.stop()
        self.assertEqual(503, self.mesh.ready("n1"))
        self.assertFalse(node._may_exit())
        self.assertEqual([504, 504], [reply.wait() for reply in replies])
        self.assertEqual(200, self.mesh.status("n1", path="/other/x"))
        wait_until(node._may_exit)
        self.assertEqual(503, self.mesh.status("n1"))

    def test_metrics_are_served(self):
        """Guards against on-call engineers without counters and histograms."""
        self.mesh.request("n1")
        body, _ = self.mesh.nodes["n1"].metrics.render(self.mesh.nodes["n1"])
        for name in ("almondshore_config_version", "almondshore_request_seconds_bucket"):
            self.assertIn(name, body.decode())

    def test_reader_of_the_metrics_that_does_not_read_holds_up_no_request(self):
        """Guards against requests that wait, or memory that grows, for a scraper that hangs."""
        node = self.mesh.nodes["n1"]
        reader = socket.create_connection(node.settings.metrics)
        self.addCleanup(reader.close)
        reader.settimeout(0.2)
        scrape = encode_request(b"GET", b"/metrics", ((b"Host", b"h"),), b"")
        with contextlib.suppress(TimeoutError):
            reader.sendall(scrape * 20_000)
        started = time.monotonic()
        statuses = {self.mesh.status("n1", request_id=f"m{number}") for number in range(30)}
        self.assertEqual({200}, statuses)
        self.assertTrue(time.monotonic() - started < 3.0)
        held = [len(item.stream.unsent) for item in self.metrics_connections(node)]
        self.assertTrue(sum(held) <= 2 * MAX_UNREAD_BYTES, held)

    def metrics_connections(self, node):
        (server,) = (item for item in node.servers if item.address() == node.settings.metrics)
        return server.connections

    def test_what_a_node_believes_is_shown_while_the_store_is_away(self):
        """Guards against operators who see nothing of a node when they need it most."""
        node = self.mesh.nodes["n1"]
        self.mesh.store.refuse = 503
        wait_until(lambda: node.feeds.store_unavailable_since() is not None)
        data = encode_request(b"GET", b"/status", ((b"Host", b"h"),), b"")
        response = self.mesh.call(node.settings.metrics, data).response
        view = msgspec.json.decode(response.body, type=NodeView)
        self.assertEqual(("n1", True, 3), (view["node"], view["ready"], view["config_version"]))
        self.assertTrue(view["store_away_ms"] >= 0)
        data = encode_request(b"GET", b"/targets", ((b"Host", b"h"),), b"")
        body = self.mesh.call(node.settings.metrics, data).response.body
        targets = msgspec.json.decode(body, type=TargetsView)["targets"]
        self.assertEqual(
            {("i-n1", True), ("i-n2", True)}, {(t["target"], t["answers"]) for t in targets}
        )
        found = {item["service"]: item["ready"] for item in view["services"]}
        self.assertEqual({"s": {"v1": 1}, "other": {"v1": 1}}, found)

    def _cut_first(self, upstream):
        usual = upstream._usual
        left = [1]

        def answer(exchange):
            if left:
                left.pop()
                exchange.connection.stream.close()
                exchange.connection.stream.handler.on_end(clean=False)
                return None
            return usual(exchange)

        return answer


class _Silent(ExchangeHandler):
    """Takes calls and answers none."""

    def handle(self, exchange):
        return


class RolloutTest(TestCase):
    def play(self, bad):
        mesh = new_mesh(self)
        mesh.store.put("config", "main", stored_config(3, ("s", "other")))
        mesh.add_node("n1", service="other")
        mesh.add_node("n2")
        mesh.add_node("n3", version="v2")
        mesh.announce("n3", version="v2", born=9000)
        if bad:
            mesh.upstreams["n3"].answer = lambda exchange: Response(
                500,
                (
                    (b"Attempt-Id", exchange.request.header(b"attempt-id")),
                    (b"Response-Signature", b"x"),
                ),
            )
        wait_until(lambda: len(mesh.nodes["n1"].directory.targets) == 3)
        order = {"service": "s", "target_version": "v2", "duration_s": 5}
        mesh.store.put("rollouts", "s", order)
        number = 0
        with eventlet.Timeout(7):
            while True:
                number += 1
                mesh.status("n1", request_id=f"a{number}")
                status = mesh.store.get("rollouts", "s")["status"]
                if status and status["state"] in ("completed", "rolled_back"):
                    return mesh, number, status["state"]
                eventlet.sleep(0.005)

    def test_good_version_is_completed_in_time(self):
        """Guards against a good version that misses its deadline."""
        mesh, _, state = self.play(bad=False)
        self.assertEqual("completed", state)
        before = len(mesh.upstreams["n2"].ran)
        self.assertEqual(200, mesh.status("n1"))
        self.assertEqual(before, len(mesh.upstreams["n2"].ran))

    def test_bad_version_is_rolled_back_with_little_exposure(self):
        """Guards against a bad version that gets more than a small share."""
        mesh, requests, state = self.play(bad=True)
        self.assertEqual("rolled_back", state)
        exposed = len(mesh.upstreams["n3"].ran)
        self.assertTrue(exposed <= 0.1 * requests + 50, (exposed, requests))
        for number in range(20):
            self.assertEqual(200, mesh.status("n1", request_id=f"b{number}"))
        self.assertEqual(exposed, len(mesh.upstreams["n3"].ran))


class WatchingTest(TestCase):
    """Nodes of one zone, more than watch the store."""

    NODES = 7

    def setUp(self):
        super().setUp()
        self.mesh = new_mesh(self)
        self.mesh.store.put("config", "main", stored_config(3, ("s",)))
        for number in range(self.NODES):
            self.mesh.add_node(f"n{number}")
        wait_until(lambda: len(self.followers()) == self.NODES - WATCHERS_PER_ZONE, seconds=8)

    def followers(self):
        return [
            node for node in self.mesh.nodes.values() if node.feeds.follower.followed is not None
        ]

    def test_changes_reach_all_nodes_by_the_watchers(self):
        """Guards against nodes that do not learn of changes since others watch for them."""
        self.mesh.store.put("config", "main", stored_config(8, ("s",)))
        self.mesh.announce("n1", state="draining")
        for node in self.mesh.nodes.values():
            wait_until(lambda node=node: node.outbound.config_version() == 8, seconds=2)
            wait_until(
                lambda node=node: node.directory.targets["i-n1"].state == "draining", seconds=2
            )

    def test_a_change_reaches_the_followers_of_a_watcher_that_ends(self):
        """Guards against followers that wait for a watcher which is gone."""
        follower = self.followers()[0]
        names = {node.settings.inbound: name for name, node in self.mesh.nodes.items()}
        self.mesh.nodes.pop(names[follower.feeds.follower.followed]).close()
        self.mesh.store.put("config", "main", stored_config(9, ("s",)))
        wait_until(lambda: follower.outbound.config_version() == 9, seconds=2)

    def test_a_change_reaches_followers_while_no_watcher_has_the_store(self):
        """Guards against followers of watchers that the store refuses, while it serves others."""
        follower = self.followers()[0]
        for node in self.mesh.nodes.values():
            if node.feeds.follower.followed is None:
                node.store.set_address(("127.0.0.1", 1))
                node.pool.drop(self.mesh.store_server.address())
        for connection in list(self.mesh.store_server.connections):
            connection.stream.close()
        self.mesh.store.put("config", "main", stored_config(9, ("s",)))
        wait_until(lambda: follower.outbound.config_version() == 9, seconds=3)
