"""Probing of suspect nodes on behalf of relays."""

from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.messages import Message, PeerProbe, PeerProbeReply, Send

PROBE_TIMEOUT = timedelta(seconds=1)
MAX_PENDING_PROBES = 256


class PendingProbe(NamedTuple):
    """A probe that waits for a reply until a monotonic time."""

    probe: PeerProbe
    deadline: timedelta


class Prober:
    """Replies to probes of this node and probes suspects for relays.

    A probe is reported as failed only if this node was running when it timed out: after a pause
    of this node all pending probes are dropped. At ``max_pending`` further requests are dropped.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        incarnation: int,
        timeout: timedelta = PROBE_TIMEOUT,
        max_pending: int = MAX_PENDING_PROBES,
    ):
        self.clock = clock
        self.node = node
        self.incarnation = incarnation
        self.timeout = timeout
        self.max_pending = max_pending
        self.pending: dict[tuple[str, int], PendingProbe] = {}
        self.last_tick = clock.monotonic()

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle probes of this node, probe requests of relays and replies of suspects."""
        match message:
            case PeerProbe() if message.suspect == self.node:
                reply = PeerProbeReply(message.probe_id, self.node, True, self.incarnation)
                return [Send(sender, reply)]
            case PeerProbe() if sender == message.asker and len(self.pending) < self.max_pending:
                deadline = self.clock.monotonic() + self.timeout
                self.pending[message.suspect, message.probe_id] = PendingProbe(message, deadline)
                return [Send(message.address, message)]
            case PeerProbeReply(probe_id, suspect):
                pending = self.pending.pop((suspect, probe_id), None)
                return [Send(pending.probe.asker, message)] if pending else []
        return []

    def tick(self) -> list[Send]:
        """Report the probes that timed out to the relays that requested them."""
        now = self.clock.monotonic()
        paused, self.last_tick = now - self.last_tick > self.timeout, now
        if paused:
            self.pending.clear()
        late = [key for key, pending in self.pending.items() if pending.deadline <= now]
        sends = []
        for key in late:
            probe = self.pending.pop(key).probe
            reply = PeerProbeReply(probe.probe_id, probe.suspect, False, 0)
            sends.append(Send(probe.asker, reply))
        return sends
