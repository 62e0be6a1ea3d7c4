"""Tests of the validation and activation of configuration versions."""

from testtools import TestCase

from almondshore.versions.config import EMPTY
from almondshore.versions.state import (
    Accepted,
    AlreadyHeld,
    ConfigState,
    Refused,
    SnapshotNeeded,
)
from test.versions.parts import delta, service_part, snapshot


class ConfigStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = ConfigState()
        self.state.offer_snapshot(snapshot(5, service_part("counter-app")))

    def test_older_snapshot_does_not_replace_newer(self):
        """Guards against a stale relay that reverts a node to an older version."""
        result = self.state.offer_snapshot(snapshot(4, service_part("old")))
        self.assertEqual(AlreadyHeld(5), result)
        self.assertEqual(5, self.state.current.version)

    def test_delta_on_the_held_version_is_accepted(self):
        result = self.state.offer_delta(delta(self.state.current, 6, service_part("fault-desk")))
        self.assertIsInstance(result, Accepted)
        self.assertEqual(2, len(self.state.current.parts))

    def test_delta_on_another_base_asks_for_a_snapshot(self):
        """Guards against applying a delta after a previous one was lost."""
        result = self.state.offer_delta(delta(EMPTY, 7, service_part("fault-desk")))
        self.assertEqual(SnapshotNeeded(7), result)
        self.assertEqual(5, self.state.current.version)

    def test_one_bad_part_refuses_the_whole_version(self):
        """Guards against applying the valid parts of an invalid version."""
        parts = {**service_part("fault-desk"), "service/bad": b"\xc1"}
        result = self.state.offer_snapshot(snapshot(6, parts))
        self.assertIsInstance(result, Refused)
        self.assertTrue(result.final)
        self.assertEqual({"service/counter-app"}, set(self.state.current.parts))

    def test_wrong_digest_refuses_the_version(self):
        """Guards against parts that were damaged or mixed up in transit.

        Another copy of the same version may be intact, so the refusal is not final.
        """
        bad = snapshot(6, service_part("fault-desk"))._replace(digest=b"x" * 16)
        result = self.state.offer_snapshot(bad)
        self.assertIsInstance(result, Refused)
        self.assertFalse(result.final)

    def test_same_version_with_another_digest_is_refused(self):
        """Guards against two different configurations with the same version number."""
        result = self.state.offer_snapshot(snapshot(5, service_part("other")))
        self.assertIsInstance(result, Refused)
