"""Tests of the choice of watchers, and of the nodes that follow them."""

import random
from datetime import timedelta

import eventlet
from testtools import TestCase

from almondshore.core.messages import CrashDeath
from almondshore.http.messages import Request, Response
from almondshore.http.server import Exchange
from almondshore.mesh.change_server import MAX_STATE_AGE, ChangeServer
from almondshore.mesh.changes import ChangeLog, decode_response
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Death
from almondshore.mesh.state import ConfigSink, EvacuationSink, PeerSink, RolloutSink
from almondshore.mesh.watching import (
    FIRST_START_SETTLE_TIME,
    MIN_WATCHERS,
    RETRY_INTERVAL,
    START_TIMEOUT,
    WATCHERS_PER_ZONE,
    ZONE_PROBE_INTERVAL,
    Follower,
)
from test.mesh.fakes import RequestPathHarness
from test.mesh.samples import config, target

SECOND = timedelta(seconds=1)
FINGERPRINT = 77
LOCAL_NODE = ("10.0.0.1", 1)


def death(name, started_ms):
    """Return the death of a target that ran the request that crashes targets."""
    run = CrashDeath(FINGERPRINT, name, 1, started_ms, started_ms + 500)
    return Death(f"{name}-1", (run,))


class FakeReplica:
    """A replica that records whether it is suspended, and how often it called the store."""

    def __init__(self):
        self.answered_at = timedelta()
        self.reads_again = False
        self.failing_since = None
        self.suspended = False
        self.responds = True
        self.probes = 0

    def is_running(self):
        return not self.suspended

    def probe(self):
        self.probes += 1
        return self.responds

    def suspend(self):
        self.suspended = True

    def resume(self):
        self.suspended = False


class FakeConnection:
    """The connection of an exchange."""

    peer = "10.0.0.9:5555"

    def flush(self):
        pass


class Watcher:
    """State of a node that watches the store, and its change server."""

    def __init__(self, epoch="e1"):
        self.harness = RequestPathHarness()
        self.changes = ChangeLog(epoch=epoch)
        self.directory = Directory(clock=self.harness.clock, changes=self.changes)
        self.config = ConfigSink(outbound=self.harness.outbound, name="main", changes=self.changes)
        self.rollouts = RolloutSink(shares=self.harness.shares, changes=self.changes)
        self.crashes = CrashSink(guard=self.harness.guard, changes=self.changes)
        self.evacuations = EvacuationSink(changes=self.changes)
        self.age = timedelta()
        self.server = ChangeServer(
            changes=self.changes,
            config=lambda: self.harness.outbound.config,
            directory=self.directory,
            rollouts=self.rollouts,
            crashes=self.crashes,
            evacuations=self.evacuations,
            age=lambda: self.age,
        )

    def poll(self, query):
        request = Request(b"GET", b"/changes?" + query, (), b"", True)
        exchange = Exchange(request=request, received_at=timedelta(), connection=FakeConnection())
        self.server.handle(exchange)
        return exchange


class FakeClient:
    """A client for watchers in this process; any other node does not respond."""

    def __init__(self, watchers):
        self.watchers = watchers
        self.polled = []

    def get(self, node, path, *, timeout=None):
        self.polled.append(node)
        watcher = self.watchers.get(node)
        if watcher is None:
            return None
        exchange = watcher.poll(path.partition(b"?")[2])
        watcher.server._respond_to_all()
        return exchange.response.body


class FollowerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness()
        self.replicas = [FakeReplica(), FakeReplica()]
        self.client = FakeClient({})
        self.sink = PeerSink(
            config=ConfigSink(outbound=self.harness.outbound, name="main"),
            directory=self.harness.directory,
            rollouts=RolloutSink(shares=self.harness.shares),
            crashes=CrashSink(guard=self.harness.guard),
            evacuations=EvacuationSink(),
            decode=lambda raw: config(version=int(raw), raw=raw),
        )
        self.follower = self.make(LOCAL_NODE)

    def make(self, node, **options):
        return Follower(
            clock=self.harness.clock,
            rng=random.Random(1),
            client=self.client,
            sink=self.sink,
            node=node,
            zone="a",
            replicas=self.replicas,
            probe_replica=self.replicas[0],
            **options,
        )

    def add_nodes(self, count, **links):
        """Add targets on nodes 1 to ``count`` to the zone; returns the nodes."""
        nodes = [(f"10.0.0.{number}", 1) for number in range(1, count + 1)]
        for number, node in enumerate(nodes):
            link = links.get(f"n{number + 1}", 10.0)
            self.harness.directory.put(target(f"t{number}", node=node, link_mbps=link))
        return nodes

    def add_watchers(self, nodes):
        """Let nodes respond to polls, with recent state."""
        for node in nodes:
            watcher = self.client.watchers[node] = Watcher(epoch=node[0].replace(".", ""))
            watcher.directory.replace(self.harness.directory.targets.values())

    def follow(self):
        """Make this node follow one of its watchers; returns the watchers."""
        nodes = self.add_nodes(10)
        local_node = next(node for node in nodes if node not in self.follower.watchers())
        self.follower = self.make(local_node)
        self.add_watchers(self.follower.watchers())
        self.follower.step()
        return [self.client.watchers[node] for node in self.follower.watchers()]

    def test_all_nodes_agree_on_few_watchers(self):
        """Guards against calls to the store that grow with the number of nodes."""
        nodes = self.add_nodes(20)
        chosen = {frozenset(self.make(node).watchers()) for node in nodes}
        self.assertEqual(1, len(chosen))
        self.assertEqual(WATCHERS_PER_ZONE, len(chosen.pop()))
        self.assertTrue(len({self.make(node).watchers()[0] for node in nodes}) > 1)

    def test_nodes_with_fast_links_watch(self):
        """Guards against a watcher whose slow link is saturated by its followers."""
        self.add_nodes(20, n7=200.0, n9=200.0)
        self.assertEqual({("10.0.0.7", 1), ("10.0.0.9", 1)}, set(self.follower.watchers()))
        self.harness.directory.mark_unreachable(("10.0.0.7", 1), "test")
        self.assertEqual(MIN_WATCHERS, len(self.follower.watchers()))
        self.assertIn(("10.0.0.9", 1), self.follower.watchers())

    def test_follower_suspends_its_replicas_and_applies_changes(self):
        """Guards against a follower that calls the store, or misses a change."""
        first = self.follow()[0]
        self.assertEqual([True, True], [replica.suspended for replica in self.replicas])
        first.config.apply(config(version=5, raw=b"5"), source="store")
        first.directory.put(target("new"))
        first.directory.remove("t3")
        self.follower.step()
        self.assertEqual(5, self.harness.outbound.config_version())
        self.assertIn("new", self.harness.directory.targets)
        self.assertNotIn("t3", self.harness.directory.targets)

    def test_follower_learns_of_requests_that_crash_targets(self):
        """Guards against a follower that forwards a request known to crash targets."""
        first = self.follow()[0]
        deaths = [death("t1", 1_000), death("t2", 2_000)]
        for reported in deaths:
            first.crashes.update({reported.name: reported})
        self.follower.step()
        self.assertIsNot(None, self.harness.guard.check(FINGERPRINT))
        first.crashes.update({deaths[0].name: None})
        self.follower.step()
        self.assertEqual({deaths[1].name}, set(self.sink.crashes.reports))
        self.follower.epoch = "another"
        first.crashes.update({deaths[1].name: None})
        self.follower.step()
        self.assertEqual({}, self.sink.crashes.reports)
        self.assertIsNot(None, self.harness.guard.check(FINGERPRINT))

    def test_outdated_watcher_is_replaced_by_another(self):
        """Guards against an outdated configuration while one watcher has lost the store."""
        first, second, *_ = self.follow()
        first.age = MAX_STATE_AGE * 2
        second.config.apply(config(version=9, raw=b"9"), source="store")
        self.follower.step()
        self.assertEqual(9, self.harness.outbound.config_version())
        self.assertEqual([True, True], [replica.suspended for replica in self.replicas])

    def step_for(self, time):
        """Let the follower look for recent state for this long."""
        until = self.harness.clock.monotonic() + time
        while self.harness.clock.monotonic() < until:
            self.harness.clock.advance(self.follower.step())
            eventlet.sleep(0)

    def test_node_without_recent_watchers_watches_the_store(self):
        """Guards against outdated state when all watchers of a zone have lost the store."""
        for watcher in self.follow():
            watcher.age = MAX_STATE_AGE * 2
        self.step_for(10 * ZONE_PROBE_INTERVAL)
        self.assertEqual([False, False], [replica.suspended for replica in self.replicas])
        self.client.watchers.clear()
        self.follower.step()
        self.assertIs(None, self.follower.followed)

    def test_standby_takes_over_from_watchers_that_lost_the_store(self):
        """Guards against a zone without state because its few watchers are cut from the store."""
        for watcher in self.follow():
            watcher.age = MAX_STATE_AGE * 2
        local_node = self.follower.node
        standby = next(node for node in self.follower.standbys() if node != local_node)
        self.assertNotIn(standby, self.follower.watchers())
        self.add_watchers([standby])
        self.follower.step()
        self.assertEqual(standby, self.follower.followed)
        self.client.watchers.clear()
        self.follower.node = standby
        self.step_for(RETRY_INTERVAL)
        self.assertEqual([False, False], [replica.suspended for replica in self.replicas])

    def test_outage_does_not_make_all_nodes_call_the_store(self):
        """Guards against calls in an outage by each node of a zone.

        On valpadana-mesh-large trouble-3, an outage of 8 s made 184 nodes watch the store, 4,000
        calls, and read its whole state afterwards.
        """
        nodes = self.add_nodes(40)
        watchers = self.follower.watchers()
        self.add_watchers(nodes)
        self.replicas[0].responds = False
        for node in nodes:
            if node in watchers:
                continue
            self.follower = self.make(node)
            self.follower.rng.seed(node[0])
            for watcher in self.client.watchers.values():
                watcher.age = timedelta()
            self.follower.step()
            for watcher in self.client.watchers.values():
                watcher.age = MAX_STATE_AGE * 2
            self.step_for(8 * SECOND)
            self.assertEqual([True, True], [item.suspended for item in self.replicas])
        self.assertTrue(20 <= self.replicas[0].probes <= 80, self.replicas[0].probes)

    def test_node_stops_to_watch_when_the_store_stops_to_respond(self):
        """Guards against nodes that call the store because they watched it before an outage."""
        self.harness.outbound.config = config()
        nodes = self.add_nodes(20)
        self.add_watchers(nodes)
        for watcher in self.client.watchers.values():
            watcher.age = MAX_STATE_AGE * 2
        chosen = (*self.follower.watchers(), *self.follower.standbys())
        self.follower = self.make(next(node for node in nodes if node not in chosen))
        self.step_for(START_TIMEOUT + RETRY_INTERVAL)
        self.assertEqual([False, False], [replica.suspended for replica in self.replicas])
        self.replicas[0].failing_since = self.harness.clock.monotonic()
        self.replicas[0].responds = False
        self.step_for(2 * SECOND)
        self.assertEqual([True, True], [replica.suspended for replica in self.replicas])

    def test_age_includes_the_age_of_the_watchers_state(self):
        """Guards against outdated state that counts as recent because a watcher passed it on."""
        first = self.follow()[0]
        first.age = SECOND
        self.follower.step()
        self.harness.clock.advance(SECOND)
        self.assertEqual(2 * SECOND, self.follower.age())

    def starting_follower(self, **options):
        """Return a follower that has just started, and its watchers."""
        nodes = self.add_nodes(10)
        watchers = self.follower.watchers()
        node = next(node for node in nodes if node not in watchers)
        for replica in self.replicas:
            replica.suspended = True
        return self.make(node, **options), watchers

    def test_starting_node_waits_for_its_watchers_to_start(self):
        """Guards against all nodes that read the whole store when they start together.

        On valpadana-mesh-large, 194 nodes that start read four kinds of objects each, a third of
        the calls to the store on quiet-1.
        """
        follower, watchers = self.starting_follower()
        follower.step()
        self.assertEqual([True, True], [replica.suspended for replica in self.replicas])
        watcher = self.client.watchers[watchers[0]] = Watcher()
        watcher.directory.replace(self.harness.directory.targets.values())
        follower.step()
        self.assertEqual(watchers[0], follower.followed)

    def test_starting_node_reads_the_store_if_no_watcher_responds(self):
        """Guards against a node that waits for watchers which are gone."""
        follower, _ = self.starting_follower()
        self.harness.clock.advance(START_TIMEOUT)
        follower.step()
        self.assertEqual([False, False], [replica.suspended for replica in self.replicas])

    def test_nodes_of_a_first_start_choose_watchers_when_they_know_each_other(self):
        """Guards against each node that takes itself for the only one, and watches the store."""
        self.add_nodes(1)
        for replica in self.replicas:
            replica.suspended = True
        follower = self.make(LOCAL_NODE, first_start=True)
        follower.step()
        self.assertEqual([True, True], [replica.suspended for replica in self.replicas])
        self.harness.clock.advance(FIRST_START_SETTLE_TIME)
        follower.step()
        self.assertEqual([False, False], [replica.suspended for replica in self.replicas])


class ChangeServerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.watcher = Watcher()
        self.watcher.directory.replace([target("t1"), target("t2")])

    def response(self, query):
        exchange = self.watcher.poll(query)
        return decode_response(exchange.response.body) if exchange.response is not None else None

    def test_poll_waits_until_something_changes(self):
        """Guards against followers that poll without a pause, or learn of a change late."""
        number = self.watcher.changes.number
        exchange = self.watcher.poll(b"epoch=e1&after=%d&config=9&hold_ms=700" % number)
        self.assertIs(None, exchange.response)
        self.watcher.directory.put(target("t3"))
        self.watcher.server._respond_to_all()
        response = decode_response(exchange.response.body)
        self.assertEqual(["t3"], [item.target for item in response.targets])
        self.assertFalse(response.whole)

    def test_poll_with_another_epoch_gets_the_full_state(self):
        """Guards against changes that are missed when a watcher restarts."""
        response = self.response(b"epoch=e0&after=2&config=9&hold_ms=700")
        self.assertTrue(response.whole)
        self.assertEqual({"t1", "t2"}, {item.target for item in response.targets})

    def test_outdated_state_is_reported_at_once(self):
        """Guards against a follower that waits for a watcher that has lost the store."""
        self.watcher.age = MAX_STATE_AGE
        number = self.watcher.changes.number
        response = self.response(b"epoch=e1&after=%d&config=9&hold_ms=700" % number)
        self.assertEqual(MAX_STATE_AGE / timedelta(milliseconds=1), response.age_ms)

    def test_outdated_state_is_not_sent_to_a_node_that_does_not_want_it(self):
        """Guards against the whole state sent to each follower again and again in an outage."""
        self.watcher.age = MAX_STATE_AGE * 2
        response = self.response(b"epoch=e0&config=0&max_age_ms=1300")
        self.assertEqual(([], False), (response.targets, response.whole))
        self.watcher.age = SECOND
        response = self.response(b"epoch=e0&config=0&max_age_ms=1300")
        self.assertEqual(2, len(response.targets))

    def test_malformed_poll_is_refused(self):
        """Guards against a malformed poll that ends the server's loop."""
        exchange = self.watcher.poll(b"after=x")
        self.assertEqual(Response(400).status, exchange.response.status)
