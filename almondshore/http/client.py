"""HTTP/1.1 client with a pool of keep-alive connections."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.http.buffering import GUARANTEED_BYTES, MemoryBudget
from almondshore.http.call import Call, CallFailure, CallResult, ResponseMatch
from almondshore.http.client_connection import Address, ClientConnection, ConnectionCheck
from almondshore.http.messages import Response

__all__ = [
    "Address",
    "Call",
    "CallFailure",
    "CallResult",
    "ConnectionPool",
    "ResponseMatch",
]

MAX_IDLE_PER_ADDRESS = 64
# A call with a stall timeout ends after this many stall timeouts, even if bytes keep arriving.
MAX_STALL_FACTOR = 60


class ConnectionPool:
    """Keeps idle connections to all peers and reuses the most recently used one first.

    :ivar opened: number of connections opened so far
    :param memory: counts the incomplete responses; by default a budget of the pool's own
    """

    def __init__(self, *, clock: Clock, memory: MemoryBudget | None = None):
        self.clock = clock
        self.memory = memory if memory is not None else MemoryBudget()
        self.idle: dict[Address, deque[ClientConnection]] = {}
        self.opened = 0

    def call(
        self,
        address: Address,
        data: bytes,
        *,
        timeout: timedelta,
        on_done: Callable[[CallResult], None],
        match: Callable[[Response], ResponseMatch] = lambda _response: ResponseMatch.OWN,
        max_idle_time: timedelta | None = None,
        head: bool = False,
        stall_timeout: timedelta | None = None,
        body: bytes = b"",
        guaranteed_bytes: int = GUARANTEED_BYTES,
    ) -> Call:
        """Send a request and pass its result to ``on_done``, never before this method returns.

        :param data: encoded request, or its head
        :param timeout: time from now after which the call fails
        :param match: returns whether a response belongs to the request
        :param max_idle_time: longest idle time of a connection to reuse; zero opens a new one
        :param head: whether the request is a HEAD request
        :param stall_timeout: longest time between two reads of a response, replacing ``timeout``
            once the response has begun; for long responses over a slow link
        :param body: body to send after ``data``
        :param guaranteed_bytes: memory that the response may take in any case
        """
        ends_at = None
        if stall_timeout is not None:
            ends_at = self.clock.monotonic() + timeout + stall_timeout * MAX_STALL_FACTOR
        call = Call(
            data=data,
            body=body,
            match=match,
            on_done=on_done,
            head=head,
            guaranteed_bytes=guaranteed_bytes,
            stall_timeout=stall_timeout,
            ends_at=ends_at,
        )
        connection = self._take_idle(address, max_idle_time)
        if connection is None:
            self.opened += 1
            connection = ClientConnection(pool=self, address=address, call=call)
        else:
            connection.start(call)
        call.set_timeout(timeout)
        return call

    def check(self, address: Address, on_result: Callable[[bool], None]) -> None:
        """Check whether a peer refuses connections.

        :param on_result: called once with the answer, never before this method returns
        """
        self.opened += 1
        ConnectionCheck(address=address, on_result=on_result)

    def release(self, connection: ClientConnection) -> None:
        """Keep an idle connection for reuse; close the one idle longest if there are too many."""
        idle = self.idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle[0].abandon()

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove a connection from those kept for reuse."""
        idle = self.idle.get(connection.address)
        if idle is None:
            return
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.address, None)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; returns whether there was one."""
        longest = min(
            (idle[0] for idle in self.idle.values()), key=lambda item: item.idle_since, default=None
        )
        if longest is None:
            return False
        longest.abandon()
        return True

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.abandon()

    def expire(self) -> None:
        """Close connections that exceeded their idle limit; must be called periodically."""
        now = self.clock.monotonic()
        for idle in list(self.idle.values()):
            for connection in list(idle):
                if now - connection.idle_since > connection.idle_limit:
                    connection.abandon()

    def _take_idle(
        self, address: Address, max_idle_time: timedelta | None
    ) -> ClientConnection | None:
        now = self.clock.monotonic()
        while idle := self.idle.get(address):
            connection = idle[-1]
            age = now - connection.idle_since
            if max_idle_time is not None and age >= max_idle_time:
                return None
            if age > connection.idle_limit or connection.stream.closed:
                connection.abandon()
                continue
            idle.pop()
            if not idle:
                del self.idle[address]
            return connection
        return None
