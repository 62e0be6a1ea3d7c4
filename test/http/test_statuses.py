"""Tests of status lines that are not valid, and of the statuses that are sent."""

from testtools import TestCase

from almondshore.http.client import CallFailure
from almondshore.http.messages import Response, encode_request, encode_response
from almondshore.http.parsing import ParseError, ResponseParser
from almondshore.mesh.hop import Outcome
from almondshore.mesh.outbound import _to_hop_result
from test.http.loopback import RawServer, RecordingHandler, call, new_pool, serve

REQUEST = encode_request(b"GET", b"/a", ((b"Host", b"h"),), b"")
REST = b"\r\nContent-Length: 2\r\n\r\nab"
INVALID_STATUS_LINES = {
    "000": b"HTTP/1.1 000 OK",
    "one digit": b"HTTP/1.1 0 OK",
    "two zeros": b"HTTP/1.1 00 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "099": b"HTTP/1.1 099 OK",
    "99": b"HTTP/1.1 99 OK",
    "100 with a body": b"HTTP/1.1 100 Continue",
    "101": b"HTTP/1.1 101 Switching Protocols",
    "104": b"HTTP/1.1 104 OK",
    "199": b"HTTP/1.1 199 OK",
    "600": b"HTTP/1.1 600 OK",
    "999": b"HTTP/1.1 999 OK",
    "1000": b"HTTP/1.1 1000 OK",
    "four digits": b"HTTP/1.1 0200 OK",
    "plus": b"HTTP/1.1 +200 OK",
    "minus": b"HTTP/1.1 -200 OK",
    "second blank": b"HTTP/1.1  200 OK",
    "blank within": b"HTTP/1.1 2 00 OK",
    "tab": b"HTTP/1.1 \t200 OK",
    "full-width digits": "HTTP/1.1 ２００ OK".encode(),
    "superscript digits": b"HTTP/1.1 \xb2\xb0\xb0 OK",
    "letters": b"HTTP/1.1 2OO OK",
    "empty": b"HTTP/1.1 ",
    "no blank": b"HTTP/1.1",
    "version 9.9": b"HTTP/9.9 200 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "version 0.9": b"HTTP/0.9 200 OK",
    "no blank after the version": b"HTTP/1.1200 OK",
    "other protocol": b"RTSP/1.0 200 OK",
    "third protocol": b"ICE/1.0 200 OK",
}


class ResponseParserTest(TestCase):
    def test_invalid_status_lines_are_no_response(self):
        """Guards against an invalid response that is forwarded, or taken for an interim one."""
        accepted = []
        for name, line in INVALID_STATUS_LINES.items():
            parser = ResponseParser()
            try:
                parser.feed(line + REST)
                accepted.append((name, [response.status for response in parser.complete]))
            except ParseError:
                self.assertEqual(0, len(parser.complete), name)
        self.assertEqual([], accepted)

    def test_valid_statuses_are_responses(self):
        """Guards against valid responses that count as failed."""
        for status in (*range(200, 204), *range(205, 304), *range(305, 600)):
            parser = ResponseParser()
            parser.feed(b"HTTP/1.1 %d X" % status + REST)
            self.assertEqual([status], [response.status for response in parser.complete])

    def test_interim_responses_are_skipped(self):
        """Guards against a final response that is lost behind interim ones."""
        for status in (100, 102, 103):
            parser = ResponseParser()
            parser.feed(b"HTTP/1.1 %d X\r\nLink: a\r\n\r\n" % status * 2)
            parser.feed(b"HTTP/1.1 200 OK" + REST)
            self.assertEqual([200], [response.status for response in parser.complete], status)


class CallTest(TestCase):
    def test_call_fails_as_possibly_run(self):
        """Guards against a request that is repeated although it may have run."""
        for name, line in INVALID_STATUS_LINES.items():
            server = RawServer(
                lambda sock, line=line: (sock.recv(65536), sock.sendall(line + REST))
            )
            self.addCleanup(server.close)
            result = call(new_pool(), server.address, REQUEST, timeout=0.5)
            self.assertEqual((CallFailure.MALFORMED, True), (result.failure, result.sent), name)
            self.assertEqual(Outcome.BROKEN, _to_hop_result(result).outcome, name)


class EncoderTest(TestCase):
    def test_no_invalid_status_is_sent(self):
        """Guards against an invalid status that a fault in this process would send."""
        for status in (-1, 0, 99, 100, 101, 199, 600, 999, 1000):
            self.assertRaises(ValueError, encode_response, Response(status))
            handler = RecordingHandler(lambda _exchange, status=status: Response(status))
            server = serve(handler)
            self.addCleanup(server.close)
            result = call(new_pool(), server.address(), REQUEST)
            self.assertEqual(502, result.response.status)
