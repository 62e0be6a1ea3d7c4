"""Load: uploads of 60 KB between hosts whose links have 5 to 100 Mbit/s."""

from statistics import fmean

from testtools import TestCase

from bench.load_former import FormerChooser
from bench.load_patterns import uploads_on_narrow_links
from bench.load_scenarios import simulate


class UploadsTest(TestCase):
    def test_uploads_avoid_narrow_links(self):
        """Guards against bodies that cross the narrow links of two hosts without need."""
        system = simulate(uploads_on_narrow_links)
        former = simulate(uploads_on_narrow_links, chooser=FormerChooser)
        for kind, share in (("upload", 0.7), ("read", 1.0)):
            mean, former_mean = (
                fmean(time.total_seconds() for time in item.times_by_kind[kind])
                for item in (system, former)
            )
            self.assertTrue(mean < share * former_mean, (kind, mean, former_mean))
