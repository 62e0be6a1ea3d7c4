"""Tests of the decisions about state that a store restored from a copy has lost."""

import random
from datetime import timedelta

import eventlet
from returns.pipeline import is_successful
from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallResult
from almondshore.http.messages import Response
from almondshore.mesh import publishing
from almondshore.mesh.changes import ChangeResponse, compress_config
from almondshore.mesh.crashes import CrashSink, DeathReporter
from almondshore.mesh.directory import Directory
from almondshore.mesh.handover import RolloutNotice
from almondshore.mesh.model import Death, Rollout, RolloutState, TargetState
from almondshore.mesh.publishing import TargetPublisher
from almondshore.mesh.state import ConfigSink, EvacuationSink, PeerSink, RolloutSink
from almondshore.mesh.store import Changed, HistoryGone, StoreEra
from almondshore.mesh.versions import VersionShares
from almondshore.platform.objects import ObjectClient, PlatformStore
from test.mesh import test_handover
from test.mesh.fakes import RequestPathHarness
from test.mesh.samples import config, target
from test.mesh.test_state import FakeStore

RUNNING, COMPLETED = RolloutState.RUNNING, RolloutState.COMPLETED
ROLLED_BACK, ORDERED = RolloutState.ROLLED_BACK, RolloutState.ORDERED


def rollout(state, share=0.0, revision=5, version="v2"):
    return Rollout("s", version, timedelta(seconds=9), state, share, revision)


class StoreEraTest(TestCase):
    def test_era_begins_once_and_earlier_ones_are_outdated(self):
        """Guards against responses of an earlier era, and against an era that begins repeatedly."""
        era, began = StoreEra(), []
        era.subscribe(lambda: began.append(era.number))
        stated = (None, None, 1, 1, 3, 2, None, 3)
        self.assertEqual(
            [True, True, True, True, True, False, True, True],
            [era.observe(number, source="test") for number in stated],
        )
        self.assertEqual([1, 3], began)

    def test_first_era_that_is_stated_is_not_a_new_one(self):
        """Guards against a node that reads everything twice when it starts."""
        era, began = StoreEra(), []
        era.subscribe(lambda: began.append(era.number))
        era.observe(7, source="test")
        self.assertEqual([], began)


class RolloutsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.sink = RolloutSink(shares=VersionShares(rng=random.Random(1)))

    def after_restore(self, known, *stored):
        """Return the state and share in effect after each stored rollout of a new era."""
        self.sink.put(known, source="store")
        self.sink.begin_era()
        results = []
        for item in stored:
            self.sink.replace({"s": item} if item is not None else {})
            current = self.sink.shares.rollouts["s"]
            results.append((current.version, current.state, current.share))
        return results

    def test_earlier_state_of_the_copy_is_not_taken(self):
        """Guards against a rolled-back version that returns, and a share that goes back."""
        known = ("v2", ROLLED_BACK, 0.0)
        stored = [rollout(RUNNING, 0.5, 2), rollout(ORDERED, 0.0, 3), rollout(COMPLETED, 1.0, 4)]
        self.assertEqual([known] * 3, self.after_restore(rollout(ROLLED_BACK, 0.0, 9), *stored))
        self.assertEqual({"s"}, self.sink.unsaved)
        self.sink.put(rollout(ROLLED_BACK, 0.0, 5), source="own")
        self.assertEqual(set(), self.sink.unsaved)

    def test_later_state_of_another_node_is_taken(self):
        """Guards against progress that is held up by what a node knew before the restore."""
        stored = [rollout(RUNNING, 0.5, 2), rollout(ROLLED_BACK, 0.0, 3)]
        self.assertEqual(
            [("v2", RUNNING, 0.5), ("v2", ROLLED_BACK, 0.0)],
            self.after_restore(rollout(RUNNING, 0.2, 9), *stored),
        )
        self.assertEqual(set(), self.sink.unsaved)

    def test_lost_order_is_kept_for_the_grace_time(self):
        """Guards against requests for an old version, whose targets may have stopped."""
        known = ("v2", COMPLETED, 1.0)
        stored = [None, rollout(COMPLETED, 1.0, 3, "v1")]
        self.assertEqual([known] * 2, self.after_restore(rollout(COMPLETED, 1.0, 9), *stored))
        self.sink.end_grace()
        self.assertEqual("v1", self.sink.shares.rollouts["s"].version)

    def test_new_order_is_taken_in_the_grace_time(self):
        """Guards against an order that is not carried out after a restore."""
        self.assertEqual(
            [("v3", ORDERED, 0.0)],
            self.after_restore(rollout(COMPLETED, 1.0, 9), rollout(ORDERED, 0.0, 3, "v3")),
        )

    def test_version_may_be_ordered_again_after_the_grace_time(self):
        """Guards against a version that can never be ordered again."""
        self.after_restore(rollout(ROLLED_BACK, 0.0, 9), rollout(ROLLED_BACK, 0.0, 3))
        self.sink.end_grace()
        self.sink.update({"s": rollout(ORDERED, 0.0, 12)})
        self.assertEqual(ORDERED, self.sink.shares.rollouts["s"].state)


class PeerStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness()
        self.era = StoreEra()
        self.sink = PeerSink(
            config=ConfigSink(outbound=self.harness.outbound, name="main"),
            directory=self.harness.directory,
            rollouts=RolloutSink(shares=self.harness.shares),
            crashes=CrashSink(guard=self.harness.guard),
            evacuations=EvacuationSink(),
            decode=lambda raw: config(version=int(raw), raw=raw),
            era=self.era,
        )

    def apply(self, era, version, *targets):
        response = ChangeResponse(
            epoch="e",
            number=1,
            age_ms=0,
            whole=True,
            config=compress_config(b"%d" % version),
            targets=list(targets),
            removed_targets=[],
            rollouts=[],
            removed_rollouts=[],
            deaths=[],
            removed_deaths=[],
            era=era,
        )
        self.sink.observe_era(response)
        self.sink.apply(response, source="peer", remove=True)
        return self.harness.outbound.config_version(), set(self.harness.directory.targets)

    def test_only_a_newer_configuration_of_an_earlier_era_is_applied(self):
        """Guards against a node that returns to the state of one that was cut off."""
        self.assertEqual((2, {"t1"}), self.apply(5, 2, target("t1")))
        self.assertEqual((3, {"t1"}), self.apply(4, 3, target("t2")))
        self.assertEqual((3, {"t1"}), self.apply(4, 2, target("t2")))
        self.assertEqual(5, self.era.number)

    def test_entries_that_a_watcher_has_lost_are_kept_for_the_grace_time(self):
        """Guards against targets that vanish at a follower until they are written again."""
        self.apply(5, 2, target("t1"), target("t2", node=("10.0.0.2", 1)))
        self.era.subscribe(self.sink.targets.begin_era)
        self.assertEqual((2, {"t1", "t2"}), self.apply(6, 2, target("t1")))
        self.assertTrue(self.sink.has_kept)
        self.sink.targets.end_grace()
        self.assertEqual((2, {"t1"}), self.apply(6, 2, target("t1")))


class WritesTest(TestCase):
    def test_entry_is_written_without_the_revision_of_an_earlier_era(self):
        """Guards against a write that replaces whatever has the reused revision."""
        self.patch(publishing, "ERA_WRITE_SPREAD", timedelta(milliseconds=50))
        store = FakeStore(Success(4), Failure(Changed(3)), Success(5))
        publisher = TargetPublisher(store=store, directory=Directory(clock=ManualClock()))
        publisher.publish(target(state=TargetState.GONE))
        publisher.write()
        store.era.observe(1, source="test")
        store.era.observe(2, source="test")
        greenlet = eventlet.spawn(publisher.run)
        self.addCleanup(greenlet.kill)
        eventlet.sleep(0.1)
        self.assertEqual([(1, 0), (1, 0), (1, 3)], store.writes)

    def test_many_entries_are_spread_over_more_time(self):
        """Guards against more writes at a time than the store takes."""
        delays = []
        self.patch(
            publishing.eventlet, "spawn_after", lambda delay, _function: delays.append(delay)
        )
        for seed in range(90):
            store = FakeStore()
            publisher = TargetPublisher(
                store=store, directory=Directory(clock=ManualClock()), rng=random.Random(seed)
            )
            publisher.directory.targets = dict.fromkeys(map(str, range(90)))
            for era in (1, 2):
                store.era.observe(era, source="test")
        counts = [sum(at <= delay < at + 0.1 for delay in delays) for at in (0, 0.2, 0.4)]
        self.assertTrue(max(counts) < 60 and max(delays) < 0.6, counts)

    def test_progress_of_another_era_is_not_stored_for_another_node(self):
        """Guards against progress that overwrites a rollout which has the reused revision."""
        helper = test_handover.handover(Success(8))
        helper.store.era.observe(5, source="test")
        for era, revision in ((4, 0), (5, 8), (None, 8)):
            notice = RolloutNotice(test_handover.ROLLOUT, "bad", True, era)
            exchange = test_handover.notify(helper, test_handover.msgspec.json.encode(notice))
            self.assertIn(b'"revision":%d' % revision, exchange.response.body)
        self.assertEqual(2, len(helper.store.saved))

    def test_reports_of_deaths_are_written_and_removed_again(self):
        """Guards against reports that a restore loses, or brings back for good."""

        class Store:
            era = StoreEra()
            saved, deleted = [], []

            def save_death(self, death):
                self.saved.append(death.name)
                return Success(4)

            def delete_death(self, name, revision):
                self.deleted.append((name, revision))
                return Success(revision)

        clock, store = ManualClock(), Store()
        reporter = DeathReporter(clock=clock, store=store, retention=timedelta(seconds=60))
        reporter.report(Death("d1", ()))
        reporter.step()
        clock.advance(timedelta(seconds=61))
        reporter.report(Death("d2", ()))
        reporter.step()
        for era in (1, 2):
            store.era.observe(era, source="test")
        reporter.step()
        self.assertEqual(["d1", "d2", "d2"], store.saved)
        self.assertEqual([("d1", 4), ("d1", 0)], store.deleted)


class ScriptedPool:
    """A connection pool whose calls get scripted responses, each with an era."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []

    def call(self, address, data, *, on_done, **options):
        self.requests.append(data)
        era, status, body = self.responses.pop(0)
        response = Response(status, ((b"Store-Era", era),), body)
        eventlet.spawn_after(0, on_done, CallResult(response, None, True, False, True))


class FeedTest(TestCase):
    def store(self, *responses):
        return PlatformStore(client=ObjectClient(pool=ScriptedPool(*responses), address=("h", 1)))

    def test_read_during_which_an_era_began_fails(self):
        """Guards against a state that mixes pages of two eras."""
        item = b'{"metadata":{"name":"%s"},"spec":{}}'
        page = b'{"items":[' + item + b'],"current_rev":9,"has_more":true}'
        store = self.store((b"5", 200, page % b"a"), (b"6", 200, page % b"b"))
        self.assertEqual(Failure(HistoryGone(0)), store.evacuations.read())

    def test_changes_since_a_position_of_an_earlier_era_are_not_used(self):
        """Guards against missed changes if the store has passed a reused revision."""
        changes = b'{"events":[],"current_rev":9}'
        store = self.store((b"5", 200, changes), (b"6", 200, changes), (b"5", 200, changes))
        wait = timedelta(seconds=1)
        self.assertTrue(is_successful(store.targets.wait(7, wait)))
        self.assertEqual(Failure(HistoryGone(7)), store.targets.wait(7, wait))
        self.assertFalse(is_successful(store.targets.wait(7, wait)))
        stale = [b"serializable" in request for request in store.client.pool.requests]
        self.assertEqual([True, True, False], stale)

    def test_malformed_era_is_ignored(self):
        """Guards against a node that fails for a header it cannot read."""
        changes = b'{"events":[],"current_rev":9}'
        store = self.store(*[(era, 200, changes) for era in (b"x", b"-1", b"9" * 20, b" 7 ")])
        for expected in (0, 0, 0, 7):
            store.evacuations.wait(7, timedelta())
            self.assertEqual(expected, store.era.number)
