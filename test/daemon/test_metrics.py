"""Tests of the metrics."""

import re
from datetime import timedelta

from testtools import TestCase

from almondshore.daemon.metrics import MAX_SERIES_PER_METRIC, RENDER_BATCH_SERIES, Metrics

MILLISECOND = timedelta(milliseconds=1)


class MetricsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = Metrics(max_tenants=3, constant_labels={"node": "n1"})

    def samples(self):
        text = self.metrics.render()[0].decode()
        return [line for line in text.splitlines() if not line.startswith("#")]

    def observe(self, tenant, latency=MILLISECOND):
        self.metrics.observe_request(
            tenant=tenant, request_class="urgent", outcome="run", latency=latency
        )

    def test_tenants_beyond_the_limit_share_a_label(self):
        """Guards against callers that exhaust memory by inventing tenant names."""
        for number in range(5000):
            self.observe(f"tenant-{number}")
        counts = [line for line in self.samples() if "tenant_request_seconds_count" in line]
        self.assertEqual(4, len(counts))
        self.assertIn(
            'almondshore_tenant_request_seconds_count{node="n1",tenant="other"} 4997.0', counts
        )

    def test_series_of_a_metric_are_limited(self):
        """Guards against memory growth caused by the values of any other label."""
        for number in range(3 * MAX_SERIES_PER_METRIC):
            self.metrics.count("c_total", "Doc", route=f"/r/{number}")
            self.metrics.gauge("g", "Doc", 1.5, route=f"/r/{number}")
        names = [line.split("{")[0] for line in self.samples()]
        self.assertEqual(
            [MAX_SERIES_PER_METRIC + 1] * 2, [names.count("c_total"), names.count("g")]
        )
        self.assertIn(
            f'c_total{{node="n1",route="other"}} {2 * MAX_SERIES_PER_METRIC}', self.samples()
        )

    def test_label_values_cannot_forge_samples(self):
        """Guards against a tenant name that adds samples to the text format."""
        for tenant in ('a"} 1\nforged{x="', "b\\", "c\r\u2028x", "d\ud800"):
            self.observe(tenant)
            self.metrics.count("c_total", "Doc", route=tenant)
        sample = re.compile(r'[a-z_]+\{([a-z]+="(?:[^"\\\n]|\\["\\n])*",?)+\} [0-9.e+-]+')
        text = self.metrics.render()[0].decode()
        for line in text.rstrip("\n").split("\n"):
            self.assertTrue(line.startswith("# ") or sample.fullmatch(line), line)
        self.assertNotIn("\nforged", text)

    def test_scrape_yields_to_other_greenlets(self):
        """Guards against requests that wait until all tenants have been rendered."""
        pauses = []

        def pause():
            pauses.append(len(pauses))
            self.observe(f"late-{len(pauses)}")

        self.metrics = Metrics(max_tenants=1000, pause=pause)
        for number in range(200):
            self.observe(f"tenant-{number}")
        counts = [line for line in self.samples() if "tenant_request_seconds_count" in line]
        self.assertEqual(200 // RENDER_BATCH_SERIES, len(pauses))
        self.assertEqual(200, len(counts))

    def test_latencies_fall_into_their_buckets(self):
        self.observe("t", timedelta(milliseconds=30))
        self.observe("t", timedelta(seconds=60))
        buckets = {
            match[1]: float(match[2])
            for line in self.samples()
            if (match := re.match(r'almondshore_request_seconds_bucket.*le="([^"]+)".* (.*)', line))
        }
        self.assertEqual(
            (0.0, 1.0, 1.0, 2.0), tuple(buckets[b] for b in ("0.025", "0.05", "10.0", "+Inf"))
        )
