"""HTTP/1.1 server that handles pipelined requests concurrently and responds in order."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.buffering import MemoryBudget
from almondshore.http.messages import (
    Request,
    Response,
    encode_response_head,
    response_body,
)
from almondshore.http.parsing import ParseError, RequestLimits, RequestParser
from almondshore.http.stream import (
    EXHAUSTED_ERRNOS,
    READ,
    Stream,
    StreamHandler,
    configure_socket,
    socket,
    watch,
)

LISTEN_BACKLOG = 1024
# Requests handled concurrently per connection; further ones stay in the kernel's buffer.
MAX_PIPELINED = 32
# While more than this is buffered because the client does not read, no further request of its
# connection is handled. The smallest hosts have only 128 MB of memory.
MAX_UNREAD_BYTES = 256 * 1024
SWEEP_INTERVAL_S = 0.5
# After the last response, the server waits this long for the peer to close the connection:
# closing a socket with unread bytes resets the connection, and the peer may lose the response.
LINGER_TIMEOUT = timedelta(seconds=1)
# A client may be sending a request on a connection that was opened or used within this time; it
# would cross the end of the connection.
REQUEST_UNDER_WAY = timedelta(milliseconds=100)
# After a failure for want of descriptors, the server accepts no connection for this long.
ACCEPT_PAUSE_S = 0.1
# Idle connections that are closed then, to make room for those that wait.
CLOSED_FOR_ROOM = 16
STATUS_UNAVAILABLE = 503
# When a client may send a message again that could not be held: most are answered within a second.
RETRY_AFTER_S = b"1"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerLimits(NamedTuple):
    """Limits for each connection.

    :ivar header_timeout: longest time from the first byte of a request to the end of its headers
    :ivar idle_timeout: longest time without a request, and for the body of a request
    """

    request: RequestLimits
    header_timeout: timedelta
    idle_timeout: timedelta


class Exchange:
    """A request and its response.

    :ivar on_cancel: called once if the client disconnects before the response is set
    :ivar received_at: monotonic time at which the request was received completely
    """

    __slots__ = ("request", "received_at", "on_cancel", "connection", "response", "cancelled")

    def __init__(self, *, request: Request, received_at: timedelta, connection: "ServerConnection"):
        self.request = request
        self.received_at = received_at
        self.connection = connection
        self.on_cancel: Callable[[], None] | None = None
        self.response: Response | None = None
        self.cancelled = False

    def held_bytes(self) -> int:
        """Return the memory that the bodies of the request and the response take."""
        return len(self.request.body) + (len(self.response.body) if self.response else 0)

    def respond(self, response: Response) -> None:
        """Send the response; has no effect after an earlier response or a cancellation."""
        if self.response is not None or self.cancelled:
            return
        self.response = response
        self.on_cancel = None
        self.connection.flush()


class ExchangeHandler(ABC):
    """Handles the requests of a server."""

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Start handling a request without blocking; the response may be sent later."""


class ServerConnection(StreamHandler):
    """A connection from a client.

    :ivar pending: exchanges whose response is not sent yet, in the order of their requests
    :ivar last_active_at: monotonic time of the last response or of the first byte of a request
    :ivar last_read_at: monotonic time of the last read
    :ivar parse_error: error to respond with after the requests before it
    :ivar held_bytes: memory of the requests and unsent responses, as counted by the server
    """

    def __init__(self, *, server: "HttpServer", sock: socket.socket, peer: str):
        self.server = server
        self.peer = peer
        self.parser = RequestParser(limits=server.limits().request)
        self.pending: deque[Exchange] = deque()
        self.last_active_at = self.last_read_at = server.clock.monotonic()
        self.closing = False
        self.parse_error: ParseError | None = None
        self.held_bytes = 0
        self.stream = Stream(sock=sock, handler=self)

    def on_data(self, data: bytes) -> None:
        """Parse requests and pass them to the handler."""
        if self.closing:
            return
        now = self.last_read_at = self.server.clock.monotonic()
        if not self.parser.is_partial():
            self.last_active_at = now
        try:
            self.parser.feed(data)
        except ParseError as error:
            self.parse_error = error
        self._count_held()
        if self.parser.is_partial() and self.parse_error is None:
            self._check_memory()
        idle = not self.pending and not self.parser.complete and self.parse_error is None
        if self.parser.expects_continue and idle:
            self.parser.expects_continue = False
            self.stream.write(CONTINUE_RESPONSE)
        self._dispatch_requests(now)

    def on_end(self, *, clean: bool) -> None:
        """Cancel the pending requests of a client that disconnected."""
        self._release_held()
        self.server.connections.discard(self)
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            exchange.cancelled = True
            if exchange.response is None and exchange.on_cancel is not None:
                exchange.on_cancel()

    def on_drained(self) -> None:
        """Handle requests that were held back, or shut down sending after the last response."""
        self._count_held()
        if self.closing and not self.pending:
            self.stream.finish_writing()
        elif not self.closing:
            self._resume()

    def flush(self) -> None:
        """Send the responses that are ready, in the order of their requests."""
        responded = False
        while self.pending and self.pending[0].response is not None:
            exchange = self.pending.popleft()
            last = not exchange.request.keep_alive or not exchange.response.keep_alive
            last = last or (self.server.draining and not self.pending)
            is_head = exchange.request.method == b"HEAD"
            self.stream.write(
                encode_response_head(exchange.response, close=last),
                response_body(exchange.response, head=is_head),
            )
            responded = True
            if last:
                self._cancel_pending()
                break
        self._count_held()
        if not responded:
            return
        self.last_active_at = self.server.clock.monotonic()
        if self.closing:
            if not self.stream.unsent:
                self.stream.finish_writing()
        else:
            self._resume()

    def sweep(self, now: timedelta, limits: ServerLimits) -> None:
        """Close the connection if it is idle for too long or sends a request too slowly."""
        if self.pending:
            return
        idle = now - self.last_active_at
        if self.closing:
            if idle > LINGER_TIMEOUT:
                self._close()
        elif self.parser.is_partial():
            part, timeout = "headers", limits.header_timeout
            if not self.parser.in_headers:
                part, timeout = "body", limits.header_timeout + limits.idle_timeout
            if idle > timeout:
                reason = f"the request {part} was not received within {timeout.total_seconds():g} s"
                self._reject(ParseError(reason, status=408), now)
        elif idle > limits.idle_timeout:
            self._close()

    def close_idle(self, now: timedelta) -> None:
        """Close the connection if no request is in progress on it, nor likely to be under way."""
        if now - self.last_active_at >= REQUEST_UNDER_WAY and self._is_idle():
            self.stream.read_pending()
            if self._is_idle():
                self._close()

    def _is_idle(self) -> bool:
        return not self.pending and not self.parser.is_partial() and not self.stream.unsent

    def _dispatch_requests(self, now: timedelta) -> None:
        while self.parser.complete and not self.closing:
            if self._is_backlogged():
                self.stream.pause_reading()
                return
            request = self.parser.complete.popleft()
            exchange = Exchange(request=request, received_at=now, connection=self)
            self.pending.append(exchange)
            self.server.handler.handle(exchange)
        if self.parse_error is not None and not self.closing:
            error, self.parse_error = self.parse_error, None
            self._reject(error, now)

    def _is_backlogged(self) -> bool:
        return len(self.pending) >= MAX_PIPELINED or len(self.stream.unsent) > MAX_UNREAD_BYTES

    def _resume(self) -> None:
        """Resume reading, and handle the requests that were held back."""
        if self.stream.paused and not self._is_backlogged():
            self.stream.resume_reading()
            # A held-back request counts as received when it was read, not when its handling starts.
            self._dispatch_requests(self.last_read_at)

    def _reject(self, error: ParseError, now: timedelta) -> None:
        """Respond to a malformed request after the requests before it, and close."""
        log_event("request_rejected", peer=self.peer, status=error.status, reason=error)
        request = Request(b"GET", b"", (), b"", keep_alive=False)
        exchange = Exchange(request=request, received_at=now, connection=self)
        self.pending.append(exchange)
        headers = ((b"Retry-After", RETRY_AFTER_S),) if error.status == STATUS_UNAVAILABLE else ()
        exchange.respond(Response(error.status, headers))

    def _cancel_pending(self) -> None:
        """Cancel the requests after the last response; they are treated as never received."""
        self.closing = True
        cancelled, self.pending = self.pending, deque()
        for exchange in cancelled:
            exchange.cancelled = True
            if exchange.response is None and exchange.on_cancel is not None:
                exchange.on_cancel()

    def _count_held(self) -> None:
        """Record the memory that the messages of this connection take."""
        if self.stream.closed:
            return
        held = self.parser.held_bytes() + len(self.stream.unsent)
        for exchange in self.pending:
            held += exchange.held_bytes()
        for request in self.parser.complete:
            held += len(request.body)
        self.server.memory.resize(self.held_bytes, held)
        self.held_bytes = held

    def _release_held(self) -> None:
        self.parser.discard()
        self.server.memory.resize(self.held_bytes, 0)
        self.held_bytes = 0

    def _check_memory(self) -> None:
        """Refuse a request that is being received if too much memory is held."""
        memory = self.server.memory
        if memory.allows(self.held_bytes, missing=self.parser.missing_bytes()):
            return
        self.parse_error = ParseError(
            f"{memory.held_bytes} bytes are held for all requests, {self.held_bytes} for this one",
            status=STATUS_UNAVAILABLE,
        )

    def _close(self) -> None:
        self._release_held()
        self.server.connections.discard(self)
        self.stream.close()


class HttpServer:
    """Accepts connections on one address.

    :ivar draining: whether each connection closes after the responses to its pending requests
    :ivar listening: whether the listener has not been closed
    :param memory: counts the memory of the connections; by default a budget of the server's own
    """

    def __init__(
        self,
        *,
        clock: Clock,
        address: tuple[str, int],
        handler: ExchangeHandler,
        limits: Callable[[], ServerLimits],
        memory: MemoryBudget | None = None,
    ):
        self.clock = clock
        self.memory = memory if memory is not None else MemoryBudget()
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.draining = False
        self.hub = hubs.get_hub()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        try:
            self.sock.bind(address)
            self.sock.listen(LISTEN_BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.listening = True
        self.listener = watch(READ, self.sock.fileno(), self._accept)
        self.timer = self.hub.schedule_call_global(SWEEP_INTERVAL_S, self._sweep)

    def address(self) -> tuple[str, int]:
        """Return the address on which the server listens, with the actual port."""
        return self.sock.getsockname()

    def drain(self) -> None:
        """Close each connection after the responses to its pending requests."""
        self.draining = True

    def close_idle(self) -> None:
        """Close connections on which no request is in progress."""
        now = self.clock.monotonic()
        for connection in list(self.connections):
            connection.close_idle(now)

    def has_unsent(self) -> bool:
        """Return whether any response has not been passed to the kernel completely."""
        return any(connection.stream.unsent for connection in self.connections)

    def stop_accepting(self) -> None:
        """Accept the connections that wait to be accepted, and no more."""
        if self.listening:
            self._accept(self.sock.fileno())
        self.close_listener()

    def close_listener(self) -> None:
        """Stop accepting connections; those that wait to be accepted are reset."""
        self._unwatch()
        self.listening = False
        self.sock.close()

    def close(self) -> None:
        """Stop accepting connections and close all open ones."""
        self.timer.cancel()
        self.close_listener()
        for connection in list(self.connections):
            connection._close()

    def _accept(self, _fileno: int) -> None:
        while True:
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log_event("accept_failed", level="ERROR", error=error)
                if error.errno in EXHAUSTED_ERRNOS:
                    self._make_room()
                return
            try:
                configure_socket(sock)
                connection = ServerConnection(server=self, sock=sock, peer=f"{peer[0]}:{peer[1]}")
            except Exception as error:
                # Usually the client reset the connection before it was accepted. Any error that
                # left this method would make the event loop drop the listener.
                log_event("accept_failed", level="WARNING", error=repr(error))
                sock.close()
                continue
            self.connections.add(connection)

    def _make_room(self) -> None:
        """Close the connections that have been idle longest, and accept again after a pause.

        The listener stays readable meanwhile, and watching it would use up the processor.
        """
        now = self.clock.monotonic()
        by_idle_time = sorted(self.connections, key=lambda item: item.last_active_at)
        for connection in by_idle_time[:CLOSED_FOR_ROOM]:
            connection.close_idle(now)
        self._unwatch()
        self.hub.schedule_call_global(ACCEPT_PAUSE_S, self._watch)

    def _watch(self) -> None:
        if self.listening and self.listener is None:
            self.listener = watch(READ, self.sock.fileno(), self._accept)

    def _unwatch(self) -> None:
        if self.listener is not None:
            self.hub.remove(self.listener)
            self.listener = None

    def _sweep(self) -> None:
        self.timer = self.hub.schedule_call_global(SWEEP_INTERVAL_S, self._sweep)
        now = self.clock.monotonic()
        limits = self.limits()
        for connection in list(self.connections):
            connection.sweep(now, limits)
