"""Failure detection: nodes that miss heartbeats are suspected and probed by other nodes."""

import random
from collections import deque
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import Message, PeerProbe, PeerProbeReply, Send


class DetectorLimits(NamedTuple):
    """Limits of the failure detector.

    :ivar suspect_after: time without a heartbeat after which a node is suspected; three missed
        heartbeats
    :ivar probe_timeout: time after which a suspect that is neither confirmed dead nor cleared is
        probed again
    :ivar helpers: number of other nodes that are asked to probe a suspect
    :ivar confirmations: number of helpers that must find a suspect unreachable
    :ivar max_suspect_share: share of the tracked nodes that may become suspect within
        ``suppress_window``; if more do, a fault of the observer or the network is more likely, and
        no node is declared dead
    :ivar suppress_min_suspects: number of suspects below which deaths are never suppressed, so that
        one of two or three nodes can be declared dead
    :ivar max_tick_gap: time between two ticks beyond which this observer is taken to have been
        paused
    :ivar max_nodes: maximum number of tracked nodes
    """

    suspect_after: timedelta = timedelta(seconds=6)
    probe_timeout: timedelta = timedelta(seconds=3)
    helpers: int = 3
    confirmations: int = 2
    max_suspect_share: float = 0.3
    suppress_min_suspects: int = 3
    suppress_window: timedelta = timedelta(seconds=10)
    max_tick_gap: timedelta = timedelta(seconds=2)
    max_nodes: int = 1024


class TrackedNode(NamedTuple):
    """A node whose heartbeats this relay expects, with the monotonic time of the last one."""

    address: str
    incarnation: int
    last_heartbeat_at: timedelta


class Suspicion(NamedTuple):
    """A suspected node that is being probed.

    :ivar asked: addresses of the helpers that were asked to probe the node
    :ivar since: monotonic time at which they were asked
    :ivar unreachable: addresses of the helpers that could not reach the node
    """

    probe_id: int
    asked: tuple[str, ...]
    since: timedelta
    unreachable: frozenset[str]


class FailureDetector:
    """Detects dead nodes among those that heartbeat to this relay.

    At ``max_nodes`` further nodes are not tracked; the relay refuses subscribers before that.

    :ivar suspected_at: monotonic times at which nodes became suspect within ``suppress_window``
    :ivar suppressed_until: monotonic time until which no node is declared dead
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        address: str,
        limits: DetectorLimits | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.address = address
        self.limits = limits or DetectorLimits()
        self.nodes: dict[str, TrackedNode] = {}
        self.suspects: dict[str, Suspicion] = {}
        self.suspected_at: deque[timedelta] = deque()
        self.suppressed_until = timedelta()
        self.dead: list[str] = []
        self.next_probe_id = rng.getrandbits(32)
        self.last_tick = clock.monotonic()

    @property
    def suppressing(self) -> bool:
        """Whether no node is declared dead, because too many are suspect or recently became so."""
        return self.clock.monotonic() < self.suppressed_until or self._too_many(len(self.suspects))

    def record_heartbeat(self, node: str, address: str, incarnation: int) -> None:
        """Record a heartbeat of a node and clear a suspicion of it."""
        if node not in self.nodes and len(self.nodes) >= self.limits.max_nodes:
            return
        self.nodes[node] = TrackedNode(address, incarnation, self.clock.monotonic())
        self.suspects.pop(node, None)

    def track(self, node: str, address: str) -> None:
        """Track a node that has sent no heartbeat yet, as if it had just sent one."""
        if node not in self.nodes:
            self.record_heartbeat(node, address, 0)

    def untrack(self, node: str) -> None:
        """Stop tracking a node that uses another relay or is gone."""
        self.nodes.pop(node, None)
        self.suspects.pop(node, None)

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle the probe results of helpers."""
        if not isinstance(message, PeerProbeReply):
            return []
        suspicion = self.suspects.get(message.suspect)
        if suspicion is None or message.probe_id != suspicion.probe_id:
            return []
        if sender not in suspicion.asked:
            return []
        if message.reachable:
            self.untrack(message.suspect)
            return []
        unreachable = suspicion.unreachable | {sender}
        self.suspects[message.suspect] = suspicion._replace(unreachable=unreachable)
        self._declare_dead_if_confirmed(message.suspect)
        return []

    def tick(self, helpers: Callable[[], Sequence[str]]) -> list[Send]:
        """Suspect nodes that miss heartbeats and ask helpers to probe them.

        :param helpers: returns addresses of nodes that can probe, those in this zone first
        """
        now = self.clock.monotonic()
        gap, self.last_tick = now - self.last_tick, now
        if gap > self.limits.max_tick_gap:
            self._reset_timers(now)
            return []
        silent = [
            node
            for node, tracked in self.nodes.items()
            if now - tracked.last_heartbeat_at >= self.limits.suspect_after
        ]
        new = [node for node in silent if node not in self.suspects]
        self._suppress_if_too_many(len(new), now)
        stale = [n for n, s in self.suspects.items() if now - s.since >= self.limits.probe_timeout]
        return [send for node in new + stale for send in self._probe(node, helpers(), now)]

    def take_dead(self) -> list[str]:
        """Return the nodes that were declared dead since the last call."""
        dead, self.dead = self.dead, []
        return dead

    def _reset_timers(self, now: timedelta) -> None:
        """Restart the heartbeat time-outs of all nodes after a pause of this observer."""
        self.suspects.clear()
        self.nodes = {
            node: tracked._replace(last_heartbeat_at=now) for node, tracked in self.nodes.items()
        }

    def _suppress_if_too_many(self, new: int, now: timedelta) -> None:
        self.suspected_at.extend([now] * new)
        while self.suspected_at and now - self.suspected_at[0] > self.limits.suppress_window:
            self.suspected_at.popleft()
        if self._too_many(len(self.suspected_at)):
            self.suppressed_until = now + self.limits.suppress_window

    def _too_many(self, suspects: int) -> bool:
        enough = suspects >= self.limits.suppress_min_suspects
        return enough and suspects > self.limits.max_suspect_share * len(self.nodes)

    def _probe(self, node: str, helpers: Sequence[str], now: timedelta) -> list[Send]:
        address = self.nodes[node].address
        others = [helper for helper in helpers if helper not in (address, self.address)]
        asked = others[: self.limits.helpers]
        self.next_probe_id += 1
        suspicion = Suspicion(self.next_probe_id, tuple(asked), now, frozenset())
        self.suspects[node] = suspicion
        probe = PeerProbe(suspicion.probe_id, node, address, self.address)
        return [Send(helper, probe) for helper in asked]

    def _declare_dead_if_confirmed(self, node: str) -> None:
        suspicion = self.suspects[node]
        required = min(self.limits.confirmations, len(suspicion.asked))
        if self.suppressing or len(suspicion.unreachable) < required:
            return
        self.untrack(node)
        self.dead.append(node)
