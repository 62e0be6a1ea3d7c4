"""Listeners of a node, and the requests that arrive at them while it stops."""

import errno
from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import Response
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import Exchange, ExchangeHandler, HttpServer, ServerLimits
from almondshore.mesh.model import Address

# Limits before a configuration is known, and of listeners that do not serve callers.
DEFAULT_LIMITS = ServerLimits(
    RequestLimits(64 * 1024, 64 * 1024 * 1024), timedelta(seconds=10), timedelta(seconds=60)
)
# Time limits for refusing the requests that arrive while the process is about to exit: in any case,
# and as far as the grace period allows. A connection waits up to 500 ms for its first request.
MIN_LAST_RESPONSES_TIMEOUT = timedelta(milliseconds=200)
MAX_LAST_RESPONSES_TIMEOUT = timedelta(milliseconds=600)
CLOSE_POLL_INTERVAL_S = 0.05
LISTEN_RETRY_INTERVAL_S = 0.1


class ListenError(Exception):
    """A listener could not be opened."""

    def __init__(self, listener: str, address: Address, error: OSError):
        super().__init__(f"listen.{listener}: {address[0]}:{address[1]}: {error.strerror or error}")


class ReadinessHandler(ExchangeHandler):
    """Answers readiness checks."""

    def __init__(self, *, is_ready: Callable[[], bool]):
        self.is_ready = is_ready

    def handle(self, exchange: Exchange) -> None:
        """Respond with status 200 if the node is ready, else 503."""
        exchange.respond(Response(200 if self.is_ready() else 503))


class Listeners:
    """The HTTP servers of a node."""

    def __init__(self, *, clock: Clock, pool: ConnectionPool):
        """Create a node's listeners; none is open.

        :param pool: its memory is that of all connections of the process
        """
        self.clock = clock
        self.pool = pool
        self.servers: list[HttpServer] = []

    def open(
        self,
        name: str,
        address: Address,
        handler: ExchangeHandler,
        *,
        limits: Callable[[], ServerLimits],
        timeout: timedelta,
    ) -> HttpServer:
        """Open a listener, and wait for a while if its address is in use.

        :param name: name of its address in the settings
        :param timeout: how long to wait
        :raises OSError: if it cannot be opened
        """
        ends_at = self.clock.monotonic() + timeout
        waiting = False
        while True:
            try:
                server = HttpServer(
                    clock=self.clock,
                    address=address,
                    handler=handler,
                    limits=limits,
                    memory=self.pool.memory,
                )
                break
            except OSError as error:
                in_use = error.errno == errno.EADDRINUSE
                if not in_use or self.clock.monotonic() >= ends_at:
                    raise
                if not waiting:
                    log_event(
                        "listener_waits",
                        level="WARNING",
                        listener=name,
                        address=f"{address[0]}:{address[1]}",
                        error=error,
                    )
                waiting = True
            eventlet.sleep(LISTEN_RETRY_INTERVAL_S)
        self.servers.append(server)
        return server

    def close(self) -> None:
        """Close all listeners and their connections immediately."""
        for server in self.servers:
            server.close()

    def has_unsent(self) -> bool:
        """Return whether a response has not been sent completely."""
        return any(server.has_unsent() for server in self.servers)

    def finish(self, time_left: timedelta) -> None:
        """Stop accepting connections, and answer the requests that have arrived on open ones.

        The kernel keeps accepting connections and requests while the process exits, and resets
        them when it ends.

        :param time_left: time until the process is killed
        """
        timeout = min(MAX_LAST_RESPONSES_TIMEOUT, max(MIN_LAST_RESPONSES_TIMEOUT, time_left / 2))
        ends_at = self.clock.monotonic() + timeout
        for server in self.servers:
            server.stop_accepting()
        while self.clock.monotonic() < ends_at:
            for server in self.servers:
                server.close_idle()
            if not any(server.connections for server in self.servers):
                return
            eventlet.sleep(CLOSE_POLL_INTERVAL_S)
