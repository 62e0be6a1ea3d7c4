"""Splits JSON documents without decoding them, so that one bad part does not spoil the others.

Decoders refuse a whole document that is nested too deeply or has a malformed string somewhere.
"""

import re
from collections.abc import Iterator

import msgspec

from almondshore.core.decoding import decode_json

# Strings are skipped as a whole, since they may contain brackets; equal ones are taken together.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+|,', re.DOTALL)
_OPENING, _CLOSING, _COMMA = b"[{", b"]}", ord(",")


def split_members(data: bytes) -> dict[str, bytes]:
    """Return the undecoded members of an object by name.

    :raises ValueError: if it is not an object
    """
    members: dict[str, bytes] = {}
    for part in _split(data, b"{"):
        name_token = _TOKEN.match(part)
        separator = part.find(b":", name_token.end()) if name_token is not None else -1
        if separator < 0:
            raise ValueError("not a JSON object")
        try:
            name = decode_json(name_token.group(), str)
        except msgspec.MsgspecError as error:
            raise ValueError(f"malformed name of a member: {error}") from error
        members[name] = part[separator + 1 :].strip()
    return members


def split_elements(data: bytes) -> list[bytes]:
    """Return the undecoded elements of an array.

    :raises ValueError: if it is not an array
    """
    return list(_split(data, b"["))


def _split(data: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the parts of an object or array, without the whitespace around them."""
    data = data.strip()
    if not data.startswith(opening):
        raise ValueError("not a JSON object" if opening == b"{" else "not a JSON array")
    depth, begin = 0, 1
    for token in _TOKEN.finditer(data):
        char = data[token.start()]
        if char in _OPENING:
            depth += token.end() - token.start()
            continue
        if char in _CLOSING:
            # The document ends with the bracket that closes the first one.
            end = token.start() + depth - 1
            depth -= token.end() - token.start()
        elif char == _COMMA and depth == 1:
            end = token.start()
        else:
            continue
        if depth <= 0 or char == _COMMA:
            part = data[begin:end].strip()
            if part:
                yield part
            begin = end + 1
        if depth <= 0:
            return
    raise ValueError("truncated JSON document")
