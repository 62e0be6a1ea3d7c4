"""Uses the target of an earlier process of the node before the target's next announcement."""

from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
from almondshore.mesh.dialect import Dialect
from almondshore.mesh.directory import Directory
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.model import Address, MeshConfig, Target, TargetState
from almondshore.mesh.peers import get_response

# A health check waits for a slot of the target, like any other request.
CHECK_TIMEOUT = timedelta(milliseconds=700)
CHECK_INTERVAL = timedelta(milliseconds=300)
# Each check is charged.
MAX_CHECKS = 3
# How often a node that has just started looks whether it knows its target and its health path.
LOOKUP_INTERVAL = timedelta(milliseconds=20)
# By then a target that runs has announced itself.
MAX_LOOKUP_TIME = timedelta(seconds=3)


class TargetAdopter:
    """Finds out whether the target that the store lists for this node still runs.

    Targets announce themselves every 1.5 s, so a node that starts again would refuse requests for
    up to that time. Neither a target that is leaving nor another one reports the stored target as
    healthy.

    :param node: address at which this node accepts requests for its target
    :param service: returns the service of this node's target
    :param app: returns the address of the local target
    :param config: returns the configuration in effect
    :param adopt: called with the stored entry of a target that runs and has not announced itself
    """

    def __init__(
        self,
        *,
        clock: Clock,
        dialect: Dialect,
        pool: ConnectionPool,
        local: LocalTarget,
        directory: Directory,
        node: Address,
        service: Callable[[], str],
        app: Callable[[], Address],
        config: Callable[[], MeshConfig | None],
        adopt: Callable[[Target], None],
    ):
        self.clock = clock
        self.dialect = dialect
        self.pool = pool
        self.local = local
        self.directory = directory
        self.node = node
        self.service = service
        self.app = app
        self.config = config
        self.adopt = adopt

    def run(self) -> None:
        """Check the stored target until it is known to run; ends with its first announcement."""
        ends_at = self.clock.monotonic() + MAX_LOOKUP_TIME
        checks = 0
        while self.local.announced is None and self.clock.monotonic() < ends_at:
            target, path = self.stored_target(), self._health_path()
            if target is None or path is None:
                eventlet.sleep(LOOKUP_INTERVAL.total_seconds())
                continue
            healthy = self.check(path)
            if self.local.announced is not None:
                return
            log_event("target_checked", target=target.target, healthy=healthy)
            if healthy == target.target:
                self.adopt(target)
                return
            checks += 1
            if checks == MAX_CHECKS:
                return
            eventlet.sleep(CHECK_INTERVAL.total_seconds())

    def stored_target(self) -> Target | None:
        """Return the newest stored target of this node, None if it has none that is ready."""
        if not self.local.store_read:
            return None
        entries = [item for item in self.directory.targets.values() if item.node == self.node]
        newest = max(entries, key=lambda item: item.born_ms, default=None)
        if newest is None or newest.state is not TargetState.READY:
            return None
        return newest if newest.service == self.service() else None

    def check(self, path: str) -> str:
        """Return the identity of the target that reports itself as healthy, empty if none does."""
        response = get_response(
            self.pool, self.app(), path.encode(), timeout=CHECK_TIMEOUT, new_connection=True
        )
        return self.dialect.healthy_target(response) if response is not None else ""

    def _health_path(self) -> str | None:
        config = self.config()
        return config.health_paths.get(self.service()) if config is not None else None
