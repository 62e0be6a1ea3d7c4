"""Removes the entries of hosts that disappeared without notice."""

import random
from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.mesh.directory import Directory
from almondshore.mesh.hop import MILLISECOND
from almondshore.mesh.model import Target
from almondshore.mesh.publishing import remove_entry
from almondshore.mesh.store import MeshStore

REVIEW_INTERVAL = timedelta(seconds=30)
# A host that has been unreachable for this long counts as gone. Repairs and restarts take minutes,
# and an entry that stays for a while longer only causes probes.
VANISHED_AFTER = timedelta(minutes=10)
# VANISHED_AFTER is extended by a random share of it, up to this one, so that one node removes the
# entry first and the others see the removal.
REMOVAL_JITTER = 1.0
# Minimum number of failures to reach the host in that time: a process that was suspended made no
# attempts. Probes of an unreachable node are 4 s apart.
MIN_FAILURES = 60
# If more than this share of the targets is unreachable, the fault is more likely on this host.
MAX_UNREACHABLE_SHARE = 0.5


class VanishedEntries:
    """Removes the entries of targets whose node has been unreachable for a long time.

    A node that finds the entry of its local target removed writes it again. Each node therefore
    removes the entry of one incarnation at most once: the target may be reachable for others.

    :param is_up_to_date: returns whether the directory was recently confirmed to be up to date
    :ivar due: monotonic time at which each entry is to be removed
    :ivar removed: targets and incarnations that this node has removed
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        store: MeshStore,
        is_up_to_date: Callable[[], bool],
    ):
        self.clock = clock
        self.rng = rng
        self.directory = directory
        self.store = store
        self.is_up_to_date = is_up_to_date
        self.due: dict[str, timedelta] = {}
        self.removed: set[tuple[str, int]] = set()
        # The copy from which the store is restored may bring the entries back.
        store.era.subscribe(self.removed.clear)

    def run(self) -> None:
        """Review the entries until the process ends; runs in its own greenlet."""
        while True:
            eventlet.sleep(REVIEW_INTERVAL.total_seconds())
            self.review()

    def review(self) -> None:
        """Remove the entries that are due, unless the fault may lie with this host."""
        targets = self.directory.targets
        unreachable = {
            name: since
            for name, target in targets.items()
            if (since := self.directory.unreachable_since(target.node, MIN_FAILURES)) is not None
        }
        for name in self.due.keys() - unreachable.keys():
            del self.due[name]
        for name, since in unreachable.items():
            self.due.setdefault(
                name, since + VANISHED_AFTER * (1 + REMOVAL_JITTER * self.rng.random())
            )
        if not self.is_up_to_date() or len(unreachable) > len(targets) * MAX_UNREACHABLE_SHARE:
            return
        now = self.clock.monotonic()
        due = [targets[name] for name, at in self.due.items() if at <= now]
        for target in due:
            if (target.target, target.born_ms) not in self.removed:
                self._remove(target, now - unreachable[target.target])

    def _remove(self, target: Target, unreachable: timedelta) -> None:
        done = remove_entry(self.store, self.directory, target.target)
        if done:
            self.removed.add((target.target, target.born_ms))
        log_event(
            "vanished_entry_removed",
            level="WARNING",
            target=target.target,
            service=target.service,
            peer=f"{target.node[0]}:{target.node[1]}",
            away_ms=int(unreachable / MILLISECOND),
            done=done,
        )
