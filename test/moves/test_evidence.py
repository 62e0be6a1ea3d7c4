"""Tests of request evidence."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.core.messages import Evidence
from almondshore.moves.evidence import (
    CONTROL_ROUTE,
    OTHER_ROUTES,
    EvidenceAggregator,
    EvidenceRecorder,
    split_by_service,
    window_of,
)
from test.moves.helpers import SERVICE, START, row

LATENCY = timedelta(milliseconds=20)


class EvidenceRecorderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=START)
        self.recorder = EvidenceRecorder(clock=self.clock, max_rows=4)
        self.recorder.set_services({SERVICE})

    def ended_rows(self):
        self.clock.advance(timedelta(seconds=1))
        (evidence,) = self.recorder.tick()
        return {counted.route: counted for counted in evidence.rows}

    def test_refusals_are_not_requests_and_broken_ones_are_not_errors(self):
        """Guards against rejecting a version because of an overload or a crash."""
        self.recorder.record_refusal(SERVICE, "v2", "r")
        self.recorder.record(SERVICE, "v2", "r", False, LATENCY, broken=True)
        self.recorder.record(SERVICE, "v2", "r", False, LATENCY)
        counted = self.ended_rows()["r"]
        self.assertEqual(
            (2, 1, 1, 1), (counted.requests, counted.errors, counted.broken, counted.refused)
        )

    def test_cold_target_counts_without_its_latency(self):
        """Guards against rejecting a version as slow because of a cold start."""
        self.recorder.record(SERVICE, "v2", "r", True, LATENCY, cold=True)
        counted = self.ended_rows()["r"]
        self.assertEqual((1, 0), (counted.requests, sum(counted.latency_buckets)))

    def test_rows_are_bounded(self):
        """Guards against memory that grows with the number of routes or services."""
        for n in range(100):
            self.recorder.record(SERVICE, "v2", f"r{n}", True, LATENCY)
            self.recorder.record(f"s{n}", "v1", "r", True, LATENCY)
        self.clock.advance(timedelta(seconds=1))
        (evidence,) = self.recorder.tick()
        rows = [counted for counted in evidence.rows if counted.service == SERVICE]
        self.assertEqual(100, sum(counted.requests for counted in rows))
        self.assertIn(OTHER_ROUTES, {counted.route for counted in rows})
        self.assertLessEqual(len(evidence.rows), 4 + 8 + 1)

    def test_nothing_is_recorded_without_a_move(self):
        """Guards against sending evidence while there is no move."""
        self.recorder.set_services(set())
        self.recorder.record(SERVICE, "v2", "r", True, LATENCY)
        self.clock.advance(timedelta(seconds=1))
        self.assertEqual([], self.recorder.tick())


class EvidenceAggregatorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=START)
        self.aggregator = EvidenceAggregator(clock=self.clock)
        self.window = window_of(START)

    def test_duplicate_message_counts_once(self):
        """Guards against errors counted twice after a duplicate delivery."""
        evidence = Evidence(self.window, 1, [row("v2", 10, 1)])
        for sender in ("n1", "n1", "n2"):
            self.aggregator.add(evidence, sender)
        self.clock.advance(timedelta(seconds=2))
        (total,) = self.aggregator.tick()
        self.assertEqual((2, 20, 2), (total.sources, total.rows[0].requests, total.rows[0].errors))

    def test_late_window_is_dropped_once_closed(self):
        """Guards against a window reported twice, and against memory held by old windows."""
        self.clock.advance(timedelta(seconds=2))
        self.aggregator.tick()
        self.assertFalse(self.aggregator.add(Evidence(self.window, 1, [row("v2", 1)]), "n1"))
        early = Evidence(self.window + 100, 1, [row("v2", 1)])
        self.assertFalse(self.aggregator.add(early, "n1"))
        self.assertEqual((2, {}), (self.aggregator.dropped, self.aggregator.open_windows))

    def test_inconsistent_rows_are_left_out(self):
        """Guards against rejecting a version because of a faulty node's counts."""
        bad = [
            row("v2", 5, 6),
            row("v2", 5)._replace(latency_buckets=[1]),
            row("v2", 5)._replace(broken=-1),
        ]
        self.aggregator.add(Evidence(self.window, 1, [*bad, row("v1", 5)]), "n1")
        self.clock.advance(timedelta(seconds=2))
        (total,) = self.aggregator.tick()
        self.assertEqual([row("v1", 5)], total.rows)

    def test_split_gives_each_service_the_others_as_controls(self):
        """Guards against a coordinator that gets no control rows of other services."""
        rows = [row("v1", 5), row("v2", 5), row("v3", 7, service="fault-desk")]
        parts = split_by_service(Evidence(self.window, 1, rows), [SERVICE, "fault-desk"])
        own, control = parts[SERVICE].rows[:2], parts[SERVICE].rows[2]
        self.assertEqual(rows[:2], own)
        self.assertEqual(("fault-desk", CONTROL_ROUTE, 7), (control[0], control[2], control[3]))
