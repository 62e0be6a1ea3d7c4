"""Registration of the local target: announcements, deregistrations and its published entry."""

from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
from almondshore.mesh.directory import Directory
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.inbound import Inbound
from almondshore.mesh.local import AnnouncementResult, LocalTarget
from almondshore.mesh.model import Announcement, Target
from almondshore.mesh.publishing import TargetPublisher
from almondshore.mesh.settings import MeshSettings
from almondshore.placement.evacuation import ZoneEvacuations


class TargetRegistration:
    """Applies the announcements of the local target, and publishes its entry.

    :param settings: returns the settings in effect
    """

    def __init__(
        self,
        *,
        clock: Clock,
        settings: Callable[[], MeshSettings],
        local: LocalTarget,
        inbound: Inbound,
        recorder: ResultRecorder,
        pool: ConnectionPool,
        directory: Directory,
        publisher: TargetPublisher,
        evacuations: ZoneEvacuations,
    ):
        self.clock = clock
        self.settings = settings
        self.local = local
        self.inbound = inbound
        self.recorder = recorder
        self.pool = pool
        self.directory = directory
        self.publisher = publisher
        self.evacuations = evacuations

    def on_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the local target.

        Announcements of another service or address are logged and ignored.
        """
        self._apply_announcement(announcement, is_heartbeat=True)

    def on_deregistration(self, target: str, born_ms: int | None) -> None:
        """Apply the deregistration of the local target.

        :param born_ms: start of the target in Unix milliseconds; None for the current incarnation
        """
        if born_ms is None:
            current = self.local.announced
            now_ms = int(self.clock.now().timestamp() * 1000)
            born_ms = current.born_ms if current is not None else now_ms
        is_current = self.local.deregister(target, born_ms)
        log_event("target_departing", target=target, known=is_current, born_ms=born_ms)
        if is_current:
            self.publish()

    def adopt(self, target: Target) -> None:
        """Use a target whose last announcement went to an earlier process of this node."""
        self.publisher.adopt(target)
        self._apply_announcement(
            Announcement(
                target=target.target,
                service=target.service,
                version=target.version,
                zone=target.zone,
                slots=target.slots,
                state=target.state,
                address=self.settings().app,
                born_ms=target.born_ms,
                sequence=target.sequence,
                warmup=timedelta(),
            ),
            is_heartbeat=False,
        )

    def publish(self) -> None:
        """Publish the entry of the local target."""
        entry = self.local.entry()
        self.publisher.publish(entry)
        if self.local.store_read:
            # Makes the local target known to this node before the store has been updated.
            self.directory.put(entry)

    def own_zones(self) -> set[str]:
        """Return the zones of this node and of its target."""
        announced = self.local.announced
        return {self.settings().zone} | ({announced.zone} if announced is not None else set())

    def on_directory_change(self) -> bool:
        """Apply the stored entries, unless that of the local target is missing.

        :return: whether they were applied
        """
        targets = self.directory.targets
        local_entry = self.local.entry()
        if local_entry is not None and local_entry.target not in targets:
            # A full read of the store may precede the first write of the local target's entry.
            self.directory.put(local_entry)
            self.publisher.restore()
            return False
        self.local.store_read = True
        for target in targets.values():
            self.local.apply_stored_entry(target)
        return True

    def _apply_announcement(self, announcement: Announcement, *, is_heartbeat: bool) -> None:
        settings = self.settings()
        if announcement.service != settings.service or announcement.address != settings.app:
            log_event(
                "announcement_foreign",
                level="WARNING",
                target=announcement.target,
                service=announcement.service,
                address=announcement.address,
            )
            return
        previous = self.local.announced
        result = self.local.announce(announcement, is_heartbeat=is_heartbeat)
        self.inbound.target_down_until = timedelta()
        if result is not AnnouncementResult.ACCEPTED:
            return
        self.evacuations.update_own_zone()
        if (
            previous is None
            or previous.target != announcement.target
            or previous.born_ms != announcement.born_ms
        ):
            self.inbound.report_death()
            self.recorder.reset()
            self.pool.close_idle(settings.app)
        log_event(
            "target_announced",
            target=announcement.target,
            state=self.local.announced.state,
            version=announcement.version,
            sequence=announcement.sequence,
            born_ms=announcement.born_ms,
        )
        self.publish()
