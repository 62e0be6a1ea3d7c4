"""Connections of the HTTP client, which carry one call at a time."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from eventlet import hubs

from almondshore.core.logs import log_event
from almondshore.http.call import Call, CallFailure, CallResult, ResponseMatch
from almondshore.http.messages import Response
from almondshore.http.parsing import STATUS_TOO_LARGE, ParseError, ResponseParser
from almondshore.http.stream import EXHAUSTED_ERRNOS, Stream, StreamHandler, connect_stream

if TYPE_CHECKING:
    from almondshore.http.client import ConnectionPool

Address = tuple[str, int]

# Connections are established within a few milliseconds; a host that has lost power never responds.
CONNECT_TIMEOUT = timedelta(milliseconds=400)
# Idle connections are closed before the peer closes them after its own idle timeout.
IDLE_LIMIT = timedelta(seconds=8)
# Subtracted from the timeout that the peer states in a Keep-Alive header.
KEEP_ALIVE_MARGIN = timedelta(seconds=1)
# A call fails after this many responses to other requests on its connection.
MAX_OTHER_RESPONSES = 16


class ClientConnection(StreamHandler):
    """A connection that carries one call at a time.

    :ivar used: whether a response was received on the connection before
    :ivar other_responses: number of received responses to earlier requests, after which the
        connection is not reused
    :ivar held_bytes: memory of the incomplete response, as counted by the pool
    :ivar idle_since: monotonic time at which the connection was returned to the pool
    """

    def __init__(self, *, pool: "ConnectionPool", address: Address, call: Call):
        self.pool = pool
        self.address = address
        self.call: Call | None = call
        self.parser = ResponseParser(head=call.head)
        self.used = False
        self.sent = False
        self.other_responses = 0
        self.held_bytes = 0
        self.idle_since = timedelta()
        self.idle_limit = IDLE_LIMIT
        self.connect_timer = None
        call.connection = self
        stream = connect_stream(address, self)
        if _is_exhausted(stream) and pool.close_longest_idle():
            stream = connect_stream(address, self)
        self.stream: Stream | None = stream if isinstance(stream, Stream) else None
        hub = hubs.get_hub()
        if self.stream is None:
            exhausted = _is_exhausted(stream)
            if exhausted:
                log_event("connect_failed", level="WARNING", error=stream)
            failure = CallFailure.NO_DESCRIPTOR if exhausted else CallFailure.NOT_CONNECTED
            hub.schedule_call_global(0, self._fail, failure)
        else:
            self.connect_timer = hub.schedule_call_global(
                CONNECT_TIMEOUT.total_seconds(), self._connect_timed_out
            )

    def start(self, call: Call) -> None:
        """Send a call on this connection, which must be idle."""
        self.call = call
        call.connection = self
        self.parser.head = call.head
        self._send()

    def on_connected(self) -> None:
        """Send the call for which the connection was opened."""
        self._stop_connect_timer()
        if self.call is not None:
            self._send()

    def on_data(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no call is waiting for a response."""
        if self.call is None:
            self.abandon()
            return
        self._extend_timeout(self.call)
        try:
            self.parser.feed(data)
        except ParseError as error:
            if not self._take_response():
                too_large = error.status == STATUS_TOO_LARGE
                self._fail(CallFailure.TOO_LARGE if too_large else CallFailure.MALFORMED)
            return
        if self._take_response() or self.call is None:
            return
        if self.other_responses > MAX_OTHER_RESPONSES:
            self._fail(CallFailure.MALFORMED)
            return
        self._count_held(self.parser.held_bytes())
        if not self.pool.memory.allows(self.held_bytes, guaranteed=self.call.guaranteed_bytes):
            log_event(
                "response_refused",
                level="WARNING",
                reason="memory",
                peer=f"{self.address[0]}:{self.address[1]}",
                received=self.held_bytes,
                held=self.pool.memory.held_bytes,
            )
            self._fail(CallFailure.TOO_LARGE)

    def on_end(self, *, clean: bool) -> None:
        """Complete a response that ends with the connection, or fail the call."""
        self._stop_connect_timer()
        self._count_held(0)
        self.pool.remove_idle(self)
        if self.call is None or (self.parser.end(clean=clean) and self._take_response()):
            self.parser.discard()
            return
        self.parser.discard()
        if not self.sent:
            self._fail(CallFailure.NOT_CONNECTED)
        elif self.parser.started:
            self._fail(CallFailure.TRUNCATED)
        else:
            self._fail(CallFailure.CLOSED)

    def abandon(self) -> None:
        """Close the connection without delivering a result."""
        self._stop_connect_timer()
        self._count_held(0)
        self.parser.discard()
        self.call = None
        self.pool.remove_idle(self)
        if self.stream is not None:
            self.stream.close()

    def time_out(self, call: Call) -> None:
        """Fail the call if it is still in progress on this connection."""
        if self.call is call:
            self._fail(CallFailure.TIMED_OUT)

    def _send(self) -> None:
        self.sent = True
        self.stream.write(self.call.data, self.call.body)

    def _extend_timeout(self, call: Call) -> None:
        """Restart the timeout of a call whose response is arriving, up to the call's end."""
        if call.stall_timeout is not None:
            call.set_timeout(min(call.stall_timeout, call.ends_at - self.pool.clock.monotonic()))

    def _count_held(self, held_bytes: int) -> None:
        """Record the memory of the incomplete response."""
        self.pool.memory.resize(self.held_bytes, held_bytes)
        self.held_bytes = held_bytes

    def _take_response(self) -> bool:
        """Deliver the first received response that belongs to the call.

        Responses to earlier requests on this connection are discarded.

        :return: whether a response was delivered
        """
        call = self.call
        while self.parser.complete:
            response = self.parser.complete.popleft()
            match = call.match(response)
            if match is ResponseMatch.OTHER:
                self.other_responses += 1
                continue
            reusable = (
                response.keep_alive
                and match is ResponseMatch.OWN
                and not self.other_responses
                and not call.head
                and not self.parser.started
                and not self.parser.complete
                and not self.stream.unsent
                and not self.stream.closed
            )
            self.call = None
            self._count_held(0)
            result = CallResult(response, None, True, self.used, match is ResponseMatch.OWN)
            self.used = True
            if reusable:
                self._return_to_pool(response)
            else:
                self.abandon()
            call.finish(result)
            return True
        return False

    def _return_to_pool(self, response: Response) -> None:
        self.idle_limit = IDLE_LIMIT
        keep_alive_header = response.header(b"keep-alive")
        if keep_alive_header is not None:
            limit = _keep_alive_timeout(keep_alive_header)
            if limit is not None:
                self.idle_limit = min(IDLE_LIMIT, max(timedelta(), limit - KEEP_ALIVE_MARGIN))
        self.idle_since = self.pool.clock.monotonic()
        self.pool.release(self)

    def _connect_timed_out(self) -> None:
        if self.stream is not None and self.stream.connecting:
            self._fail(CallFailure.NOT_CONNECTED)

    def _stop_connect_timer(self) -> None:
        if self.connect_timer is not None:
            self.connect_timer.cancel()
            self.connect_timer = None

    def _fail(self, failure: CallFailure) -> None:
        call = self.call
        sent, reused = self.sent, self.used
        self.abandon()
        if call is not None:
            call.finish(CallResult(None, failure, sent, reused))


class ConnectionCheck(StreamHandler):
    """Opens a connection and closes it, to find out whether the peer refuses connections.

    :param on_result: called once with whether the connection was refused; a peer that does not
        respond in time has not refused it
    """

    def __init__(self, *, address: Address, on_result: Callable[[bool], None]):
        self.on_result = on_result
        hub = hubs.get_hub()
        self.timer = hub.schedule_call_global(
            CONNECT_TIMEOUT.total_seconds(), self._end, refused=False
        )
        stream = connect_stream(address, self)
        self.stream: Stream | None = stream if isinstance(stream, Stream) else None
        if self.stream is None:
            hub.schedule_call_global(0, self._end, refused=not _is_exhausted(stream))

    def on_connected(self) -> None:
        """Close the connection, which was not refused."""
        self._end(refused=False)

    def on_data(self, data: bytes) -> None:
        """Do nothing: the connection is closed as soon as it is established."""

    def on_end(self, *, clean: bool) -> None:
        """Handle the failure of the connection."""
        self._end(refused=True)

    def _end(self, *, refused: bool) -> None:
        self.timer.cancel()
        if self.stream is not None:
            self.stream.close()
        self.on_result(refused)


def _is_exhausted(stream: Stream | OSError) -> bool:
    """Return whether a connection failed because the process has no descriptor for it."""
    return isinstance(stream, OSError) and stream.errno in EXHAUSTED_ERRNOS


def _keep_alive_timeout(value: bytes) -> timedelta | None:
    """Return the timeout in a Keep-Alive header, or None if it is absent or malformed."""
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit() and len(number) < 9:
            return timedelta(seconds=int(number))
    return None
