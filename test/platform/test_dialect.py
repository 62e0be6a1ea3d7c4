"""Tests of the platform's headers."""

from datetime import timedelta

from testtools import TestCase

from almondshore.http.client import ResponseMatch
from almondshore.http.messages import Request, Response
from almondshore.mesh.dialect import ResponseClass, TargetStatement
from almondshore.platform.dialect import PlatformDialect

SIGNED = (b"Response-Signature", b"s")
DIALECT = PlatformDialect()


class DialectTest(TestCase):
    def test_only_responses_with_the_header_count_as_not_run(self):
        """Guards against a second run of a request that a failing target did run."""
        cases = {
            ResponseClass.NOT_RUN: Response(503, ((b"Not-Executed", b"1"),)),
            ResponseClass.WRONG_TARGET: Response(421),
            ResponseClass.FAILED: Response(503, (SIGNED,)),
            ResponseClass.SUCCEEDED: Response(200, (SIGNED,)),
        }
        for response_class, response in cases.items():
            self.assertEqual(response_class, DIALECT.classify_response(response))
        self.assertEqual(ResponseClass.FAILED, DIALECT.classify_response(Response(200)))

    def test_not_run_statuses_of_targets_are_not_passed_to_callers(self):
        """Guards against a caller that repeats a request which has run."""
        for status in (408, 421, 429, 503):
            passed = DIALECT.to_caller(Response(status, (SIGNED,)), idempotent=False)
            self.assertEqual((502, ()), (passed.status, passed.headers))
        failure = Response(500, (SIGNED,), b"body")
        self.assertEqual(failure, DIALECT.to_caller(failure, idempotent=False))

    def test_success_without_a_signature_is_not_passed_on(self):
        """Guards against bytes of a faulty target that look like a valid response."""
        self.assertEqual(502, DIALECT.to_caller(Response(200), idempotent=True).status)

    def test_headers_set_by_the_node_replace_those_of_the_caller(self):
        """Guards against a caller that forges the caller, target or deadline."""
        sent = (
            (b"attempt-id", b"a1"),
            (b"Caller-Service", b"forged"),
            (b"deadline-ms", b"999999"),
            (b"Expected-Instance", b"forged"),
            (b"X-Own", b"kept"),
        )
        headers = DIALECT.to_target(
            sent, time_left=timedelta(milliseconds=12.7), target="i-1", caller="svc"
        )
        expected = (
            (b"attempt-id", b"a1"),
            (b"X-Own", b"kept"),
            (b"Deadline-Ms", b"12"),
            (b"Expected-Instance", b"i-1"),
            (b"Caller-Service", b"svc"),
        )
        self.assertEqual(expected, headers)

    def test_malformed_deadline_counts_as_none(self):
        """Guards against a request that fails because of a malformed header."""
        for value in (b"", b"-5", b"soon", b"9" * 30):
            request = Request(b"GET", b"/", ((b"Deadline-Ms", value),), b"")
            self.assertIs(None, DIALECT.time_left(request))
        request = Request(b"GET", b"/", ((b"Deadline-Ms", b"250"),), b"")
        self.assertEqual(timedelta(milliseconds=250), DIALECT.time_left(request))

    def test_responses_are_matched_by_id(self):
        """Guards against a late response that is delivered to another request."""
        cases = (
            (ResponseMatch.OWN, Response(200, ((b"Attempt-Id", b"a1"),))),
            (ResponseMatch.OTHER, Response(200, ((b"Attempt-Id", b"a0"),))),
            (ResponseMatch.OTHER, Response(503, ((b"Attempt-Id", b"a0"), (b"Not-Executed", b"1")))),
            (ResponseMatch.OTHER, Response(200, (SIGNED,))),
            (ResponseMatch.UNIDENTIFIED, Response(503, ((b"Not-Executed", b"1"),))),
        )
        for match, response in cases:
            self.assertIs(match, DIALECT.match_response(response, b"a1"))

    def test_statements_of_targets_are_read(self):
        """Guards against limits and departures of targets that are overlooked, or made up."""
        for value, limit in (
            (b"11.8", 11.8),
            (b" 3 ", 3.0),
            (b"0", 0.0),
            (b"", None),
            (b"-1", None),
            (b"nan", None),
            (b"1e9", None),
            (b"9" * 40, None),
        ):
            response = Response(200, ((b"Server-Limit", value),))
            statement = TargetStatement(limit, False)
            self.assertEqual(statement, DIALECT.read_statement(response), value)
        for value, leaving in ((b"1", True), (b"0", False)):
            response = Response(503, ((b"server-leaving", value),))
            self.assertEqual(leaving, DIALECT.read_statement(response).leaving)
        self.assertEqual(TargetStatement(), DIALECT.read_statement(Response(200)))

    def test_warmup_is_read_from_health_responses(self):
        """Guards against a target that counts as warm because its statement is malformed."""
        for value, left_ms in ((b"1500", 1500), (b"0", 0), (b" 2.5 ", 2.5), (b"-1", None)):
            response = Response(200, ((b"warmup-ms", value),))
            expected = None if left_ms is None else timedelta(milliseconds=left_ms)
            self.assertEqual(expected, DIALECT.warmup_left(response), value)
        self.assertIsNone(DIALECT.warmup_left(Response(200)))
