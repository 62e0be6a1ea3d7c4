"""Tests of vetoes by single nodes."""

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import Evidence, Veto
from almondshore.moves.veto import LocalDetector, load_vetoes, read_veto, save_veto, veto_key
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore
from test.moves.helpers import SERVICE, START, make_part, row


class LocalDetectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=START)
        self.detector = LocalDetector(clock=self.clock, node="n1", nodes=16)

    def observe(self, windows, part, version, errors):
        evidence = [row("v1", 30), row("v2", 10, errors)]
        vetoes = []
        for window in windows:
            vetoes += self.detector.observe(Evidence(window, 1, evidence), [part], version)
        return vetoes

    def test_node_vetoes_on_its_own_evidence(self):
        """Guards against a bad version that stays while no coordinator can be reached."""
        (veto,) = self.observe(range(20), make_part(), 7, 5)
        self.assertEqual(("v2", 7, "n1"), (veto.version, veto.config_version, veto.origin))

    def test_allowed_version_can_be_vetoed_again(self):
        """Guards against a node that never vetoes a version again after it was allowed."""
        self.assertEqual(1, len(self.observe(range(20), make_part(), 7, 5)))
        allowed = make_part(allowed={"v2": 8})
        (veto,) = self.observe(range(20, 40), allowed, 8, 5)
        self.assertEqual(8, veto.config_version)

    def test_good_version_is_not_vetoed(self):
        """Guards against a node that vetoes a good version because of its few requests."""
        self.assertEqual([], self.observe(range(300), make_part(), 7, 0))

    def test_malformed_record_does_not_hide_the_others(self):
        """Guards against a relay that starts without vetoes because one is malformed."""
        platform = MemoryPlatform(store=ObjectStore(clock=self.clock))
        platform.create(veto_key("a", "v2"), b"\xc1", "w1")
        self.assertEqual([], load_vetoes(platform).unwrap())

    def test_newer_veto_replaces_an_overridden_record(self):
        """Guards against a second veto that is not stored because of the first one."""
        platform = MemoryPlatform(store=ObjectStore(clock=self.clock))
        for config_version in (7, 9, 8):
            veto = Veto(SERVICE, "v2", config_version, "errors", "n1", START)
            self.assertTrue(save_veto(platform, veto))
        self.assertEqual(9, read_veto(platform, SERVICE, "v2").config_version)
