"""Datagrams between the nodes, and timers, as the quotas need them."""

import errno
from abc import ABC, abstractmethod
from collections.abc import Callable

from eventlet import hubs

from almondshore.core.logs import log_event
from almondshore.http.stream import READ, socket, watch
from almondshore.mesh.model import Address
from almondshore.quotas.messages import MAX_DATAGRAM_BYTES

# Datagrams that are read before other work of the process gets a turn.
MAX_READS_PER_TURN = 64
# Pause after an address could not be bound, for example because an earlier process still holds it.
OPEN_RETRY_S = 1.0
MIN_LOG_INTERVAL_S = 1.0

OnDatagram = Callable[[Address, bytes], None]


class QuotaNetwork(ABC):
    """Sends and receives datagrams, and calls functions later.

    :ivar on_datagram: called with the sender and the content of each datagram
    """

    def __init__(self) -> None:
        self.on_datagram: OnDatagram = lambda _sender, _data: None

    @abstractmethod
    def open(self) -> None:
        """Start to receive; a second call has no effect."""

    @abstractmethod
    def send(self, node: Address, data: bytes) -> None:
        """Send a datagram, which may get lost."""

    @abstractmethod
    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function after a time; with 0 s, after the events that are due now."""


class UdpNetwork(QuotaNetwork):
    """Datagrams over UDP, received on eventlet's hub.

    :param address: address to bind, at which the other nodes reach this one
    :ivar dropped: datagrams that the kernel did not accept
    """

    def __init__(self, *, address: Address):
        super().__init__()
        self.address = address
        self.sock: socket.socket | None = None
        self.listener: object | None = None
        self.closed = False
        self.dropped = 0
        self.logged_at = float("-inf")

    def open(self) -> None:
        """Bind the socket; if that fails, it is tried again later."""
        if self.sock is not None or self.closed:
            return
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(self.address)
        except OSError as error:
            if sock is not None:
                sock.close()
            self._log("quota_socket_failed", error=error)
            self.call_later(OPEN_RETRY_S, self.open)
            return
        self.sock = sock
        self.listener = watch(READ, sock.fileno(), self._on_readable)

    def send(self, node: Address, data: bytes) -> None:
        """Send a datagram unless the kernel's buffer is full."""
        if self.sock is None:
            return
        try:
            # A host name would be resolved, which blocks the process.
            socket.inet_pton(socket.AF_INET, node[0])
            self.sock.sendto(data, node)
        except (OSError, OverflowError, TypeError) as error:
            self.dropped += 1
            if getattr(error, "errno", None) not in (errno.EAGAIN, errno.EWOULDBLOCK):
                self._log("quota_send_failed", peer=f"{node[0]}:{node[1]}", error=error)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function on the hub, unless the network has been closed."""
        if not self.closed:
            hubs.get_hub().schedule_call_global(delay_s, function)

    def close(self) -> None:
        """Close the socket for good."""
        self.closed = True
        if self.listener is not None:
            hubs.get_hub().remove(self.listener)
            self.listener = None
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _on_readable(self, _fileno: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if self.sock is None:
                return
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # An ICMP message about an earlier datagram; the socket remains usable.
                self._log("quota_receive_failed", error=error)
                return
            try:
                self.on_datagram(sender, data)
            except Exception as error:
                self._log("quota_message_failed", level="ERROR", error=repr(error))

    def _log(self, event: str, *, level: str = "WARNING", **fields: object) -> None:
        now_s = hubs.get_hub().clock()
        if now_s - self.logged_at >= MIN_LOG_INTERVAL_S:
            self.logged_at = now_s
            address = f"{self.address[0]}:{self.address[1]}"
            log_event(event, level=level, address=address, **fields)
