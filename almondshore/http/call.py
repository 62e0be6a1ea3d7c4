"""Calls of the HTTP client and their results."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from eventlet import hubs

from almondshore.http.messages import Response

if TYPE_CHECKING:
    from almondshore.http.client_connection import ClientConnection


class CallFailure(Enum):
    """Why no response was received for a call."""

    NOT_CONNECTED = "not-connected"
    NO_DESCRIPTOR = "no-descriptor"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TRUNCATED = "truncated"
    TOO_LARGE = "too-large"
    TIMED_OUT = "timed-out"


class ResponseMatch(Enum):
    """Whether a response belongs to the request that waits on its connection.

    ``UNIDENTIFIED``: the response carries no id. It is taken as the response to the request, and
    the connection is not reused: a copy of it could not be told from the next response.
    """

    OWN = "own"
    OTHER = "other"
    UNIDENTIFIED = "unidentified"


class CallResult(NamedTuple):
    """The response to a call, or the reason for its failure.

    :ivar response: the complete response, or None if the call failed
    :ivar failure: None if there is a response
    :ivar sent: whether any byte of the request may have reached the peer
    :ivar reused: whether the connection had already carried an earlier request
    :ivar identified: whether the response carries the id of the request
    """

    response: Response | None
    failure: CallFailure | None
    sent: bool
    reused: bool
    identified: bool = True


class Call:
    """A request in progress on a connection.

    A call ends when its result is passed to ``on_done`` or when it is cancelled.

    :ivar ends_at: monotonic time at which a call with a stall timeout fails in any case
    """

    __slots__ = (
        "data",
        "body",
        "guaranteed_bytes",
        "match",
        "on_done",
        "head",
        "stall_timeout",
        "ends_at",
        "connection",
        "timer",
        "done",
    )

    def __init__(
        self,
        *,
        data: bytes,
        body: bytes,
        match: Callable[[Response], ResponseMatch],
        on_done: Callable[[CallResult], None],
        head: bool,
        guaranteed_bytes: int,
        stall_timeout: timedelta | None,
        ends_at: timedelta | None,
    ):
        self.data = data
        self.body = body
        self.guaranteed_bytes = guaranteed_bytes
        self.match = match
        self.on_done = on_done
        self.head = head
        self.stall_timeout = stall_timeout
        self.ends_at = ends_at
        self.connection: ClientConnection | None = None
        self.timer = None
        self.done = False

    def set_timeout(self, timeout: timedelta) -> None:
        """Fail the call after ``timeout`` from now; replaces any earlier timeout."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = hubs.get_hub().schedule_call_global(
            max(0.0, timeout.total_seconds()), self.connection.time_out, self
        )

    def is_receiving(self) -> bool:
        """Return whether a response has been received in part."""
        return not self.done and self.connection is not None and self.connection.parser.started

    def cancel(self) -> None:
        """Cancel the call: close its connection and deliver no result."""
        if self.done:
            return
        self._end()
        if self.connection is not None:
            self.connection.abandon()

    def finish(self, result: CallResult) -> None:
        """Pass the result to ``on_done``; has no effect once the call has ended."""
        if self.done:
            return
        on_done = self.on_done
        self._end()
        on_done(result)

    def _end(self) -> None:
        """Release what the call holds; its callback usually refers to the call."""
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        self.data = self.body = b""
        self.on_done = self.match = None
