"""Incremental HTTP/1.1 parsers based on httptools."""

from collections import deque
from typing import NamedTuple

import httptools

from almondshore.http.messages import BODILESS_STATUSES, Request, Response

# Limits the memory per response; as large as the largest request body allowed, 64 MB.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


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

    :ivar complete: completely received requests; the caller removes them
    :ivar expects_continue: whether the client waits for ``100 Continue`` before it sends the body
    """

    def __init__(self, *, limits: RequestLimits):
        self.limits = limits
        self.complete: deque[Request] = deque()
        self.expects_continue = False
        self.parser = httptools.HttpRequestParser(self)
        self.in_headers = True
        self.started = False
        self.header_bytes = 0
        self.target = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ParseError: if they are malformed or exceed a limit
        """
        self.started = True
        if self.in_headers:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise ParseError("protocol upgrades are not supported") from error
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, ParseError):
                raise cause from None
            raise ParseError(f"malformed request: {error}") from error
        if self.in_headers and self.header_bytes > self.limits.max_header_bytes:
            raise ParseError(
                f"the request headers exceed {self.limits.max_header_bytes} bytes", status=431
            )

    def is_partial(self) -> bool:
        """Return whether a request has been received in part."""
        return self.started

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        self.started = True

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the headers and look for ``Expect: 100-continue``."""
        self.in_headers = False
        size = len(self.target) + sum(len(key) + len(value) + 4 for key, value in self.headers)
        if size > self.limits.max_header_bytes:
            raise ParseError(
                f"the request headers exceed {self.limits.max_header_bytes} bytes", status=431
            )
        for name, value in self.headers:
            if name.lower() == b"expect":
                self.expects_continue = value.lower() == b"100-continue"

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.max_body_bytes:
            raise ParseError(
                f"the request body exceeds {self.limits.max_body_bytes} bytes", status=413
            )
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Append the request to ``complete`` and reset the state for the next one."""
        self.complete.append(
            Request(
                self.parser.get_method(),
                bytes(self.target),
                tuple(self.headers),
                b"".join(self.chunks),
                self.parser.should_keep_alive(),
            )
        )
        self.target = bytearray()
        self.headers, self.chunks = [], []
        self.body_bytes = self.header_bytes = 0
        self.in_headers = True
        self.started = False
        self.expects_continue = False


class ResponseParser:
    """Parses the bytes received on a client connection into final responses.

    Bytes after a complete response are parsed as another response, which the caller recognises
    by its request id.

    :ivar complete: completely received responses; the caller removes them
    :ivar started: whether a response has been received in part
    :ivar framed: whether the response states its length or its end, rather than ending with the
        connection
    """

    def __init__(self) -> None:
        self.complete: deque[Response] = deque()
        self.parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Reset the state for the next response."""
        self.reason = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.started = False
        self.framed = True
        self.in_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ParseError: if they are not a valid response
        """
        self.started = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ParseError(f"malformed response: {error}") from error

    def end(self, *, clean: bool) -> bool:
        """Handle the end of the connection.

        :param clean: whether the peer closed the connection without a reset
        :return: whether the end completed a response that did not state its length
        """
        if not clean or not self.in_body or self.framed:
            return False
        self._finish(keep_alive=False)
        return True

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self.started = True
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is framed."""
        names = {name.lower() for name, _ in self.headers}
        status = self.parser.get_status_code()
        bodiless = status in BODILESS_STATUSES or status < 200
        self.framed = bodiless or b"content-length" in names or b"transfer-encoding" in names
        self.in_body = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ParseError(f"the response body exceeds {MAX_RESPONSE_BYTES} bytes")
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Append a final response to ``complete``, or discard an interim (1xx) one."""
        if self.parser.get_status_code() < 200:
            self.reset()
            return
        if self.framed:
            self._finish(keep_alive=self.parser.should_keep_alive())

    def _finish(self, *, keep_alive: bool) -> None:
        self.complete.append(
            Response(
                self.parser.get_status_code(),
                tuple(self.headers),
                b"".join(self.chunks),
                bytes(self.reason),
                keep_alive,
            )
        )
        self.reset()
