"""Validation and activation of configuration versions on a node."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from almondshore.core.messages import ConfigDelta, ConfigSnapshot
from almondshore.versions.config import (
    EMPTY,
    Configuration,
    apply_changes,
    check_part,
    make_configuration,
)


class Accepted(NamedTuple):
    """The version is now in effect."""

    configuration: Configuration


class Refused(NamedTuple):
    """The version was refused as a whole; the previous one remains in effect.

    :ivar final: whether the version itself is invalid, so that every copy of it is refused; False
        if only this message may be damaged
    """

    version: int
    reason: str
    final: bool


class AlreadyHeld(NamedTuple):
    """The version, or a newer one, is already in effect."""

    version: int


class SnapshotNeeded(NamedTuple):
    """The base of the delta is not the version in effect; a snapshot is needed."""

    version: int


OfferResult = Accepted | Refused | AlreadyHeld | SnapshotNeeded


class ConfigState:
    """The configuration in effect, which only a newer valid version replaces.

    Versions only increase. A version is validated as a whole and then activated by a single
    assignment.
    """

    def __init__(self) -> None:
        self.current = EMPTY

    def offer_delta(self, delta: ConfigDelta) -> OfferResult:
        """Apply a delta if its base is the version in effect and its result is valid."""
        result = self._check_version(delta.version, delta.digest)
        if result is not None:
            return result
        base = (delta.base_version, delta.base_digest)
        if base != (self.current.version, self.current.digest):
            return SnapshotNeeded(delta.version)
        changed = [(name, data) for name, data in delta.parts.items() if data is not None]
        parts = apply_changes(self.current.parts, delta.parts)
        return self._apply(delta.version, delta.digest, parts, changed)

    def offer_snapshot(self, snapshot: ConfigSnapshot) -> OfferResult:
        """Apply a full version if it is newer than the one in effect and valid."""
        result = self._check_version(snapshot.version, snapshot.digest)
        if result is not None:
            return result
        return self._apply(
            snapshot.version, snapshot.digest, snapshot.parts, snapshot.parts.items()
        )

    def snapshot(self) -> ConfigSnapshot:
        """Return the version in effect as a ``ConfigSnapshot``."""
        current = self.current
        return ConfigSnapshot(current.version, current.digest, dict(current.parts))

    def _check_version(self, version: int, digest: bytes) -> OfferResult | None:
        if version < self.current.version:
            return AlreadyHeld(self.current.version)
        if version == self.current.version:
            if digest == self.current.digest:
                return AlreadyHeld(version)
            return Refused(
                version, "another configuration is in force under the same version", True
            )
        return None

    def _apply(
        self,
        version: int,
        digest: bytes,
        parts: Mapping[str, bytes],
        changed: Iterable[tuple[str, bytes]],
    ) -> OfferResult:
        candidate = make_configuration(version, parts)
        if candidate.digest != digest:
            return Refused(version, "the digest does not match the parts", False)
        for name, data in changed:
            problem = check_part(name, data)
            if problem is not None:
                return Refused(version, problem, True)
        self.current = candidate
        return Accepted(candidate)
