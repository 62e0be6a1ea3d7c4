"""Tests of reading configuration versions from the platform."""

import random
from datetime import UTC, datetime

from returns.pipeline import is_successful
from returns.result import Failure
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.relay.source import ConfigSource
from almondshore.storage.port import Unavailable
from almondshore.versions import publish
from almondshore.versions.publish import Publisher
from almondshore.versions.sync import ConfigSync
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore
from test.versions.parts import service_part

AT = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)


def publish_parts(publisher, parts, base=None):
    """Publish parts on top of a version, or of the newest one."""
    base = base or publisher.current().unwrap()
    return publisher.publish(
        base=base,
        base_parts=publisher.parts(base.head.version).unwrap(),
        parts=parts,
        rules=repr(sorted(parts)).encode(),
        author="anna",
        reason="test",
        at=AT,
    )


class LostResponsePlatform(MemoryPlatform):
    """Loses the response to each write once; the repeated write gets a response."""

    def __init__(self, *, store):
        super().__init__(store=store)
        self.lost_write_ids = set()

    def update(self, key, value, revision, write_id):
        result = super().update(key, value, revision, write_id)
        if write_id in self.lost_write_ids:
            return result
        self.lost_write_ids.add(write_id)
        return Failure(Unavailable("response lost"))


class SourceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)
        self.publisher = Publisher(platform=MemoryPlatform(store=self.store))
        self.sync = ConfigSync(clock=self.clock, rng=random.Random(1))
        self.source = ConfigSource(
            clock=self.clock, rng=random.Random(1), publisher=self.publisher, sync=self.sync
        )
        self.parts = {}

    def publish(self, name):
        self.parts = {**self.parts, **service_part(name)}
        return publish_parts(self.publisher, self.parts)

    def held(self):
        self.source.poll()
        return self.sync.state.current.version

    def test_an_outage_between_a_write_and_its_watch_loses_no_version(self):
        """Guards against a watch that resumes after a version it never returned."""
        self.publish("one")
        self.assertEqual(1, self.held())
        self.publish("two")
        self.store.fault = Fault.DOWN
        self.assertEqual([1] * 5, [self.held() for _ in range(5)])
        self.store.fault = Fault.NONE
        self.assertEqual(2, self.held())

    def test_a_write_whose_response_was_lost_is_distributed_once(self):
        """Guards against a change that is lost or applied twice after a lost write response."""
        self.publisher.platform = LostResponsePlatform(store=self.store)
        base, self.parts = self.publisher.current().unwrap(), service_part("one")
        results = [publish_parts(self.publisher, self.parts, base) for _ in range(4)]
        done = [is_successful(result) for result in results]
        self.assertEqual([True, True, True, True], done)
        self.assertEqual(1, self.store.objects[publish.HEAD_KEY].revision)
        self.assertEqual(1, self.held())
        self.assertEqual(self.parts, dict(self.sync.state.current.parts))

    def test_parts_that_could_not_be_read_are_read_later(self):
        """Guards against losing a large version whose parts could not be read after the watch."""
        self.publish("one")
        self.assertEqual(1, self.held())
        original, publish.MAX_INLINE_DELTA_BYTES = publish.MAX_INLINE_DELTA_BYTES, 0
        self.addCleanup(setattr, publish, "MAX_INLINE_DELTA_BYTES", original)
        self.publish("two")
        missing = self.store.objects.pop(f"config/parts/{self.head().digest.hex()}")
        self.assertEqual(1, self.held())
        self.store.objects[missing.key] = missing
        self.assertEqual(2, self.held())

    def head(self):
        return self.publisher.current().unwrap().head

    def test_versions_missed_in_an_outage_cost_one_read_of_parts(self):
        """Guards against a read for each version that was published during an outage."""
        for number in range(10):
            self.publish(f"service-{number}")
        before = self.store.counts["read"]
        self.assertEqual(10, self.held())
        self.assertEqual(2, self.store.counts["read"] - before)

    def test_a_bad_version_is_reported_and_the_next_one_taken(self):
        """Guards I3, and against a relay that reads no versions after an invalid one."""
        self.publish("one")
        self.held()
        publish_parts(self.publisher, {**self.parts, "service/bad": b"\xc1"})
        self.assertEqual(1, self.held())
        self.assertEqual(1, self.sync.refusals)
        self.publish("two")
        self.assertEqual(3, self.held())
        self.assertEqual(self.parts, dict(self.sync.state.current.parts))
