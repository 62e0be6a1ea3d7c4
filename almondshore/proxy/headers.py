"""Names, validation and forwarding of the headers of both proxy hops."""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

INTERNAL_PREFIX = "x-almondshore-"
REQUEST_ID = INTERNAL_PREFIX + "request-id"
DEADLINE_MS = INTERNAL_PREFIX + "deadline-ms"
ATTEMPT = INTERNAL_PREFIX + "attempt"
CLASS = INTERNAL_PREFIX + "class"
TENANT_INTERNAL = INTERNAL_PREFIX + "tenant"
TARGET = INTERNAL_PREFIX + "target"
ROUTE = INTERNAL_PREFIX + "route"
ONCE = INTERNAL_PREFIX + "once"
OUTCOME = INTERNAL_PREFIX + "outcome"
REASON = INTERNAL_PREFIX + "reason"
VERSION = INTERNAL_PREFIX + "version"
LOAD = INTERNAL_PREFIX + "load"
DEATH = INTERNAL_PREFIX + "death"
REPLAYED = INTERNAL_PREFIX + "replayed"
IDEMPOTENCY_KEY = "idempotency-key"
TENANT = "x-tenant"

# RFC 9110, section 7.6.1, and obsolete names that servers still send.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set by each hop for the request or response that it sends.
RECOMPUTED = frozenset({"content-length", "host"})

# RFC 9110, section 5.6.2. Servers disagree on how to read a name with a trailing space.
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
UNSAFE_VALUE = re.compile(r"[\r\n\0]")

MAX_HEADERS = 100
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200

Headers = list[tuple[str, str]]


class Problem(NamedTuple):
    """Why a request is refused before it is routed.

    :ivar status: HTTP status code of the response
    """

    status: int
    reason: str
    message: str


def check_request(headers: Iterable[tuple[str, str]], max_body_bytes: int) -> Problem | None:
    """Validate the headers of a received request.

    Requests with an ambiguous body length are refused: the next server might interpret the
    length differently and see a second, smuggled request.

    :param headers: header names and values as received
    :param max_body_bytes: largest accepted body
    :return: the first problem found, or None
    """
    lengths: list[str] = []
    encodings: list[str] = []
    count = 0
    for name, value in headers:
        count += 1
        lowered = name.lower()
        if not TOKEN.fullmatch(name) or UNSAFE_VALUE.search(value):
            return Problem(400, "bad-header", "a header name or value is malformed")
        if lowered == "content-length":
            lengths.append(value.strip())
        elif lowered == "transfer-encoding":
            encodings.append(value.strip().lower())
        elif (
            lowered == IDEMPOTENCY_KEY
            and not 0 < len(value.strip()) <= MAX_IDEMPOTENCY_KEY_CHARACTERS
        ):
            message = f"an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
            return Problem(400, "bad-idempotency-key", message)
    if count > MAX_HEADERS:
        return Problem(431, "too-many-headers", f"at most {MAX_HEADERS} headers are accepted")
    return _check_length(lengths, encodings, max_body_bytes)


def _check_length(lengths: list[str], encodings: list[str], max_body_bytes: int) -> Problem | None:
    if lengths and encodings:
        return Problem(
            400, "ambiguous-length", "content-length and transfer-encoding exclude each other"
        )
    if len(lengths) > 1:
        return Problem(400, "ambiguous-length", "content-length is given more than once")
    if encodings and encodings != ["chunked"]:
        return Problem(400, "bad-transfer-encoding", "the only transfer encoding is chunked")
    if lengths:
        if not (lengths[0].isascii() and lengths[0].isdecimal()):
            return Problem(400, "bad-length", "content-length is not a number")
        if int(lengths[0]) > max_body_bytes:
            return body_too_large(max_body_bytes)
    return None


def body_too_large(max_body_bytes: int) -> Problem:
    """Return the problem to report for a body above the limit."""
    return Problem(413, "body-too-large", f"a body has at most {max_body_bytes} bytes")


def forwardable(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that a hop forwards, with lower-case names.

    Removes hop-by-hop headers, headers named by ``Connection``, and internal headers, which
    callers must not be able to set. Internal headers are also recognised with underscores in
    place of hyphens, since WSGI and CGI servers do not distinguish the two.
    """
    items = [(name.lower(), value.strip()) for name, value in headers]
    connection_options = {
        token.strip().lower()
        for name, value in items
        if name == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in items
        if name not in HOP_BY_HOP
        and name not in RECOMPUTED
        and name not in connection_options
        and not name.replace("_", "-").startswith(INTERNAL_PREFIX)
    ]


def first_value(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Return the first value of a header, stripped, or an empty string if it is absent.

    :param name: lower-case name
    """
    for header_name, value in headers:
        if header_name.lower() == name:
            return value.strip()
    return ""


class Load(NamedTuple):
    """Load of a target, which its node reports with each response.

    :ivar slots: limit of concurrently running requests
    :ivar running: number of running requests
    :ivar queued: number of requests waiting for a slot
    """

    slots: int
    running: int
    queued: int


def format_load(load: Load) -> str:
    """Format a load for the ``x-almondshore-load`` header."""
    return f"{load.slots}/{load.running}/{load.queued}"


def parse_load(value: str) -> Load | None:
    """Parse an ``x-almondshore-load`` header; return None if it is empty or malformed."""
    fields = value.split("/")
    if len(fields) != 3 or not all(field.isascii() and field.isdecimal() for field in fields):
        return None
    return Load(*map(int, fields))


def internal_headers(values: Mapping[str, object]) -> Headers:
    """Return internal headers with the given values; those that are None are omitted."""
    return [(name, str(value)) for name, value in values.items() if value is not None]
