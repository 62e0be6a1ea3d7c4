"""Tests of outcomes published as configuration versions."""

from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.moves.outcome import ConfigOutcomePublisher
from almondshore.rules.compile import decode_service, encode_part
from almondshore.rules.model import MoveState
from almondshore.storage.port import Conflict, NotFound
from almondshore.versions.publish import EMPTY_HEAD, Publisher, VersionedHead
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore
from test.moves.helpers import SERVICE, START, make_part

NAME = f"service/{SERVICE}"


class ConfigOutcomePublisherTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=START)
        self.platform = MemoryPlatform(store=ObjectStore(clock=self.clock))
        self.versions = Publisher(platform=self.platform)
        self.apply(VersionedHead(EMPTY_HEAD, 0), {})
        self.outcomes = ConfigOutcomePublisher(
            publisher=self.versions, clock=self.clock, author="almondshored"
        )

    def apply(self, base, old):
        return self.versions.publish(
            base=base,
            base_parts=old,
            parts={NAME: encode_part(make_part())},
            rules=b"rules",
            author="Livia",
            reason="test",
            at=START,
        )

    def test_done_is_a_higher_version_that_serves_the_new_one(self):
        """Guards against an outcome that is lost when nodes restart."""
        result = self.outcomes.publish(SERVICE, "m1", MoveState.DONE, "complete")
        self.assertEqual(2, result.unwrap())
        part = decode_service(self.versions.parts(2).unwrap()[NAME])
        self.assertEqual(("v2", "done"), (part["version"], part["move"]["state"]))

    def test_repeated_outcome_publishes_no_second_version(self):
        """Guards against publishing another version on each retry after a lost response."""
        for _ in range(3):
            result = self.outcomes.publish(SERVICE, "m1", MoveState.REVERTED, "errors")
            self.assertEqual(2, result.unwrap())

    def test_move_that_the_operator_removed_is_left_alone(self):
        """Guards against ending a new move with the outcome of an old one."""
        result = self.outcomes.publish(SERVICE, "other", MoveState.DONE, "complete")
        self.assertIsInstance(result.failure(), NotFound)

    def test_concurrent_change_of_the_rules_is_not_overwritten(self):
        """Guards against an operator's change lost to an outcome published at the same time."""
        read = self.versions.rules_text

        def change_between(version):
            self.apply(self.versions.current().unwrap(), self.versions.parts(1).unwrap())
            return read(version)

        self.versions.rules_text = change_between
        result = self.outcomes.publish(SERVICE, "m1", MoveState.DONE, "complete")
        self.assertIsInstance(result.failure(), Conflict)
        self.assertTrue(is_successful(self.versions.current()))
        self.assertEqual("Livia", self.versions.current().unwrap().head.author)
