"""Client of the platform's object API over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_json
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
    """An HTTP response that was read completely."""

    status: int
    retry_after: str | None
    body: bytes


class HttpPlatform(Platform):
    """Platform client over urllib3, which returns failures instead of raising.

    :param url: base address of the platform, ``http://ip:port``
    :param timeout: timeout of each call; a watch may take this much longer than its own timeout
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
            result = self._send_request("GET", _object_path(key), self.timeout)
            return result.bind(lambda response: _object_result(key, 0, response))

        return self._call_within_budget(CallKind.READ, read)

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
            result = self._send_request("PUT", path, self.timeout, body)
            return result.bind(lambda response: _object_result(key, len(value), response))

        return self._call_within_budget(CallKind.WRITE, write)

    def list(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Read all objects under a prefix."""
        path = f"/v1/list?{urlencode({'prefix': prefix})}"

        def convert(body: ListResponse) -> list[StoredObject]:
            return _to_objects(prefix, body["objects"])

        def read() -> Result[list[StoredObject], PlatformError]:
            result = self._send_request("GET", path, self.timeout)
            return result.bind(lambda response: _parse_response(response, ListResponse, convert))

        return self._call_within_budget(CallKind.READ, read)

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes under a prefix.

        On a connection that dies silently, the call fails after ``timeout`` plus the client's own
        timeout.
        """
        wait_ms = max(0, round(timeout / timedelta(milliseconds=1)))
        query = urlencode({"prefix": prefix, "after": after, "timeout_ms": wait_ms})

        def read() -> Result[WatchResult, PlatformError]:
            result = self._send_request("GET", f"/v1/watch?{query}", self.timeout + timeout)
            return result.bind(
                lambda response: _parse_response(
                    response, WatchResponse, lambda body: _to_watch_result(prefix, body)
                )
            )

        return self._call_within_budget(CallKind.READ, read)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.clear()

    def _call_within_budget(
        self, kind: CallKind, action: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        return action() if self.budget is None else self.budget.call(kind, action)

    def _send_request(
        self, method: str, path: str, timeout: timedelta, body: bytes | None = None
    ) -> Result[HttpResponse, PlatformError]:
        """Send a request and read the complete response within the timeout."""
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
            content = self._read_and_release(response, deadline)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Failure(Unavailable(f"{describe_failure(error)} at {self.url}"))
        return Success(HttpResponse(response.status, response.headers.get("retry-after"), content))

    def _read_and_release(self, response: urllib3.BaseHTTPResponse, deadline: timedelta) -> bytes:
        """Read the body and return the connection to the pool; close it if reading fails.

        A connection with unread bytes must not be reused.
        """
        try:
            content = self._read_body(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return content

    def _read_body(self, response: urllib3.BaseHTTPResponse, deadline: timedelta) -> bytes:
        """Read the body in chunks, so that a slow or endless one cannot block the caller.

        :raises ValueError: if the body exceeds ``MAX_RESPONSE_BYTES``
        :raises TimeoutError: if the body is incomplete at the deadline
        """
        content = bytearray()
        while chunk := response.read1(READ_CHUNK_BYTES):
            content += chunk
            if len(content) > MAX_RESPONSE_BYTES:
                raise ValueError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
            if self.clock.monotonic() > deadline:
                raise TimeoutError(
                    f"response body incomplete at the deadline after {len(content)} bytes"
                )
        return bytes(content)


def _object_path(key: str) -> str:
    return f"/v1/objects/{quote(key, safe='')}"


def _object_result(
    key: str, size: int, response: HttpResponse
) -> Result[StoredObject, PlatformError]:
    """Convert the response to a read or write of one object.

    :param size: size of the written value in bytes, for ``TooLarge``
    """
    if response.status == 404:
        return Failure(NotFound(key))
    if response.status == 413:
        return Failure(TooLarge(size))
    if response.status == 409:
        return _parse_response(
            response, ObjectResponse, lambda body: _to_conflict(key, body), 409
        ).bind(Failure)
    return _parse_response(response, ObjectResponse, lambda body: _to_object(key, body))


def _parse_response(
    response: HttpResponse, body_type: type, convert: Callable[..., T], expected_status: int = 200
) -> Result[T, PlatformError]:
    """Decode and convert a JSON body; any status but the expected one is a failure."""
    if response.status == 429:
        return Failure(RateLimited(_parse_retry_after(response.retry_after)))
    if response.status != expected_status:
        return Failure(Unavailable(f"unexpected HTTP status {response.status}"))
    try:
        return Success(convert(decode_json(response.body, body_type)))
    except (msgspec.MsgspecError, TypeError, ValueError) as error:
        return Failure(Unavailable(f"malformed response: {error}"))


def _parse_retry_after(text: str | None) -> timedelta:
    """Parse a Retry-After header in seconds, up to the maximum; other forms give the default."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 9:
        return DEFAULT_RETRY_AFTER
    return min(timedelta(seconds=int(text)), MAX_RETRY_AFTER)


def _to_object(key: str, body: ObjectResponse) -> StoredObject:
    """Convert a response that must contain the object.

    The key is checked, since the response to another call on the same connection would otherwise be
    taken for this object's value.

    :raises ValueError: if the response is for another key
    """
    stored = from_document(body["object"])
    if stored.key != key:
        raise ValueError(f"response is for another key: {stored.key[:100]!r}")
    return stored


def _to_conflict(key: str, body: ObjectResponse) -> Conflict:
    return Conflict(key, _to_object(key, body) if body["object"] else None)


def _to_objects(prefix: str, documents: list[ObjectDocument]) -> list[StoredObject]:
    """Convert objects that must all be under the prefix.

    :raises ValueError: if an object is not
    """
    objects = [from_document(document) for document in documents]
    if not all(stored.key.startswith(prefix) for stored in objects):
        raise ValueError(f"response contains a key outside the prefix {prefix!r}")
    return objects


def _to_watch_result(prefix: str, body: WatchResponse) -> WatchResult:
    return WatchResult(body["position"], _to_objects(prefix, body["objects"]))
