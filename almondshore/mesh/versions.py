"""Chooses the version of a service that gets a request."""

import random
from collections.abc import Collection, Mapping

from almondshore.mesh.model import Rollout, RolloutState, Target


class VersionShares:
    """Splits requests between versions, according to the rollout of each service.

    A version gets requests if it is the stable one of its service, or by the share of a running
    rollout. The stable version is that of the last completed rollout, else that of the oldest
    target, since targets of a new version start before the order is known.
    """

    def __init__(self, *, rng: random.Random):
        self.rng = rng
        self.rollouts: dict[str, Rollout] = {}
        self.stable: dict[str, str] = {}

    def set_rollout(self, rollout: Rollout) -> None:
        """Set the rollout of a service, as ordered or with its progress."""
        self.rollouts[rollout.service] = rollout
        if rollout.state is RolloutState.COMPLETED:
            self.stable[rollout.service] = rollout.version

    def remove_rollout(self, service: str) -> None:
        """Remove a rollout whose order was withdrawn."""
        self.rollouts.pop(service, None)

    def infer_stable_versions(self, targets: Collection[Target]) -> None:
        """Set the stable version of services where none is known, from their oldest target."""
        oldest: dict[str, Target] = {}
        for target in targets:
            if self._may_be_stable(target):
                known = oldest.get(target.service)
                if known is None or target.born_ms < known.born_ms:
                    oldest[target.service] = target
        for service, target in oldest.items():
            if service not in self.stable:
                self.stable[service] = target.version

    def new_share(self, service: str) -> tuple[str, float]:
        """Return the version of an uncompleted rollout and its share; empty and 0 if none.

        The share is 0 unless the rollout is running.
        """
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.state is RolloutState.COMPLETED:
            return "", 0.0
        share = rollout.share if rollout.state is RolloutState.RUNNING else 0.0
        return rollout.version, share

    def is_retired(self, service: str, version: str) -> bool:
        """Return whether a version must get no requests at all."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return False
        if rollout.state is RolloutState.ROLLED_BACK:
            return version == rollout.version
        is_replaced = rollout.state is RolloutState.COMPLETED or rollout.share >= 1.0
        return is_replaced and version != rollout.version

    def pick(self, service: str, versions: Mapping[str, list[Target]]) -> str | None:
        """Return the version for a request, or None if no target may get it.

        :param versions: targets that may be chosen, by version
        """
        if not versions:
            return None
        new, share = self.new_share(service)
        old = [name for name in versions if name != new and not self.is_retired(service, name)]
        stable = self.stable.get(service)
        if stable in old:
            old = [stable]
        if new in versions and share > 0 and (self.rng.random() < share or share >= 1.0):
            return new
        if old:
            return max(old, key=lambda name: len(versions[name]))
        # A version with a small share never takes over from an old one that is unreachable.
        return new if new in versions and share >= 0.5 else None

    def _may_be_stable(self, target: Target) -> bool:
        rollout = self.rollouts.get(target.service)
        return rollout is None or rollout.version != target.version
