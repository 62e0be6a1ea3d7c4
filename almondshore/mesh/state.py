"""What a node believes: configuration, targets and rollouts, from the store and from peers."""

from collections.abc import Mapping
from typing import NamedTuple

from almondshore.core.logs import log_event
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import MeshConfig, Rollout, Target
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.replication import Sink
from almondshore.mesh.versions import VersionShares


class PeerState(NamedTuple):
    """State that a node passes to a peer.

    :ivar config: stored configuration, empty if the peer has the same version
    """

    config_version: int
    config: str
    targets: list[Target]
    rollouts: list[Rollout]


class ConfigSink(Sink[MeshConfig]):
    """Applies a configuration unless a newer one is in force.

    :param name: name of the item that holds the configuration
    """

    def __init__(self, *, outbound: Outbound, name: str):
        self.outbound = outbound
        self.name = name

    def replace(self, items: Mapping[str, MeshConfig]) -> None:
        """Take the stored configuration."""
        self.update(items)

    def update(self, items: Mapping[str, MeshConfig | None]) -> None:
        """Take a changed configuration; its removal changes nothing."""
        config = items.get(self.name)
        if config is not None:
            self.apply(config, source="store")

    def apply(self, config: MeshConfig, *, source: str) -> bool:
        """Put a configuration in force if it is newer than the present one."""
        known = self.outbound.config_version()
        if config.version <= known:
            return False
        self.outbound.config = config
        log_event("config_applied", version=config.version, previous=known, source=source)
        return True


class TargetSink(Sink[Target]):
    """Keeps the directory of targets."""

    def __init__(self, *, directory: Directory):
        self.directory = directory

    def replace(self, items: Mapping[str, Target]) -> None:
        """Take all targets."""
        self.directory.replace(items.values())
        log_event("targets_read", targets=len(items))

    def update(self, items: Mapping[str, Target | None]) -> None:
        """Take changed targets."""
        for name, target in items.items():
            if target is None:
                self.directory.remove(name)
                log_event("target_removed", target=name)
            else:
                self.directory.put(target)
                log_event(
                    "target_changed",
                    target=name,
                    state=target.state,
                    service=target.service,
                    version=target.version,
                    sequence=target.sequence,
                )


class RolloutSink(Sink[Rollout]):
    """Keeps the rollouts."""

    def __init__(self, *, shares: VersionShares):
        self.shares = shares

    def replace(self, items: Mapping[str, Rollout]) -> None:
        """Take all rollouts."""
        for name in self.shares.rollouts.keys() - items.keys():
            self.shares.remove_rollout(name)
        self.update(items)

    def update(self, items: Mapping[str, Rollout | None]) -> None:
        """Take changed rollouts."""
        for name, rollout in items.items():
            if rollout is None:
                self.shares.remove_rollout(name)
            else:
                self.put(rollout, source="store")

    def put(self, rollout: Rollout, *, source: str) -> None:
        """Take a rollout unless a newer revision is known."""
        known = self.shares.rollouts.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return
        self.shares.set_rollout(rollout)
        log_event(
            "rollout_changed",
            service=rollout.service,
            version=rollout.version,
            state=rollout.state,
            share=rollout.share,
            revision=rollout.revision,
            source=source,
        )
