"""The local targets of this node, whose records it owns."""

from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import TargetRecord, TargetState

ANNOUNCE_TIMEOUT = timedelta(seconds=6)
MAX_TARGETS = 64


class LocalTarget(NamedTuple):
    """The record of a target and the monotonic time of its last announcement."""

    record: TargetRecord
    last_announced_at: timedelta


class LocalTargets:
    """Targets that announce themselves to this node.

    The incarnations of a record start at the wall-clock time in milliseconds, so that the records
    of a restarted node supersede those of its former process. At ``max_targets`` a new target is
    refused.

    :ivar process: incarnation of this node, copied into the records of its targets
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        zone: str,
        address: str,
        process: int = 0,
        control: str,
        announce_timeout: timedelta = ANNOUNCE_TIMEOUT,
        max_targets: int = MAX_TARGETS,
    ):
        self.clock = clock
        self.node = node
        self.zone = zone
        self.address = address
        self.process = process
        self.control = control
        self.announce_timeout = announce_timeout
        self.max_targets = max_targets
        self.targets: dict[str, LocalTarget] = {}
        self.started = clock.monotonic()

    def announce(
        self, *, target: str, service: str, version: str, slots: int, draining: bool = False
    ) -> list[TargetRecord]:
        """Record a target's announcement.

        A leaving target remains so while it announces the same version. To take new work under
        that version again, it must first be withdrawn.

        :return: the changed record, to be sent to the relay; empty if nothing changed or the
            table of targets is full
        """
        state = TargetState.LEAVING if draining else TargetState.UP
        known = self.targets.get(target)
        if known is None and len(self.targets) >= self.max_targets:
            return []
        record = TargetRecord(
            target=target,
            node=self.node,
            service=service,
            version=version,
            address=self.address,
            zone=self.zone,
            slots=slots,
            incarnation=0,
            state=state,
            control=self.control,
            process=self.process,
        )
        was_leaving = known is not None and known.record.state is TargetState.LEAVING
        if was_leaving and known.record.version == version:
            record = record._replace(state=TargetState.LEAVING)
        return self._store(record)

    def drain(self, target: str) -> list[TargetRecord]:
        """Mark a target as leaving, so that it gets no new work."""
        known = self.targets.get(target)
        if known is None:
            return []
        return self._store(known.record._replace(state=TargetState.LEAVING))

    def drain_all(self) -> list[TargetRecord]:
        """Mark all targets as leaving, for the shutdown of this node."""
        return [record for target in list(self.targets) for record in self.drain(target)]

    def withdraw(self, target: str) -> list[TargetRecord]:
        """Remove a target that has ended.

        :return: its record, declared dead
        """
        known = self.targets.pop(target, None)
        if known is None:
            return []
        return [self._with_new_incarnation(known.record, TargetState.DEAD)]

    def correct(self, record: TargetRecord) -> list[TargetRecord]:
        """Correct a record of this node's targets that another node holds.

        :return: this node's record under a higher incarnation if the other record contradicts
            it; the record of an unknown target, marked as dead, but only once ``announce_timeout``
            has passed since the start, so that targets can first announce themselves to a
            restarted node; otherwise empty
        """
        if record.node != self.node:
            return []
        known = self.targets.get(record.target)
        if known is None:
            starting = self.clock.monotonic() - self.started < self.announce_timeout
            if starting or record.state is TargetState.DEAD:
                return []
            return [self._with_new_incarnation(record, TargetState.DEAD)]
        if record == known.record or record.incarnation < known.record.incarnation:
            return []
        raised = known.record._replace(incarnation=record.incarnation + 1)
        self.targets[record.target] = known._replace(record=raised)
        return [raised]

    def tick(self) -> list[TargetRecord]:
        """Withdraw the targets that did not announce themselves within ``announce_timeout``."""
        limit = self.clock.monotonic() - self.announce_timeout
        expired = [
            name for name, target in self.targets.items() if target.last_announced_at < limit
        ]
        return [record for name in expired for record in self.withdraw(name)]

    def records(self) -> list[TargetRecord]:
        """Return the records of all local targets."""
        return [target.record for target in self.targets.values()]

    def _store(self, record: TargetRecord) -> list[TargetRecord]:
        known = self.targets.get(record.target)
        now = self.clock.monotonic()
        if known is not None:
            record = record._replace(incarnation=known.record.incarnation)
            if record == known.record:
                self.targets[record.target] = known._replace(last_announced_at=now)
                return []
        raised = self._with_new_incarnation(record, record.state)
        self.targets[record.target] = LocalTarget(raised, now)
        return [raised]

    def _with_new_incarnation(self, record: TargetRecord, state: TargetState) -> TargetRecord:
        milliseconds = int(self.clock.now().timestamp() * 1000)
        incarnation = max(record.incarnation + 1, milliseconds)
        return record._replace(incarnation=incarnation, state=state)
