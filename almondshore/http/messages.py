"""HTTP/1.1 messages with complete bodies, and their encoding."""

from functools import lru_cache
from http import HTTPStatus
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
BODILESS_STATUSES = frozenset((204, 304))
# Statuses of final responses (RFC 9110, section 15).
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class Request(NamedTuple):
    """A completely received request.

    :ivar target: request target (path and query) as received
    :ivar headers: header fields, with the case of their names as received
    :ivar keep_alive: whether the connection stays open after the response
    :ivar header_memory: memory of the target and the headers, 0 if it is not known
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool = True
    header_memory: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """A completely received response, or a response to send.

    :ivar reason: reason phrase; if it is empty, the standard phrase of the status is sent
    :ivar keep_alive: whether the connection stays open after the response
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    reason: bytes = b""
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name."""
        return find_header(self.headers, name)


def is_final_status(status: int) -> bool:
    """Return whether a status is valid and not that of an interim response."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given its lower-case name."""
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, *, without: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers to forward, without those that apply to a single connection.

    :param without: lower-case names of further headers to remove
    """
    dropped = _dropped_headers(without)
    names = [key.lower() for key, _ in headers]
    if b"connection" in names:
        for name, (_, value) in zip(names, headers, strict=True):
            if name == b"connection":
                dropped = dropped | {token.strip().lower() for token in value.split(b",")}
    return tuple(pair for name, pair in zip(names, headers, strict=True) if name not in dropped)


@lru_cache(maxsize=8)
def _dropped_headers(without: frozenset[bytes]) -> frozenset[bytes]:
    return CONNECTION_HEADERS | without


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Encode a request, with a Content-Length header if it has or may have a body."""
    return encode_request_head(method, target, headers, body_bytes=len(body)) + body


def encode_request_head(
    method: bytes, target: bytes, headers: Headers, *, body_bytes: int
) -> bytes:
    """Encode a request without its body, with a Content-Length header if it has or may have one.

    :param body_bytes: size of the body that follows
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(key + b": " + value for key, value in headers)
    if body_bytes or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % body_bytes)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_response(response: Response, *, head: bool = False, close: bool = False) -> bytes:
    """Encode a response, with a Content-Length header unless its status excludes a body.

    :param head: whether the request was a HEAD request, so that the body is omitted
    :param close: whether to announce that the connection closes after the response
    :raises ValueError: if the status is not that of a final response
    """
    return encode_response_head(response, close=close) + response_body(response, head=head)


def encode_response_head(response: Response, *, close: bool = False) -> bytes:
    """Encode a response without its body.

    :param close: whether to announce that the connection closes after the response
    :raises ValueError: if the status is not that of a final response
    """
    if not is_final_status(response.status):
        raise ValueError(f"{response.status} is not the status of a final response")
    reason = response.reason or REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d " % response.status + reason]
    lines.extend(key + b": " + value for key, value in response.headers)
    if response.status not in BODILESS_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def response_body(response: Response, *, head: bool) -> bytes:
    """Return the body to send with a response, empty if there must be none.

    :param head: whether the request was a HEAD request
    """
    return b"" if head or response.status in BODILESS_STATUSES else response.body
