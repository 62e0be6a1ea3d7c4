"""Tests of routing, retries and deadlines of requests that originate on a host."""

from datetime import timedelta
from unittest import mock

from testtools import TestCase

from almondshore.http.client import CallFailure
from almondshore.http.messages import Response
from almondshore.mesh.hop import REPORT_HEADER, Outcome
from almondshore.mesh.model import RouteKind, Share
from test.mesh.fakes import SIGNED, RequestPathHarness
from test.mesh.samples import route, target

NODES = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]


class OutboundTest(TestCase):
    def new_harness(self, targets=3, routes=None, **budget):
        harness = RequestPathHarness(routes, **budget)
        harness.directory.replace(
            target(f"t{number}", node=node) for number, node in enumerate(NODES[:targets])
        )
        return harness

    def status(self, exchange):
        return exchange.response.status if exchange.response is not None else None

    def test_request_is_forwarded_with_its_terms(self):
        """Guards against a request that is altered or forwarded without its time limits."""
        harness = self.new_harness(targets=1)
        exchange = harness.request(b"/a/x?q=1", b"POST", b"body", left_ms=900)
        call = harness.pool.calls[0]
        self.assertEqual((b"POST", b"/a/x?q=1", b"body"), call.request[:2] + (call.request.body,))
        self.assertEqual(
            ("r", "t0", "own-service", True),
            (call.terms.route, call.terms.target, call.terms.caller, call.terms.idempotent),
        )
        self.assertEqual((600, 885), (call.terms.objective_ms, call.terms.deadline_ms))
        call.report(body=b"answer")
        self.assertEqual((200, b"answer"), exchange.response[:1] + (exchange.response.body,))
        self.assertEqual((SIGNED,), exchange.response.headers)

    def test_unknown_route_and_missing_configuration_are_distinguished(self):
        """Guards against a 404 response from a node that has no configuration yet."""
        harness = self.new_harness()
        self.assertEqual(404, self.status(harness.request(b"/other/")))
        harness.outbound.config = None
        self.assertEqual(503, self.status(harness.request()))

    def test_refused_request_goes_to_another_target(self):
        """Guards against refusing a request while another target has free capacity."""
        harness = self.new_harness(routes=[route(kind=RouteKind.ONCE)])
        exchange = harness.request(method=b"POST")
        harness.pool.calls[0].report(Outcome.REFUSED, "overloaded", 503)
        harness.pool.calls[1].fail(CallFailure.NOT_CONNECTED, sent=False)
        harness.pool.calls[2].report()
        self.assertEqual(200, self.status(exchange))
        tried = [call.terms.target for call in harness.pool.calls]
        self.assertEqual(["t0", "t1", "t2"], sorted(tried))

    def test_request_that_may_have_run_is_retried_only_if_idempotent(self):
        """Guards against a non-idempotent request that runs twice."""
        kinds = ((RouteKind.ONCE, 1), (RouteKind.IDEMPOTENT, 2), (RouteKind.DOWNLOAD, 2))
        for kind, calls in kinds:
            harness = self.new_harness(routes=[route(kind=kind)])
            exchange = harness.request()
            harness.pool.calls[0].fail(CallFailure.CLOSED)
            self.assertEqual(calls, len(harness.pool.calls))
            self.assertEqual(502 if kind is RouteKind.ONCE else None, self.status(exchange))

    def test_503_is_returned_only_if_the_request_has_not_run(self):
        """Guards against a 503 for a request that may have run; callers retry after a 503."""
        harness = self.new_harness(targets=2)
        exchange = harness.request()
        harness.pool.calls[0].fail(CallFailure.TRUNCATED)
        harness.pool.calls[1].report(Outcome.REFUSED, "overloaded", 503)
        self.assertEqual(502, self.status(exchange))
        # A caller that can still be on time returns early, as it comes before those that arrived
        # later. With a longer service time, it cannot, and waits until there is room.
        for service_ms, least, most in ((100, 0.2, 0.3), (590, 0.4, 0.6)):
            harness = self.new_harness(targets=1)
            harness.request()
            harness.pool.calls[0].report(service_ms=service_ms)
            exchange = harness.request()
            harness.pool.calls[1].report(
                Outcome.REFUSED, "overloaded", 503, retry_after_ms=400, service_ms=service_ms
            )
            self.assertEqual(503, self.status(exchange))
            stated = float(exchange.response.header(b"retry-after"))
            self.assertTrue(least <= stated <= most, stated)

    def test_objective_counts_from_the_first_attempt(self):
        """Guards against serving a returning caller late in place of one that can be on time."""
        harness = self.new_harness(targets=1)
        objectives = []
        for left_ms in (2000, 1650, 1300):
            harness.request(left_ms=left_ms)
            objectives.append(harness.pool.calls[-1].terms.objective_ms)
        self.assertEqual([600, 250, -100], objectives)

    def test_failed_response_is_returned_unchanged(self):
        """Guards against replacing the error response of a target by a generated one."""
        harness = self.new_harness(routes=[route(max_attempts=1)])
        exchange = harness.request()
        harness.pool.calls[0].report(status=500, body=b"broken")
        self.assertEqual(Response(500, (SIGNED,), b"broken"), exchange.response)

    def test_failed_request_is_retried_at_another_target(self):
        """Guards against a retry at the target that has just failed the request.

        It is retried there only if there is no other target.
        """
        harness = self.new_harness(targets=2, ratio=1.0)
        for _ in range(10):
            harness.pool.calls.clear()
            harness.request()
            harness.pool.calls[0].report(status=500)
            first, second = harness.pool.calls
            self.assertNotEqual(first.address, second.address)
            second.report()
        harness = self.new_harness(targets=1)
        harness.request()
        harness.pool.calls[0].report(status=500)
        self.assertEqual(2, len(harness.pool.calls))

    def test_max_attempts_and_retry_budget_limit_retries(self):
        """Guards against retries that multiply the load when all targets fail."""
        harness = self.new_harness()
        harness.request()
        for call in harness.pool.calls:
            call.report(status=500)
        self.assertEqual(2, len(harness.pool.calls))
        harness = self.new_harness(ratio=0.0, min_per_second=0.0)
        harness.request()
        harness.pool.calls[0].report(status=500)
        self.assertEqual(1, len(harness.pool.calls))

    def test_retry_after_rejection_uses_the_budget(self):
        """Guards against retries that reach targets without being counted in the budget."""
        harness = self.new_harness(ratio=0.0, min_per_second=0.0)
        exchange = harness.request()
        harness.pool.calls[0].report(Outcome.REJECTED, "not-run", 503)
        self.assertEqual(503, self.status(exchange))
        self.assertEqual(1, len(harness.pool.calls))

    def test_route_timeout_ends_the_request(self):
        """Guards against a request that outlasts the timeout of its route."""
        harness = self.new_harness(routes=[route(timeout=timedelta(seconds=0.7))])
        exchange = harness.request()
        self.assertEqual(700, harness.pool.calls[0].terms.deadline_ms)
        harness.clock.advance(timedelta(seconds=0.7))
        next(iter(harness.outbound.active))._on_deadline()
        self.assertEqual(504, self.status(exchange))
        self.assertTrue(harness.pool.calls[0].cancelled)
        harness.pool.calls[0].report()
        self.assertEqual(504, self.status(exchange))

    def test_second_attempt_gets_only_the_remaining_time(self):
        """Guards against a target that works past the deadline of the caller."""
        harness = self.new_harness()
        harness.request(left_ms=1000)
        harness.clock.advance(timedelta(seconds=0.4))
        harness.pool.calls[0].fail(CallFailure.CLOSED)
        self.assertEqual(585, harness.pool.calls[1].terms.deadline_ms)

    def test_disconnected_caller_cancels_the_call(self):
        """Guards against a target that works for a caller that has disconnected."""
        harness = self.new_harness()
        exchange = harness.request()
        exchange.on_cancel()
        self.assertTrue(harness.pool.calls[0].cancelled)
        self.assertEqual(set(), harness.outbound.active)

    def test_unreachable_node_gets_no_requests(self):
        """Guards against every request being sent first to a host that is down."""
        harness = self.new_harness(targets=2)
        harness.request()
        lost = harness.pool.calls[0].address
        harness.pool.calls[0].fail(CallFailure.NOT_CONNECTED, sent=False)
        for _ in range(5):
            harness.request()
        self.assertNotIn(lost, [call.address for call in harness.pool.calls[1:]])

    def test_pending_requests_at_an_unresponsive_node_are_retried(self):
        """Guards against requests that wait until their deadline for a host that lost power."""
        for kind, calls in ((RouteKind.IDEMPOTENT, 2), (RouteKind.ONCE, 1)):
            harness = self.new_harness(routes=[route(kind=kind)])
            harness.request()
            harness.outbound.on_unresponsive(("10.0.0.77", 1))
            self.assertEqual(1, len(harness.pool.calls))
            harness.outbound.on_unresponsive(harness.pool.calls[0].address)
            self.assertEqual(calls, len(harness.pool.calls))
            # The probes may be late because the link is busy, so the first attempt may still end.
            self.assertFalse(harness.pool.calls[0].cancelled)
            harness.outbound.on_unresponsive(harness.pool.calls[0].address)
            self.assertEqual(calls, len(harness.pool.calls))
            self.assertEqual(calls == 2, harness.pool.calls[0].cancelled)

    def test_request_that_a_nodes_server_refuses_goes_to_another_host(self):
        """Guards against 502 for a request that a node short of memory did not even parse."""
        for status, calls in ((503, 2), (408, 2), (502, 1)):
            harness = self.new_harness(routes=[route(kind=RouteKind.ONCE)])
            harness.request()
            harness.pool.calls[0].answer(Response(status, ()))
            self.assertEqual(calls, len(harness.pool.calls), status)

    def test_malformed_report_is_no_refusal(self):
        """Guards against a request that runs twice because the report of its run is malformed.

        The response to a broken run has status 503, that of a target any status.
        """
        for status in (408, 413, 431, 503):
            harness = self.new_harness(routes=[route(kind=RouteKind.ONCE)])
            exchange = harness.request()
            harness.pool.calls[0].answer(Response(status, ((REPORT_HEADER, b"{}"),)))
            self.assertEqual(1, len(harness.pool.calls), status)
            self.assertEqual(502, exchange.response.status)

    def test_node_that_misses_probes_may_still_respond(self):
        """Guards against failing requests because the link of a node is busy with large responses.

        On ssff-votes-grown, scale-1, 700 requests failed so within 30 s: no budget was left for a
        retry, and the nodes, behind links of 10 Mbit/s, answered again soon.
        """
        for receiving, budget in ((False, {"ratio": 0.0, "min_per_second": 0.0}), (True, {})):
            harness = self.new_harness(**budget)
            exchange = harness.request()
            call = harness.pool.calls[0]
            call.receiving = receiving
            harness.outbound.on_unresponsive(call.address)
            self.assertEqual(1, len(harness.pool.calls))
            call.report(body=b"x")
            self.assertEqual((200, b"x"), (exchange.response.status, exchange.response.body))

    def make_overdue(self, harness):
        """Make the response to the first attempt of the only active request overdue."""
        (forwarded,) = harness.outbound.active
        harness.clock.advance(timedelta(milliseconds=300))
        forwarded.on_overdue(forwarded.attempts[0])

    def report_all_loads(self, harness):
        """Report the loads of all targets to the chooser."""
        for _ in range(3 * len(NODES)):
            harness.request()
            harness.pool.calls[-1].report(running=1)
        harness.pool.calls.clear()

    def test_overdue_request_is_hedged_at_a_second_target(self):
        """Guards against callers that wait for a target which does not respond."""
        harness = self.new_harness()
        self.report_all_loads(harness)
        exchange = harness.request()
        self.make_overdue(harness)
        first, second = harness.pool.calls
        self.assertNotEqual(first.terms.target, second.terms.target)
        self.assertFalse(first.cancelled)
        second.report(body=b"second")
        self.assertEqual((200, b"second"), exchange.response[:1] + (exchange.response.body,))
        self.assertTrue(first.cancelled)
        first.report(body=b"first")
        self.assertEqual(b"second", exchange.response.body)
        self.assertEqual(set(), harness.outbound.active)
        self.assertEqual(
            {0}, {load.own_requests for load in harness.outbound.chooser.loads.values()}
        )

    def test_response_that_is_arriving_is_not_hedged(self):
        """Guards against two copies of a large response on links that are slow already."""
        harness = self.new_harness(routes=[route(kind=RouteKind.DOWNLOAD)])
        self.report_all_loads(harness)
        harness.request()
        first = harness.pool.calls[0]
        for receiving, calls in ((True, 1), (False, 2)):
            first.receiving = receiving
            self.make_overdue(harness)
            self.assertEqual(calls, len(harness.pool.calls))

    def test_hedged_attempt_is_logged_with_its_reason(self):
        """Guards against hedged attempts that cannot be traced in the logs."""
        harness = self.new_harness()
        self.report_all_loads(harness)
        harness.request()
        with mock.patch("almondshore.mesh.forwarding.log_event") as log:
            self.make_overdue(harness)
        first, second = harness.pool.calls
        fields = {
            "request": "a1",
            "route": "r",
            "reason": "overdue",
            "overdue_target": first.terms.target,
            "target": second.terms.target,
            "took_ms": 300,
        }
        log.assert_called_once_with("request_repeated", **fields)

    def test_first_target_may_still_respond(self):
        """Guards against discarding a good first response because the second attempt failed."""
        for end_second_attempt in (
            lambda call: call.report(status=500),
            lambda call: call.report(Outcome.REFUSED, "overloaded", 503),
            lambda call: call.fail(CallFailure.CLOSED),
        ):
            harness = self.new_harness(routes=[route(max_attempts=3)])
            self.report_all_loads(harness)
            exchange = harness.request()
            self.make_overdue(harness)
            end_second_attempt(harness.pool.calls[1])
            self.assertEqual(None, self.status(exchange))
            self.assertEqual(2, len(harness.pool.calls))
            harness.pool.calls[0].report(body=b"first")
            self.assertEqual(b"first", exchange.response.body)

    def test_overdue_request_is_hedged_only_within_limits(self):
        """Guards against hedging that runs a request twice, exceeds a limit or adds to overload.

        The cases are a route that is not idempotent, one with a single attempt, an exhausted
        retry budget, and targets without a free slot.
        """
        cases = (
            ({"kind": RouteKind.ONCE}, {}, 1),
            ({"max_attempts": 1}, {}, 1),
            ({}, {"ratio": 0.0, "min_per_second": 0.0}, 1),
            ({}, {}, 4),
        )
        for limits, budget, running in cases:
            harness = self.new_harness(routes=[route(**limits)], **budget)
            for _ in range(3 * len(NODES)):
                harness.request()
                harness.pool.calls[-1].report(running=running)
            harness.pool.calls.clear()
            harness.request()
            self.make_overdue(harness)
            self.assertEqual(1, len(harness.pool.calls), (limits, budget, running))

    def test_disconnected_caller_cancels_both_attempts(self):
        """Guards against a hedged attempt that keeps running for a disconnected caller."""
        harness = self.new_harness()
        self.report_all_loads(harness)
        exchange = harness.request()
        self.make_overdue(harness)
        exchange.on_cancel()
        self.assertEqual([True, True], [call.cancelled for call in harness.pool.calls])

    def test_shares_of_a_split_route_are_kept(self):
        """Guards against a traffic split that follows the load instead of its weights."""
        split = route(shares=(Share("s", 3.0), Share("other", 1.0)))
        harness = self.new_harness(routes=[split])
        harness.directory.put(target("o1", service="other", node=("10.0.0.8", 1)))
        for _ in range(800):
            harness.request()
        other_count = sum(call.terms.target == "o1" for call in harness.pool.calls)
        self.assertTrue(140 < other_count < 260, other_count)

    def test_configuration_versions_of_other_nodes_are_reported(self):
        """Guards against a node that keeps an old configuration while the store is unreachable."""
        harness = self.new_harness(targets=1)
        harness.request()
        harness.pool.calls[0].report(config_version=9)
        self.assertEqual([9], harness.versions_seen)
