"""Loopback servers and client helpers for tests of the HTTP package."""

from datetime import timedelta

import eventlet
from eventlet.event import Event

from almondshore.core.clock import SystemClock
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import Response
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import ExchangeHandler, HttpServer, ServerLimits

LIMITS = ServerLimits(RequestLimits(4096, 65536), timedelta(seconds=0.6), timedelta(seconds=1.2))


class RecordingHandler(ExchangeHandler):
    """Records exchanges, and responds at once if ``make_response`` returns a response."""

    def __init__(self, make_response=lambda exchange: Response(200, (), exchange.request.target)):
        self.make_response = make_response
        self.exchanges = []
        self.cancelled = []

    def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_cancel = lambda: self.cancelled.append(exchange)
        response = self.make_response(exchange)
        if response is not None:
            exchange.respond(response)


def serve(handler, limits=LIMITS, **options):
    """Start a server on a free loopback port."""
    return HttpServer(
        clock=SystemClock(),
        address=("127.0.0.1", 0),
        handler=handler,
        limits=lambda: limits,
        **options,
    )


class RawServer:
    """A server that sends raw bytes, such as malformed responses.

    :param script: called with each accepted socket in a separate greenlet
    """

    def __init__(self, script):
        self.sock = eventlet.listen(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.script = script
        self.greenlet = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self.sock.accept()
            eventlet.spawn(self.script, sock)

    def close(self):
        self.greenlet.kill()
        self.sock.close()


def call(pool, address, data, timeout=2.0, **options):
    """Send a request and wait for its result.

    :param timeout: timeout of the call in seconds
    """
    done = Event()
    pool.call(address, data, timeout=timedelta(seconds=timeout), on_done=done.send, **options)
    with eventlet.Timeout(timeout + 2):
        return done.wait()


def new_pool():
    return ConnectionPool(clock=SystemClock())


def open_socket(address):
    """Return a client socket that cooperates with eventlet."""
    return eventlet.connect(address)


def wait_until(condition, seconds=3.0):
    with eventlet.Timeout(seconds):
        while not condition():
            eventlet.sleep(0.02)
