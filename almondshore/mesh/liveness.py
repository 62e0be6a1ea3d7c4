"""Finds nodes that have gone silent while requests wait for them, and those that are back."""

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

# Nodes answer within a few milliseconds; a busy one has been seen to take 100 ms.
PROBE_TIMEOUT = timedelta(milliseconds=250)
# A single lost packet must not condemn a node.
PROBE_ATTEMPTS = 2
# A node that answered is not asked again within this time.
PROBE_INTERVAL = timedelta(seconds=1)


class LivenessProber:
    """Asks a node whether it is there, on a new connection.

    :ivar on_lost: called with a node that does not answer
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
        """Ask a node from which a response is overdue."""
        now = self.clock.monotonic()
        last = self.probed_at.get(node)
        if last is not None and now - last < PROBE_INTERVAL:
            return
        self.probed_at[node] = now
        eventlet.spawn(self.probe, node)

    def recheck(self, node: Address, pause: timedelta) -> None:
        """Ask a node that could not be reached again after a pause.

        One that does not answer is asked again, since the directory takes note of it.
        """
        hubs.get_hub().schedule_call_global(pause.total_seconds(), self._recheck, node)

    def _recheck(self, node: Address) -> None:
        if not self.directory.is_reachable(node):
            eventlet.spawn(self.probe, node)

    def retain(self, nodes: set[Address]) -> None:
        """Forget when other nodes were asked."""
        for node in self.probed_at.keys() - nodes:
            del self.probed_at[node]

    def probe(self, node: Address) -> bool:
        """Ask a node; returns whether it answered."""
        for _ in range(PROBE_ATTEMPTS):
            if self.client.get(node, ALIVE_PATH, new_connection=True) is not None:
                self.directory.mark_reachable(node)
                return True
        log_event("peer_silent", level="WARNING", peer=f"{node[0]}:{node[1]}")
        self.directory.mark_unreachable(node, "silent")
        # Connections that were idle when the node went silent would swallow further requests.
        self.pool.drop(node)
        self.probed_at.pop(node, None)
        self.on_unresponsive(node)
        return False
