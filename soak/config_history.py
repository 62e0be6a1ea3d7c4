"""Versions of the configuration that the store has held, and the ones that a node may apply."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from soak.contact import OBSERVATION_MARGIN

# The bound `config_apply_s`.
CONFIG_APPLY_TIME = timedelta(seconds=2.5)
NO_CONFIG = 0


class QuotaLimit(NamedTuple):
    """Quota of a tenant."""

    rate_per_s: float
    burst: float


class ConfigVersion(NamedTuple):
    """The parts of a version that the checks need.

    :ivar holders: tenant by key
    :ivar has_extra_route: whether it has the route that only some versions have
    :ivar quota: quota of the tenant that exceeds it
    """

    number: int
    holders: Mapping[str, str]
    has_extra_route: bool
    quota: QuotaLimit


class ConfigHistory:
    """Records the versions written and the restores of the store.

    :ivar versions: all versions written so far, by number; the numbers rise
    :ivar changes: time and number of the version in the store from then on
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.versions: dict[int, ConfigVersion] = {}
        self.changes: list[tuple[timedelta, int]] = []

    def on_written(self, version: ConfigVersion) -> None:
        """Record that the store acknowledged a version."""
        self.versions[version.number] = version
        self.changes.append((self.clock.monotonic(), version.number))

    def on_restored(self, number: int) -> None:
        """Record a restore of the store.

        :param number: version that the store holds now, ``NO_CONFIG`` if it has none
        """
        self.changes.append((self.clock.monotonic(), number))

    def all_versions(self) -> list[ConfigVersion]:
        """Return all versions written so far."""
        return list(self.versions.values())

    def permitted_since(self, since: timedelta) -> list[ConfigVersion]:
        """Return the versions that a node in contact may apply at some time since ``since``.

        These are the versions in the store from ``CONFIG_APPLY_TIME`` before, and all newer ones: a
        node keeps a newer version that the store has lost.
        """
        earliest = since - CONFIG_APPLY_TIME - OBSERVATION_MARGIN
        lowest = NO_CONFIG
        for at, number in self.changes:
            lowest = number if at <= earliest else min(lowest, number)
        return [version for version in self.versions.values() if version.number >= lowest]
