"""WSGI server of the hops: counts requests in flight and closes connections after refusals."""

import errno
import socket
from collections.abc import Callable
from datetime import timedelta

import eventlet
import eventlet.wsgi

from almondshore.core.errors import ListenError
from almondshore.net.address import parse_address
from almondshore.net.failures import describe_failure
from almondshore.proxy.wsgi import CLOSE_CONNECTION, MALFORMED_HEADERS

IN_FLIGHT = "almondshore.in_flight"
# After a refusal, the rest of the request is read for this long: closing the connection earlier
# would reset it, and the reset could overtake the response.
LINGER_TIMEOUT = timedelta(seconds=2)
READ_CHUNK_BYTES = 64 * 1024
MAX_CONNECTIONS = 4096
# Errors of accept() after the listener was shut down.
CLOSED_LISTENER_ERRNOS = frozenset({errno.EINVAL, errno.EBADF})
SOCKET_TIMEOUT = timedelta(seconds=60)


class InFlightRequests:
    """Counts requests whose response has not been written.

    :ivar closing: whether to close each connection after its current response
    """

    def __init__(self):
        self.count = 0
        self.closing = False


class HopProtocol(eventlet.wsgi.HttpProtocol):
    """Counts requests in flight and closes the connection after a refused request."""

    def handle_one_response(self) -> None:
        """Handle one request and count it as in flight while it is handled."""
        in_flight: InFlightRequests = self.environ[IN_FLIGHT]
        self.environ[CLOSE_CONNECTION] = self._close_after_response
        self.environ[MALFORMED_HEADERS] = bool(self.headers.defects)
        self.refused = False
        if in_flight.closing:
            self.close_connection = 1
        in_flight.count += 1
        try:
            super().handle_one_response()
        finally:
            in_flight.count -= 1
        if self.refused:
            self._linger()

    def _close_after_response(self) -> None:
        """Close the connection after this response: the next bytes may not start a request."""
        self.refused = True
        self.close_connection = 1

    def _linger(self) -> None:
        try:
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_TIMEOUT.total_seconds(), False):
                while self.connection.recv(READ_CHUNK_BYTES):
                    pass
        except OSError:
            pass


def serve(address: str, app: Callable, in_flight: InFlightRequests) -> socket.socket:
    """Serve a WSGI application in the background.

    :param address: ``ip:port`` to listen on
    :raises ListenError: if the address cannot be bound
    :return: the listener; shut it down to stop accepting connections
    """
    host, port = parse_address(address)
    family = socket.AF_INET6 if host.version == 6 else socket.AF_INET
    try:
        listener = eventlet.listen((str(host), port), family)
    except OSError as error:
        raise ListenError(address, describe_failure(error)) from error
    eventlet.spawn(_serve_until_closed, listener, app, in_flight)
    return listener


def _serve_until_closed(
    listener: socket.socket, app: Callable, in_flight: InFlightRequests
) -> None:
    """Serve until the listener is shut down, and then close idle connections."""
    try:
        eventlet.wsgi.server(
            listener,
            app,
            environ={IN_FLIGHT: in_flight},
            protocol=HopProtocol,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            socket_timeout=SOCKET_TIMEOUT.total_seconds(),
        )
    except OSError as error:
        if error.errno not in CLOSED_LISTENER_ERRNOS:
            raise
