"""Tests of the load generator."""

import random
from datetime import timedelta
from types import SimpleNamespace

import eventlet
import urllib3
from testtools import TestCase

from almondshore.core.clock import ManualClock
from standins.load import Arrival, LoadRun, RequestKind, classify, format_report, plan_arrivals

URGENT = RequestKind("urgent", "GET", "/a", 1)
ROUTINE = RequestKind("routine", "POST", "/b", 3)
SECOND = timedelta(seconds=1)


def plan(seed=1, count=10_000, seconds=10):
    return plan_arrivals(
        kinds=[URGENT, ROUTINE],
        urls=["http://x"],
        tenants=3,
        rate=100,
        count=count,
        duration=seconds * SECOND,
        rng=random.Random(seed),
    )


class LoadTest(TestCase):
    def test_plan_is_reproducible_and_bounded(self):
        """Guards against load that cannot be reproduced from its seed or has no end."""
        self.assertEqual(plan(), plan())
        self.assertNotEqual(plan(), plan(seed=2))
        self.assertEqual(50, len(plan(count=50)))
        arrivals = plan()
        self.assertTrue(900 <= len(arrivals) <= 1100 and arrivals[-1].offset < 10 * SECOND)
        routine = sum(arrival.kind is ROUTINE for arrival in arrivals)
        self.assertTrue(0.70 <= routine / len(arrivals) <= 0.80)

    def test_only_a_complete_response_to_the_sent_request_is_good(self):
        """Guards against counting truncated responses, or those to other requests, as good."""
        arrival = Arrival(SECOND, URGENT, "http://x", "t", 0)
        for status, outcome, body, expected in (
            (200, None, b'{"path":"/a"}', "good"),
            (200, None, b'{"path":"/b"}', "mixed-up"),
            (200, None, b'{"path":"/a', "error"),
            (200, None, b"[]", "error"),
            (503, "not-run", b"", "not-run"),
            (500, None, b"", "error"),
        ):
            self.assertEqual(expected, classify(status, outcome, body, arrival))

    def test_arrivals_do_not_wait_for_responses(self):
        """Guards against latencies that are too low because the generator waited for responses."""
        waiting = eventlet.event.Event()

        def request(method, url, **_):
            if url.endswith("/b"):
                raise urllib3.exceptions.ProtocolError("cut")
            waiting.wait()
            return SimpleNamespace(status=200, headers={}, data=b'{"path":"/a"}')

        clock = ManualClock()
        run = LoadRun(
            clock=clock,
            pool=SimpleNamespace(request=request),
            timeout=SECOND,
            max_in_flight=4,
            run_id="r",
        )
        kinds = [ROUTINE] + [URGENT] * 6
        arrivals = [Arrival(timedelta(), kind, "http://x", "t", n) for n, kind in enumerate(kinds)]
        task = eventlet.spawn(run.run, arrivals)
        while run.tallies.get("urgent") is None or run.tallies["urgent"].results["overrun"] < 2:
            eventlet.sleep(0)
        clock.advance(2 * SECOND)
        waiting.send()
        elapsed = task.wait()
        self.assertEqual({"good": 4, "overrun": 2}, dict(run.tallies["urgent"].results))
        self.assertEqual({"failed": 1}, dict(run.tallies["routine"].results))
        self.assertTrue(1990 <= run.tallies["urgent"].percentile_ms(50) <= 2010)
        report = format_report(run.tallies, elapsed).splitlines()
        self.assertEqual(["urgent", "6", "4", "2.0"], report[2].split()[:4])
