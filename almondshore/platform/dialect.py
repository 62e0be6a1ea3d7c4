"""Headers of the platform's callers and upstreams."""

from datetime import timedelta

from almondshore.http.messages import Headers, Request, Response, find_header
from almondshore.mesh.dialect import Dialect, ResponseClass
from almondshore.platform import names

_SET_BY_US = frozenset(
    name.lower() for name in (names.TIME_LEFT, names.EXPECTED_TARGET, names.CALLER)
)
_REQUEST_ID = names.REQUEST_ID.lower()
_SIGNATURE = names.SIGNATURE.lower()
_NOT_RUN = names.NOT_RUN.lower()
_TIME_LEFT = names.TIME_LEFT.lower()
# With these statuses the platform's callers take it that the request has not run.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
MAX_DIGITS = 9


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def request_id(self, headers: Headers) -> bytes:
        """Return the id of a caller's attempt, empty if it has none."""
        return find_header(headers, _REQUEST_ID) or b""

    def time_left(self, request: Request) -> timedelta | None:
        """Return how long the caller waits, or None if it does not say."""
        value = request.header(_TIME_LEFT)
        if value is None:
            return None
        whole = value.strip().partition(b".")[0]
        if not whole.isdigit() or len(whole) > MAX_DIGITS:
            return None
        return timedelta(milliseconds=int(whole))

    def to_target(
        self, headers: Headers, *, time_left: timedelta, target: str, caller: str
    ) -> Headers:
        """Return the headers of a request to a target."""
        kept = tuple(pair for pair in headers if pair[0].lower() not in _SET_BY_US)
        left_ms = max(1, int(time_left / timedelta(milliseconds=1)))
        return (
            *kept,
            (names.TIME_LEFT, b"%d" % left_ms),
            (names.EXPECTED_TARGET, target.encode()),
            (names.CALLER, caller.encode()),
        )

    def matches_request(self, response: Response, request_id: bytes) -> bool:
        """Tell whether a target's response answers the request with this id."""
        found = response.header(_REQUEST_ID)
        if found is None:
            # Refusals may lack the id; a response with a signature but no id is someone else's.
            return response.header(_SIGNATURE) is None
        return found == request_id

    def classify_response(self, response: Response) -> ResponseClass:
        """Return what a target's response says about the request."""
        if response.status == MISDIRECTED:
            return ResponseClass.WRONG_TARGET
        if response.header(_NOT_RUN) is not None:
            return ResponseClass.NOT_RUN
        if 200 <= response.status < 300 and response.header(_SIGNATURE) is None:
            return ResponseClass.FAILED
        return ResponseClass.FAILED if response.status >= 500 else ResponseClass.SUCCEEDED

    def to_caller(self, response: Response, *, idempotent: bool) -> Response:
        """Return a target's final response as the caller may see it."""
        unsigned = 200 <= response.status < 300 and response.header(_SIGNATURE) is None
        if unsigned or response.status in PROMISES_NOT_RUN:
            return self.error_response(502)
        return response

    def error_response(self, status: int, *, retry_after: timedelta | None = None) -> Response:
        """Return a response of the system's own."""
        if retry_after is None:
            return Response(status)
        seconds = f"{retry_after.total_seconds():.3f}".encode()
        return Response(status, ((names.RETRY_AFTER, seconds),))
