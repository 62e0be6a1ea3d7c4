"""Applies configuration, targets and rollouts from the store and from peers."""

from collections.abc import Callable, Mapping

from almondshore.core.logs import log_event
from almondshore.mesh.changes import ChangeLog, ChangeResponse, StateKind, decompress_config
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Death, Evacuation, MeshConfig, Rollout, Target, TargetState
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.replication import KeptItems, Sink
from almondshore.mesh.restored import RestoredRollouts
from almondshore.mesh.store import StoreEra
from almondshore.mesh.versions import VersionShares

# Sources of state in log lines: the store, and a write of this node.
STORE = "store"
OWN = "own"


class ConfigSink(Sink[MeshConfig]):
    """Applies a configuration unless a newer one is in effect.

    :param name: name of the stored item that holds the configuration
    :ivar on_apply: called with each configuration just before it comes into effect
    """

    def __init__(self, *, outbound: Outbound, name: str, changes: ChangeLog | None = None):
        self.outbound = outbound
        self.name = name
        self.changes = changes or ChangeLog()
        self.on_apply: Callable[[MeshConfig], None] = lambda _config: None

    def replace(self, items: Mapping[str, MeshConfig]) -> bool:
        """Apply the stored configuration if it is newer; returns whether it was."""
        return self.update(items)

    def update(self, items: Mapping[str, MeshConfig | None]) -> bool:
        """Apply a changed configuration if it is newer; its removal changes nothing."""
        config = items.get(self.name)
        return config is not None and self.apply(config, source=STORE)

    def apply(self, config: MeshConfig, *, source: str) -> bool:
        """Apply a configuration if it is newer than the current one; returns whether it was."""
        previous = self.outbound.config_version()
        if config.version < previous and source == STORE:
            # The store was restored from a copy that is older than the configuration. It takes
            # effect only if the operator writes it again with a higher version.
            log_event(
                "config_older_ignored", level="WARNING", version=config.version, known=previous
            )
        if config.version <= previous:
            return False
        self.on_apply(config)
        self.outbound.config = config
        log_event("config_applied", version=config.version, previous=previous, source=source)
        self.changes.increment()
        return True


class TargetSink(Sink[Target]):
    """Applies the stored targets to the directory.

    :ivar kept: targets that a restored store may have lost; their nodes write them again
    :ivar newer: targets of which a restored store has an older entry
    """

    def __init__(self, *, directory: Directory):
        self.directory = directory
        self.kept = KeptItems()
        self.newer: set[str] = set()

    def replace(self, items: Mapping[str, Target]) -> bool:
        """Replace all targets; returns whether any changed."""
        log_event("targets_read", targets=len(items))
        if not self.kept.active:
            return self.directory.replace(items.values())
        # Older entries than the known ones come from the copy.
        self.kept.confirm(items)
        before = dict(self.directory.targets)
        self.directory.merge(items.values(), self.kept.missing(before, items))
        self.newer = {name for name, item in items.items() if self.directory.targets[name] != item}
        return self.directory.targets != before

    def begin_era(self) -> None:
        """Keep the known targets until their nodes have written them again."""
        self.kept.begin(self.directory.targets)

    def end_grace(self) -> None:
        """Keep only targets that the store has."""
        self.kept.release()
        self.newer = set()

    def lost_departures(self) -> list[tuple[Target, bool]]:
        """Return entries of leaving targets that a restored store lacks or has in an older form.

        :return: each with whether the store has an older form of it
        """
        targets = self.directory.targets
        return [
            (targets[name], name in self.newer)
            for name in self.kept.names | self.newer
            if name in targets and targets[name].state is not TargetState.READY
        ]

    def update(self, items: Mapping[str, Target | None]) -> None:
        """Apply changed and removed targets."""
        self.kept.confirm(items)
        self.newer.difference_update(items)
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
    """Applies rollouts to the shares of versions.

    :ivar on_change: called with each rollout that is applied
    :ivar restored: progress that a restored store may have lost
    """

    def __init__(self, *, shares: VersionShares, changes: ChangeLog | None = None):
        self.shares = shares
        self.restored = RestoredRollouts()
        self.changes = changes or ChangeLog()
        self.on_change: Callable[[Rollout], None] = lambda _rollout: None

    def replace(self, items: Mapping[str, Rollout]) -> bool:
        """Apply all rollouts, and remove those that are missing; returns whether any changed."""
        before = dict(self.shares.rollouts)
        for name in before.keys() - items.keys():
            if not self.restored.withhold_removal(name):
                self.remove(name)
        self.update(items)
        return self.shares.rollouts != before

    @property
    def unsaved(self) -> set[str]:
        """Return the services whose progress the store lacks since it was restored."""
        return self.restored.unsaved

    def begin_era(self) -> None:
        """Keep the known progress; the revisions that it had are not comparable to new ones."""
        known = {
            service: rollout._replace(revision=0)
            for service, rollout in self.shares.rollouts.items()
        }
        for rollout in known.values():
            self.shares.set_rollout(rollout)
        self.restored.begin(known)

    def end_grace(self) -> None:
        """Apply the stored rollouts that were held back in favour of known ones."""
        for service, rollout in self.restored.end().items():
            if rollout is None:
                self.remove(service)
            else:
                self.put(rollout, source=STORE)

    def update(self, items: Mapping[str, Rollout | None]) -> None:
        """Apply changed and removed rollouts."""
        for name, rollout in items.items():
            if rollout is None:
                self.remove(name)
            else:
                self.put(rollout, source=STORE)

    def remove(self, service: str) -> None:
        """Remove the rollout of a service, if there is one."""
        self.restored.forget(service)
        if service in self.shares.rollouts:
            self.shares.remove_rollout(service)
            self.changes.record_removal(StateKind.ROLLOUT, service)

    def put(self, rollout: Rollout, *, source: str) -> None:
        """Apply a rollout unless this or a newer revision is known."""
        known = self.shares.rollouts.get(rollout.service)
        if known is not None and known.revision >= rollout.revision:
            return
        if source == OWN:
            self.restored.confirm(rollout.service)
        merged = self.restored.merge(rollout)
        if merged is None:
            log_event("rollout_held_back", service=rollout.service, version=rollout.version)
            return
        rollout = merged
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
        self.changes.record_change(StateKind.ROLLOUT, rollout.service)
        if known is None or known._replace(revision=rollout.revision) != rollout:
            self.on_change(rollout)


class EvacuationSink(Sink[Evacuation]):
    """Keeps the evacuated zones.

    :ivar by_zone: order to evacuate each zone that is evacuated
    :ivar on_change: called after the set of evacuated zones has changed
    :ivar ended: revision of the last order that ended, by zone; an outdated peer may still send it
    :ivar kept: zones of which a restored store may have lost the evacuation
    """

    def __init__(self, *, changes: ChangeLog | None = None):
        self.changes = changes or ChangeLog()
        self.by_zone: dict[str, Evacuation] = {}
        self.ended: dict[str, int] = {}
        self.kept = KeptItems()
        self.on_change: Callable[[], None] = lambda: None

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the targets of a zone must get no more requests."""
        return zone in self.by_zone

    def replace(self, items: Mapping[str, Evacuation]) -> bool:
        """Replace all evacuations; returns whether any changed."""
        before = dict(self.by_zone)
        missing = dict.fromkeys(self.kept.missing(before, items))
        self.update(missing | dict(items))
        return self.by_zone != before

    def begin_era(self) -> None:
        """Keep the evacuations until the operator has written them again."""
        self.kept.begin(self.by_zone)
        self.ended.clear()

    def end_grace(self) -> None:
        """Keep only evacuations that the store has."""
        self.kept.release()

    def update(self, items: Mapping[str, Evacuation | None]) -> None:
        """Apply new evacuations, and remove those that are None."""
        self.kept.confirm(items)
        before = dict(self.by_zone)
        for zone, evacuation in items.items():
            if evacuation is None:
                ended = self.by_zone.pop(zone, None)
                if ended is not None:
                    self.ended[zone] = ended.revision
                    self.changes.record_removal(StateKind.EVACUATION, zone)
            elif self.by_zone.get(zone) != evacuation:
                self.by_zone[zone] = evacuation
                self.changes.record_change(StateKind.EVACUATION, zone)
        if self.by_zone.keys() != before.keys():
            log_event("zones_evacuated", zones=",".join(sorted(self.by_zone)) or "none")
            self.on_change()


class PeerSink:
    """Applies the state that other nodes send.

    :param decode: decodes a stored configuration; None if it is not valid
    :param era: era of the store
    :ivar has_kept: whether entries were kept that another node's full state lacks
    """

    def __init__(
        self,
        *,
        config: ConfigSink,
        directory: Directory,
        rollouts: RolloutSink,
        crashes: CrashSink,
        evacuations: EvacuationSink,
        decode: Callable[[bytes], MeshConfig | None],
        targets: TargetSink | None = None,
        era: StoreEra | None = None,
    ):
        self.config = config
        self.directory = directory
        self.targets = targets or TargetSink(directory=directory)
        self.era = era or StoreEra()
        self.has_kept = False
        self.rollouts = rollouts
        self.crashes = crashes
        self.evacuations = evacuations
        self.decode = decode

    def config_version(self) -> int:
        """Return the version of the configuration in effect."""
        return self.config.outbound.config_version()

    def observe_era(self, response: ChangeResponse) -> None:
        """Note the era that another node states; one that knows of none changes nothing."""
        if response.era is not None:
            self.era.observe(response.era, source="peer")

    def apply(self, response: ChangeResponse, *, source: str, remove: bool) -> None:
        """Apply another node's state, ignoring what is older than this node's.

        Of an earlier era of the store, only a newer configuration is applied.

        :param remove: whether to remove what the other node removed and, if it sent its full state,
            targets and deaths that are missing from it
        :raises ValueError: if the configuration is malformed
        """
        if response.config:
            config = self.decode(decompress_config(response.config))
            if config is not None:
                config = config._replace(compressed=response.config)
                self.config.apply(config, source=source)
        if self.era.is_outdated(response.era):
            return
        removed: list[str] = []
        if remove:
            listed = {target.target for target in response.targets}
            if response.whole:
                removed = self.targets.kept.missing(self.directory.targets, listed)
                self.has_kept = any(
                    not kept.names <= listed_names
                    for kept, listed_names in (
                        (self.targets.kept, listed),
                        (self.crashes.kept, {death.name for death in response.deaths}),
                        (self.evacuations.kept, {item.zone for item in response.evacuations}),
                    )
                )
            removed += response.removed_targets
        # What another node lists may itself be kept from an earlier era.
        self.targets.kept.confirm(removed)
        self.directory.merge(response.targets, removed)
        for rollout in response.rollouts:
            self.rollouts.put(rollout, source=source)
        if remove:
            self.rollouts.restored.unsaved = set(response.unsaved_rollouts)
        for service in response.removed_rollouts if remove else ():
            self.rollouts.remove(service)
        kept = [(sink.kept, set(sink.kept.names)) for sink in (self.crashes, self.evacuations)]
        deaths: dict[str, Death | None] = {death.name: death for death in response.deaths}
        if remove and response.whole:
            self.crashes.replace(deaths)
        else:
            self.crashes.update(deaths | dict.fromkeys(response.removed_deaths if remove else ()))
        evacuations = {
            item.zone: item
            for item in response.evacuations
            if item.revision > self.evacuations.ended.get(item.zone, -1)
        }
        if remove and response.whole:
            self.evacuations.replace(evacuations)
        else:
            gone = dict.fromkeys(response.removed_evacuations if remove else ())
            self.evacuations.update(evacuations | gone)
        gone_names = {*response.removed_deaths, *response.removed_evacuations} if remove else set()
        for items, names in kept:
            items.names = names - gone_names
