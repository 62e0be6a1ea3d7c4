"""HTTP serving of the hops: requests in flight, and connections that must not be used again."""

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
# Time in which the rest of a refused request is read, so that the reset of the connection does
# not reach the caller before the response does.
LINGER = timedelta(seconds=2)
READ_BYTES = 64 * 1024
MAX_CONNECTIONS = 4096
CLOSED_LISTENER = frozenset({errno.EINVAL, errno.EBADF})
SOCKET_TIMEOUT = timedelta(seconds=60)


class InFlightRequests:
    """Counts requests until their response is written.

    :ivar closing: whether each connection is closed after its response
    """

    def __init__(self):
        self.count = 0
        self.closing = False


class HopProtocol(eventlet.wsgi.HttpProtocol):
    """Closes a connection whose request was refused, and counts requests in flight."""

    def handle_one_response(self) -> None:
        """Answer one request."""
        in_flight: InFlightRequests = self.environ[IN_FLIGHT]
        self.environ[CLOSE_CONNECTION] = self._refuse
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

    def _refuse(self) -> None:
        """Close the connection after this response: what follows is not a request."""
        self.refused = True
        self.close_connection = 1

    def _linger(self) -> None:
        try:
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER.total_seconds(), False):
                while self.connection.recv(READ_BYTES):
                    pass
        except OSError:
            pass


def serve(address: str, app: Callable, in_flight: InFlightRequests) -> socket.socket:
    """Serve a WSGI application in the background.

    :param address: ``ip:port`` to listen on
    :raises ListenError: if the address cannot be opened
    :returns: the listener; once it is shut down, no connection is accepted
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
    """Serve until the listener is shut down; idle connections are closed then."""
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
        if error.errno not in CLOSED_LISTENER:
            raise
