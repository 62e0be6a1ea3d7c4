"""Header rules of the two proxy hops."""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

PREFIX = "x-almondshore-"
REQUEST_ID = PREFIX + "request-id"
DEADLINE_MS = PREFIX + "deadline-ms"
ATTEMPT = PREFIX + "attempt"
CLASS = PREFIX + "class"
TENANT_INTERNAL = PREFIX + "tenant"
TARGET = PREFIX + "target"
ROUTE = PREFIX + "route"
ONCE = PREFIX + "once"
OUTCOME = PREFIX + "outcome"
REASON = PREFIX + "reason"
VERSION = PREFIX + "version"
LOAD = PREFIX + "load"
DEATH = PREFIX + "death"
REPLAYED = PREFIX + "replayed"
IDEMPOTENCY_KEY = "idempotency-key"
TENANT = "x-tenant"

# RFC 9110, section 7.6.1, with the older names that servers still send.
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
# Computed again by each hop from the body that it sends.
RECOMPUTED = frozenset({"content-length", "host"})

# RFC 9110, section 5.6.2. A name with a trailing space is read differently by different servers.
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
UNSAFE_VALUE = re.compile(r"[\r\n\0]")

MAX_HEADERS = 100
MAX_KEY_CHARACTERS = 200

Headers = list[tuple[str, str]]


class Problem(NamedTuple):
    """Why a request is refused before it is routed; ``status`` is an HTTP status code."""

    status: int
    reason: str
    message: str


def check_request(headers: Iterable[tuple[str, str]], max_body_bytes: int) -> Problem | None:
    """Check the headers of a request from outside.

    Requests whose length could be read in two ways are refused, since the next server might
    read them in the other way and see a second, hidden request.

    :param headers: header names and values as received
    :param max_body_bytes: largest accepted body
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
        elif lowered == IDEMPOTENCY_KEY and not 0 < len(value.strip()) <= MAX_KEY_CHARACTERS:
            limit = f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters"
            return Problem(400, "bad-idempotency-key", limit)
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
            return too_large(max_body_bytes)
    return None


def too_large(max_body_bytes: int) -> Problem:
    """Return the problem of a body above the limit."""
    return Problem(413, "body-too-large", f"a body has at most {max_body_bytes} bytes")


def forwardable(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that pass through a hop.

    Hop-by-hop headers, those named by ``Connection``, and the internal ones are dropped, so that
    no one outside can set an internal header. An underscore counts as a hyphen there, since WSGI
    and CGI servers do not tell them apart.
    """
    items = [(name.lower(), value.strip()) for name, value in headers]
    named = {
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
        and name not in named
        and not name.replace("_", "-").startswith(PREFIX)
    ]


def first(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Return the first value of a header, stripped, or an empty string."""
    for found, value in headers:
        if found.lower() == name:
            return value.strip()
    return ""


class Load(NamedTuple):
    """Load of a target as its node reports it on each response.

    :ivar slots: requests that may run at the same time
    :ivar running: requests running now
    :ivar queued: requests waiting for a slot
    """

    slots: int
    running: int
    queued: int


def format_load(load: Load) -> str:
    """Format a load for the ``x-almondshore-load`` header."""
    return f"{load.slots}/{load.running}/{load.queued}"


def parse_load(value: str) -> Load | None:
    """Parse an ``x-almondshore-load`` header; None if it is absent or malformed."""
    fields = value.split("/")
    if len(fields) != 3 or not all(field.isascii() and field.isdecimal() for field in fields):
        return None
    return Load(*map(int, fields))


def internal_headers(values: Mapping[str, object]) -> Headers:
    """Return internal headers for a hop; values that are None are left out."""
    return [(name, str(value)) for name, value in values.items() if value is not None]
