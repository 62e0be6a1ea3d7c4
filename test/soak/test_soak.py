"""A short seeded run of the fault soak, and the seeds that once failed."""

import tempfile
from pathlib import Path

from testtools import TestCase

from soak.main import play

# Seeds that broke a promise, each with its cause.
REGRESSIONS = {
    1: "a node that got SIGHUP while it loaded its modules ended, and nothing started it again",
    4: "an answer of the store was lost, and the node's targets were outdated for 25 s",
    27: "as seed 1",
}
SECONDS = 6.0


class SoakTest(TestCase):
    def play(self, seed, seconds):
        with tempfile.TemporaryDirectory() as folder:
            world = play(seed=seed, folder=Path(folder), seconds=seconds)
        self.assertEqual([], world.promises.broken)
        self.assertTrue(world.promises.statuses["200"] > 100, world.promises.statuses)

    def test_short_run_keeps_the_promises(self):
        """Guards against promises that only hold while nothing fails."""
        self.play(1, SECONDS)

    def test_seeds_that_failed_before(self):
        """Guards against the return of a fault that a seed once found."""
        for seed in REGRESSIONS:
            self.play(seed, SECONDS)
