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
    :param is_evacuated: returns whether the target's zone is evacuated and it gets no health checks
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
        is_evacuated: Callable[[], bool] = lambda: False,
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
        self.is_evacuated = is_evacuated

    def run(self) -> None:
        """Check the stored target until it is known to run; ends with its first announcement."""
        ends_at = self.clock.monotonic() + MAX_LOOKUP_TIME
        checks = 0
        while self.local.announced is None and self.clock.monotonic() < ends_at:
            target, path = self.stored_target(), self._health_path()
            if target is None or path is None or self.is_evacuated():
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

    def ask_warmth(self) -> None:
        """Start a health check if it is not known whether the target is cold."""
        path = self._health_path()
        if self.local.queue is None or path is None or self.is_evacuated():
            return
        if self.local.accepts_requests() and self.local.warmup.needs_check():
            # The check is not sent by the greenlet that counts the next one.
            self.local.warmup.on_check()
            eventlet.spawn(self._ask_warmth, path)

    def _ask_warmth(self, path: str) -> None:
        healthy = self.check(path)
        if self.local.announced is None or healthy != self.local.announced.target:
            log_event("warmth_check_failed", target=healthy or "none")
        else:
            self.local.queue.dispatch()

    def check(self, path: str) -> str:
        """Return the identity of the target that reports itself as healthy, empty if none does.

        What it says of its warm-up is noted.
        """
        asked_at = self.clock.monotonic()
        if self.local.queue is not None:
            self.local.queue.rate_limit.record_start()
        response = get_response(
            self.pool, self.app(), path.encode(), timeout=CHECK_TIMEOUT, new_connection=True
        )
        if response is None:
            return ""
        healthy = self.dialect.healthy_target(response)
        left = self.dialect.warmup_left(response)
        if healthy and left is not None:
            self.local.warmup.on_health(left, asked_at=asked_at)
        return healthy

    def _health_path(self) -> str | None:
        config = self.config()
        return config.health_paths.get(self.service()) if config is not None else None
