"""Tests of publication by conditional updates."""

from datetime import UTC, datetime, timedelta

from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.storage.budget import RELAY_RATES, BudgetedPlatform, CallBudget
from almondshore.storage.port import Conflict
from almondshore.versions.publish import Publisher
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore
from test.versions.test_state import service_part

AT = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)


class PublisherTest(TestCase):
    def setUp(self):
        super().setUp()
        store = ObjectStore(clock=ManualClock())
        self.publisher = Publisher(platform=MemoryPlatform(store=store))

    def publish(self, base, name):
        return self.publisher.publish(
            base=base,
            base_parts=self.publisher.parts(base.head.version).unwrap(),
            parts=service_part(name),
            rules=name.encode(),
            author=name,
            reason="",
            at=AT,
        )

    def test_loser_of_a_race_leaves_the_record_of_the_winner(self):
        """Guards against a version whose record names another author, rules or parts."""
        base = self.publisher.current().unwrap()
        self.assertTrue(is_successful(self.publish(base, "winner")))
        self.assertIsInstance(self.publish(base, "loser").failure(), Conflict)
        self.assertEqual(b"winner", self.publisher.rules_text(1).unwrap())
        self.assertEqual(service_part("winner"), self.publisher.parts(1).unwrap())

    def test_records_of_older_versions_stay(self):
        for name in ("first", "second", "third"):
            self.publish(self.publisher.current().unwrap(), name)
        authors = [self.publisher.record(version).unwrap().author for version in (1, 2, 3)]
        self.assertEqual(["first", "second", "third"], authors)

    def test_repeat_after_a_lost_response_succeeds(self):
        """Guards against a publisher that gets a conflict with its own write."""
        base = self.publisher.current().unwrap()
        results = [self.publish(base, "first").unwrap().version for _ in range(2)]
        self.assertEqual([1, 1], results)


class BudgetTest(TestCase):
    def test_a_publication_completes_under_a_budget_smaller_than_its_writes(self):
        """Guards against a move whose outcome a relay never manages to publish.

        With a budget of two writes, retrying all four writes of a publication never succeeded.
        """
        clock = ManualClock()
        budget = CallBudget(clock=clock, **RELAY_RATES._asdict())
        inner = MemoryPlatform(store=ObjectStore(clock=clock))
        publisher = Publisher(platform=BudgetedPlatform(inner=inner, budget=budget))
        parts = {"service/a": b"x"}
        for _ in range(4):
            base = publisher.current()
            if is_successful(base):
                result = publisher.publish(
                    base=base.unwrap(),
                    base_parts={},
                    parts=parts,
                    rules=b"rules",
                    author="node",
                    reason="",
                    at=clock.now(),
                )
                if is_successful(result):
                    break
            clock.advance(timedelta(seconds=1))
        self.assertEqual(1, Publisher(platform=inner).current().unwrap().head.version)
