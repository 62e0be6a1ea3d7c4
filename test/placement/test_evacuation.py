"""Tests of evacuated zones, from the node beside a target and from senders."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.http.messages import Request, Response
from almondshore.mesh.directory import Directory
from almondshore.mesh.hop import HopTerms, Outcome
from almondshore.mesh.model import WarmupLimit
from almondshore.placement.evacuation import ZONE_EVACUATED, ZoneEvacuations, return_delay
from test.mesh.fakes import APP, SIGNED, RequestPathHarness
from test.mesh.samples import announcement, config, target

OWN = ("10.0.0.1", 1)
SECOND = timedelta(seconds=1)
TARGETS = (
    target("a1", node=("10.0.0.2", 1), zone="a"),
    target("a2", node=("10.0.0.3", 1), zone="a"),
    target("a3", node=("10.0.0.4", 1), zone="a"),
    target("a4", node=("10.0.0.5", 1), zone="a"),
    target("b1", node=("10.0.0.6", 1), zone="b"),
)


class ZoneEvacuationsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = Directory(clock=self.clock)
        self.directory.replace(TARGETS)
        self.zones, self.events = {"a"}, []
        self.config = config()._replace(warmups={"s": WarmupLimit(10 * SECOND, 2.0)})
        self.evacuations = ZoneEvacuations(
            rng=random.Random(1),
            directory=self.directory,
            node=OWN,
            own_zones=lambda: self.zones,
            config=lambda: self.config,
        )
        self.evacuations.on_begin = lambda: self.events.append("begin")
        self.evacuations.on_end = lambda: self.events.append("end")

    def apply(self, *zones):
        self.evacuations.apply(frozenset(zones))

    def ready(self):
        return [item.target for item in self.directory.ready("s")]

    def test_targets_of_evacuated_zones_are_left_out_until_the_end(self):
        """Guards against requests to an evacuated zone, and against one that stays without."""
        self.apply("a")
        self.assertEqual(["b1"], self.ready())
        self.apply("a", "b")
        self.assertEqual([], self.ready())
        self.apply()
        self.clock.advance(10 * SECOND)
        self.assertEqual(5, len(self.ready()))

    def test_own_zone_begins_and_ends_once(self):
        """Guards against an evacuation that is missed or announced again with another zone's."""
        for zones in (("b",), ("a", "b"), ("a",), (), ("b",)):
            self.apply(*zones)
        self.assertEqual(["begin", "end"], self.events)

    def test_zone_of_a_target_that_announces_itself_later_counts(self):
        """Guards against a target in another zone than its node's, which is not known at first."""
        self.apply("c")
        self.zones = {"a", "c"}
        self.evacuations.update_own_zone()
        self.assertTrue(self.evacuations.own_evacuated)

    def test_unreachable_targets_of_other_zones_are_tried(self):
        """Guards against 503 while the only other zone has a node that failed once."""
        self.directory.mark_unreachable(TARGETS[4].node, "silent")
        self.apply("a")
        self.assertEqual(["b1"], self.ready())

    def test_first_requests_to_a_returned_zone_are_spread(self):
        """Guards against all nodes that send to cold targets at the same moment."""
        delays = sorted(
            return_delay(WarmupLimit(10 * SECOND, 20.0), nodes=66, rng=random.Random(seed))
            for seed in range(66)
        )
        most = max(sum(at <= other < at + SECOND for other in delays) for at in delays)
        self.assertTrue(most <= 38, most)
        self.apply("a")
        self.apply()
        before = len(self.ready())
        self.clock.advance(2.5 * SECOND)
        self.assertTrue(before < 5 == len(self.ready()), before)

    def test_spread_does_not_end_a_longer_pause(self):
        """Guards against a draining target that gets requests because its zone has returned."""
        self.directory.pause_target("a1", 10 * SECOND)
        self.apply("a")
        self.apply()
        self.clock.advance(8 * SECOND)
        self.assertNotIn("a1", self.ready())


class OwnTargetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness, self.results = RequestPathHarness(), []
        self.harness.local.announce(announcement(address=APP, slots=1))

    def submit(self):
        terms = HopTerms("r", "t1", "s", "v1", "caller", True, 1, 600, 1200)
        request = Request(b"GET", b"/a/x", ((b"Attempt-Id", b"a1"),), b"")
        self.harness.inbound.submit(request, terms, self.results.append)

    def test_waiting_and_new_requests_are_refused_and_running_ones_completed(self):
        """Guards against requests that reach a target later, and against ones that are cut off."""
        self.submit()
        self.submit()
        self.harness.inbound.is_evacuated = lambda: True
        self.harness.inbound.refuse_waiting(ZONE_EVACUATED)
        self.submit()
        refused = (Outcome.REFUSED, ZONE_EVACUATED)
        self.assertEqual([refused] * 2, [(item.outcome, item.reason) for item in self.results])
        self.harness.pool.calls[0].answer(Response(200, ((b"Attempt-Id", b"a1"), SIGNED)))
        self.assertEqual(Outcome.ANSWERED, self.results[-1].outcome)
        self.assertEqual(1, len(self.harness.pool.calls))
        self.assertEqual({ZONE_EVACUATED: 2}, dict(self.harness.inbound.refusals))


class SenderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness()
        self.harness.directory.replace(TARGETS)

    def evacuate(self, *zones):
        self.harness.directory.evacuated_zones = frozenset(zones)
        self.harness.outbound.is_evacuated = lambda zone: zone in zones

    def tried(self):
        return [call.terms.target for call in self.harness.pool.calls]

    def test_refused_request_goes_to_another_zone_at_once(self):
        """Guards against a sender that tries all targets of a zone, of whose end it does not know.

        A request that was refused more than three times is refused to the caller.
        """
        exchange = self.harness.request()
        self.harness.pool.calls[0].report(Outcome.REFUSED, ZONE_EVACUATED, 503)
        self.assertEqual("b1", self.tried()[1])
        self.assertNotIn(
            self.tried()[0], [item.target for item in self.harness.directory.ready("s")]
        )
        self.harness.pool.calls[1].report()
        self.assertEqual(200, exchange.response.status)

    def test_refusal_does_not_count_as_an_overload(self):
        """Guards against a longer pause after an overload for requests that met an evacuation."""
        for name, node in (("b2", "10.0.0.7"), ("b3", "10.0.0.8")):
            self.harness.directory.put(target(name, node=(node, 1), zone="b"))
        for name in ("b1", "b2", "b3"):
            self.harness.outbound.overload_refusals.record(name, "r", timedelta(), timedelta())
        self.harness.clock.advance(timedelta(milliseconds=100))
        self.harness.request()
        self.harness.pool.calls[0].report(Outcome.REFUSED, ZONE_EVACUATED, 503)
        self.assertEqual(2, len(self.tried()))

    def test_zone_with_the_only_targets_is_tried_on(self):
        """Guards against a zone that is given up for one node that keeps to an ended order."""
        self.harness.directory.remove("b1")
        exchange = self.harness.request()
        self.harness.pool.calls[0].report(Outcome.REFUSED, ZONE_EVACUATED, 503)
        self.harness.pool.calls[1].report()
        self.assertEqual(200, exchange.response.status)

    def test_request_is_refused_if_all_zones_are_evacuated(self):
        """Guards against requests that wait, or reach a target, without any zone in service."""
        self.evacuate("a", "b")
        exchange = self.harness.request()
        self.assertEqual((503, []), (exchange.response.status, self.tried()))
        self.assertIsNotNone(exchange.response.header(b"retry-after"))
