"""Client of the platform's object API over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.net.failures import describe_failure
from almondshore.storage.budget import CallBudget, CallKind
from almondshore.storage.port import (
    MAX_VALUE_BYTES,
    Conflict,
    NotFound,
    Platform,
    PlatformError,
    RateLimited,
    StoredObject,
    TooLarge,
    Unavailable,
    WatchResult,
)
from almondshore.storage.wire import (
    ListResponse,
    ObjectDocument,
    ObjectResponse,
    PutRequest,
    WatchResponse,
    from_document,
)

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
POOL_CONNECTIONS = 8
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(minutes=5)
JSON_HEADERS = {"content-type": "application/json"}

T = TypeVar("T")


class HttpResponse(msgspec.Struct, frozen=True):
    """An HTTP answer that was read whole."""

    status: int
    retry_after: str | None
    body: bytes


class HttpPlatform(Platform):
    """Platform client over urllib3; no exception leaves it.

    :param url: base address of the platform, ``http://ip:port``
    :param timeout: bound of each call, and of the slack that a watch has beyond its own timeout
    :param budget: call budget; a call over budget is not sent
    :param pool: connection pool, by default one of its own
    """

    def __init__(
        self,
        *,
        url: str,
        clock: Clock,
        timeout: timedelta,
        budget: CallBudget | None = None,
        pool: urllib3.PoolManager | None = None,
    ):
        self.url = url.rstrip("/")
        self.clock = clock
        self.timeout = timeout
        self.budget = budget
        self.pool = pool or urllib3.PoolManager(maxsize=POOL_CONNECTIONS, retries=False)

    def get(self, key: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""

        def read() -> Result[StoredObject, PlatformError]:
            answer = self._exchange("GET", _object_path(key), self.timeout)
            return answer.bind(lambda found: _object_result(key, 0, found))

        return self._budgeted(CallKind.READ, read)

    def create(self, key: str, value: bytes, write_id: str) -> Result[StoredObject, PlatformError]:
        """Create an object that must not exist."""
        return self.update(key, value, 0, write_id)

    def update(
        self, key: str, value: bytes, revision: int, write_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its revision is the given one."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(TooLarge(len(value)))
        query = urlencode({"revision": revision, "write_id": write_id})
        path = f"{_object_path(key)}?{query}"
        body = msgspec.json.encode(PutRequest(value=value))

        def write() -> Result[StoredObject, PlatformError]:
            answer = self._exchange("PUT", path, self.timeout, body)
            return answer.bind(lambda found: _object_result(key, len(value), found))

        return self._budgeted(CallKind.WRITE, write)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        path = f"/v1/list?{urlencode({'prefix': prefix})}"

        def convert(found: ListResponse) -> list[StoredObject]:
            return _to_objects(prefix, found["objects"])

        def read() -> Result[list[StoredObject], PlatformError]:
            answer = self._exchange("GET", path, self.timeout)
            return answer.bind(lambda found: _parsed(found, ListResponse, convert))

        return self._budgeted(CallKind.READ, read)

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix.

        A connection that dies silently ends the call at its timeout plus the client's own.
        """
        wait_ms = max(0, round(timeout / timedelta(milliseconds=1)))
        query = urlencode({"prefix": prefix, "after": after, "timeout_ms": wait_ms})

        def read() -> Result[WatchResult, PlatformError]:
            answer = self._exchange("GET", f"/v1/watch?{query}", self.timeout + timeout)
            return answer.bind(
                lambda found: _parsed(found, WatchResponse, lambda item: _to_watch(prefix, item))
            )

        return self._budgeted(CallKind.READ, read)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.clear()

    def _budgeted(
        self, kind: CallKind, action: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        return action() if self.budget is None else self.budget.call(kind, action)

    def _exchange(
        self, method: str, path: str, timeout: timedelta, body: bytes | None = None
    ) -> Result[HttpResponse, PlatformError]:
        """Send a request and read the whole answer within the timeout."""
        deadline = self.clock.monotonic() + timeout
        try:
            response = self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=JSON_HEADERS if body is not None else None,
                timeout=urllib3.Timeout(
                    connect=self.timeout.total_seconds(), read=timeout.total_seconds()
                ),
                retries=False,
                redirect=False,
                preload_content=False,
            )
            content = self._read_whole(response, deadline)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Failure(Unavailable(f"{describe_failure(error)} at {self.url}"))
        return Success(HttpResponse(response.status, response.headers.get("retry-after"), content))

    def _read_whole(self, response: urllib3.BaseHTTPResponse, deadline: timedelta) -> bytes:
        """Read the body; a connection whose answer was not read whole is not used again."""
        try:
            content = self._read_body(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return content

    def _read_body(self, response: urllib3.BaseHTTPResponse, deadline: timedelta) -> bytes:
        """Read the body in chunks, so that neither a slow nor an endless one holds the caller."""
        content = bytearray()
        while chunk := response.read1(READ_CHUNK_BYTES):
            content += chunk
            if len(content) > MAX_RESPONSE_BYTES:
                raise ValueError(f"the answer exceeds {MAX_RESPONSE_BYTES} bytes")
            if self.clock.monotonic() > deadline:
                raise TimeoutError("the answer was not complete within the timeout")
        return bytes(content)


def _object_path(key: str) -> str:
    return f"/v1/objects/{quote(key, safe='')}"


def _object_result(
    key: str, size: int, answer: HttpResponse
) -> Result[StoredObject, PlatformError]:
    """Convert the answer to a read or write of one object."""
    if answer.status == 404:
        return Failure(NotFound(key))
    if answer.status == 413:
        return Failure(TooLarge(size))
    if answer.status == 409:
        return _parsed(answer, ObjectResponse, lambda found: _to_conflict(key, found), 409).bind(
            Failure
        )
    return _parsed(answer, ObjectResponse, lambda found: _to_object(key, found))


def _parsed(
    answer: HttpResponse, kind: type, convert: Callable[..., T], accept: int = 200
) -> Result[T, PlatformError]:
    """Decode a JSON answer with the accepted status; any other status is an error."""
    if answer.status == 429:
        return Failure(RateLimited(_retry_after(answer.retry_after)))
    if answer.status != accept:
        return Failure(Unavailable(f"status {answer.status}"))
    try:
        return Success(convert(msgspec.json.decode(answer.body, type=kind)))
    except (msgspec.MsgspecError, TypeError, ValueError) as error:
        return Failure(Unavailable(f"malformed answer: {error}"))


def _retry_after(text: str | None) -> timedelta:
    """Parse a Retry-After header in seconds; other forms give the default."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 9:
        return DEFAULT_RETRY_AFTER
    return min(timedelta(seconds=int(text)), MAX_RETRY_AFTER)


def _to_object(key: str, found: ObjectResponse) -> StoredObject:
    """Convert an answer that must show an object.

    The key is checked, since a crossed answer would otherwise pass for another object's value.
    """
    stored = from_document(found["object"])
    if stored.key != key:
        raise ValueError(f"answer for another key, {stored.key[:100]!r}")
    return stored


def _to_conflict(key: str, found: ObjectResponse) -> Conflict:
    return Conflict(key, _to_object(key, found) if found["object"] else None)


def _to_objects(prefix: str, documents: list[ObjectDocument]) -> list[StoredObject]:
    """Convert objects that must all be under the prefix."""
    objects = [from_document(document) for document in documents]
    if not all(stored.key.startswith(prefix) for stored in objects):
        raise ValueError("answer for another prefix")
    return objects


def _to_watch(prefix: str, found: WatchResponse) -> WatchResult:
    return WatchResult(found["position"], _to_objects(prefix, found["objects"]))
