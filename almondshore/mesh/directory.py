"""Targets of all hosts, as known from the store, and the nodes that are unreachable."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.mesh.changes import ChangeLog, StateKind
from almondshore.mesh.model import Address, Target, TargetState

# An unreachable node is probed again after this pause, which doubles with each consecutive failure.
# It gets no requests until it responds: a request to a host that is gone is late at best.
UNREACHABLE_PAUSE = timedelta(milliseconds=400)
MAX_UNREACHABLE_PAUSE = timedelta(seconds=4)


class _Reachability:
    """Consecutive failures to reach a node, since when, and the time of the next attempt."""

    __slots__ = ("failures", "since", "retry_at")

    def __init__(self, since: timedelta) -> None:
        self.failures = 0
        self.since = since
        self.retry_at = timedelta()


class Directory:
    """Entries of targets by name; those of one name are ordered by incarnation and sequence.

    :param changes: records each change of an entry
    :ivar evacuated_zones: zones whose targets get no requests
    :ivar leaving: start of each incarnation of which another node has reported that it leaves
    :ivar on_change: called after the set of targets has changed
    :ivar on_unreachable: called with an unreachable node, and the pause after which it is to be
        probed
    """

    def __init__(self, *, clock: Clock, changes: ChangeLog | None = None):
        self.clock = clock
        self.changes = changes or ChangeLog()
        self.targets: dict[str, Target] = {}
        self.services: dict[str, list[Target]] = {}
        self.nodes: dict[Address, _Reachability] = {}
        self.refused_until: dict[str, timedelta] = {}
        self.leaving: dict[str, int] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = lambda: None
        self.on_unreachable: Callable[[Address, timedelta], None] = lambda _node, _pause: None

    def put(self, target: Target) -> None:
        """Add or update an entry; an older one is ignored."""
        self.merge([target], ())

    def remove(self, name: str) -> None:
        """Remove an entry, if it is known."""
        self.merge((), [name])

    def replace(self, targets: Iterable[Target]) -> bool:
        """Replace all entries by those of a complete list, even by older ones.

        :return: whether any entry changed
        """
        old, self.targets = self.targets, {target.target: target for target in targets}
        for name in old.keys() - self.targets.keys():
            self.changes.record_removal(StateKind.TARGET, name)
        for name, target in self.targets.items():
            if old.get(name) != target:
                self.changes.record_change(StateKind.TARGET, name)
        self._index()
        return old != self.targets

    def merge(self, targets: Iterable[Target], removed: Iterable[str]) -> None:
        """Add or update entries, ignoring older ones, and remove others."""
        changed = False
        for name in removed:
            if self.targets.pop(name, None) is not None:
                self.changes.record_removal(StateKind.TARGET, name)
                changed = True
        for target in targets:
            known = self.targets.get(target.target)
            if known is not None and (
                known == target or _entry_order(target) < _entry_order(known)
            ):
                continue
            self.targets[target.target] = target
            self.changes.record_change(StateKind.TARGET, target.target)
            changed = True
        if changed:
            self._index()

    def ready(self, service: str) -> list[Target]:
        """Return the targets of a service that may get requests now."""
        now = self.clock.monotonic()
        candidates = self.services.get(service, [])
        if self.evacuated_zones:
            candidates = [item for item in candidates if item.zone not in self.evacuated_zones]
        usable = [target for target in candidates if self._is_usable(target, now)]
        if usable:
            return usable
        # Otherwise targets of unreachable nodes are worth a try: the failure may have passed.
        return [
            target for target in candidates if self.refused_until.get(target.target, now) <= now
        ]

    def predecessors(self, target: Target) -> list[Target]:
        """Return the entries of earlier targets of the same node."""
        return [
            entry
            for entry in self.targets.values()
            if entry.node == target.node
            and entry.target != target.target
            and entry.born_ms < target.born_ms
        ]

    def versions(self, service: str) -> dict[str, list[Target]]:
        """Return the ready targets of a service by version."""
        versions: dict[str, list[Target]] = {}
        for target in self.ready(service):
            versions.setdefault(target.version, []).append(target)
        return versions

    def is_reachable(self, node: Address) -> bool:
        """Return whether no attempt to reach a node has failed since it last responded."""
        return node not in self.nodes

    def unreachable_since(self, node: Address, failures: int) -> timedelta | None:
        """Return the time since which a node has been unreachable, or None.

        :param failures: attempts that must have failed since; with fewer, the result is None
        """
        state = self.nodes.get(node)
        return state.since if state is not None and state.failures >= failures else None

    def mark_unreachable(self, node: Address, reason: str) -> None:
        """Record a failure to reach a node; further ones are ignored until the next attempt."""
        now = self.clock.monotonic()
        state = self.nodes.setdefault(node, _Reachability(now))
        if state.failures and now < state.retry_at:
            return
        pause = min(MAX_UNREACHABLE_PAUSE, UNREACHABLE_PAUSE * 2 ** min(state.failures, 4))
        state.failures += 1
        state.retry_at = now + pause
        if state.failures == 1:
            log_event("peer_lost", peer=f"{node[0]}:{node[1]}", reason=reason)
        self.on_unreachable(node, pause)

    def mark_reachable(self, node: Address) -> None:
        """Record that a node responded."""
        state = self.nodes.pop(node, None)
        if state is not None:
            log_event("peer_regained", peer=f"{node[0]}:{node[1]}", failures=state.failures)

    def pause_target(self, name: str, pause: timedelta) -> None:
        """Exclude a target that refused for a reason other than load from selection for a while."""
        self.refused_until[name] = self.clock.monotonic() + pause

    def delay_target(self, name: str, pause: timedelta) -> None:
        """Exclude a target from selection for a while, or for longer if it already is."""
        until = self.clock.monotonic() + pause
        self.refused_until[name] = max(until, self.refused_until.get(name, until))

    def mark_leaving(self, target: Target) -> None:
        """Leave out a target for good, but not a later incarnation of it.

        Its node may start again and not know of the departure, as long as the store does not
        respond.
        """
        if self.leaving.get(target.target) != target.born_ms:
            self.leaving[target.target] = target.born_ms
            log_event("target_leaving", target=target.target, born_ms=target.born_ms)
            self._index()

    def _is_usable(self, target: Target, now: timedelta) -> bool:
        if target.node in self.nodes:
            return False
        until = self.refused_until.get(target.target)
        return until is None or until <= now

    def _index(self) -> None:
        # A node has one target at a time; entries of earlier ones are outdated.
        newest: dict[Address, Target] = {}
        for target in self.targets.values():
            known = newest.get(target.node)
            if known is None or target.born_ms > known.born_ms:
                newest[target.node] = target
        services: dict[str, list[Target]] = {}
        for target in newest.values():
            is_leaving = self.leaving.get(target.target, -1) >= target.born_ms
            if target.state is TargetState.READY and not is_leaving:
                services.setdefault(target.service, []).append(target)
        self.services = services
        known_nodes = {target.node for target in self.targets.values()}
        for node in self.nodes.keys() - known_nodes:
            del self.nodes[node]
        for by_name in (self.refused_until, self.leaving):
            for name in by_name.keys() - self.targets.keys():
                del by_name[name]
        self.on_change()


def _entry_order(target: Target) -> tuple[int, int, int]:
    """Return the sort key for entries of one target; at equal sequence the later state wins."""
    return target.born_ms, target.sequence, list(TargetState).index(target.state)
