"""Decoding of messages and stored values from other programs."""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes | msgspec.Raw, data_type: type[T] = Any) -> T:
    """Decode JSON and check it against a type.

    :raises msgspec.MsgspecError: if it is malformed, of another type or nested too deeply
    """
    try:
        return msgspec.json.decode(data, type=data_type)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error


def decode_msgpack(data: bytes, data_type: type[T] = Any) -> T:
    """Decode MessagePack and check it against a type.

    :raises msgspec.MsgspecError: if it is malformed, of another type or nested too deeply
    """
    try:
        return msgspec.msgpack.decode(data, type=data_type)
    except RecursionError as error:
        raise msgspec.DecodeError("MessagePack is nested too deeply") from error
