"""Loopback proxy that delays, resets, cuts and silences connections."""

from datetime import timedelta
from enum import StrEnum

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

DELAY = timedelta(milliseconds=150)


class Mode(StrEnum):
    """What the proxy does to the bytes of all its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_REQUESTS = "cut-requests"
    CUT_ANSWERS = "cut-answers"
    SILENT = "silent"


class _Side(StreamHandler):
    """One of the two connections of a path.

    :ivar cut: mode in which the bytes from this side are lost
    """

    def __init__(self, *, proxy: "FaultProxy", cut: Mode):
        self.proxy = proxy
        self.cut = cut
        self.stream: Stream | None = None
        self.other: _Side | None = None

    def on_data(self, data: bytes) -> None:
        mode = self.proxy.mode
        if mode in (self.cut, Mode.SILENT):
            return
        if mode is Mode.DELAY:
            hub = hubs.get_hub()
            hub.schedule_call_global(DELAY.total_seconds(), self.other.stream.write, data)
        else:
            self.other.stream.write(data)

    def on_end(self, *, clean: bool) -> None:
        self.proxy.sides.discard(self)
        self.other.close()

    def close(self) -> None:
        """Close this side."""
        self.proxy.sides.discard(self)
        if self.stream is not None:
            self.stream.close()


class FaultProxy:
    """Passes connections on to one address.

    :ivar target: address that connections are passed on to
    :ivar mode: fault in effect, also on open connections
    """

    def __init__(self, *, target: Address):
        self.target = target
        self.mode = Mode.PASS
        self.sides: set[_Side] = set()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        self.address: Address = self.sock.getsockname()
        self.listener = watch(READ, self.sock.fileno(), self._accept)

    def set_mode(self, mode: Mode) -> None:
        """Put a fault into effect; a reset also ends the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            self._close_all()

    def close(self) -> None:
        """End the proxy."""
        hubs.get_hub().remove(self.listener)
        self.sock.close()
        self._close_all()

    def _accept(self, _fileno: int) -> None:
        accepted, _ = self.sock.accept()
        if self.mode is Mode.RESET:
            accepted.close()
            return
        configure_socket(accepted)
        near = _Side(proxy=self, cut=Mode.CUT_REQUESTS)
        far = _Side(proxy=self, cut=Mode.CUT_ANSWERS)
        near.other, far.other = far, near
        connected = connect_stream(self.target, far)
        if not isinstance(connected, Stream):
            accepted.close()
            return
        far.stream = connected
        near.stream = Stream(sock=accepted, handler=near)
        self.sides |= {near, far}

    def _close_all(self) -> None:
        for side in list(self.sides):
            side.close()
