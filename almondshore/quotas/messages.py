"""Datagrams between nodes about quotas."""

from typing import Annotated

import msgspec
import xxhash

# Fits into one Ethernet frame, so that a datagram is never split into fragments.
MAX_DATAGRAM_BYTES = 1400
MAX_QUESTIONS = 40
# 48 bits keep collisions out of reach with 10,000 tenants (1 in 5 million).
KEY_BITS = 48
MAX_TOKENS = 100_000
MAX_WAIT_MS = 60_000
MAX_MEMBERS = 30
MAX_ZONE_CHARS = 64
MAX_ZONES = 8
# IPv4 addresses.
MAX_HOST_CHARS = 15

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Word = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Zone = Annotated[str, msgspec.Meta(max_length=MAX_ZONE_CHARS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Node = tuple[Annotated[str, msgspec.Meta(max_length=MAX_HOST_CHARS)], Port]


class Question(msgspec.Struct, array_like=True, frozen=True):
    """Request for tokens of one shard.

    :ivar tenant: key of the tenant, see :func:`tenant_key`
    :ivar shard: index of the shard among those of the owner's zone
    :ivar need: requests that wait for a token
    :ivar want: tokens that the node expects to use within the lifetime of a grant
    :ivar returned: tokens of earlier grants for which no request has run
    """

    tenant: Annotated[int, msgspec.Meta(ge=0, lt=2**KEY_BITS)]
    shard: Annotated[int, msgspec.Meta(ge=0, le=1)]
    need: Count
    want: Count
    returned: Count = 0


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """Response to one question.

    :ivar granted: number of tokens
    :ivar wait_ms: if it is fewer than needed, time after which there are likely to be more
    """

    granted: Count
    wait_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)] = 0


class Ask(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Questions of a node to an owner."""

    number: Word
    questions: Annotated[tuple[Question, ...], msgspec.Meta(max_length=MAX_QUESTIONS)]


class Reply(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Answers to the questions of the ask with the same number, in their order."""

    number: Word
    answers: Annotated[tuple[Answer, ...], msgspec.Meta(max_length=MAX_QUESTIONS)]


class Hello(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Makes a node known to another one of its zone.

    :ivar number: chosen by the sender; the answer repeats it
    :ivar is_answer: whether it answers another one, and thereby confirms that its sender is known
    :ivar leaving: whether the sender has given up its shards
    :ivar members: other nodes of the zone that the sender knows
    :ivar zones: zones that the sender knows
    :ivar brief: whether the answer needs no members and zones
    """

    number: Word
    zone: Zone
    is_answer: bool = False
    leaving: bool = False
    members: Annotated[tuple[Node, ...], msgspec.Meta(max_length=MAX_MEMBERS)] = ()
    zones: Annotated[tuple[Zone, ...], msgspec.Meta(max_length=MAX_ZONES)] = ()
    brief: bool = False


QuotaMessage = Ask | Reply | Hello
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(QuotaMessage)


def tenant_key(name: str) -> int:
    """Return the key of a tenant in messages."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - KEY_BITS)


def encode(message: QuotaMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> QuotaMessage:
    """Decode a message.

    :raises msgspec.MsgspecError: if it is malformed or too large
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise msgspec.DecodeError(f"datagram of {len(data)} bytes")
    try:
        return _decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("MessagePack is nested too deeply") from error
