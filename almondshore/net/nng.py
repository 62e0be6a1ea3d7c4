"""Transport of control messages over pynng Push and Pull sockets."""

from collections import Counter, OrderedDict
from collections.abc import Callable
from datetime import timedelta

import eventlet
import eventlet.hubs
import pynng

from almondshore.core.clock import Clock
from almondshore.core.codec import MAX_MESSAGE_BYTES, decode, encode
from almondshore.core.errors import CodecError, ListenError
from almondshore.core.logs import log_event
from almondshore.core.messages import Envelope, Send
from almondshore.net.address import parse_address
from almondshore.net.transport import Transport

SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 128
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5000
MAX_PEERS = 1024
IDLE_TIMEOUT = timedelta(seconds=60)
# A peer used within this time is not evicted when the table is full: if peers in use were evicted,
# every send would reconnect.
EVICTION_MIN_IDLE = timedelta(seconds=10)
# Number of messages handled before yielding to other greenlets.
RECEIVE_BATCH = 64
# Minimum time between two log lines of the same event: a faulty peer may cause events at any rate.
LOG_INTERVAL = timedelta(seconds=1)

_threads_limited = False


def limit_threads() -> None:
    """Limit nng's thread pools to their minimum; must precede the first socket to have effect."""
    global _threads_limited
    if _threads_limited:
        return
    for parameter, count in (
        (pynng.lib.NNG_INIT_NUM_TASK_THREADS, 2),
        (pynng.lib.NNG_INIT_MAX_TASK_THREADS, 2),
        (pynng.lib.NNG_INIT_MAX_EXPIRE_THREADS, 1),
        (pynng.lib.NNG_INIT_MAX_POLLER_THREADS, 1),
        (pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, 1),
    ):
        pynng.lib.nng_init_set_parameter(parameter, count)
    _threads_limited = True


def disable_pipe_callbacks(sock: pynng.Socket) -> None:
    """Stop pynng from running Python code on nng's threads; call it before listen or dial.

    In its callbacks, pynng keeps a list of connections under a lock. Where eventlet has patched the
    threading module, this is a green lock: two callbacks that contended for it made nng's threads
    hang ("Cannot switch to a different thread") and stopped all receiving.
    """
    for event in (
        pynng.lib.NNG_PIPE_EV_ADD_PRE,
        pynng.lib.NNG_PIPE_EV_ADD_POST,
        pynng.lib.NNG_PIPE_EV_REM_POST,
    ):
        pynng.lib.nng_pipe_notify(sock.socket, event, pynng.ffi.NULL, pynng.ffi.NULL)


class TransportClosedError(Exception):
    """Raised in the receiving greenlet when the transport is closed."""


class Peer:
    """A Push socket to one peer.

    :ivar used_at: monotonic time of the last send
    """

    def __init__(self, *, address: str, used_at: timedelta):
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.used_at = used_at
        disable_pipe_callbacks(self.socket)
        self.socket.dial(f"tcp://{address}", block=False)


class NngTransport(Transport):
    """Sends through one Push socket per peer and receives through one Pull socket.

    :param listen: ``ip:port`` to receive on; also the sender address of outgoing messages
    :param max_peers: size of the peer table; if it is full of peers in use, sends to other peers
        are dropped
    :param idle_timeout: time without a send after which the socket to a peer is closed
    :raises ListenError: if the address cannot be opened
    :ivar counts: messages sent and received, and events by name, since the start
    """

    def __init__(
        self,
        *,
        listen: str,
        zone: str,
        clock: Clock,
        max_peers: int = MAX_PEERS,
        idle_timeout: timedelta = IDLE_TIMEOUT,
    ):
        limit_threads()
        self.address = listen
        self.zone = zone
        self.clock = clock
        self.max_peers = max_peers
        self.idle_timeout = idle_timeout
        self.peers: OrderedDict[str, Peer] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.logged_at: dict[str, timedelta] = {}
        self.closed = False
        self.receiver: eventlet.greenlet.greenlet | None = None
        self.socket = pynng.Pull0(
            recv_max_size=MAX_MESSAGE_BYTES, recv_buffer_size=RECEIVE_BUFFER_MESSAGES
        )
        disable_pipe_callbacks(self.socket)
        try:
            self.socket.listen(f"tcp://{listen}")
        except pynng.NNGException as error:
            self.socket.close()
            raise ListenError(listen, str(error).lower()) from error
        self.receive_fd = self.socket.recv_fd

    def send(self, item: Send) -> bool:
        """Queue a message on the peer's socket, without blocking.

        :return: False if the message was dropped
        """
        if self.closed:
            return self._report_dropped("closed", item.to)
        try:
            data = encode(Envelope(self.address, self.zone, item.message))
            if item.to not in self.peers and parse_address(item.to) is None:
                return self._report_dropped("bad_address", item.to)
            peer = self._find_or_open_peer(item.to)
            if peer is None:
                return self._report_dropped("no_peer_slot", item.to)
            peer.socket.send(data, block=False)
        except pynng.TryAgain:
            return self._report_dropped("buffer_full", item.to)
        except (CodecError, pynng.NNGException) as error:
            return self._report_dropped("send_failed", item.to, error=error)
        self.counts["sent"] += 1
        return True

    def receive_forever(self, handler: Callable[[Envelope], None]) -> None:
        """Call the handler for each message received until the transport is closed."""
        self.receiver = eventlet.getcurrent()
        try:
            while not self.closed:
                self._receive_batch(handler)
        except (TransportClosedError, pynng.Closed):
            pass
        finally:
            self.receiver = None

    def close(self) -> None:
        """Close all sockets and end ``receive_forever``."""
        if self.closed:
            return
        self.closed = True
        receiver = self.receiver
        if receiver is not None and receiver is not eventlet.getcurrent():
            eventlet.kill(receiver, TransportClosedError())
        for peer in self.peers.values():
            peer.socket.close()
        self.peers.clear()
        self.socket.close()

    def _receive_batch(self, handler: Callable[[Envelope], None]) -> None:
        """Handle up to ``RECEIVE_BATCH`` received messages, then wait for more or yield."""
        for _ in range(RECEIVE_BATCH):
            try:
                data = self.socket.recv(block=False)
            except pynng.TryAgain:
                eventlet.hubs.trampoline(self.receive_fd, read=True)
                return
            except RuntimeError:
                # pynng 0.9 raises it for an empty message, whose buffer is NULL.
                data = b""
            self._handle(data, handler)
        eventlet.sleep(0)

    def _handle(self, data: bytes, handler: Callable[[Envelope], None]) -> None:
        """Decode and handle one message; malformed ones and handler errors are only reported."""
        try:
            envelope = decode(data)
        except CodecError as error:
            self._report("message_malformed", level="WARNING", size=len(data), error=error)
            return
        self.counts["received"] += 1
        try:
            handler(envelope)
        except Exception as error:
            kind = type(envelope.message).__name__
            cause = f"{type(error).__name__}: {error}"
            self._report(
                "message_handler_failed",
                level="ERROR",
                kind=kind,
                sender=envelope.sender,
                error=cause,
            )

    def _find_or_open_peer(self, address: str) -> Peer | None:
        """Return the peer, opened if needed; None if the table is full of peers in use."""
        now = self.clock.monotonic()
        self._close_idle(now)
        peer = self.peers.get(address)
        if peer is None:
            if len(self.peers) >= self.max_peers and not self._close_least_recently_used(
                now, EVICTION_MIN_IDLE
            ):
                return None
            peer = self.peers[address] = Peer(address=address, used_at=now)
        peer.used_at = now
        self.peers.move_to_end(address)
        return peer

    def _close_idle(self, now: timedelta) -> None:
        while self._close_least_recently_used(now, self.idle_timeout):
            pass

    def _close_least_recently_used(self, now: timedelta, min_idle: timedelta) -> bool:
        """Close the least recently used peer if it has been idle for at least ``min_idle``.

        :return: whether a peer was closed
        """
        if not self.peers:
            return False
        address, peer = next(iter(self.peers.items()))
        if now - peer.used_at < min_idle:
            return False
        del self.peers[address]
        peer.socket.close()
        self.counts["peers_closed"] += 1
        return True

    def _report_dropped(self, reason: str, to: str, **fields: object) -> bool:
        self._report(f"send_dropped_{reason}", level="WARNING", to=to, **fields)
        return False

    def _report(self, event: str, *, level: str, **fields: object) -> None:
        """Count an event, and log it unless the same event was logged within ``LOG_INTERVAL``."""
        self.counts[event] += 1
        now = self.clock.monotonic()
        logged_at = self.logged_at.get(event)
        if logged_at is None or now - logged_at >= LOG_INTERVAL:
            self.logged_at[event] = now
            log_event(event, level=level, total=self.counts[event], **fields)
