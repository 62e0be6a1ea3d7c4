"""Publishes the entry of the local target in the store."""

import random
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
# When an era of the store begins, all nodes write their entries again, spread over this time. The
# entries must be back within 2 s; the store takes 1,200 writes per second, of which a node may need
# two, and those of other kinds come at the same time.
ERA_WRITE_SPREAD = timedelta(milliseconds=600)
ERA_WRITES_PER_S = 400
# Entries of earlier targets may come back with the copy. They are looked for again after the nodes
# have read the store.
ERA_CLEAN_UP_DELAY = timedelta(seconds=3)


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
    :ivar restored: whether the store was restored since the entry was last written
    """

    def __init__(self, *, store: MeshStore, directory: Directory, rng: random.Random | None = None):
        self.rng = rng or random.Random()
        self.restored = False
        store.era.subscribe(self._on_new_era)
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
        """Take the entry of a target as stored already, by an earlier process of this node.

        If the store was restored meanwhile, the entry is written in any case.
        """
        if not self.restored:
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
            self.restored = False
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
        # After a restore no revision is known, but the copy may contain the entry.
        if revision or self.restored:
            result = self.store.delete_target(entry.target, revision)
            log_event("target_withdrawn", target=entry.target, done=is_successful(result))

    def _on_new_era(self) -> None:
        """Write the entry again: the store may have lost it, or have an earlier one."""
        self.revisions.clear()
        self.restored = True
        spread = max(
            ERA_WRITE_SPREAD, timedelta(seconds=len(self.directory.targets) / ERA_WRITES_PER_S)
        )
        eventlet.spawn_after((spread * self.rng.random()).total_seconds(), self._write_again)

    def _write_again(self) -> None:
        if self.restored and self.desired is not None:
            self.stored = None
            self.publish(self.desired)
            eventlet.sleep(ERA_CLEAN_UP_DELAY.total_seconds())
            self._remove_predecessor_entries(self.desired)

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
