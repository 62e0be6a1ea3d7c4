"""Tests of the replication of state from the store and peers, and of publishing to the store."""

import random
from datetime import timedelta

from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh import replication
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Rollout, RolloutState, TargetState
from almondshore.mesh.publishing import TargetPublisher
from almondshore.mesh.replication import MIN_BACKOFF, OUTAGE_CALL_INTERVAL, Replica, Sink
from almondshore.mesh.state import ConfigSink, RolloutSink, TargetSink
from almondshore.mesh.store import Changed, Changes, Feed, HistoryGone, NotFound, Snapshot, StoreEra
from almondshore.mesh.versions import VersionShares
from almondshore.storage.port import Unavailable
from test.mesh.fakes import RequestPathHarness
from test.mesh.samples import config, target


class ScriptedFeed(Feed):
    """A feed that returns scripted results."""

    name = "scripted"

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []
        self.waits = []

    def read(self, *, stale=False):
        self.calls.append("read")
        return self.results.pop(0)

    def wait(self, position, timeout):
        self.calls.append(position)
        self.waits.append(timeout)
        return self.results.pop(0)


class ListSink(Sink):
    """A sink that records what it received."""

    def __init__(self):
        self.received = []

    def replace(self, items):
        known = [received for _, received in self.received]
        self.received.append(("all", dict(items)))
        return dict(items) not in known

    def update(self, items):
        self.received.append(("some", dict(items)))


class ReplicaTest(TestCase):
    def make_replica(self, *results, **fields):
        feed, sink = ScriptedFeed(*results), ListSink()
        replica = Replica(
            clock=fields.pop("clock", None) or ManualClock(),
            rng=random.Random(1),
            feed=feed,
            sink=sink,
            wait=timedelta(seconds=4),
            batch_delay=fields.pop("batch_delay", timedelta()),
            **fields,
        )
        return replica, feed, sink

    def test_changes_follow_the_first_read(self):
        """Guards against changes missed between the first read and the first wait."""
        replica, feed, sink = self.make_replica(
            Success(Snapshot(7, {"a": 1})),
            Success(Changes(9, {"a": None})),
            Success(Changes(9, {})),
        )
        for _ in range(3):
            replica.step()
        self.assertEqual(["read", 7, 9], feed.calls)
        self.assertEqual([("all", {"a": 1}), ("some", {"a": None})], sink.received)

    def test_lost_history_is_followed_by_a_full_read(self):
        """Guards against a node that misses changes when the store discards its history."""
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {})), Failure(HistoryGone(7)), Success(Snapshot(20, {}))
        )
        for _ in range(3):
            replica.step()
        self.assertEqual(["read", 7, "read"], feed.calls)

    def test_history_that_is_lost_again_is_requested_after_a_pause(self):
        """Guards against reads in a tight loop while the store discards its history.

        A stale read returned a position whose history was gone, and each node repeated it 50 times
        a second.
        """
        pauses = []
        self.patch(replication.eventlet, "sleep", pauses.append)
        lost = [Success(Snapshot(7, {})), Failure(HistoryGone(7))]
        replica, feed, _ = self.make_replica(*lost * 4)
        for _ in range(8):
            replica.step()
        self.assertEqual(3, len(pauses))
        self.assertTrue(min(pauses) >= MIN_BACKOFF.total_seconds(), pauses)

    def test_outage_is_recorded_until_the_store_responds(self):
        """Guards against a node that does not poll its peers while the store is unavailable."""
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {})), Failure(Unavailable("x")), Success(Changes(7, {}))
        )
        recovered = []
        replica.on_recovered = lambda: recovered.append(len(feed.calls))
        replica.step()
        self.assertIs(None, replica.failing_since)
        replica.step()
        self.assertIsNot(None, replica.failing_since)
        replica.step()
        self.assertIs(None, replica.failing_since)
        # The call that checks whether the store is available must not wait for a change.
        self.assertEqual([timedelta(seconds=4), timedelta()], feed.waits)
        self.assertEqual([1, 3], recovered)

    def test_large_items_are_read_in_full_after_a_failure(self):
        """Guards against a response that is too large to arrive, with all versions of an outage.

        On a link of 10 Mbit/s a node requested them for 18 s, each time until the call timed out,
        and nothing else passed the link.
        """
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {"a": 1})),
            Failure(Unavailable("x")),
            Success(Snapshot(30, {"a": 9})),
            large=True,
        )
        for _ in range(3):
            replica.step()
        self.assertEqual(["read", 7, "read"], feed.calls)

    def test_large_items_are_read_in_full_during_a_burst(self):
        """Guards against sending each version of a burst over a slow link."""
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {"a": 1})),
            Success(Changes(8, {"a": 2})),
            Success(Snapshot(12, {"a": 6})),
            Success(Snapshot(12, {"a": 6})),
            Success(Changes(12, {})),
            large=True,
        )
        for _ in range(5):
            replica.step()
        self.assertEqual(["read", 7, "read", "read", 12], feed.calls)

    def test_a_pause_after_a_change_shortens_the_next_wait(self):
        """Guards against followers that consider a watcher outdated after each change."""
        pause = timedelta(milliseconds=10)
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {})),
            Success(Changes(8, {"a": 2})),
            Success(Changes(8, {})),
            Success(Changes(8, {})),
            batch_delay=pause,
        )
        for _ in range(4):
            replica.step()
        wait = timedelta(seconds=4)
        self.assertEqual([wait, wait - pause, wait], feed.waits)

    def test_replica_is_read_in_full_after_a_suspension(self):
        """Guards against entries that stay missing after an outdated watcher's state removed them.

        In a mesh of seven nodes, some permanently knew only four of seven targets.
        """
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {})), Success(Changes(9, {"a": 1})), Success(Snapshot(9, {"a": 1}))
        )
        for _ in range(2):
            replica.step()
        replica.suspend()
        replica.step()
        self.assertEqual(["read", 7, "read"], feed.calls)

    def test_replica_probes_the_store_in_an_outage_after_a_suspension(self):
        """Guards against full reads that fail throughout an outage.

        One outage caused 1,019 of them, a fifth of the cost of all calls.
        """
        replica, feed, _ = self.make_replica(
            Success(Snapshot(7, {})),
            *[Failure(Unavailable("x"))] * 3,
            Success(Changes(9, {})),
            Success(Snapshot(9, {"a": 1})),
        )
        replica.step()
        replica.suspend()
        # A replica may be suspended again before its feed was read.
        replica.suspend()
        for _ in range(5):
            replica.step()
        self.assertEqual(["read", "read", 7, 7, 7, "read"], feed.calls)
        self.assertIs(None, replica.failing_since)

    def test_replicas_wait_for_the_probe_replica_in_an_outage(self):
        """Guards against failing calls, which are charged too, on all feeds of all nodes."""
        clock = ManualClock()
        probe_replica, *_ = self.make_replica(
            Success(Snapshot(7, {})), Failure(Unavailable("x")), clock=clock
        )
        replica, feed, _ = self.make_replica(
            *[Success(Snapshot(7, {}))],
            *[Failure(Unavailable("x"))] * 2,
            clock=clock,
            probe_replica=probe_replica,
        )
        for item in (probe_replica, replica, probe_replica, replica):
            item.step()
        replica.step()
        self.assertEqual(["read", 7], feed.calls)
        clock.advance(OUTAGE_CALL_INTERVAL)
        replica.step()
        self.assertEqual(["read", 7, 7], feed.calls)


class SinkTest(TestCase):
    def test_configuration_is_never_replaced_by_an_older_one(self):
        """Guards against a stale read or peer that restores an older version."""
        harness = RequestPathHarness()
        sink = ConfigSink(outbound=harness.outbound, name="main")
        harness.outbound.config = None
        sink.update({"main": config(version=5)})
        sink.update({"main": config(version=4)})
        sink.update({"main": None})
        sink.update({"other": config(version=9)})
        self.assertFalse(sink.apply(config(version=5), source="peer"))
        self.assertEqual(5, harness.outbound.config_version())

    def test_older_revision_of_a_rollout_is_ignored(self):
        """Guards against a peer's state that restores an older share."""
        shares = VersionShares(rng=random.Random(1))
        sink = RolloutSink(shares=shares)
        newer = Rollout("s", "v2", timedelta(seconds=9), RolloutState.ROLLED_BACK, 0.0, 8)
        sink.put(newer, source="store")
        older = newer._replace(state=RolloutState.RUNNING, share=0.5, revision=6)
        sink.put(older, source="peer")
        self.assertEqual(newer, shares.rollouts["s"])
        sink.replace({})
        self.assertEqual({}, shares.rollouts)

    def test_targets_are_replaced_by_a_full_read(self):
        """Guards against entries that stay though they were removed between two reads."""
        harness = RequestPathHarness()
        sink = TargetSink(directory=harness.directory)
        sink.replace({"t1": target("t1"), "t2": target("t2")})
        sink.update({"t2": None, "t3": target("t3")})
        self.assertEqual({"t1", "t3"}, set(harness.directory.targets))
        sink.replace({"t3": target("t3")})
        self.assertEqual({"t3"}, set(harness.directory.targets))


class FakeStore:
    """A store that returns scripted results for writes."""

    def __init__(self, *results):
        self.results = list(results)
        self.writes = []
        self.deleted = []
        self.era = StoreEra()

    def delete_target(self, name, revision):
        self.deleted.append(name)
        return Failure(NotFound(name))

    def save_target(self, entry, revision):
        self.writes.append((entry.sequence, revision))
        return self.results.pop(0)


class TargetPublisherTest(TestCase):
    def test_each_write_states_the_revision_it_replaces(self):
        """Guards against a delayed write that undoes a later one."""
        store = FakeStore(Success(4), Success(6))
        publisher = TargetPublisher(store=store, directory=Directory(clock=ManualClock()))
        for sequence in (1, 2):
            publisher.publish(target(sequence=sequence))
            self.assertTrue(publisher.write())
        self.assertEqual([(1, 0), (2, 4)], store.writes)

    def test_write_is_repeated_after_a_lost_response_or_a_missing_entry(self):
        """Guards against an entry that is never written after a lost response or its removal."""
        store = FakeStore(
            Failure(Unavailable("lost")), Failure(Changed(5)), Failure(NotFound("x")), Success(9)
        )
        publisher = TargetPublisher(store=store, directory=Directory(clock=ManualClock()))
        publisher.publish(target())
        self.assertEqual([False, True, True, True], [publisher.write() for _ in range(4)])
        self.assertEqual([(1, 0), (1, 0), (1, 5), (1, 0)], store.writes)

    def test_entry_that_was_removed_is_written_again(self):
        """Guards against a target that gets no requests because another node removed its entry."""
        store = FakeStore(Success(4), Failure(NotFound("x")), Success(9), Success(11))
        publisher = TargetPublisher(store=store, directory=Directory(clock=ManualClock()))
        publisher.restore()
        publisher.publish(target())
        publisher.restore()
        publisher.write()
        publisher.restore()
        self.assertEqual([True, True], [publisher.write() for _ in range(2)])
        self.assertEqual([(1, 0), (1, 4), (1, 0)], store.writes)
        publisher.publish(target(sequence=2, state=TargetState.GONE))
        publisher.write()
        publisher.restore()
        self.assertEqual(publisher.desired, publisher.stored)

    def test_entry_of_a_crashed_predecessor_is_removed(self):
        """Guards against entries of dead targets that accumulate and get requests."""
        store = FakeStore(Success(4))
        publisher = TargetPublisher(store=store, directory=Directory(clock=ManualClock()))
        publisher.directory.replace([target("old"), target("other", node=("10.0.0.2", 1))])
        publisher.publish(target("new", born_ms=5000))
        publisher.write()
        self.assertEqual(["old"], store.deleted)
        self.assertEqual({"other"}, set(publisher.directory.targets))
