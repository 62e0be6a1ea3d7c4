"""Tests of the HTTP parsers with malformed, split and excess bytes."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.http.parsing import ParseError, RequestLimits, RequestParser, ResponseParser

LIMITS = RequestLimits(max_header_bytes=1024, max_body_bytes=4096)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
)


REQUEST_PIECES = (
    GET,
    POST,
    CHUNKED,
    b"GET /a HTTP/1.1\r\n",
    b"POST /b HTTP/1.1\r\n",
    b"Host: h\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Upgrade: x\r\nConnection: upgrade\r\n",
    b"CONNECT h:1 HTTP/1.1\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
)
RESPONSE_PIECES = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 0\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"X: y\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"1;ext=1\r\na\r\n",
    b"0\r\n\r\n",
)
SIZES = st.lists(st.integers(1, 30), max_size=20)


def pieces(choices):
    """Return a strategy for messages that are made of parts of valid ones and of other bytes."""
    piece = st.one_of(st.sampled_from(choices), st.binary(max_size=4))
    return st.lists(piece, max_size=14).map(b"".join)


def parse(parser, data, sizes):
    """Return the messages that a parser finds, and whether the bytes are malformed."""
    try:
        feed(parser, data, sizes)
    except ParseError:
        return list(parser.complete), True
    return list(parser.complete), False


def feed(parser, data, sizes):
    """Feed data in pieces of the given sizes, and the rest in one piece."""
    position = 0
    for size in [*sizes, len(data)]:
        parser.feed(data[position : position + size])
        position += size
        if position >= len(data):
            return


class RequestParserTest(TestCase):
    @given(pieces(REQUEST_PIECES), SIZES)
    @settings(max_examples=200, deadline=None)
    def test_any_bytes_are_parsed_alike_for_any_split_into_reads(self, data, sizes):
        """Guards against hostile bytes that end the server, or whose meaning depends on reads."""
        whole, split = RequestParser(limits=LIMITS), RequestParser(limits=LIMITS)
        self.assertEqual(parse(whole, data, []), parse(split, data, sizes))

    @given(st.lists(st.integers(1, 40), max_size=12))
    @settings(max_examples=60, deadline=None)
    def test_pipelined_requests_are_parsed_alike_for_any_split_into_reads(self, sizes):
        """Guards against losing or merging requests that are split across reads."""
        parser = RequestParser(limits=LIMITS)
        feed(parser, GET + POST + CHUNKED + GET, sizes)
        parsed = [(request.method, request.target, request.body) for request in parser.complete]
        self.assertEqual(
            [(b"GET", b"/a", b""), (b"POST", b"/b", b"abc"), (b"POST", b"/c", b"abc"), parsed[0]],
            parsed,
        )
        self.assertFalse(parser.is_partial())

    def test_content_length_with_chunked_encoding_is_rejected(self):
        """Guards against request smuggling in the body of another request."""
        parser = RequestParser(limits=LIMITS)
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
        )
        self.assertRaises(ParseError, parser.feed, data)
        self.assertEqual(0, len(parser.complete))

    def test_each_limit_has_its_own_status(self):
        """Guards against a status that does not tell the client which limit it exceeded."""
        cases = {
            431: b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 2000 + b"\r\n\r\n",
            413: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"a" * 5000,
            400: b"nonsense\r\n\r\n",
        }
        for status, data in cases.items():
            parser = RequestParser(limits=LIMITS)
            error = self.assertRaises(ParseError, parser.feed, data)
            self.assertEqual(status, error.status)

    @given(st.binary(max_size=300))
    @settings(max_examples=200, deadline=None)
    def test_arbitrary_bytes_raise_only_parse_errors(self, data):
        """Guards against other exceptions, which would fail in the connection's handler."""
        parser = RequestParser(limits=LIMITS)
        try:
            parser.feed(data)
        except ParseError:
            return


class ResponseParserTest(TestCase):
    @given(pieces(RESPONSE_PIECES), SIZES)
    @settings(max_examples=200, deadline=None)
    def test_any_bytes_are_parsed_alike_for_any_split_into_reads(self, data, sizes):
        """Guards against responses that are complete or not depending on how they are read."""
        data = RESPONSE_PIECES[0] + data
        self.assertEqual(parse(ResponseParser(), data, []), parse(ResponseParser(), data, sizes))

    def test_body_without_length_ends_with_the_connection(self):
        """Guards against accepting a truncated response as complete."""
        for clean, complete in ((True, 1), (False, 0)):
            parser = ResponseParser()
            parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
            self.assertEqual(0, len(parser.complete))
            self.assertEqual(clean, parser.end(clean=clean))
            self.assertEqual(complete, len(parser.complete))

    def test_truncated_body_is_not_a_response(self):
        """Guards against forwarding a truncated body as a complete one."""
        for head in (b"Content-Length: 10", b"Transfer-Encoding: chunked"):
            parser = ResponseParser()
            parser.feed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n3\r\n")
            self.assertFalse(parser.end(clean=True))
            self.assertEqual(0, len(parser.complete))

    def test_interim_response_is_skipped(self):
        """Guards against taking a 100 response for the final one."""
        parser = ResponseParser()
        parser.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual([204], [response.status for response in parser.complete])

    def test_bytes_after_a_response_are_parsed_as_another_response(self):
        """Guards against appending a second response to the body of the first."""
        parser = ResponseParser()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        parser.feed(head + b"a" + head + b"b")
        self.assertEqual([b"a", b"b"], [response.body for response in parser.complete])
