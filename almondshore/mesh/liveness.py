"""Detects nodes that have stopped responding, and those that respond again."""

from collections.abc import Callable
from datetime import timedelta

import eventlet
from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Address
from almondshore.mesh.peers import ALIVE_PATH, PeerClient

# Nodes respond within a few milliseconds, busy ones within 100 ms.
PROBE_TIMEOUT = timedelta(milliseconds=250)
# A single lost packet must not make a node count as unreachable.
PROBE_ATTEMPTS = 2
# A node that responded is not probed again for overdue responses within this time.
PROBE_INTERVAL = timedelta(seconds=1)


class LivenessProber:
    """Probes nodes on new connections.

    :ivar probed_at: monotonic time of the last probe that an overdue response caused, by node
    :ivar on_unresponsive: called with the address of a node that does not respond
    """

    def __init__(
        self, *, clock: Clock, directory: Directory, pool: ConnectionPool, client: PeerClient
    ):
        self.clock = clock
        self.directory = directory
        self.pool = pool
        self.client = client
        self.probed_at: dict[Address, timedelta] = {}
        self.on_unresponsive: Callable[[Address], None] = lambda _node: None

    def suspect(self, node: Address) -> None:
        """Probe a node whose response is overdue, unless it was probed recently."""
        now = self.clock.monotonic()
        last = self.probed_at.get(node)
        if last is not None and now - last < PROBE_INTERVAL:
            return
        self.probed_at[node] = now
        eventlet.spawn(self.probe, node)

    def recheck(self, node: Address, pause: timedelta) -> None:
        """Probe an unreachable node after a pause.

        If it does not respond, it is marked unreachable again and the directory schedules another
        recheck.
        """
        hubs.get_hub().schedule_call_global(pause.total_seconds(), self._recheck, node)

    def _recheck(self, node: Address) -> None:
        if not self.directory.is_reachable(node):
            eventlet.spawn(self.probe, node)

    def retain(self, nodes: set[Address]) -> None:
        """Drop the probe times of all other nodes."""
        for node in self.probed_at.keys() - nodes:
            del self.probed_at[node]

    def probe(self, node: Address) -> bool:
        """Probe a node and update the directory.

        :return: whether the node responded
        """
        for _ in range(PROBE_ATTEMPTS):
            if self.client.get(node, ALIVE_PATH, new_connection=True) is not None:
                self.directory.mark_reachable(node)
                return True
        log_event("peer_silent", level="WARNING", peer=f"{node[0]}:{node[1]}")
        self.directory.mark_unreachable(node, "silent")
        # Further requests on its idle connections would get no response.
        self.pool.close_idle(node)
        self.probed_at.pop(node, None)
        self.on_unresponsive(node)
        return False
