"""Non-blocking TCP streams whose events are delivered by eventlet's hub."""

import errno
from abc import ABC, abstractmethod
from collections.abc import Callable

from eventlet import hubs, patcher
from eventlet.hubs.hub import READ, WRITE

from almondshore.core.logs import log_event

socket = patcher.original("socket")

READ_BYTES = 64 * 1024
# A peer that does not read is cut off once this much waits for it.
MAX_WRITE_BUFFER = 128 * 1024 * 1024
# Unacknowledged data is given up after this; links are a few milliseconds long, and a
# lost packet is sent again within 0.2 s to 0.4 s.
USER_TIMEOUT_MS = 1500
# Idle connections are probed, so that a silent partition is noticed within 2 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_RETRY = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))

__all__ = [
    "READ",
    "Stream",
    "StreamHandler",
    "configure_socket",
    "connect_stream",
    "socket",
    "watch",
]


class StreamHandler(ABC):
    """Receives the events of a stream, on the hub; it must not block."""

    @abstractmethod
    def on_data(self, data: bytes) -> None:
        """Take received bytes."""

    @abstractmethod
    def on_end(self, *, clean: bool) -> None:
        """Take the end of the stream, once; clean unless it was reset or timed out."""

    def on_connected(self) -> None:
        """Take note that an outgoing connection is established."""
        return

    def on_drained(self) -> None:
        """Take note that all buffered bytes were handed to the kernel."""
        return


class Stream:
    """A connected, or connecting, TCP socket.

    :ivar unsent: bytes that the kernel has not taken yet
    """

    def __init__(self, *, sock: socket.socket, handler: StreamHandler, connecting: bool = False):
        self.sock = sock
        self.handler = handler
        self.hub = hubs.get_hub()
        self.fileno = sock.fileno()
        self.unsent = bytearray()
        self.closed = False
        self.connecting = connecting
        self.paused = False
        self.reader = None
        self.writer = None
        if connecting:
            self._watch_write()
        else:
            self._watch_read()

    def write(self, data: bytes) -> None:
        """Send bytes, now as far as the kernel takes them and later the rest."""
        if self.closed:
            return
        if self.unsent or self.connecting:
            self.unsent += data
            if len(self.unsent) > MAX_WRITE_BUFFER:
                log_event(
                    "write_buffer_exceeded",
                    level="WARNING",
                    handler=type(self.handler).__name__,
                    unsent=len(self.unsent),
                )
                self._fail("write buffer exceeded")
            return
        try:
            sent = self.sock.send(data)
        except OSError as error:
            if error.errno not in _RETRY:
                # The end is delivered from the hub, so that a caller never sees it reentrantly.
                self.hub.schedule_call_global(0, self._fail, error)
                return
            sent = 0
        if sent < len(data):
            self.unsent += data[sent:]
            self._watch_write()

    def pause_reading(self) -> None:
        """Stop delivering received bytes."""
        self.paused = True
        if self.reader is not None:
            self.hub.remove(self.reader)
            self.reader = None

    def resume_reading(self) -> None:
        """Deliver received bytes again."""
        self.paused = False
        if self.reader is None and not self.closed and not self.connecting:
            self._watch_read()

    def finish_writing(self) -> None:
        """Close the sending side once all bytes are sent."""
        if self.closed:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer is gone already; the end is delivered by the read side.
            return

    def close(self) -> None:
        """Close the socket without delivering its end."""
        if self.closed:
            return
        self.closed = True
        for listener in (self.reader, self.writer):
            if listener is not None:
                self.hub.remove(listener)
        self.reader = self.writer = None
        self.sock.close()

    def _watch_read(self) -> None:
        if self.reader is None and not self.paused:
            self.reader = watch(READ, self.fileno, self._on_readable)

    def _watch_write(self) -> None:
        if self.writer is None:
            self.writer = watch(WRITE, self.fileno, self._on_writable)

    def _unwatch_write(self) -> None:
        if self.writer is not None:
            self.hub.remove(self.writer)
            self.writer = None

    def _on_readable(self, _fileno: int) -> None:
        if self.closed or self.paused:
            return
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _RETRY:
                self._fail(error)
            return
        if not data:
            self._finish(clean=True)
            return
        self._deliver(self.handler.on_data, data)

    def _on_writable(self, _fileno: int) -> None:
        if self.closed:
            return
        if self.connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(OSError(code, "connect failed"))
                return
            self.connecting = False
            self._watch_read()
            self._deliver(self.handler.on_connected)
            if self.closed:
                return
        self._send_rest()

    def _send_rest(self) -> None:
        try:
            while self.unsent:
                sent = self.sock.send(self.unsent)
                del self.unsent[:sent]
        except OSError as error:
            if error.errno not in _RETRY:
                self._fail(error)
            return
        self._unwatch_write()
        self._deliver(self.handler.on_drained)

    def _fail(self, _reason: object) -> None:
        self._finish(clean=False)

    def _finish(self, *, clean: bool) -> None:
        if self.closed:
            return
        self.close()
        self._deliver(self.handler.on_end, clean=clean)

    def _deliver(self, method, *args, **fields) -> None:
        """Call the handler; an exception in it ends this stream, not the process."""
        try:
            method(*args, **fields)
        except Exception as error:
            log_event(
                "stream_handler_failed",
                level="ERROR",
                handler=type(self.handler).__name__,
                error=f"{type(error).__name__}: {error}",
                place=_place(error),
            )
            if not self.closed:
                self.close()
                self.handler.on_end(clean=False)


def watch(event: str, fileno: int, callback: Callable[[int], None]) -> object:
    """Have the hub call back whenever a descriptor is ready; returns what to remove from it."""
    return hubs.get_hub().add(event, fileno, callback, _ignore, _ignore)


def connect_stream(address: tuple[str, int], handler: StreamHandler) -> Stream | OSError:
    """Start to connect to an address.

    :returns: the stream, or the error if the connection is refused at once
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure_socket(sock)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        return OSError(code, "connect failed")
    return Stream(sock=sock, handler=handler, connecting=True)


def configure_socket(sock: socket.socket) -> None:
    """Make a socket non-blocking, without delay, and let it notice a dead peer."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _ignore(*_args: object) -> None:
    """Serve as the callbacks that the hub needs for greenlets."""


def _place(error: Exception) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return "unknown"
    return f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}"
