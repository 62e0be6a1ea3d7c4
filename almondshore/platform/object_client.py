"""Calls of the HTTP API of the platform's store."""

from datetime import timedelta
from typing import Any

import msgspec
from eventlet.event import Event
from returns.result import Failure, Result, Success

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.http.buffering import GUARANTEED_STATE_BYTES
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.mesh.store import Changed, HistoryGone, StoreEra, StoreError
from almondshore.platform import names
from almondshore.storage.port import NotFound, RateLimited, Unavailable

# The store responds in 4 ms, but may take 60 times as long when it is slow, and may lose responses.
CALL_TIMEOUT = timedelta(seconds=1)
# A configuration of 1 MB takes 1.6 s on an otherwise idle link of 5 Mbit/s, so a response that has
# begun is abandoned only if no more of it arrives for this time.
STALL_TIMEOUT = timedelta(seconds=1)
RATE_LIMIT_DELAY = timedelta(milliseconds=500)
_STORE_ERA = names.STORE_ERA.lower()
MAX_ERA_DIGITS = 15


class Metadata(msgspec.Struct):
    """Name and revision of an object."""

    name: str
    # Revision of the last change of this object.
    revision: int = 0


class Object(msgspec.Struct):
    """An object of the store."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class ObjectClient:
    """Client of the store's HTTP API; a call blocks its greenlet only.

    :ivar era: era of the store; a response of an earlier one counts as none
    """

    def __init__(self, *, pool: ConnectionPool, address: Address):
        self.pool = pool
        self.address = address
        self.era = StoreEra()

    def call(
        self, method: bytes, path: str, body: bytes = b"", timeout: timedelta = CALL_TIMEOUT
    ) -> Result[Response, StoreError]:
        """Make a call; a status other than 200 and 201 is a failure."""
        done: Event = Event()
        headers = [(b"Host", f"{self.address[0]}:{self.address[1]}".encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method, path.encode(), tuple(headers), body)
        self.pool.call(
            self.address,
            data,
            timeout=timeout,
            on_done=done.send,
            stall_timeout=STALL_TIMEOUT,
            guaranteed_bytes=GUARANTEED_STATE_BYTES,
        )
        result: CallResult = done.wait()
        if result.response is None:
            return Failure(Unavailable(str(result.failure.value)))
        if not self.era.observe(_stated_era(result.response), source="store"):
            return Failure(Unavailable("response of an earlier era of the store"))
        return _check_status(path, result.response)


def _stated_era(response: Response) -> int | None:
    """Return the era that a response states, None if it states none or it cannot be read."""
    value = response.header(_STORE_ERA)
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        log_event("store_era_malformed", level="WARNING", value=value[:MAX_ERA_DIGITS])
        return None
    return int(text)


def _check_status(path: str, response: Response) -> Result[Response, StoreError]:
    """Return the response if its status is 200 or 201, else the error for its status."""
    status = response.status
    if status in (200, 201):
        return Success(response)
    if status == 404:
        return Failure(NotFound(path))
    if status == 409:
        return Failure(Changed(_conflicting_revision(response)))
    if status == 410:
        return Failure(HistoryGone(0))
    if status == 429:
        return Failure(RateLimited(RATE_LIMIT_DELAY))
    return Failure(Unavailable(f"unexpected HTTP status {status}"))


def _conflicting_revision(response: Response) -> int:
    """Return the revision of the conflicting object, 0 if the response does not contain it."""
    try:
        return decode_json(response.body, Object).metadata.revision
    except msgspec.MsgspecError as error:
        log_event("conflict_malformed", level="WARNING", error=error)
        return 0
