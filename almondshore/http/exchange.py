"""Requests in progress at the HTTP server, and the interface of their handlers."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from almondshore.core.logs import log_event
from almondshore.http.buffering import HEADER_OVERHEAD_BYTES
from almondshore.http.messages import Request, Response, is_final_status
from almondshore.http.parsing import RequestLimits

if TYPE_CHECKING:
    from almondshore.http.connection import ServerConnection

# Memory of a request in progress beside its headers and its body: the exchange, its forwarding
# state, timers and queue entries.
REQUEST_OVERHEAD_BYTES = 4096
# Headers in progress exist as received and as encoded for the next hop.
HEADER_COPIES = 2
STATUS_BAD_GATEWAY = 502


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
        """Return the memory that the request, the response and their handling take."""
        request, response = self.request, self.response
        held = REQUEST_OVERHEAD_BYTES + request.header_memory * HEADER_COPIES + len(request.body)
        if response is not None:
            held += len(response.headers) * HEADER_OVERHEAD_BYTES + len(response.body)
        return held

    def respond(self, response: Response) -> None:
        """Send the response; has no effect after an earlier response or a cancellation."""
        if self.response is not None or self.cancelled:
            return
        if not is_final_status(response.status):
            # The request may have run.
            log_event("response_invalid", level="ERROR", status=response.status)
            response = Response(STATUS_BAD_GATEWAY)
        self.response = response
        self.on_cancel = None
        self.connection.flush()


class ExchangeHandler(ABC):
    """Handles the requests of a server."""

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Start handling a request without blocking; the response may be sent later."""
