"""Non-blocking TCP streams that deliver their events on eventlet's hub."""

import errno
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from eventlet import hubs, patcher
from eventlet.hubs.hub import READ, WRITE

from almondshore.core.logs import log_event
from almondshore.http.buffering import MAX_COPIED_BYTES

socket = patcher.original("socket")

READ_CHUNK_BYTES = 64 * 1024
# The connection is closed if the peer reads so slowly that more than this is buffered.
MAX_WRITE_BUFFER_BYTES = 128 * 1024 * 1024
# Memory of a part that waits to be sent beside its bytes: two objects and an entry in a list.
PART_OVERHEAD_BYTES = 250
# A connection fails if sent data is not acknowledged within this time. Links have a latency of a
# few milliseconds, and a lost packet is retransmitted within 0.2 s to 0.4 s.
USER_TIMEOUT_MS = 1500
# Idle connections are probed, so that a network partition is detected within 2 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

# The process or its host has no descriptors or no memory for another socket.
EXHAUSTED_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
_RETRYABLE_ERRNOS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))

__all__ = [
    "EXHAUSTED_ERRNOS",
    "READ",
    "Stream",
    "StreamHandler",
    "configure_socket",
    "connect_stream",
    "socket",
    "watch",
]


class StreamHandler(ABC):
    """Receives the events of a stream; called on the hub, so its methods must not block."""

    @abstractmethod
    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    @abstractmethod
    def on_end(self, *, clean: bool) -> None:
        """Handle the end of the stream; called at most once.

        :param clean: whether the peer closed the stream, rather than a reset, timeout or error
        """

    def on_connected(self) -> None:
        """Handle the establishment of an outgoing connection."""
        return

    def on_drained(self) -> None:
        """Continue after all buffered bytes have been passed to the kernel."""
        return


class SendBuffer:
    """Bytes that wait to be sent, held without a copy.

    :ivar size: number of bytes
    :ivar held_bytes: memory that they take; a part is held as a whole until its end is sent
    """

    def __init__(self) -> None:
        self.parts: deque[memoryview] = deque()
        self.size = self.held_bytes = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes after those that wait already."""
        if data:
            part = memoryview(data)
            self.parts.append(part)
            self.size += len(data)
            self.held_bytes += len(part.obj) + PART_OVERHEAD_BYTES

    def send(self, sock: socket.socket) -> None:
        """Pass as many bytes to the kernel as it accepts.

        :raises OSError: from the socket, also if it accepts no more
        """
        while self.parts:
            part = self.parts.popleft()
            sent = 0
            try:
                sent = sock.send(part)
            finally:
                self.size -= sent
                if sent < len(part):
                    self.parts.appendleft(part[sent:])
                else:
                    self.held_bytes -= len(part.obj) + PART_OVERHEAD_BYTES

    def clear(self) -> None:
        """Drop all bytes."""
        self.parts.clear()
        self.size = self.held_bytes = 0


class Stream:
    """A TCP socket that is connected or connecting.

    :ivar unsent: bytes not yet passed to the kernel
    :ivar paused: whether reading is paused
    """

    def __init__(self, *, sock: socket.socket, handler: StreamHandler, connecting: bool = False):
        self.sock = sock
        self.handler = handler
        self.hub = hubs.get_hub()
        self.fileno = sock.fileno()
        self.unsent = SendBuffer()
        self.closed = False
        self.connecting = connecting
        self.paused = False
        self.reader = None
        self.writer = None
        if connecting:
            self._watch_write()
        else:
            self._watch_read()

    def write(self, data: bytes, body: bytes = b"") -> None:
        """Send bytes; those that the kernel does not accept at once are buffered.

        :param body: bytes to send after ``data``; not copied if there are many of them
        """
        if self.closed:
            return
        if len(body) <= MAX_COPIED_BYTES:
            data, body = data + body, b""
        if not self.unsent and not self.connecting:
            try:
                sent = self.sock.send(data)
            except OSError as error:
                if error.errno not in _RETRYABLE_ERRNOS:
                    # on_end is called from the hub, so that it never runs within the caller's
                    # write().
                    self.hub.schedule_call_global(0, self._fail, error)
                    return
                sent = 0
            data = memoryview(data)[sent:]
        self.unsent.append(data)
        self.unsent.append(body)
        if len(self.unsent) > MAX_WRITE_BUFFER_BYTES:
            log_event(
                "write_buffer_exceeded",
                level="WARNING",
                handler=type(self.handler).__name__,
                unsent=len(self.unsent),
            )
            self.hub.schedule_call_global(0, self._fail, "write buffer exceeded")
        elif self.unsent and not self.connecting:
            self._watch_write()

    def pause_reading(self) -> None:
        """Stop reading, so that received bytes stay in the kernel's buffer."""
        self.paused = True
        if self.reader is not None:
            self.hub.remove(self.reader)
            self.reader = None

    def resume_reading(self) -> None:
        """Start reading again after :meth:`pause_reading`."""
        self.paused = False
        if self.reader is None and not self.closed and not self.connecting:
            self._watch_read()

    def read_pending(self) -> None:
        """Read and handle what has already been received."""
        if not self.connecting:
            self._on_readable(self.fileno)

    def finish_writing(self) -> None:
        """Shut down the sending side; to be called only while ``unsent`` is empty."""
        if self.closed:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer has disconnected; reading from the socket reports the end.
            return

    def close(self) -> None:
        """Close the socket without calling ``on_end``."""
        if self.closed:
            return
        self.closed = True
        for listener in (self.reader, self.writer):
            if listener is not None:
                self.hub.remove(listener)
        self.reader = self.writer = None
        self.unsent.clear()
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
            data = self.sock.recv(READ_CHUNK_BYTES)
        except OSError as error:
            if error.errno not in _RETRYABLE_ERRNOS:
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
        self._send_buffered()

    def _send_buffered(self) -> None:
        try:
            self.unsent.send(self.sock)
        except OSError as error:
            if error.errno not in _RETRYABLE_ERRNOS:
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

    def _deliver(self, method, *args, **kwargs) -> None:
        """Call a method of the handler; an exception in it closes only this stream."""
        try:
            method(*args, **kwargs)
        except Exception as error:
            log_event(
                "stream_handler_failed",
                level="ERROR",
                handler=type(self.handler).__name__,
                error=f"{type(error).__name__}: {error}",
                place=_source_location(error),
            )
            if not self.closed:
                self.close()
                self.handler.on_end(clean=False)


def watch(event: str, fileno: int, callback: Callable[[int], None]) -> object:
    """Call ``callback`` on the hub whenever a file descriptor is ready.

    :param event: ``READ`` or ``WRITE``
    :return: listener to pass to the hub's ``remove``
    """
    return hubs.get_hub().add(event, fileno, callback, _ignore, _ignore)


def connect_stream(address: tuple[str, int], handler: StreamHandler) -> Stream | OSError:
    """Start connecting to an address.

    :return: the stream, or the error if connecting fails immediately
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return error
    try:
        configure_socket(sock)
        code = sock.connect_ex(address)
    except (OSError, OverflowError, TypeError, ValueError) as error:
        # The address is none: another program has named it.
        sock.close()
        return error if isinstance(error, OSError) else OSError(errno.EINVAL, str(error))
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        return OSError(code, "connect failed")
    return Stream(sock=sock, handler=handler, connecting=True)


def configure_socket(sock: socket.socket) -> None:
    """Make a socket non-blocking, disable Nagle's algorithm and detect dead peers."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _ignore(*_args: object) -> None:
    """Do nothing; passed for the callbacks of the hub that only greenlets need."""


def _source_location(error: Exception) -> str:
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return "unknown"
    return f"{traceback.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{traceback.tb_lineno}"
