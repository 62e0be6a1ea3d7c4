"""TCP proxy on loopback that delays, resets or discards the data of its connections."""

import random
from datetime import timedelta
from enum import StrEnum

import eventlet
from eventlet import hubs

from almondshore.http.client import Address
from almondshore.http.stream import (
    READ,
    Stream,
    StreamHandler,
    configure_socket,
    connect_stream,
    socket,
    watch,
)
from soak.faulty_target import BODY_START, endless_pieces, send_without_end

DELAY = timedelta(milliseconds=150)


class ProxyMode(StrEnum):
    """Treatment of all connections of a proxy.

    ``PASS`` forwards data unchanged, and ``DELAY`` forwards it after a delay. ``RESET`` closes open
    connections, and new ones as soon as they are accepted. ``CUT_REQUESTS`` discards data from
    clients, ``CUT_ANSWERS`` data from the destination, and ``SILENT`` both; these three keep the
    connections open. ``ENDLESS`` answers clients with a body without an end. ``CRASHED`` closes all
    connections and refuses new ones; :meth:`FaultProxy.set_mode` alone sets it.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_REQUESTS = "cut-requests"
    CUT_ANSWERS = "cut-answers"
    SILENT = "silent"
    ENDLESS = "endless"
    CRASHED = "crashed"


class _ProxyConnection(StreamHandler):
    """One of the two connections that the proxy joins.

    :ivar discard_mode: mode in which data received on this connection is discarded
    :ivar peer: the connection that received data is forwarded to
    :ivar endless: whether a body without an end was begun on this connection
    """

    def __init__(self, *, proxy: "FaultProxy", discard_mode: ProxyMode):
        self.proxy = proxy
        self.discard_mode = discard_mode
        self.stream: Stream | None = None
        self.peer: _ProxyConnection | None = None
        self.endless = False

    def on_data(self, data: bytes) -> None:
        mode = self.proxy.mode
        if mode in (self.discard_mode, ProxyMode.SILENT):
            return
        if mode is ProxyMode.ENDLESS:
            if self.discard_mode is ProxyMode.CUT_REQUESTS:
                self.endless = True
                pieces = endless_pieces(self.proxy.rng)
                eventlet.spawn(send_without_end, self.stream, BODY_START, pieces)
            return
        if mode is ProxyMode.DELAY:
            hub = hubs.get_hub()
            hub.schedule_call_global(DELAY.total_seconds(), self.peer.stream.write, data)
        else:
            self.peer.stream.write(data)

    def on_end(self, *, clean: bool) -> None:
        self.proxy.connections.discard(self)
        self.peer.close()

    def close(self) -> None:
        """Close this connection and remove it from the proxy; its peer is left open."""
        self.proxy.connections.discard(self)
        if self.stream is not None:
            self.stream.close()


class FaultProxy:
    """Listens on a free loopback port and forwards connections to one address.

    :ivar destination: address that connections are forwarded to
    :ivar mode: current treatment of connections; a change also applies to open ones
    :ivar address: address that the proxy listens on
    """

    def __init__(self, *, destination: Address, rng: random.Random):
        self.destination = destination
        self.rng = rng
        self.mode = ProxyMode.PASS
        self.connections: set[_ProxyConnection] = set()
        self.address: Address = ("127.0.0.1", 0)
        self._listen()

    def set_mode(self, mode: ProxyMode) -> None:
        """Switch the mode; ``RESET`` and ``CRASHED`` also close the open connections."""
        if self.mode is ProxyMode.CRASHED:
            self._listen()
        self.mode = mode
        if mode is ProxyMode.CRASHED:
            self._close_listener()
        if mode in (ProxyMode.RESET, ProxyMode.CRASHED):
            self._close_all()

    def is_undisturbed(self) -> bool:
        """Return whether data is forwarded, and no response of an earlier mode is in progress.

        A body without an end is sent for seconds after the mode has changed, and holds up its
        caller until it closes the connection.
        """
        return self.mode is ProxyMode.PASS and not any(
            connection.endless for connection in self.connections
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.mode is not ProxyMode.CRASHED:
            self._close_listener()
        self._close_all()

    def _listen(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(self.address)
        self.sock.listen(256)
        self.address = self.sock.getsockname()
        self.listener = watch(READ, self.sock.fileno(), self._accept)

    def _close_listener(self) -> None:
        hubs.get_hub().remove(self.listener)
        self.sock.close()

    def _accept(self, _fileno: int) -> None:
        accepted, _ = self.sock.accept()
        if self.mode is ProxyMode.RESET:
            accepted.close()
            return
        configure_socket(accepted)
        client_side = _ProxyConnection(proxy=self, discard_mode=ProxyMode.CUT_REQUESTS)
        destination_side = _ProxyConnection(proxy=self, discard_mode=ProxyMode.CUT_ANSWERS)
        client_side.peer, destination_side.peer = destination_side, client_side
        connected = connect_stream(self.destination, destination_side)
        if not isinstance(connected, Stream):
            accepted.close()
            return
        destination_side.stream = connected
        client_side.stream = Stream(sock=accepted, handler=client_side)
        self.connections |= {client_side, destination_side}

    def _close_all(self) -> None:
        for connection in list(self.connections):
            connection.close()
