"""Tests of the platform stand-in as a process, over loopback."""

import json
import threading
from datetime import timedelta

from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import SystemClock
from almondshore.storage.http import HttpPlatform
from almondshore.storage.port import MAX_VALUE_BYTES, Unavailable
from standins.deployment import Deployment, wait_for

LONG = timedelta(seconds=30)


class PlatformServerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = Deployment()
        self.addCleanup(self.deployment.__exit__)
        self.process = self.deployment.start_platform()
        url = self.deployment.platform_url
        self.platform = HttpPlatform(url=url, clock=SystemClock(), timeout=LONG)
        self.addCleanup(self.platform.close)

    def counts(self):
        url = f"{self.deployment.platform_url}/v1/counts"
        return json.loads(self.deployment.http.request("GET", url).data)

    def watch_in_background(self):
        results, before = [], self.counts()["read"]
        thread = threading.Thread(
            target=lambda: results.append(self.platform.watch("lease/", 0, LONG)), daemon=True
        )
        thread.start()
        wait_for(lambda: self.counts()["read"] > before, "the watch")
        return thread, results

    def test_a_waiting_watch_ends_at_a_write_and_counts_once(self):
        """Guards against a stand-in that polls, or that answers before anything changed."""
        thread, results = self.watch_in_background()
        self.platform.create("other", b"v", "w")
        created = self.platform.create("lease/a", bytes(MAX_VALUE_BYTES), "w").unwrap()
        thread.join(LONG.total_seconds())
        self.assertEqual((2, [created]), tuple(results[0].unwrap()))
        self.assertEqual({"read": 1, "write": 2, "refused": 0}, self.counts())

    def test_an_outage_ends_waiting_watches_and_a_lost_answer_keeps_the_write(self):
        """Guards against faults that the stand-in shows only to new calls."""
        thread, results = self.watch_in_background()
        self.deployment.set_fault("down")
        thread.join(LONG.total_seconds())
        self.assertIsInstance(results[0].failure(), Unavailable)
        self.deployment.set_fault("lose-answers")
        self.assertIsInstance(self.platform.create("k", b"v", "w").failure(), Unavailable)
        self.deployment.set_fault("none")
        self.assertEqual(b"v", self.platform.get("k").unwrap().value)

    def test_a_slow_platform_is_given_up_and_its_late_write_recognised(self):
        """Guards against a caller held by a slow platform, and against writing twice."""
        self.deployment.set_fault("slow")
        hasty = HttpPlatform(
            url=self.deployment.platform_url,
            clock=SystemClock(),
            timeout=timedelta(milliseconds=100),
        )
        self.addCleanup(hasty.close)
        self.assertIsInstance(hasty.create("k", b"v", "w").failure(), Unavailable)
        wait_for(lambda: is_successful(self.platform.get("k")), "the late write")
        self.assertEqual(1, self.platform.create("k", b"v", "w").unwrap().revision)

    def test_a_dead_platform_is_unavailable_until_it_is_back(self):
        """Guards against a client that keeps failing on the connections of a dead server."""
        self.assertTrue(is_successful(self.platform.list("")))
        self.deployment.stop(self.process)
        self.assertIsInstance(self.platform.list("").failure(), Unavailable)
        self.deployment.start_platform()
        wait_for(lambda: is_successful(self.platform.list("")), "the platform")
