"""Incremental HTTP/1.1 parsers based on httptools."""

from collections import deque
from typing import NamedTuple

import httptools

from almondshore.http.buffering import HEADER_OVERHEAD_BYTES, BodyBuffer
from almondshore.http.messages import BODILESS_STATUSES, Request, Response, is_final_status

# Limits the memory per response. Objects of the store have at most 1 MB, and its lists about as
# much; the smallest hosts have 128 MB of memory.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Limits the bytes of a response outside its body: status line, headers, interim responses,
# chunk framing and trailers.
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Bytes of chunk framing that are accepted for each byte of a body, beyond the limit on headers. A
# body sent in chunks of one byte has five.
MAX_FRAMING_PER_BODY_BYTE = 16
# Header fields of a request. A header of 16,384 bytes has at most 4,096 lines; listeners for other
# nodes accept 64 KB.
MAX_HEADERS = 10_000
# Memory of a parsed request beside its headers and its body.
PARSED_REQUEST_BYTES = 512
STATUS_TOO_LARGE = 413
# Responses before the final one. 101 is none of them, since no request asks for an upgrade.
INTERIM_STATUSES = frozenset((100, 102, 103))
# httptools reads "2.0" and "0.9" as well, and other protocols with the versions of HTTP.
HTTP_VERSIONS = frozenset(("1.0", "1.1"))
OTHER_PROTOCOLS = (b"RTSP/", b"ICE/")
PREFIX_BYTES = 5


class ParseError(Exception):
    """Received bytes are not a valid HTTP message, or exceed a limit.

    :ivar status: HTTP status with which a server responds
    """

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message)
        self.status = status


class RequestLimits(NamedTuple):
    """Size limits for each request."""

    max_header_bytes: int
    max_body_bytes: int


class RequestParser:
    """Parses the bytes received on a server connection into requests.

    :ivar complete: completely received requests; the caller removes them with :meth:`take`
    :ivar complete_bytes: memory of these requests
    :ivar expects_continue: whether the client waits for ``100 Continue`` before it sends the body
    """

    def __init__(self, *, limits: RequestLimits):
        self.limits = limits
        self.complete: deque[Request] = deque()
        self.complete_bytes = 0
        self.expects_continue = False
        self.parser = httptools.HttpRequestParser(self)
        self.in_headers = True
        self.started = False
        self.framing = _FramingCounter()
        self.target = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        self.stated_bytes = 0
        self.body = BodyBuffer()

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        :raises ParseError: if they are malformed or exceed a limit
        """
        self.started = True
        _feed_parser(self.parser, data, "request")
        framing_bytes = self.framing.count(data)
        limit = self.limits.max_header_bytes
        if self.in_headers and framing_bytes > limit:
            raise ParseError(f"the request headers exceed {limit} bytes", status=431)
        if framing_bytes > limit + len(self.body) * MAX_FRAMING_PER_BODY_BYTE:
            raise ParseError(f"chunk framing and trailers of the request exceed {limit} bytes")

    def is_partial(self) -> bool:
        """Return whether a request has been received in part."""
        return self.started

    def held_bytes(self) -> int:
        """Return the memory that the incomplete request takes."""
        return len(self.target) + self.header_bytes + len(self.body) + self.complete_bytes

    def take(self) -> Request:
        """Remove and return the first complete request."""
        request = self.complete.popleft()
        self.complete_bytes -= _request_memory(request)
        return request

    def discard(self) -> None:
        """Drop all requests, since their connection has ended.

        The parser refers to itself through its callbacks, so that its memory is released late.
        """
        self.target = bytearray()
        self.headers = []
        self.header_bytes = self.complete_bytes = 0
        self.body.clear()
        self.complete.clear()

    def missing_bytes(self) -> int:
        """Return how many bytes of the body are missing, 0 if its length is not stated."""
        return max(0, self.stated_bytes - len(self.body))

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        self.started = True

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; trailers are dropped, since headers are set by their sender."""
        if self.in_headers:
            self.headers.append((name, value))
            self.header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
            if len(self.headers) > MAX_HEADERS:
                raise ParseError(f"the request has more than {MAX_HEADERS} headers", status=431)

    def on_headers_complete(self) -> None:
        """Check the stated sizes and look for ``Expect: 100-continue``."""
        self.in_headers = False
        size = len(self.target) + sum(len(key) + len(value) + 4 for key, value in self.headers)
        if size > self.limits.max_header_bytes:
            raise ParseError(
                f"the request headers exceed {self.limits.max_header_bytes} bytes", status=431
            )
        for name, value in self.headers:
            if name.lower() == b"expect":
                self.expects_continue = value.lower() == b"100-continue"
            elif name.lower() == b"content-length":
                self.stated_bytes = int(value)
                self._check_body_size(self.stated_bytes)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._check_body_size(len(self.body) + len(data))
        self.framing.body_bytes += len(data)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Append the request to ``complete`` and reset the state for the next one."""
        request = Request(
            self.parser.get_method(),
            bytes(self.target),
            tuple(self.headers),
            self.body.take(),
            self.parser.should_keep_alive(),
            len(self.target) + self.header_bytes,
        )
        self.complete.append(request)
        self.complete_bytes += _request_memory(request)
        self.target = bytearray()
        self.headers = []
        self.header_bytes = self.stated_bytes = 0
        self.framing.end_message()
        self.in_headers = True
        self.started = False
        self.expects_continue = False

    def _check_body_size(self, size: int) -> None:
        if size > self.limits.max_body_bytes:
            raise ParseError(
                f"the request body exceeds {self.limits.max_body_bytes} bytes",
                status=STATUS_TOO_LARGE,
            )


class ResponseParser:
    """Parses the bytes received on a client connection into final responses.

    Bytes after a complete response are parsed as another response, which the caller recognises
    by its request id.

    :param head: whether the responses are to HEAD requests and have no body
    :ivar complete: completely received responses; the caller removes them
    :ivar started: whether a response has been received in part
    :ivar framed: whether the response states its length or its end, rather than ending with the
        connection
    """

    def __init__(self, *, head: bool = False) -> None:
        self.head = head
        self.complete: deque[Response] = deque()
        self.parser = httptools.HttpResponseParser(self)
        self.framing = _FramingCounter()
        self.reset()

    def reset(self) -> None:
        """Reset the state for the next response."""
        self.reason = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        self.body = BodyBuffer()
        self.started = False
        self.framed = True
        self.in_body = False
        self.prefix = b""

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ParseError: if they are not a valid response or exceed a limit
        """
        if not self.started:
            self.prefix = data[:PREFIX_BYTES]
        elif 0 < len(self.prefix) < PREFIX_BYTES:
            self.prefix += data[: PREFIX_BYTES - len(self.prefix)]
        if self.prefix.startswith(OTHER_PROTOCOLS):
            raise ParseError("malformed response: it is not an HTTP response")
        self.started = True
        _feed_parser(self.parser, data, "response")
        limit = MAX_RESPONSE_HEAD_BYTES + len(self.body) * MAX_FRAMING_PER_BODY_BYTE
        if self.framing.count(data) > limit:
            raise ParseError(f"the response has more than {limit} bytes outside its body")

    def discard(self) -> None:
        """Drop the incomplete response, as :meth:`RequestParser.discard` does."""
        self.headers = []
        self.body.clear()

    def held_bytes(self) -> int:
        """Return the memory that the incomplete response takes."""
        return len(self.reason) + self.header_bytes + len(self.body)

    def end(self, *, clean: bool) -> bool:
        """Handle the end of the connection.

        :param clean: whether the peer closed the connection without a reset
        :return: whether the end completed a response that did not state its length
        """
        if not clean or not self.in_body or self.framed:
            return False
        self._finish(keep_alive=False)
        return True

    def on_message_begin(self) -> None:
        """Note that a response has begun."""
        self.started = True

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; trailers are dropped, since a signature precedes its body."""
        if not self.in_body:
            self.headers.append((name, value))
            self.header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Check the status line and determine how the body is framed."""
        status = self.parser.get_status_code()
        if not is_final_status(status) and status not in INTERIM_STATUSES:
            raise ParseError(f"malformed response: invalid status {status:03d}")
        version = self.parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise ParseError(f"malformed response: invalid version {version}")
        names = {name.lower() for name, _ in self.headers}
        bodiless = status in BODILESS_STATUSES or status < 200
        self.framed = bodiless or b"content-length" in names or b"transfer-encoding" in names
        self.in_body = True
        if self.head and status >= 200:
            self._finish(keep_alive=False)
        elif not bodiless:
            self._check_stated_size()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._check_body_size(len(self.body) + len(data))
        self.framing.body_bytes += len(data)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Append a final response to ``complete``, or discard an interim (1xx) one."""
        if self.parser.get_status_code() < 200:
            self.reset()
        elif self.framed and self.in_body:
            self._finish(keep_alive=self.parser.should_keep_alive())

    def _check_stated_size(self) -> None:
        for name, value in self.headers:
            if name.lower() == b"content-length":
                self._check_body_size(int(value))

    @staticmethod
    def _check_body_size(size: int) -> None:
        if size > MAX_RESPONSE_BYTES:
            raise ParseError(
                f"the response body exceeds {MAX_RESPONSE_BYTES} bytes", status=STATUS_TOO_LARGE
            )

    def _finish(self, *, keep_alive: bool) -> None:
        self.complete.append(
            Response(
                self.parser.get_status_code(),
                tuple(self.headers),
                self.body.take(),
                bytes(self.reason),
                keep_alive,
            )
        )
        self.framing.end_message()
        self.reset()


def _request_memory(request: Request) -> int:
    return request.header_memory + len(request.body) + PARSED_REQUEST_BYTES


class _FramingCounter:
    """Counts the received bytes of a message that are not part of its body.

    :ivar body_bytes: bytes of bodies, set by the parser
    """

    def __init__(self) -> None:
        self.framing_bytes = 0
        self.body_bytes = 0
        self.counted_body_bytes = 0
        self.ended = False

    def count(self, data: bytes) -> int:
        """Count bytes that have been parsed; return those of the message in progress.

        Bytes read together with the end of an earlier message are not counted.
        """
        if self.ended:
            self.framing_bytes = 0
            self.ended = False
        else:
            self.framing_bytes += len(data) - (self.body_bytes - self.counted_body_bytes)
        self.counted_body_bytes = self.body_bytes
        return self.framing_bytes

    def end_message(self) -> None:
        """Start from zero, as the message has ended."""
        self.ended = True


def _feed_parser(
    parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes, subject: str
) -> None:
    """Parse received bytes.

    :param subject: what is parsed, for the error
    :raises ParseError: if they are malformed, or as raised by a callback
    """
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise ParseError(f"malformed {subject}: protocol upgrades are not supported") from error
    except httptools.HttpParserError as error:
        cause = error.__context__
        if isinstance(cause, ParseError):
            raise cause from None
        raise ParseError(f"malformed {subject}: {error}") from error
