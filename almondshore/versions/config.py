"""Immutable configuration versions and their digests."""

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from almondshore.rules.compile import (
    SERVICE_PREFIX,
    TENANT_PREFIX,
    decode_service,
    decode_tenant,
)

DIGEST_BYTES = 16


class Configuration(NamedTuple):
    """One configuration version.

    :ivar version: number in the total order of versions; 0 for no configuration
    :ivar digest: digest of all parts
    :ivar parts: encoded parts by name
    """

    version: int
    digest: bytes
    parts: Mapping[str, bytes]


def digest_parts(parts: Mapping[str, bytes]) -> bytes:
    """Return the digest of all parts, independent of their order."""
    total = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(parts):
        total.update(name.encode())
        total.update(b"\0")
        total.update(hashlib.blake2b(parts[name], digest_size=DIGEST_BYTES).digest())
    return total.digest()


def make_configuration(version: int, parts: Mapping[str, bytes]) -> Configuration:
    """Return a configuration with its digest computed."""
    return Configuration(version, digest_parts(parts), MappingProxyType(dict(parts)))


EMPTY = make_configuration(0, {})


def apply_changes(
    parts: Mapping[str, bytes], changes: Mapping[str, bytes | None]
) -> dict[str, bytes]:
    """Return the parts with the changes applied; a change to None removes the part."""
    result = dict(parts)
    for name, data in changes.items():
        if data is None:
            result.pop(name, None)
        else:
            result[name] = data
    return result


def diff_parts(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> dict[str, bytes | None]:
    """Return the changes that turn the old parts into the new ones."""
    changes: dict[str, bytes | None] = {
        name: data for name, data in new.items() if old.get(name) != data
    }
    changes.update({name: None for name in old if name not in new})
    return changes


def check_part(name: str, data: bytes) -> str | None:
    """Check that a part decodes as the kind that its name indicates and contains that name.

    :return: a description of the problem, or None if the part is valid
    """
    try:
        if name.startswith(SERVICE_PREFIX):
            actual = SERVICE_PREFIX + decode_service(data)["name"]
        elif name.startswith(TENANT_PREFIX):
            actual = TENANT_PREFIX + decode_tenant(data)["name"]
        else:
            return f"part {name!r} is of an unknown kind"
    except msgspec.MsgspecError as error:
        return f"part {name!r} is malformed: {error}"
    if actual != name:
        return f"part {name!r} contains {actual!r}"
    return None
