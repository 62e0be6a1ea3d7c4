"""Tests of requests with large bodies, which a host must agree to receive."""

from datetime import timedelta

from testtools import TestCase

from almondshore.http.messages import encode_request
from almondshore.mesh.hop import HopTerms, Outcome, encode_terms
from almondshore.mesh.model import RouteKind
from almondshore.transfers.queue import TransferQueue
from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until
from test.mesh.fakes import RequestPathHarness
from test.mesh.samples import route, target
from test.mesh.test_node import new_mesh

BODY = b"u" * 60_000


class UploadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = RequestPathHarness(routes=[route(kind=RouteKind.UPLOAD)])
        self.harness.directory.put(target("t1", node=("10.0.0.1", 1)))
        self.harness.directory.put(target("t2", node=("10.0.0.2", 1)))

    def upload(self, body=BODY):
        return self.harness.request(method=b"POST", body=body)

    def test_body_is_sent_after_the_host_has_agreed(self):
        """Guards against bodies that fill the link of a host which then refuses the request."""
        self.upload()
        (question,) = self.harness.pool.calls
        self.assertEqual((b"GET", b""), (question.request.method, question.request.body))
        self.assertEqual(b"60000", question.header(b"x-almondshore-body-size"))
        question.report(Outcome.GRANTED, headers=((b"x-almondshore-transfer", b"7"),), status=200)
        request = self.harness.pool.calls[-1]
        self.assertEqual((b"POST", BODY), (request.request.method, request.request.body))
        self.assertEqual(b"7", request.header(b"x-almondshore-transfer"))

    def test_time_left_is_that_after_the_wait_for_the_grant(self):
        """Guards against targets that work on an upload after its caller's deadline."""
        self.upload()
        (question,) = self.harness.pool.calls
        self.harness.clock.advance(timedelta(milliseconds=300))
        question.report(Outcome.GRANTED, headers=((b"x-almondshore-transfer", b"7"),), status=200)
        before, after = question.terms, self.harness.pool.calls[-1].terms
        self.assertEqual(300, before.deadline_ms - after.deadline_ms)
        self.assertEqual(300, before.objective_ms - after.objective_ms)

    def test_refused_body_is_offered_to_another_host(self):
        """Guards against an upload that fails because one host has no room for it."""
        exchange = self.upload()
        self.harness.pool.calls[-1].report(Outcome.REFUSED, "overloaded", status=503)
        self.assertIsNone(exchange.response)
        first, second = self.harness.pool.calls
        self.assertNotEqual(first.address, second.address)
        self.assertEqual(b"", second.request.body)

    def test_question_that_breaks_off_has_not_run(self):
        """Guards against an upload that fails although only the question was lost."""
        exchange = self.upload()
        self.harness.pool.calls[-1].fail()
        self.assertIsNone(exchange.response)
        self.harness.pool.calls[-1].fail()
        self.assertEqual(503, exchange.response.status)

    def test_host_that_goes_silent_while_it_is_asked(self):
        """Guards against an upload that waits until its deadline although it has not run."""
        exchange = self.upload()
        (question,) = self.harness.pool.calls
        self.harness.outbound.on_unresponsive(question.address)
        self.assertTrue(question.cancelled)
        first, second = self.harness.pool.calls
        self.assertNotEqual(first.address, second.address)
        self.harness.outbound.on_unresponsive(second.address)
        self.assertEqual(503, exchange.response.status)

    def test_host_that_goes_silent_after_it_has_agreed(self):
        """Guards against an upload that runs twice because its host is slow to respond."""
        exchange = self.upload()
        (question,) = self.harness.pool.calls
        question.report(Outcome.GRANTED, headers=((b"x-almondshore-transfer", b"7"),), status=200)
        self.harness.outbound.on_unresponsive(question.address)
        self.harness.outbound.on_unresponsive(question.address)
        self.assertEqual(2, len(self.harness.pool.calls))
        self.assertIsNone(exchange.response)

    def test_small_body_is_sent_at_once(self):
        """Guards against a round trip that small uploads do not need."""
        self.upload(b"small")
        (request,) = self.harness.pool.calls
        self.assertEqual(b"small", request.request.body)

    def test_caller_that_leaves_takes_the_question_back(self):
        """Guards against bodies that are sent for callers that have left."""
        exchange = self.upload()
        exchange.on_cancel()
        self.assertTrue(self.harness.pool.calls[-1].cancelled)
        self.harness.pool.calls[-1].report(
            Outcome.GRANTED, headers=((b"x-almondshore-transfer", b"7"),), status=200
        )
        self.assertEqual(1, len(self.harness.pool.calls))


class UploadBetweenNodesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.mesh = new_mesh(self)
        config = stored_config(3, ("s",), route_type="upload", timeout_s=4.0)
        self.mesh.store.put("config", "main", config)
        self.sender = self.mesh.add_node("n1", service="other")
        self.receiver = self.mesh.add_node("n2")
        wait_until(lambda: len(self.sender.directory.targets) == 2)

    def upload(self, number):
        headers = (
            (b"Host", b"h.example"),
            (b"Attempt-Id", b"a%d" % number),
            (b"Deadline-Ms", b"4000"),
        )
        data = encode_request(b"POST", b"/s/x", headers, BODY)
        return self.mesh.call(self.sender.settings.outbound, data).response

    def test_uploads_of_one_host_follow_one_another(self):
        """Guards against transfers that are granted and never given free."""
        self.receiver.inbound.transfers.queue = TransferQueue(
            clock=self.receiver.clock, link_mbps=100.0, schedule=self.receiver.local.schedule
        )
        for number in range(4):
            self.assertEqual(200, self.upload(number).status)
        self.assertEqual({}, self.receiver.inbound.transfers.queue.under_way)
        self.assertEqual({}, self.receiver.inbound.transfers.granted)
        self.assertEqual(4, len(self.mesh.target_standins["n2"].executed))

    def test_size_that_is_no_number_is_rejected(self):
        """Guards against a malformed question that ends a node."""
        terms = HopTerms("r-s", "n2", "s", "v1", "other", False, 1, 600, 1200)
        for size in (b"-1", b"1e9", b"9" * 20, b""):
            headers = ((b"Host", b"h"), encode_terms(terms), (b"x-almondshore-body-size", size))
            data = encode_request(b"GET", b"/transfers", headers, b"")
            response = self.mesh.call(self.receiver.settings.inbound, data).response
            self.assertEqual(400, response.status)
