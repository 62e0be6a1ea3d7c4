"""Connections of the HTTP server: requests, their responses and the memory held for a client."""

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from almondshore.core.logs import log_event
from almondshore.http.buffering import MemoryHolder
from almondshore.http.exchange import Exchange, ServerLimits
from almondshore.http.messages import (
    Request,
    Response,
    encode_response_head,
    response_body,
)
from almondshore.http.parsing import ParseError, RequestParser
from almondshore.http.stream import Stream, StreamHandler, socket

if TYPE_CHECKING:
    from almondshore.http.server import HttpServer

# Requests handled concurrently per connection; further ones stay in the kernel's buffer.
MAX_PIPELINED = 32
# While more than this is buffered because the client does not read, no further request of its
# connection is handled. The smallest hosts have only 128 MB of memory.
MAX_UNREAD_BYTES = 256 * 1024
# While the requests in progress on a connection take more than this, no further one is handled.
MAX_PENDING_BYTES = 512 * 1024
# Received bytes are parsed in parts of this size, so that few requests are parsed ahead: 64 KB may
# hold 3,600 requests of 18 bytes, which take some 600 bytes each once they are parsed.
PARSE_BYTES = 8 * 1024
# No further part is parsed while complete requests that are not handled yet take more than this.
MAX_PARSED_BYTES = 128 * 1024
# After the last response, the server waits this long for the peer to close the connection:
# closing a socket with unread bytes resets the connection, and the peer may lose the response.
LINGER_TIMEOUT = timedelta(seconds=1)
# A client may be sending a request on a connection that was opened or used within this time; it
# would cross the end of the connection.
REQUEST_UNDER_WAY = timedelta(milliseconds=100)
# The same for the first request of a connection, which its client has opened to send one: on a busy
# machine 100 ms have passed between the two.
FIRST_REQUEST_UNDER_WAY = timedelta(milliseconds=500)
STATUS_UNAVAILABLE = 503
# When a client may send a message again that could not be held: most are answered within a second.
RETRY_AFTER_S = b"1"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(StreamHandler, MemoryHolder):
    """A connection from a client.

    :ivar pending: exchanges whose response is not sent yet, in the order of their requests
    :ivar pending_bytes: memory of these exchanges, as of the last count
    :ivar unparsed: received bytes that are parsed once earlier requests have been handled
    :ivar responded: whether a response was sent
    :ivar last_active_at: monotonic time of the last response or of the first byte of a request
    :ivar last_read_at: monotonic time of the last read
    :ivar progress_at: monotonic time at which the client last sent or read, to within a sweep
    :ivar parse_error: error to respond with after the requests before it
    :ivar held_bytes: memory of the requests and unsent responses, as counted by the server
    """

    def __init__(self, *, server: "HttpServer", sock: socket.socket, peer: str):
        self.server = server
        self.peer = peer
        self.parser = RequestParser(limits=server.limits().request)
        self.pending: deque[Exchange] = deque()
        self.pending_bytes = 0
        self.unparsed = b""
        self.scheduled = self.dispatching = self.responded = False
        self.last_active_at = self.last_read_at = self.progress_at = server.clock.monotonic()
        self.swept_unsent = 0
        self.closing = False
        self.parse_error: ParseError | None = None
        self.held_bytes = 0
        self.stream = Stream(sock=sock, handler=self)

    def on_data(self, data: bytes) -> None:
        """Parse requests and pass them to the handler."""
        if self.closing:
            return
        now = self.last_read_at = self.progress_at = self.server.clock.monotonic()
        if not self.parser.is_partial():
            self.last_active_at = now
        if not self.unparsed and (
            len(data) <= PARSE_BYTES or len(data) <= self.parser.missing_bytes()
        ):
            self._parse(data)
        else:
            self.unparsed += data
            self._parse_ahead()
        self._count_held()
        self.server.memory.relieve(now)
        if self.closing or self.stream.closed:
            return
        if self.parser.is_partial() and self.parse_error is None:
            self._check_memory(now)
        idle = not self.pending and not self.parser.complete and self.parse_error is None
        if self.parser.expects_continue and idle:
            self.parser.expects_continue = False
            self.stream.write(CONTINUE_RESPONSE)
        self._dispatch_requests(now)
        if self.unparsed and not self.stream.paused and not self.closing:
            self.stream.pause_reading()
            self._schedule_resume()

    def on_end(self, *, clean: bool) -> None:
        """Cancel the pending requests of a client that disconnected."""
        self._release_held()
        self.server.forget(self)
        self._cancel_exchanges()

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
        self.responded = True
        self.last_active_at = self.server.clock.monotonic()
        if self.closing:
            if not self.stream.unsent:
                self.stream.finish_writing()
        else:
            self._resume()

    def sweep(self, now: timedelta, limits: ServerLimits) -> None:
        """Close the connection if it is idle for too long or sends a request too slowly."""
        if len(self.stream.unsent) != self.swept_unsent:
            self.swept_unsent = len(self.stream.unsent)
            self.progress_at = now
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

    def close_idle(
        self, now: timedelta, *, first_request: timedelta = FIRST_REQUEST_UNDER_WAY
    ) -> None:
        """Close the connection if no request is in progress on it, nor likely to be under way.

        :param first_request: how long the first request may be under way
        """
        under_way = REQUEST_UNDER_WAY if self.responded else first_request
        if now - self.last_active_at >= under_way and self._is_idle():
            self.stream.read_pending()
            if self._is_idle():
                self._close()

    def _is_idle(self) -> bool:
        waiting = self.pending or self.parser.complete or self.unparsed
        return not waiting and not self.parser.is_partial() and not self.stream.unsent

    def stalled_for(self, now: timedelta) -> timedelta:
        """Return how long the client has neither sent nor read what the connection waits for."""
        if self.parser.is_partial() or self.stream.unsent:
            return now - self.progress_at
        return timedelta()

    def evict(self, now: timedelta) -> None:
        """Refuse the request that is being received, or close the connection.

        A request in progress may have run, so it is not answered.
        """
        log_event(
            "connection_evicted",
            level="WARNING",
            peer=self.peer,
            held=self.held_bytes,
            requests=len(self.pending),
            process_held=self.server.memory.held_bytes,
        )
        if self.pending or self.stream.unsent or self.closing:
            self._close()
            self._cancel_exchanges()
            return
        self.parse_error = None
        self.parser.complete.clear()
        self.parser.complete_bytes = 0
        self._reject(self._memory_error(), now)

    def make_room(self, now: timedelta) -> bool:
        """Close the connection for the sake of a new one, unless a request is in progress on it.

        :return: whether it was closed
        """
        if self.pending or self.stream.unsent or now - self.last_active_at < REQUEST_UNDER_WAY:
            return False
        if self.parser.is_partial():
            # A refusal that the kernel cannot deliver before the reset is no loss to the client.
            self._reject(ParseError("too many connections", status=STATUS_UNAVAILABLE), now)
            self._close()
            return True
        self.close_idle(now, first_request=REQUEST_UNDER_WAY)
        return self.stream.closed

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            self.parser.feed(data)
        except ParseError as error:
            self.parse_error = error
            self.unparsed = b""

    def _parse_ahead(self) -> None:
        """Parse received bytes until enough requests are complete."""
        data, position = memoryview(self.unparsed), 0
        self.unparsed = b""
        while position < len(data) and self.parse_error is None:
            parser = self.parser
            if len(parser.complete) >= MAX_PIPELINED or parser.complete_bytes > MAX_PARSED_BYTES:
                self.unparsed = bytes(data[position:])
                return
            end = position + max(PARSE_BYTES, self.parser.missing_bytes())
            self._parse(data[position:end])
            position = end

    def _schedule_resume(self) -> None:
        """Go on in another turn of the event loop, so that other clients are served meanwhile."""
        if not self.scheduled:
            self.scheduled = True
            self.server.hub.schedule_call_global(0, self._resume_scheduled)

    def _resume_scheduled(self) -> None:
        self.scheduled = False
        if not self.stream.closed and not self.closing:
            self.stream._deliver(self._resume)

    def _dispatch_requests(self, now: timedelta) -> None:
        """Handle the complete requests, unless too much is in progress on the connection."""
        if self.dispatching:
            return
        self.dispatching = True
        try:
            self._handle_complete(now)
        finally:
            self.dispatching = False

    def _handle_complete(self, now: timedelta) -> None:
        while self.parser.complete and not self.closing:
            if self._is_backlogged():
                self.stream.pause_reading()
                return
            request = self.parser.take()
            exchange = Exchange(request=request, received_at=now, connection=self)
            self.pending.append(exchange)
            self.pending_bytes += exchange.held_bytes()
            self.server.handler.handle(exchange)
        if self.parse_error is not None and not self.closing:
            error, self.parse_error = self.parse_error, None
            self._reject(error, now)

    def _is_backlogged(self) -> bool:
        return (
            len(self.pending) >= MAX_PIPELINED
            or (bool(self.pending) and self.pending_bytes > MAX_PENDING_BYTES)
            or self.stream.unsent.held_bytes > MAX_UNREAD_BYTES
        )

    def _resume(self) -> None:
        """Resume reading, and handle the requests that were held back."""
        if not self.stream.paused or self.scheduled or self.dispatching or self._is_backlogged():
            return
        if self.unparsed and not self.parser.complete:
            self._parse_ahead()
        if not self.unparsed:
            self.stream.resume_reading()
        # A held-back request counts as received when it was read, not when its handling starts.
        self._dispatch_requests(self.last_read_at)
        self._count_held()
        if self.unparsed and not self.closing and not self._is_backlogged():
            self._schedule_resume()

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
        self.parser.discard()
        self.unparsed = b""
        self._cancel_exchanges()

    def _cancel_exchanges(self) -> None:
        cancelled, self.pending = self.pending, deque()
        self.pending_bytes = 0
        for exchange in cancelled:
            exchange.cancelled = True
            # The callback usually refers to the exchange, which would keep its body in memory.
            on_cancel, exchange.on_cancel = exchange.on_cancel, None
            if exchange.response is None and on_cancel is not None:
                on_cancel()

    def _count_held(self) -> None:
        """Record the memory that the messages of this connection take."""
        if self.stream.closed:
            return
        held = 0
        for exchange in self.pending:
            held += exchange.held_bytes()
        self.pending_bytes = held
        held += self.parser.held_bytes() + self.stream.unsent.held_bytes + len(self.unparsed)
        if held != self.held_bytes:
            self.server.memory.resize(self.held_bytes, held)
            self.held_bytes = held

    def _release_held(self) -> None:
        self.parser.discard()
        self.unparsed = b""
        self.server.memory.resize(self.held_bytes, 0)
        self.held_bytes = 0

    def _check_memory(self, now: timedelta) -> None:
        """Refuse a request that is being received if too much memory is held."""
        memory = self.server.memory
        missing = self.parser.missing_bytes()
        if memory.fits(self.held_bytes, missing=missing):
            return
        memory.close_stalled(now, missing=missing, requester=self)
        if not memory.allows(self.held_bytes, missing=missing):
            self.parse_error = self._memory_error()

    def _memory_error(self) -> ParseError:
        return ParseError(
            f"{self.server.memory.held_bytes} bytes are held for all requests, {self.held_bytes} "
            "for this one",
            status=STATUS_UNAVAILABLE,
        )

    def _close(self) -> None:
        self._release_held()
        self.server.forget(self)
        self.stream.close()
