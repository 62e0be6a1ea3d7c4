"""A target that repeats responses and sends bytes that are no response."""

import random
from datetime import timedelta
from enum import StrEnum

import eventlet

from almondshore.http.messages import Response, encode_response
from almondshore.http.server import Exchange
from almondshore.http.stream import Stream
from almondshore.platform import names
from standins.mesh_platform import TargetStandIn

FAULT_SHARE = 0.3
MAX_COPY_DELAY_S = 0.05
ENDLESS_CHUNK = b"x" * 16_384
ENDLESS_INTERVAL_S = 0.01
# An endless response stops after this many chunks if the node has not closed the connection.
MAX_ENDLESS_CHUNKS = 400
HEAD_START = b"HTTP/1.1 200 OK\r\nX-Filler: "
BODY_START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = (1, 2, 16, 200, 16_384)


def endless_pieces(rng: random.Random) -> bytes:
    """Return chunks of a drawn size, together about as long as ``ENDLESS_CHUNK``."""
    size = rng.choice(PIECE_BYTES)
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return chunk * max(1, len(ENDLESS_CHUNK) // len(chunk))


def send_without_end(stream: Stream, start: bytes, piece: bytes) -> None:
    """Send a start and then the same piece again and again, until the peer closes."""
    stream.write(start)
    for _ in range(MAX_ENDLESS_CHUNKS):
        if stream.closed:
            return
        stream.write(piece)
        eventlet.sleep(ENDLESS_INTERVAL_S)


class Misbehaviour(StrEnum):
    """What a faulty target does with a share of its requests.

    ``COPIES``: sends a response once more, later. ``REFUSALS``: refuses requests, with or without
    their id, and sends the refusal once more. ``ENDLESS``: sends a head or body without an end.
    """

    NONE = "none"
    COPIES = "copies"
    REFUSALS = "refusals"
    ENDLESS = "endless"


class FaultyTarget(TargetStandIn):
    """A target that misbehaves while ``misbehaviour`` is set.

    :param rng: chooses the requests and the delays
    """

    def __init__(self, *, target: str, rng: random.Random):
        super().__init__(target=target, processing_time=timedelta(milliseconds=5))
        self.rng = rng
        self.misbehaviour = Misbehaviour.NONE

    def handle(self, exchange: Exchange) -> None:
        """Execute a request, or refuse it and send the refusal twice."""
        if self.misbehaviour is not Misbehaviour.REFUSALS or self.rng.random() > FAULT_SHARE:
            super().handle(exchange)
            return
        request_id = exchange.request.header(names.REQUEST_ID.lower()) or b""
        headers = ((names.NOT_RUN, b"1"), (names.REQUEST_ID, request_id))
        self._respond_twice(exchange, Response(503, headers[: self.rng.choice((1, 2))]))

    def _respond(self, exchange: Exchange) -> None:
        misbehaviour = self.misbehaviour if self.rng.random() < FAULT_SHARE else Misbehaviour.NONE
        if misbehaviour is Misbehaviour.ENDLESS:
            eventlet.spawn(self._send_without_end, exchange)
        elif misbehaviour is Misbehaviour.COPIES:
            response = self.make_response(exchange)
            if response is not None:
                self._respond_twice(exchange, response)
        else:
            super()._respond(exchange)

    def _respond_twice(self, exchange: Exchange, response: Response) -> None:
        exchange.respond(response)
        copy = encode_response(response, head=False, close=False)
        delay_s = self.rng.uniform(0, MAX_COPY_DELAY_S)
        eventlet.spawn_after(delay_s, self._write, exchange, copy)

    def _send_without_end(self, exchange: Exchange) -> None:
        kinds = ((HEAD_START, ENDLESS_CHUNK), (BODY_START, endless_pieces(self.rng)))
        start, chunk = self.rng.choice(kinds)
        send_without_end(exchange.connection.stream, start, chunk)

    @staticmethod
    def _write(exchange: Exchange, data: bytes) -> None:
        if not exchange.connection.stream.closed:
            exchange.connection.stream.write(data)
