"""Tests of the ownership of idempotency keys by successive processes of a node."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.membership.directory import Directory
from almondshore.proxy.once import ClaimRequest, OnceOwner
from almondshore.retries.once import key_hash
from almondshore.retries.outcome import Reason
from almondshore.retries.ownership import WARM_UP
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

SERVICE = "fault-desk"
STEP = timedelta(milliseconds=500)


def record_of(process):
    """Return the record of node-a1's target as announced by one of the node's processes."""
    return TargetRecord(
        target="fault-desk-1",
        node="node-a1",
        service=SERVICE,
        version="v1",
        address="10.0.0.1:7001",
        zone="zone-a",
        slots=4,
        incarnation=process,
        state=TargetState.UP,
        process=process,
    )


class SuccessiveProcessTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)

    def make_owner(self, process, directory):
        platform = MemoryPlatform(store=self.store)
        return OnceOwner(
            clock=self.clock,
            node="node-a1",
            process=process,
            platform=platform,
            directory=directory,
        )

    def advance(self, owner, duration, *, platform_up=True):
        for _ in range(duration // STEP):
            self.clock.advance(STEP)
            owner.refresh(platform_up=platform_up, in_contact=True)
            owner.tick()

    def claim(self, owner, key):
        return owner.claim(ClaimRequest(SERVICE, key_hash(SERVICE, "", key), 1, 2000))

    def test_record_of_the_previous_process_in_the_directory(self):
        """Guards against a restarted owner that refuses all keys for a day.

        A relay still listed the target under the node's killed process. When the restarted process
        replaced that record, it counted its predecessor as an owner that died in an outage.
        """
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        owner = self.make_owner(2, directory)
        self.advance(owner, STEP)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP)
        reply = self.claim(owner, "new")
        self.assertIsNone(reply.denied)
        self.assertIsNotNone(reply.token)

    def test_previous_process_that_died_in_an_outage(self):
        """Guards against a key that runs again although no claim and no marker could be written."""
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        owner = self.make_owner(2, directory)
        self.advance(owner, STEP, platform_up=False)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP)
        self.assertEqual(Reason.KEY_UNKNOWN, self.claim(owner, "any").denied.reason)

    def test_key_of_the_previous_process(self):
        """Guards against a key that runs again after a restart of its owner."""
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        first = self.make_owner(1, directory)
        self.advance(first, WARM_UP + STEP)
        self.assertIsNotNone(self.claim(first, "old").token)
        owner = self.make_owner(2, directory)
        self.advance(owner, STEP)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP)
        self.assertIsNotNone(self.claim(owner, "old").denied)

    def test_unknown_state_of_the_platform(self):
        """Guards against a key that runs again before it is known how the previous process ended.

        The record of the previous process left the members at once, and counted as departed only
        after the first report on the platform.
        """
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        owner = self.make_owner(2, directory)
        self.advance(owner, WARM_UP + STEP, platform_up=None)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP, platform_up=None)
        self.assertEqual(Reason.KEY_UNPROVEN, self.claim(owner, "any").denied.reason)
        self.advance(owner, STEP)
        self.assertIsNotNone(self.claim(owner, "any").token)

    def test_later_process_is_a_member(self):
        """Guards against a key that two processes of a node run, one of them without a claim.

        A process that has been replaced, but still runs, must not count its successor as ended.
        """
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        first = self.make_owner(1, directory)
        self.advance(first, WARM_UP + STEP)
        directory.merge([record_of(process=2)])
        self.advance(first, STEP)
        ownership = first.services[SERVICE].ownership
        self.assertIn("node-a1/2", ownership.members)
        keys = [f"key{number}" for number in range(10)]
        of_second = [
            key for key in keys if ownership.owner(key_hash(SERVICE, "", key)) == "node-a1/2"
        ]
        self.assertNotEqual([], of_second)
        for key in of_second:
            self.assertIsNotNone(self.claim(first, key).denied, key)

    def test_outage_while_the_previous_process_is_listed(self):
        """Guards against a day of refused keys because of an outage after a restart."""
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        owner = self.make_owner(2, directory)
        self.advance(owner, STEP)
        other = record_of(process=1)._replace(target="other-1", node="node-b1", service="other")
        directory.merge([other])
        self.advance(owner, STEP, platform_up=False)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP)
        self.assertIsNotNone(self.claim(owner, "new").token)

    def test_previous_process_that_died_in_an_outage_that_has_ended(self):
        """Guards against a key that runs again because its owner died in an outage.

        The owner ran the key without a claim or a marker. The platform is back before the first
        report that the restarted process receives.
        """
        directory = Directory(clock=self.clock)
        directory.merge([record_of(process=1)])
        first = self.make_owner(1, directory)
        self.advance(first, WARM_UP + STEP)
        self.store.fault = Fault.DOWN
        self.advance(first, STEP, platform_up=False)
        self.assertIsNotNone(self.claim(first, "old").token)
        self.store.fault = Fault.NONE
        owner = self.make_owner(2, directory)
        self.advance(owner, STEP)
        directory.merge([record_of(process=2)])
        self.advance(owner, WARM_UP + STEP)
        self.assertIsNotNone(self.claim(owner, "old").denied)
