"""A node of the mesh, from the start of its listeners to its graceful stop."""

import os
import random
from datetime import timedelta

import eventlet
from eventlet import hubs
from eventlet.event import Event

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.core.workers import spawn_worker
from almondshore.http.client import ConnectionPool
from almondshore.http.server import ExchangeHandler, HttpServer, ServerLimits
from almondshore.mesh.components import NodeComponents
from almondshore.mesh.dialect import Dialect
from almondshore.mesh.listeners import DEFAULT_LIMITS, ListenError, Listeners, ReadinessHandler
from almondshore.mesh.metrics import MetricsHandler
from almondshore.mesh.model import Announcement
from almondshore.mesh.settings import MeshSettings
from almondshore.mesh.store import MeshStore

# Callers stop sending requests to a node after two failed readiness checks, one per second.
MIN_STOP_TIME = timedelta(seconds=2.6)
# Requests that still run after this share of the grace period are abandoned.
MAX_STOP_GRACE_SHARE = 0.9
# Time limit for removing the entry of a target that is gone before the process exits, since the
# store may be slow.
WITHDRAW_TIMEOUT = timedelta(milliseconds=200)
STOP_POLL_INTERVAL_S = 0.05
HOUSEKEEPING_INTERVAL_S = 0.25
EXPIRE_EVERY_TICKS = 8
# A port that another process holds at the start is tried again for this long.
LISTEN_TIMEOUT = timedelta(seconds=15)


class MeshNode(NodeComponents):
    """Runs the components of a node, from the start of its listeners to its graceful stop.

    :param config_name: name of the stored item that holds the configuration
    :param log_stream: buffers log lines and is flushed periodically
    """

    def __init__(
        self,
        *,
        settings: MeshSettings,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        store: MeshStore,
        pool: ConnectionPool,
        config_name: str,
        log_stream: BoundedStream,
    ):
        super().__init__(
            settings=settings,
            clock=clock,
            rng=rng,
            dialect=dialect,
            store=store,
            pool=pool,
            config_name=config_name,
        )
        self.log_stream = log_stream
        self.stopping_since: timedelta | None = None
        self.ticks = 0
        self.listeners = Listeners(clock=clock, pool=pool)
        self.servers = self.listeners.servers

    def start(self, announcements: ExchangeHandler) -> None:
        """Open the listeners and start the background workers.

        Listeners that are open answer as not ready while others wait for their address.

        :param announcements: handles announcements and deregistrations of the local target
        :raises ListenError: if an address stays in use
        """
        settings = self.settings
        self._housekeeping()
        self.outbound_server = self._listen("outbound", self.outbound, self._caller_limits)
        self.inbound_server = self._listen("inbound", self.inbound)
        self._listen("ready", ReadinessHandler(is_ready=self.is_ready))
        self._listen("control", announcements)
        self._listen("metrics", MetricsHandler(metrics=self.metrics, node=self))
        workers = (self.adopter, self.death_reporter, self.publisher, self.driver, self.vanished)
        self.greenlets = [spawn_worker(type(item).__name__, item.run) for item in workers]
        self.feeds.start()
        log_event(
            "node_started",
            node=settings.node,
            zone=settings.zone,
            service=settings.service,
            outbound=f"{settings.outbound[0]}:{settings.outbound[1]}",
            process=os.getpid(),
        )

    def close(self) -> None:
        """Stop the workers and listeners immediately, for a node embedded in another program."""
        self.feeds.kill()
        if self.quota is not None:
            self.quota.network.close()
        for greenlet in self.greenlets:
            greenlet.kill()
        self.listeners.close()
        self.housekeeping_timer.cancel()
        # A late response of the store would start the replicas again.
        self.store.era.listeners.clear()

    def is_ready(self) -> bool:
        """Return whether the node accepts new requests of callers."""
        return self.outbound.config is not None and self.stopping_since is None

    def on_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the local target.

        Announcements of another service or address are logged and ignored.
        """
        self.registration.on_announcement(announcement)

    def on_deregistration(self, target: str, born_ms: int | None) -> None:
        """Apply the deregistration of the local target.

        :param born_ms: start of the target in Unix milliseconds; None for the current incarnation
        """
        self.registration.on_deregistration(target, born_ms)

    def apply_settings(self, settings: MeshSettings) -> None:
        """Apply changed settings, except for the addresses of listeners."""
        listeners = ("outbound", "inbound", "ready", "control", "metrics")
        current_addresses = {name: getattr(self.settings, name) for name in listeners}
        self.settings = settings._replace(**current_addresses)
        self.local.drain = settings.bounds.drain
        self.local.warmup.bound = settings.bounds.warmup
        self.inbound.executor.app = settings.app
        if self.quota is not None:
            self.quota.apply_bound(settings.bounds.quota)
        self.store.set_address(settings.store)
        self.set_retry_budget()

    def stop(self) -> None:
        """Begin a graceful stop, in which running requests are completed."""
        if self.stopping_since is not None:
            return
        self.stopping_since = self.clock.monotonic()
        self.inbound.leaving = True
        if self.quota is not None:
            self.quota.leave()
        self.outbound_server.drain()
        log_event(
            "node_stopping",
            node=self.settings.node,
            outbound=len(self.outbound.active),
            inbound=len(self.inbound.active),
        )

    def run_until_stopped(self) -> None:
        """Block until the process may exit, then remove the entry of a target that is gone."""
        while not self._may_exit():
            eventlet.sleep(STOP_POLL_INTERVAL_S if self.stopping_since is not None else 1.0)
        with eventlet.Timeout(WITHDRAW_TIMEOUT.total_seconds(), False):
            if self._has_target_ended():
                self.publisher.withdraw()
        stopped_for = self.clock.monotonic() - (self.stopping_since or self.clock.monotonic())
        self.listeners.finish(self.settings.bounds.grace - stopped_for)
        log_event(
            "node_stopped",
            node=self.settings.node,
            outbound=len(self.outbound.active),
            inbound=len(self.inbound.active),
        )
        self.log_stream.drain()

    def _has_target_ended(self) -> bool:
        """Return whether the local target refuses connections.

        A target may serve for some time after its deregistration. Its entry in the store then keeps
        requests from it after this process has ended.
        """
        refused: Event = Event()
        self.pool.check(self.settings.app, refused.send)
        return refused.wait()

    def _may_exit(self) -> bool:
        if self.stopping_since is None:
            return False
        elapsed = self.clock.monotonic() - self.stopping_since
        if elapsed >= self.settings.bounds.grace * MAX_STOP_GRACE_SHARE:
            return True
        if elapsed < MIN_STOP_TIME:
            return False
        self.outbound.closed = self.inbound.closed = True
        self.outbound_server.close_idle()
        busy = self.outbound.active or self.inbound.active
        return not busy and not self.listeners.has_unsent()

    def _housekeeping(self) -> None:
        self.housekeeping_timer = hubs.get_hub().schedule_call_global(
            HOUSEKEEPING_INTERVAL_S, self._housekeeping
        )
        self.ticks += 1
        self.local.enforce_drain()
        self.local.warmup.tick()
        self.adopter.ask_warmth()
        if self.local.queue is not None and self.local.queue.waiting:
            self.local.queue.dispatch()
        self.log_stream.drain()
        if self.ticks % EXPIRE_EVERY_TICKS == 0:
            self.pool.expire()

    def _caller_limits(self) -> ServerLimits:
        config = self.outbound.config
        return config.limits if config is not None else DEFAULT_LIMITS

    def _listen(
        self, listener: str, handler: ExchangeHandler, limits=lambda: DEFAULT_LIMITS
    ) -> HttpServer:
        """Open a listener, and wait for a while if its address is in use.

        :param listener: name of its address in the settings
        :raises ListenError: if it cannot be opened
        """
        address = getattr(self.settings, listener)
        try:
            return self.listeners.open(
                listener, address, handler, limits=limits, timeout=LISTEN_TIMEOUT
            )
        except OSError as error:
            raise ListenError(listener, address, error) from error
