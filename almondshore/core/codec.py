"""Encoding of messages between nodes as MessagePack."""

from functools import cache
from typing import get_args

import msgspec

from almondshore.core.errors import CodecError
from almondshore.core.messages import Envelope, Message

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
FORMAT_VERSION = 1

KINDS = {kind.__name__: kind for kind in get_args(Message)}
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[int, str, str, str, msgspec.Raw])


@cache
def _payload_decoder(kind: str) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(KINDS[kind])


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :raises CodecError: if the result exceeds ``MAX_MESSAGE_BYTES``
    """
    kind = type(envelope.message).__name__
    data = _encoder.encode((FORMAT_VERSION, kind, envelope.sender, envelope.zone, envelope.message))
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(f"{kind} of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")
    return data


def decode(data: bytes) -> Envelope:
    """Decode an envelope and check the types of all its fields.

    :raises CodecError: if the data is too large, malformed or of an unknown kind or format
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(f"message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")
    try:
        format_version, kind, sender, zone, payload = _frame_decoder.decode(data)
        if format_version != FORMAT_VERSION:
            raise CodecError(f"format version {format_version} is not supported")
        if kind not in KINDS:
            raise CodecError(f"message kind {kind!r} is unknown")
        return Envelope(sender, zone, _payload_decoder(kind).decode(payload))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise CodecError(f"malformed message: {error}") from error
