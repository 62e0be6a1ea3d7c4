"""Tests of the removal of entries whose hosts disappeared without notice."""

import random
from datetime import timedelta
from unittest import mock

from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.directory import Directory
from almondshore.mesh.store import StoreEra
from almondshore.mesh.vanished import MIN_FAILURES, REMOVAL_JITTER, VANISHED_AFTER, VanishedEntries
from almondshore.storage.port import Unavailable
from test.mesh.samples import target

NODES = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]
MAX_REMOVAL_DELAY = VANISHED_AFTER * (1 + REMOVAL_JITTER)


class FakeStore:
    """A store that records what is deleted."""

    def __init__(self):
        self.deleted = []
        self.era = StoreEra()
        self.result = Success(1)

    def delete_target(self, name, revision):
        self.deleted.append(name)
        return self.result


class VanishedEntriesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = Directory(clock=self.clock)
        self.directory.replace(target(f"t{n}", node=node) for n, node in enumerate(NODES))
        self.store = FakeStore()
        self.up_to_date = True
        self.entries = VanishedEntries(
            clock=self.clock,
            rng=random.Random(1),
            directory=self.directory,
            store=self.store,
            is_up_to_date=lambda: self.up_to_date,
        )

    def fail_attempts(self, *nodes, failures=MIN_FAILURES, duration=MAX_REMOVAL_DELAY):
        """Let attempts to reach nodes fail over a duration, with a review after each."""
        for _ in range(failures):
            for node in nodes:
                self.directory.mark_unreachable(node, "test")
            self.clock.advance(duration / failures)
            self.entries.review()

    def test_entry_of_a_host_that_is_gone_is_removed_once(self):
        """Guards against entries that stay forever when hosts vanish in an outage of the store."""
        self.fail_attempts(NODES[1], duration=VANISHED_AFTER * 0.9)
        self.assertEqual([], self.store.deleted)
        with mock.patch("almondshore.mesh.vanished.log_event") as log:
            self.fail_attempts(NODES[1], duration=MAX_REMOVAL_DELAY)
        self.assertEqual(["t1"], self.store.deleted)
        (call,) = log.call_args_list
        self.assertEqual(("vanished_entry_removed",), call.args)
        logged = {key: call.kwargs[key] for key in ("target", "service", "peer", "done")}
        self.assertEqual(
            {"target": "t1", "service": "s", "peer": "10.0.0.2:1", "done": True}, logged
        )
        away = timedelta(milliseconds=call.kwargs["away_ms"])
        self.assertTrue(VANISHED_AFTER <= away <= MAX_REMOVAL_DELAY, away)
        self.assertEqual({"t0", "t2"}, set(self.directory.targets))
        # The node still exists, and only this host cannot reach it.
        self.directory.put(target("t1", node=NODES[1]))
        self.fail_attempts(NODES[1], failures=2 * MIN_FAILURES, duration=3 * MAX_REMOVAL_DELAY)
        self.assertEqual(["t1"], self.store.deleted)

    def test_host_that_answers_keeps_its_entry(self):
        """Guards against entries that are removed after several short outages of their host."""
        for _ in range(4):
            self.fail_attempts(NODES[1], duration=VANISHED_AFTER * 0.6)
            self.directory.mark_reachable(NODES[1])
        self.assertEqual([], self.store.deleted)

    def test_process_that_was_suspended_removes_nothing(self):
        """Guards against a process that counts its own suspension as an outage of other hosts."""
        self.fail_attempts(NODES[1], failures=3, duration=4 * MAX_REMOVAL_DELAY)
        self.assertEqual([], self.store.deleted)

    def test_host_that_is_cut_off_removes_nothing(self):
        """Guards against an isolated host that removes the entries of all others."""
        self.fail_attempts(*NODES[1:], duration=2 * MAX_REMOVAL_DELAY)
        self.assertEqual([], self.store.deleted)

    def test_nothing_is_removed_while_the_directory_is_outdated(self):
        """Guards against removals based on outdated entries, and against missing a due removal."""
        self.up_to_date = False
        self.fail_attempts(NODES[1], duration=2 * MAX_REMOVAL_DELAY)
        self.assertEqual([], self.store.deleted)
        self.up_to_date = True
        self.store.result = Failure(Unavailable("x"))
        self.entries.review()
        self.store.result = Success(1)
        self.entries.review()
        self.entries.review()
        self.assertEqual(["t1", "t1"], self.store.deleted)
