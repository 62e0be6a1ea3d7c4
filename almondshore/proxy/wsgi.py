"""Request parsing and responses for the WSGI applications of both hops."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

import eventlet
import msgspec
import xxhash

from almondshore.proxy import headers as names
from almondshore.proxy.headers import Headers, Problem, body_too_large, check_request
from almondshore.retries.crash import fingerprint
from almondshore.retries.outcome import Failure, failure_body

READ_CHUNK_BYTES = 64 * 1024
# Key in the WSGI environment of a function that closes the connection after the response.
CLOSE_CONNECTION = "almondshore.close_connection"
# Key of a flag: a header line could not be parsed, so the server dropped it and all later ones.
MALFORMED_HEADERS = "almondshore.malformed_headers"
# Applies to the whole body, so that a client cannot hold a request open by sending slowly.
BODY_TIMEOUT = timedelta(seconds=30)
# Retry-After has a granularity of whole seconds.
MIN_RETRY_AFTER_SECONDS = 1

# Tenant of a request without a tenant header.
NO_TENANT = "-"

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

StartResponse = Callable[[str, Headers], object]


class Request(NamedTuple):
    """A complete request as received.

    :ivar path: decoded path without the query
    :ivar raw_path: path as received, with the query
    """

    method: str
    path: str
    raw_path: str
    headers: Headers
    body: bytes


def read_request(environ: dict, max_body_bytes: int) -> Request | Problem:
    """Read a complete request and validate it.

    After a problem the end of the request is uncertain, so its connection is closed; otherwise
    the remaining bytes could be taken for a second request.
    """
    request = _read_validated(environ, max_body_bytes)
    if isinstance(request, Problem) and CLOSE_CONNECTION in environ:
        environ[CLOSE_CONNECTION]()
    return request


def _read_validated(environ: dict, max_body_bytes: int) -> Request | Problem:
    if environ.get(MALFORMED_HEADERS):
        return Problem(400, "bad-header", "a header line is malformed")
    headers = list(environ["headers_raw"])
    problem = check_request(headers, max_body_bytes) or check_path(environ["RAW_PATH_INFO"])
    if problem is not None:
        return problem
    body = _read_body(environ, max_body_bytes)
    if isinstance(body, Problem):
        return body
    query = environ.get("QUERY_STRING")
    raw_path = environ["RAW_PATH_INFO"]
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        f"{raw_path}?{query}" if query else raw_path,
        headers,
        body,
    )


def request_fingerprint(request: Request) -> int:
    """Return the fingerprint of a request for idempotency keys and crash quarantine."""
    return fingerprint(
        request.method,
        request.raw_path,
        names.first_value(request.headers, names.TENANT) or NO_TENANT,
        xxhash.xxh3_128_digest(request.body),
    )


def check_path(raw_path: str) -> Problem | None:
    """Return a problem if servers could resolve a path to different resources, otherwise None."""
    lowered = raw_path.lower()
    if not raw_path.startswith("/"):
        return Problem(400, "bad-path", "the path does not start with '/'")
    if "%2f" in lowered or "%5c" in lowered or "%00" in lowered or "\\" in raw_path:
        return Problem(400, "bad-path", "the path contains an encoded separator or NUL")
    segments = lowered.replace("%2e", ".").split("/")
    if "." in segments or ".." in segments:
        return Problem(400, "bad-path", "the path contains a dot segment")
    return None


def _read_body(environ: dict, max_body_bytes: int) -> bytes | Problem:
    content_length = environ.get("CONTENT_LENGTH")
    chunks: list[bytes] = []
    size = 0
    try:
        with eventlet.Timeout(BODY_TIMEOUT.total_seconds()):
            while chunk := environ["wsgi.input"].read(READ_CHUNK_BYTES):
                chunks.append(chunk)
                size += len(chunk)
                if size > max_body_bytes:
                    return body_too_large(max_body_bytes)
    except eventlet.Timeout:
        return Problem(408, "body-timeout", "the body was not received in time")
    except OSError:
        return Problem(400, "body-truncated", "the connection ended within the body")
    except ValueError:
        return Problem(400, "bad-chunk", "the chunked body is malformed or truncated")
    if content_length is not None and size != int(content_length):
        return Problem(400, "body-truncated", "the connection ended within the body")
    return b"".join(chunks)


def respond(
    start_response: StartResponse, status: int, headers: Headers, body: bytes
) -> Iterable[bytes]:
    """Send a complete response."""
    reason_phrase = REASON_PHRASES.get(status, "Status")
    start_response(f"{status} {reason_phrase}", [*headers, ("content-length", str(len(body)))])
    return [body]


def respond_json(
    start_response: StartResponse, status: int, document: object, headers: Headers = ()
) -> Iterable[bytes]:
    """Send a response with a JSON body."""
    body = msgspec.json.encode(document)
    return respond(start_response, status, [("content-type", "application/json"), *headers], body)


def respond_failure(
    start_response: StartResponse,
    failure: Failure,
    request_id: str,
    headers: Headers = (),
    status: int | None = None,
) -> Iterable[bytes]:
    """Send a failure with its outcome, reason and, if known, Retry-After.

    :param status: replaces the status of the failure
    """
    items = [
        (names.OUTCOME, failure.outcome.value),
        (names.REASON, failure.reason.value),
        (names.REQUEST_ID, request_id),
        *headers,
    ]
    if failure.retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_SECONDS, round(failure.retry_after.total_seconds()))
        items.append(("retry-after", str(seconds)))
    return respond_json(
        start_response, status or failure.status, failure_body(failure, request_id), items
    )
