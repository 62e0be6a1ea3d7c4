"""Short seeded runs of the fault soak, among them seeds that failed before."""

import tempfile
from pathlib import Path

from testtools import TestCase

from soak.faults import FAULTS, change_config, kill_node, restore_store
from soak.main import run_soak

# Seeds that found a violation, with the cause of each.
REGRESSION_SEEDS = {
    1: "a node that got SIGHUP while it imported its modules exited and was not restarted",
    4: "a response of the store was lost, and the node's target list was outdated for 25 s",
    27: "same cause as seed 1",
}
FAULT_PHASE_S = 6.0
# Faults are drawn at random: a phase of 6 s may end before the entries of a restore are checked.
RESTORE_PHASE_S = 18.0


class SoakTest(TestCase):
    def run_soak(self, seed, seconds, **options):
        with tempfile.TemporaryDirectory() as folder:
            cluster = run_soak(seed=seed, folder=Path(folder), seconds=seconds, **options)
        self.assertEqual([], cluster.checker.violations)
        self.assertTrue(cluster.checker.statuses["200"] > 100, cluster.checker.statuses)
        return cluster

    def test_short_run_finds_no_violation(self):
        """Guards against guarantees that hold only in the absence of faults."""
        self.run_soak(1, FAULT_PHASE_S)

    def test_seeds_that_failed_before(self):
        """Guards against regressions: each seed has found a violation before."""
        for seed in REGRESSION_SEEDS:
            self.run_soak(seed, FAULT_PHASE_S, faults=FAULTS)

    def test_restores_of_the_store(self):
        """Guards against entries that stay lost after the store was restored from a copy."""
        faults = (restore_store, kill_node, change_config)
        cluster = self.run_soak(1, RESTORE_PHASE_S, faults=faults)
        self.assertTrue(cluster.restored_entries > 0)
