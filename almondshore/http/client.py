"""HTTP/1.1 client with a pool of keep-alive connections."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.buffering import GUARANTEED_BYTES, MemoryBudget
from almondshore.http.messages import Response
from almondshore.http.parsing import STATUS_TOO_LARGE, ParseError, ResponseParser
from almondshore.http.stream import EXHAUSTED_ERRNOS, Stream, StreamHandler, connect_stream

Address = tuple[str, int]

# Connections are established within a few milliseconds; a host that has lost power never responds.
CONNECT_TIMEOUT = timedelta(milliseconds=400)
# Idle connections are closed before the peer closes them after its own idle timeout.
IDLE_LIMIT = timedelta(seconds=8)
# Subtracted from the timeout that the peer states in a Keep-Alive header.
KEEP_ALIVE_MARGIN = timedelta(seconds=1)
MAX_IDLE_PER_ADDRESS = 64
# A call with a stall timeout ends after this many stall timeouts, even if bytes keep arriving.
MAX_STALL_FACTOR = 60
# A call fails after this many responses to other requests on its connection.
MAX_OTHER_RESPONSES = 16


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


class ConnectionPool:
    """Keeps idle connections to all peers and reuses the most recently used one first.

    :ivar opened: number of connections opened so far
    :param memory: counts the incomplete responses; by default a budget of the pool's own
    """

    def __init__(self, *, clock: Clock, memory: MemoryBudget | None = None):
        self.clock = clock
        self.memory = memory if memory is not None else MemoryBudget()
        self.idle: dict[Address, deque[ClientConnection]] = {}
        self.opened = 0

    def call(
        self,
        address: Address,
        data: bytes,
        *,
        timeout: timedelta,
        on_done: Callable[[CallResult], None],
        match: Callable[[Response], ResponseMatch] = lambda _response: ResponseMatch.OWN,
        max_idle_time: timedelta | None = None,
        head: bool = False,
        stall_timeout: timedelta | None = None,
        body: bytes = b"",
        guaranteed_bytes: int = GUARANTEED_BYTES,
    ) -> Call:
        """Send a request and pass its result to ``on_done``, never before this method returns.

        :param data: encoded request, or its head
        :param timeout: time from now after which the call fails
        :param match: returns whether a response belongs to the request
        :param max_idle_time: longest idle time of a connection to reuse; zero opens a new one
        :param head: whether the request is a HEAD request
        :param stall_timeout: longest time between two reads of a response, replacing ``timeout``
            once the response has begun; for long responses over a slow link
        :param body: body to send after ``data``
        :param guaranteed_bytes: memory that the response may take in any case
        """
        ends_at = None
        if stall_timeout is not None:
            ends_at = self.clock.monotonic() + timeout + stall_timeout * MAX_STALL_FACTOR
        call = Call(
            data=data,
            body=body,
            match=match,
            on_done=on_done,
            head=head,
            guaranteed_bytes=guaranteed_bytes,
            stall_timeout=stall_timeout,
            ends_at=ends_at,
        )
        connection = self._take_idle(address, max_idle_time)
        if connection is None:
            self.opened += 1
            connection = ClientConnection(pool=self, address=address, call=call)
        else:
            connection.start(call)
        call.set_timeout(timeout)
        return call

    def check(self, address: Address, on_result: Callable[[bool], None]) -> None:
        """Check whether a peer refuses connections.

        :param on_result: called once with the answer, never before this method returns
        """
        self.opened += 1
        ConnectionCheck(address=address, on_result=on_result)

    def release(self, connection: ClientConnection) -> None:
        """Keep an idle connection for reuse; close the one idle longest if there are too many."""
        idle = self.idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle[0].abandon()

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove a connection from those kept for reuse."""
        idle = self.idle.get(connection.address)
        if idle is None:
            return
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.address, None)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; returns whether there was one."""
        longest = min(
            (idle[0] for idle in self.idle.values()), key=lambda item: item.idle_since, default=None
        )
        if longest is None:
            return False
        longest.abandon()
        return True

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.abandon()

    def expire(self) -> None:
        """Close connections that exceeded their idle limit; must be called periodically."""
        now = self.clock.monotonic()
        for idle in list(self.idle.values()):
            for connection in list(idle):
                if now - connection.idle_since > connection.idle_limit:
                    connection.abandon()

    def _take_idle(
        self, address: Address, max_idle_time: timedelta | None
    ) -> ClientConnection | None:
        now = self.clock.monotonic()
        while idle := self.idle.get(address):
            connection = idle[-1]
            age = now - connection.idle_since
            if max_idle_time is not None and age >= max_idle_time:
                return None
            if age > connection.idle_limit or connection.stream.closed:
                connection.abandon()
                continue
            idle.pop()
            if not idle:
                del self.idle[address]
            return connection
        return None


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
