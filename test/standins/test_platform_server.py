"""Tests of the platform stand-in as a separate process on loopback."""

import json
import threading
from datetime import timedelta

from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import SystemClock
from almondshore.storage.http import HttpPlatform
from almondshore.storage.port import MAX_VALUE_BYTES, Unavailable
from standins.deployment import Deployment, wait_for

TIMEOUT = timedelta(seconds=30)


class PlatformServerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = Deployment()
        self.addCleanup(self.deployment.__exit__)
        self.process = self.deployment.start_platform()
        url = self.deployment.platform_url
        self.platform = HttpPlatform(url=url, clock=SystemClock(), timeout=TIMEOUT)
        self.addCleanup(self.platform.close)

    def counts(self):
        url = f"{self.deployment.platform_url}/v1/counts"
        return json.loads(self.deployment.http.request("GET", url).data)

    def watch_in_background(self):
        results, before = [], self.counts()["read"]
        thread = threading.Thread(
            target=lambda: results.append(self.platform.watch("lease/", 0, TIMEOUT)), daemon=True
        )
        thread.start()
        wait_for(lambda: self.counts()["read"] > before, "the watch")
        return thread, results

    def test_a_watch_returns_at_the_first_write_under_its_prefix_and_counts_once(self):
        """Guards against a watch that polls, or that responds before an object has changed."""
        thread, results = self.watch_in_background()
        self.platform.create("other", b"v", "w")
        created = self.platform.create("lease/a", bytes(MAX_VALUE_BYTES), "w").unwrap()
        thread.join(TIMEOUT.total_seconds())
        self.assertEqual((2, [created]), tuple(results[0].unwrap()))
        self.assertEqual({"read": 1, "write": 2, "refused": 0}, self.counts())

    def test_an_outage_ends_pending_watches_and_a_write_without_response_is_kept(self):
        """Guards against faults that affect only new calls, and lost responses that undo writes."""
        thread, results = self.watch_in_background()
        self.deployment.set_fault("down")
        thread.join(TIMEOUT.total_seconds())
        self.assertIsInstance(results[0].failure(), Unavailable)
        self.deployment.set_fault("lose-answers")
        self.assertIsInstance(self.platform.create("k", b"v", "w").failure(), Unavailable)
        self.deployment.set_fault("none")
        self.assertEqual(b"v", self.platform.get("k").unwrap().value)

    def test_a_call_to_a_slow_platform_times_out_and_its_write_is_recognised_later(self):
        """Guards against a caller blocked by a slow platform, and against a duplicate write."""
        self.deployment.set_fault("slow")
        short_timeout_platform = HttpPlatform(
            url=self.deployment.platform_url,
            clock=SystemClock(),
            timeout=timedelta(milliseconds=100),
        )
        self.addCleanup(short_timeout_platform.close)
        self.assertIsInstance(short_timeout_platform.create("k", b"v", "w").failure(), Unavailable)
        wait_for(lambda: is_successful(self.platform.get("k")), "the late write")
        self.assertEqual(1, self.platform.create("k", b"v", "w").unwrap().revision)

    def test_a_stopped_platform_is_unavailable_until_it_is_restarted(self):
        """Guards against a client that keeps failing on pooled connections to a stopped server."""
        self.assertTrue(is_successful(self.platform.list("")))
        self.deployment.stop(self.process)
        self.assertIsInstance(self.platform.list("").failure(), Unavailable)
        self.deployment.start_platform()
        wait_for(lambda: is_successful(self.platform.list("")), "the platform")
