"""Tests of the share of requests that each version gets."""

import random
from collections import Counter
from datetime import timedelta

from testtools import TestCase

from almondshore.mesh.model import Rollout, RolloutState
from almondshore.mesh.versions import VersionShares
from test.mesh.samples import target

OLD = {"v1": [target("t1")]}
BOTH = {**OLD, "v2": [target("t2", "v2")]}


def rollout(state, share=0.0, version="v2"):
    return Rollout("s", version, timedelta(seconds=16), state, share, 1)


class VersionSharesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.shares = VersionShares(rng=random.Random(1))
        self.shares.infer_stable_versions([target("t1"), target("t2", "v2", born_ms=9000)])

    def count(self, versions, times=1000):
        return Counter(self.shares.pick("s", versions) for _ in range(times))

    def test_version_without_an_order_gets_no_requests(self):
        """Guards against a new version that gets traffic before its rollout is ordered."""
        self.assertEqual({"v1": 1000}, self.count(BOTH))
        self.shares.set_rollout(rollout(RolloutState.ORDERED))
        self.assertEqual({"v1": 1000}, self.count(BOTH))

    def test_running_rollout_sets_the_share(self):
        """Guards against a share that depends on the number of targets."""
        self.shares.set_rollout(rollout(RolloutState.RUNNING, 0.08))
        self.assertTrue(40 < self.count(BOTH)["v2"] < 120)
        self.shares.set_rollout(rollout(RolloutState.RUNNING, 1.0))
        self.assertEqual({"v2": 1000}, self.count(BOTH))
        self.assertTrue(self.shares.is_retired("s", "v1"))

    def test_version_with_a_small_share_does_not_replace_an_unreachable_one(self):
        """Guards against a faulty version that gets all traffic when the old one is unreachable."""
        self.shares.set_rollout(rollout(RolloutState.RUNNING, 0.08))
        only_new = {"v2": BOTH["v2"]}
        self.assertEqual({None, "v2"}, set(self.count(only_new)))
        self.assertTrue(self.count(only_new)["v2"] < 120)

    def test_rolled_back_version_gets_no_requests_even_as_the_only_one(self):
        """Guards against a version that gets requests again after its rollback."""
        self.shares.set_rollout(rollout(RolloutState.ROLLED_BACK))
        self.assertEqual({"v1": 1000}, self.count(BOTH))
        self.assertEqual({None: 1000}, self.count({"v2": BOTH["v2"]}))
        self.assertTrue(self.shares.is_retired("s", "v2"))

    def test_completed_rollout_makes_the_version_stable(self):
        """Guards against requests to old targets, which are stopped without a drain."""
        self.shares.set_rollout(rollout(RolloutState.COMPLETED, 1.0))
        self.assertEqual({"v2": 1000}, self.count(BOTH))
        self.assertTrue(self.shares.is_retired("s", "v1"))
        self.assertFalse(self.shares.is_retired("s", "v2"))

    def test_node_that_starts_in_a_rollout_finds_the_old_version(self):
        """Guards against a restarted node that treats the new version as the stable one."""
        shares = VersionShares(rng=random.Random(1))
        shares.set_rollout(rollout(RolloutState.RUNNING, 0.0))
        shares.infer_stable_versions([target("t2", "v2", born_ms=1), target("t1", born_ms=2)])
        self.assertEqual("v1", shares.stable["s"])
