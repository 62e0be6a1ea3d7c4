"""HTTP/1.1 server that handles pipelined requests concurrently and responds in order."""

import resource
from collections.abc import Callable

from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.buffering import MemoryBudget
from almondshore.http.connection import (
    MAX_PIPELINED,
    MAX_UNREAD_BYTES,
    ServerConnection,
)
from almondshore.http.exchange import Exchange, ExchangeHandler, ServerLimits
from almondshore.http.stream import (
    EXHAUSTED_ERRNOS,
    READ,
    configure_socket,
    socket,
    watch,
)

LISTEN_BACKLOG = 1024
SWEEP_INTERVAL_S = 0.5
# After a failure for want of descriptors, the server accepts no connection for this long.
ACCEPT_PAUSE_S = 0.1
# Idle connections that are closed then, to make room for those that wait.
CLOSED_FOR_ROOM = 16
# Connections from clients to all listeners of a process. Each takes up to 8 KB of the process and
# ordinary clients have a few hundred.
MAX_CONNECTIONS = 2048
# Share of the process's descriptors for connections from clients. The others are for the calls that
# their requests cause, one each at most, and for the log.
CLIENT_DESCRIPTOR_SHARE = 0.5
# Size of the kernel's buffers of a connection, each of which the kernel doubles. Without a bound it
# holds up to 6 MB for a client that sends ahead. 100 Mbit/s with a latency of 2 ms need 25 KB.
KERNEL_BUFFER_BYTES = 128 * 1024

__all__ = [
    "MAX_PIPELINED",
    "MAX_UNREAD_BYTES",
    "Exchange",
    "ExchangeHandler",
    "HttpServer",
    "ServerConnection",
    "ServerLimits",
]


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
        # Accepted connections inherit the sizes.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
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

    def forget(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self.memory.holders.discard(connection)

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
            if len(self.memory.holders) >= max_connections() and not self._close_one():
                log_event("connection_refused", level="WARNING", connections=max_connections())
                sock.close()
                continue
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
            self.memory.holders.add(connection)

    def _close_one(self) -> bool:
        """Close the connection of any listener that has been without progress for longest."""
        now = self.clock.monotonic()
        holders = sorted(self.memory.holders, key=lambda item: item.last_active_at)
        return any(item.make_room(now) for item in holders)

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
        self.memory.relieve(now)
        self.memory.release_freed()
        for connection in list(self.connections):
            connection.sweep(now, limits)


def max_connections() -> int:
    """Return how many connections from clients the process may have, by its descriptors."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, int(limit * CLIENT_DESCRIPTOR_SHARE))
