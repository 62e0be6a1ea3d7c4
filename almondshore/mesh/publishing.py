"""Publishes the entry of the local target in the store."""

from datetime import timedelta

import eventlet
from eventlet.event import Event
from returns.pipeline import is_successful

from almondshore.core.logs import log_event
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Target, TargetState
from almondshore.mesh.store import Changed, MeshStore, NotFound, RateLimited, StoreError

MIN_BACKOFF = timedelta(milliseconds=200)
MAX_BACKOFF = timedelta(seconds=1)


def remove_entry(store: MeshStore, directory: Directory, name: str) -> bool:
    """Remove the entry of a target that ended without notice; returns whether it is gone."""
    result = store.delete_target(name, 0)
    gone = is_successful(result) or isinstance(result.failure(), NotFound)
    if gone:
        directory.remove(name)
    return gone


class TargetPublisher:
    """Keeps the stored entry equal to the last announcement of the local target.

    Writes are conditional, so that a delayed one cannot undo a later one.

    :ivar desired: entry to store, None before the first announcement
    :ivar stored: entry that was last written, None if it has to be written again
    :ivar revisions: last known revision of each entry
    """

    def __init__(self, *, store: MeshStore, directory: Directory):
        self.store = store
        self.directory = directory
        self.desired: Target | None = None
        self.stored: Target | None = None
        self.revisions: dict[str, int] = {}
        self.desired_changed: Event = Event()

    def publish(self, target: Target) -> None:
        """Set the entry to store, and wake the writer."""
        self.desired = target
        if not self.desired_changed.ready():
            self.desired_changed.send(None)

    def adopt(self, target: Target) -> None:
        """Take the entry of a target as stored already, by an earlier process of this node."""
        self.stored = target

    def restore(self) -> None:
        """Write the entry again: it was removed, or a read was older than the last write.

        A write that changes nothing has no effect in the store.
        """
        desired = self.desired
        if desired is None or desired != self.stored or desired.state is TargetState.GONE:
            return
        log_event("target_missing", target=desired.target)
        self.stored = None
        self.publish(desired)

    def run(self) -> None:
        """Write each new entry until the process ends; runs in its own greenlet."""
        backoff = MIN_BACKOFF
        while True:
            if self.desired == self.stored:
                self.desired_changed = Event()
                self.desired_changed.wait()
                continue
            if self.write():
                backoff = MIN_BACKOFF
            else:
                eventlet.sleep(backoff.total_seconds())
                backoff = min(MAX_BACKOFF, backoff * 2)

    def write(self) -> bool:
        """Try to write the entry once; returns whether to continue without a pause."""
        desired = self.desired
        revision = self.revisions.get(desired.target, 0)
        result = self.store.save_target(desired, revision)
        if is_successful(result):
            self.revisions[desired.target] = result.unwrap()
            self.stored = desired
            log_event(
                "target_published",
                target=desired.target,
                state=desired.state,
                sequence=desired.sequence,
                revision=result.unwrap(),
            )
            self._remove_predecessor_entries(desired)
            return True
        return self._handle_error(desired, result.failure())

    def withdraw(self) -> None:
        """Remove the entry of the local target if its state is ``GONE``."""
        entry = self.desired
        if entry is None or entry.state is not TargetState.GONE:
            return
        revision = self.revisions.get(entry.target, 0)
        if revision:
            result = self.store.delete_target(entry.target, revision)
            log_event("target_withdrawn", target=entry.target, done=is_successful(result))

    def _remove_predecessor_entries(self, target: Target) -> None:
        """Remove entries of earlier targets of this node, which ended without notice."""
        for predecessor in self.directory.predecessors(target):
            removed = remove_entry(self.store, self.directory, predecessor.target)
            log_event("target_withdrawn", target=predecessor.target, done=removed)

    def _handle_error(self, desired: Target, error: StoreError) -> bool:
        if isinstance(error, Changed):
            self.revisions[desired.target] = error.revision
            return True
        if isinstance(error, NotFound):
            self.revisions.pop(desired.target, None)
            return True
        level = "INFO" if isinstance(error, RateLimited) else "WARNING"
        log_event("target_not_published", level=level, target=desired.target, error=error)
        return False
