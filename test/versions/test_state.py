"""Tests of the acceptance of configuration versions."""

from testtools import TestCase

from almondshore.core.messages import ConfigDelta, ConfigSnapshot
from almondshore.rules.compile import encode_part
from almondshore.rules.model import ServicePart
from almondshore.versions.config import EMPTY, make_configuration
from almondshore.versions.state import (
    Accepted,
    AlreadyHeld,
    ConfigState,
    Refused,
    SnapshotNeeded,
)


def service_part(name, version="v1"):
    part = ServicePart(name=name, version=version, routes=[], move=None, allowed={})
    return {f"service/{name}": encode_part(part)}


def snapshot(version, parts):
    configuration = make_configuration(version, parts)
    return ConfigSnapshot(version, configuration.digest, dict(parts))


def delta(base, version, changes):
    parts = {**base.parts, **changes}
    digest = make_configuration(version, parts).digest
    return ConfigDelta(version, digest, base.version, base.digest, changes)


class ConfigStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = ConfigState()
        self.state.offer_snapshot(snapshot(5, service_part("counter-app")))

    def test_older_snapshot_does_not_replace_newer(self):
        """Guards against a stale relay taking a node back to an older version."""
        verdict = self.state.offer_snapshot(snapshot(4, service_part("old")))
        self.assertEqual(AlreadyHeld(5), verdict)
        self.assertEqual(5, self.state.current.version)

    def test_delta_on_the_held_version_is_accepted(self):
        verdict = self.state.offer_delta(delta(self.state.current, 6, service_part("fault-desk")))
        self.assertIsInstance(verdict, Accepted)
        self.assertEqual(2, len(self.state.current.parts))

    def test_delta_on_another_base_asks_for_a_snapshot(self):
        """Guards against applying a delta after a lost one."""
        verdict = self.state.offer_delta(delta(EMPTY, 7, service_part("fault-desk")))
        self.assertEqual(SnapshotNeeded(7), verdict)
        self.assertEqual(5, self.state.current.version)

    def test_one_bad_part_refuses_the_whole_version(self):
        """Guards against applying the good parts of a bad version."""
        parts = {**service_part("fault-desk"), "service/bad": b"\xc1"}
        verdict = self.state.offer_snapshot(snapshot(6, parts))
        self.assertIsInstance(verdict, Refused)
        self.assertEqual({"service/counter-app"}, set(self.state.current.parts))

    def test_wrong_digest_refuses_the_version(self):
        """Guards against parts that were damaged or mixed up on the way."""
        bad = snapshot(6, service_part("fault-desk"))._replace(digest=b"x" * 16)
        self.assertIsInstance(self.state.offer_snapshot(bad), Refused)

    def test_same_version_with_another_digest_is_refused(self):
        """Guards against two different configurations under one version number."""
        verdict = self.state.offer_snapshot(snapshot(5, service_part("other")))
        self.assertIsInstance(verdict, Refused)
