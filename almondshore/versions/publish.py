"""Publication of configuration versions by conditional updates in the platform."""

import hashlib
import zlib
from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.decoding import decode_msgpack
from almondshore.storage.port import (
    Conflict,
    NotFound,
    Platform,
    PlatformError,
    Unavailable,
)
from almondshore.versions.config import DIGEST_BYTES, diff_parts, digest_parts

HEAD_KEY = "config/head"
MAX_STORED_KEYS = 256
MAX_INLINE_DELTA_BYTES = 256 * 1024


class VersionRecord(NamedTuple):
    """Author, reason and time of a version, the digest of its rules and the key of its parts."""

    version: int
    rules_digest: str
    author: str
    reason: str
    at: datetime
    parts_key: str


class Head(NamedTuple):
    """Content of ``config/head``.

    :ivar changes: changed parts since ``base_version``; None if too large to inline
    :ivar record: record of the version, which its successor copies to ``config/version/<n>``
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    author: str
    changes: dict[str, bytes | None] | None
    record: VersionRecord | None = None


class Published(NamedTuple):
    """A version that the platform accepted."""

    version: int
    digest: bytes


class VersionedHead(NamedTuple):
    """The head as read, with its revision for a conditional update; 0 if there is no head."""

    head: Head
    revision: int


EMPTY_HEAD = Head(0, digest_parts({}), 0, digest_parts({}), "", {})


class Publisher:
    """Reads and writes configuration versions in the platform.

    Objects that are known to exist are not written again, so that a publication that the call
    budget interrupts makes progress with each retry.
    """

    def __init__(self, *, platform: Platform):
        self.platform = platform
        self.stored_keys: set[str] = set()

    def current(self) -> Result[VersionedHead, PlatformError]:
        """Read the head; it is empty with revision 0 if nothing has been published yet."""
        result = self.platform.get(HEAD_KEY)
        if is_successful(result):
            stored = result.unwrap()
            return Success(VersionedHead(decode_msgpack(stored.value, Head), stored.revision))
        if isinstance(result.failure(), NotFound):
            return Success(VersionedHead(EMPTY_HEAD, 0))
        return result

    def parts(self, version: int) -> Result[dict[str, bytes], PlatformError]:
        """Read all parts of a version."""
        if version == 0:
            return Success({})
        return self.record(version).bind(lambda record: self._parts(record.parts_key))

    def parts_of(self, head: Head) -> Result[dict[str, bytes], PlatformError]:
        """Read all parts of the version that a head names, in one platform call."""
        return self._parts(_parts_key(head.digest)) if head.version else Success({})

    def record(self, version: int) -> Result[VersionRecord, PlatformError]:
        """Read the record of a version, from the head or as stored with its successor."""
        return self.current().bind(lambda current: self._record(current.head, version))

    def rules_text(self, version: int) -> Result[bytes, PlatformError]:
        """Read the rules file that a version was compiled from."""
        return self.record(version).bind(
            lambda record: self.platform.get(f"config/rules/{record.rules_digest}").map(
                lambda stored: zlib.decompress(stored.value)
            )
        )

    def publish(
        self,
        *,
        base: VersionedHead,
        base_parts: Mapping[str, bytes],
        parts: Mapping[str, bytes],
        rules: bytes,
        author: str,
        reason: str,
        at: datetime,
    ) -> Result[Published, PlatformError]:
        """Publish the successor of a version.

        The call is idempotent: the write id is derived from the content, so that a write whose
        response was lost is recognised as done when the call is repeated.

        :return: ``Conflict`` if another version was published since ``base`` was read
        """
        version = base.head.version + 1
        digest = digest_parts(parts)
        rules_digest = hashlib.blake2b(rules, digest_size=DIGEST_BYTES).hexdigest()
        write_id = f"{version}-{digest.hex()}-{rules_digest}-{author}"
        parts_key = _parts_key(digest)
        record = VersionRecord(version, rules_digest, author, reason, at, parts_key)
        changes = diff_parts(base_parts, parts)
        head = Head(
            version,
            digest,
            base.head.version,
            base.head.digest,
            author,
            _inline(changes),
            record,
        )
        return (
            self._create_shared(f"config/rules/{rules_digest}", zlib.compress(rules))
            .bind(lambda _: self._create_shared(parts_key, _pack(parts)))
            .bind(lambda _: self._store_record(base.head))
            .bind(lambda _: self._write_head(head, base.revision, write_id))
            .map(lambda _: Published(version, digest))
        )

    def _parts(self, key: str) -> Result[dict[str, bytes], PlatformError]:
        return self.platform.get(key).map(lambda stored: _unpack(stored.value))

    def _write_head(self, head: Head, revision: int, write_id: str) -> Result[None, PlatformError]:
        result = self.platform.update(HEAD_KEY, msgspec.msgpack.encode(head), revision, write_id)
        if not is_successful(result) and self._took_effect(result.failure(), HEAD_KEY, write_id):
            return Success(None)
        return result.map(lambda _: None)

    def _create_shared(self, key: str, value: bytes) -> Result[None, PlatformError]:
        """Create an object whose key determines its content; an existing one is identical."""
        if key in self.stored_keys:
            return Success(None)
        result = self.platform.create(key, value, key)
        exists = is_successful(result) or isinstance(result.failure(), Conflict)
        if not exists and not self._took_effect(result.failure(), key, key):
            return Failure(result.failure())
        if len(self.stored_keys) >= MAX_STORED_KEYS:
            self.stored_keys.clear()
        self.stored_keys.add(key)
        return Success(None)

    def _took_effect(self, error: PlatformError, key: str, write_id: str) -> bool:
        """Return whether a write took effect although its response was lost."""
        if not isinstance(error, Unavailable):
            return False
        result = self.platform.get(key)
        return is_successful(result) and result.unwrap().write_id == write_id

    def _record(self, head: Head, version: int) -> Result[VersionRecord, PlatformError]:
        if head.record is not None and head.version == version:
            return Success(head.record)
        return self.platform.get(version_key(version)).map(
            lambda stored: decode_msgpack(stored.value, VersionRecord)
        )

    def _store_record(self, head: Head) -> Result[None, PlatformError]:
        """Store the record of a head before it is replaced.

        Only the record of a former head is stored under a version's key. Publishers that race for
        the next version therefore cannot store different records, and no record is overwritten.
        """
        if head.record is None:
            return Success(None)
        return self._create_shared(version_key(head.version), msgspec.msgpack.encode(head.record))


def version_key(version: int) -> str:
    """Return the key of a version's record; keys sort by version."""
    return f"config/version/{version:012d}"


def _parts_key(digest: bytes) -> str:
    return f"config/parts/{digest.hex()}"


def _pack(parts: Mapping[str, bytes]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(dict(parts)))


def _unpack(data: bytes) -> dict[str, bytes]:
    return decode_msgpack(zlib.decompress(data), dict[str, bytes])


def _inline(changes: dict[str, bytes | None]) -> dict[str, bytes | None] | None:
    size = sum(len(name) + len(data or b"") for name, data in changes.items())
    return changes if size <= MAX_INLINE_DELTA_BYTES else None
