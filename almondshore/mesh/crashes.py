"""Detects, reports and counts deaths of targets, to quarantine requests that cause them."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import eventlet
import xxhash
from returns.pipeline import is_successful

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.core.messages import CrashDeath
from almondshore.http.messages import Request
from almondshore.mesh.changes import ChangeLog, StateKind
from almondshore.mesh.model import Death
from almondshore.mesh.replication import KeptItems, Sink
from almondshore.mesh.store import MeshStore
from almondshore.retries.crash import CrashGuard, fingerprint
from almondshore.storage.port import RateLimited, Unavailable

MILLISECOND = timedelta(milliseconds=1)
# A closed connection counts as a sign of a death only if the target refuses connections or restarts
# within this time.
DEATH_DETECTION_WINDOW = timedelta(seconds=2)
# Maximum number of requests reported for one death; a target has about 10 slots.
MAX_SUSPECTS = 32
WRITE_INTERVAL = timedelta(seconds=1)
MAX_PENDING_REPORTS = 64
# A report that was removed this recently may come back with a copy from which the store is
# restored. Copies are some seconds old.
MAX_COPY_AGE = timedelta(seconds=60)


class _Suspect(NamedTuple):
    run: CrashDeath
    ended: timedelta


class DeathDetector:
    """Detects deaths of the local target, and the requests that it was running."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.suspects: list[_Suspect] = []

    def record_broken_run(self, run: CrashDeath) -> None:
        """Record a request that ended because its connection closed."""
        now = self.clock.monotonic()
        recent = [item for item in self.suspects if now - item.ended < DEATH_DETECTION_WINDOW]
        self.suspects = [*recent[-MAX_SUSPECTS + 1 :], _Suspect(run, now)]

    def discard(self, request_fingerprint: int) -> None:
        """Forget the broken runs of a request that the target has answered since."""
        self.suspects = [
            item for item in self.suspects if item.run.fingerprint != request_fingerprint
        ]

    def detect_death(self) -> Death | None:
        """Handle the loss of the target; returns its death if requests broke off just before."""
        now = self.clock.monotonic()
        runs = [item.run for item in self.suspects if now - item.ended < DEATH_DETECTION_WINDOW]
        self.suspects = []
        if not runs:
            return None
        last = runs[-1]
        return Death(f"{last.target}-{last.incarnation}-{last.ended_ms}", tuple(runs))


class CrashSink(Sink[Death]):
    """Counts the deaths that nodes reported, so that the guard can quarantine requests.

    :param changes: records each report, for the nodes that follow this one
    :ivar reports: reports that are in the store, by name
    """

    def __init__(self, *, guard: CrashGuard, changes: ChangeLog | None = None):
        self.guard = guard
        self.changes = changes or ChangeLog()
        self.reports: dict[str, Death] = {}
        self.kept = KeptItems()

    def replace(self, items: Mapping[str, Death]) -> bool:
        """Replace all reports; deaths that are already known are not counted again."""
        removed = dict.fromkeys(self.kept.missing(self.reports, items))
        self.update({**items, **removed})
        return bool(items)

    def begin_era(self) -> None:
        """Keep the known reports until the nodes that made them have written them again."""
        self.kept.begin(self.reports)

    def end_grace(self) -> None:
        """Keep only reports that the store has."""
        self.kept.release()

    def update(self, items: Mapping[str, Death | None]) -> None:
        """Apply added and removed reports; a death whose report was removed stays counted."""
        self.kept.confirm(items)
        for name, death in items.items():
            if death is not None:
                self.put(death)
            elif self.reports.pop(name, None) is not None:
                self.changes.record_removal(StateKind.DEATH, name)

    def put(self, death: Death) -> None:
        """Add a report and count its death, unless it is already known."""
        if death.name not in self.reports:
            self.reports[death.name] = death
            self.changes.record_change(StateKind.DEATH, death.name)
            self.count(death)

    def count(self, death: Death) -> None:
        """Count a death against each request that ran; logs requests that this quarantines."""
        for run in death.runs:
            was_quarantined = self.guard.check(run.fingerprint) is not None
            self.guard.record_death(run)
            if not was_quarantined and self.guard.check(run.fingerprint) is not None:
                log_event(
                    "request_quarantined",
                    level="WARNING",
                    fingerprint=f"{run.fingerprint:016x}",
                    death=death.name,
                )


class _Report(NamedTuple):
    """A report in the store, and the monotonic time at which it was written."""

    at: timedelta
    death: Death
    revision: int


class DeathReporter:
    """Writes reports of deaths to the store, and removes them when they have expired.

    :param retention: how long a report stays in the store, for nodes that start later
    :ivar written: reports in the store
    :ivar withdrawn: reports that were removed a short time ago, at the time of their removal
    """

    def __init__(self, *, clock: Clock, store: MeshStore, retention: timedelta):
        self.clock = clock
        self.store = store
        self.retention = retention
        self.pending: list[Death] = []
        self.written: list[_Report] = []
        self.withdrawn: list[_Report] = []
        store.era.subscribe(self._on_new_era)

    def report(self, death: Death) -> None:
        """Queue a report for writing; if a long outage fills the queue, the oldest are dropped."""
        log_event("target_died", level="WARNING", death=death.name, runs=len(death.runs))
        self.pending = [*self.pending, death][-MAX_PENDING_REPORTS:]

    def run(self) -> None:
        """Write and remove reports until the process ends; runs in its own greenlet."""
        while True:
            eventlet.sleep(WRITE_INTERVAL.total_seconds())
            self.step()

    def step(self) -> None:
        """Write queued reports, then remove expired ones; a failed call ends the step."""
        while self.pending:
            death = self.pending[0]
            result = self.store.save_death(death)
            if not is_successful(result):
                log_event("death_not_reported", level="WARNING", error=result.failure())
                return
            # An era that began during the call has added reports.
            self.pending = [item for item in self.pending if item is not death]
            self.written.append(_Report(self.clock.monotonic(), death, result.unwrap()))
        self.withdrawn = [
            item for item in self.withdrawn if self.clock.monotonic() - item.at < MAX_COPY_AGE
        ]
        while self.written and self.clock.monotonic() - self.written[0].at > self.retention:
            report = self.written[0]
            result = self.store.delete_death(report.death.name, report.revision)
            done = is_successful(result)
            log_event("death_withdrawn", death=report.death.name, done=done)
            if not done and isinstance(result.failure(), Unavailable | RateLimited):
                return
            self.written = [item for item in self.written if item is not report]
            self.withdrawn.append(report._replace(at=self.clock.monotonic()))

    def _on_new_era(self) -> None:
        """Write all reports again, and remove those again that were removed a short time ago.

        The copy from which the store was restored may lack the former and contain the latter.
        """
        again = [report.death for report in self.written]
        self.pending = [*again, *self.pending][-MAX_PENDING_REPORTS:]
        expired = self.clock.monotonic() - 2 * self.retention
        self.written = [_Report(expired, report.death, 0) for report in self.withdrawn]
        self.withdrawn = []


def request_fingerprint(request: Request, caller: str) -> int:
    """Return a hash that is equal for repetitions of a request by the same caller."""
    path = request.target.decode("latin-1")
    body = xxhash.xxh3_64_digest(request.body)
    return fingerprint(request.method.decode("latin-1"), path, caller, body)
