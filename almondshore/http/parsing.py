"""Incremental parsers of HTTP/1.1 messages over httptools."""

from collections import deque
from typing import NamedTuple

import httptools

from almondshore.http.messages import BODILESS_STATUSES, Request, Response

# Bounds memory per message; the largest bodies that callers may send are 64 MB.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class ParseError(Exception):
    """The bytes are no HTTP message, or exceed a limit.

    :ivar status: status that a server answers with
    """

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message)
        self.status = status


class RequestLimits(NamedTuple):
    """Limits on the requests of a connection, in bytes."""

    max_header_bytes: int
    max_body_bytes: int


class RequestParser:
    """Splits the bytes of a connection into requests.

    :ivar complete: requests that were read whole and not yet taken
    :ivar expects_continue: whether a client waits for ``100 Continue`` before it sends the body
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
            raise ParseError("the request headers are too large", status=431)

    def is_partial(self) -> bool:
        """Tell whether a request has begun to arrive and is not complete."""
        return self.started

    def on_message_begin(self) -> None:
        """Start a request."""
        self.started = True

    def on_url(self, target: bytes) -> None:
        """Take a part of the request target."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the headers."""
        self.in_headers = False
        size = len(self.target) + sum(len(key) + len(value) + 4 for key, value in self.headers)
        if size > self.limits.max_header_bytes:
            raise ParseError("the request headers are too large", status=431)
        for name, value in self.headers:
            if name.lower() == b"expect":
                self.expects_continue = value.lower() == b"100-continue"

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.max_body_bytes:
            raise ParseError("the request body is too large", status=413)
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """End the request and prepare for the next."""
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
    """Splits the bytes of an upstream connection into final responses.

    Bytes that follow a complete response are parsed as a further response, which the caller
    tells apart by its request id.

    :ivar complete: responses that were read whole and not yet taken
    """

    def __init__(self) -> None:
        self.complete: deque[Response] = deque()
        self.parser = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """Prepare for the next response."""
        self.reason = bytearray()
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.started = False
        self.framed = True
        self.in_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises ParseError: if they are no response
        """
        self.started = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ParseError(f"malformed response: {error}") from error

    def end(self, *, clean: bool) -> bool:
        """Take the end of the connection.

        :param clean: whether the peer closed it in order, not by a reset
        :returns: whether it completed a response that had no length
        """
        if not clean or not self.in_body or self.framed:
            return False
        self._finish(keep_alive=False)
        return True

    def on_status(self, reason: bytes) -> None:
        """Take a part of the reason phrase."""
        self.started = True
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the headers, and find out how the body is framed."""
        names = {name.lower() for name, _ in self.headers}
        status = self.parser.get_status_code()
        bodiless = status in BODILESS_STATUSES or status < 200
        self.framed = bodiless or b"content-length" in names or b"transfer-encoding" in names
        self.in_body = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ParseError("the response body is too large")
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """End the response; interim ones are dropped."""
        if self.parser.get_status_code() < 200:
            self.begin()
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
        self.begin()
