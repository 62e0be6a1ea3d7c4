"""A node of the mesh: its listeners, state and lifecycle."""

import errno
import os
import random
from collections.abc import Callable
from datetime import timedelta

import eventlet
from eventlet import hubs
from eventlet.event import Event

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.core.workers import spawn_worker
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import Response
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import Exchange, ExchangeHandler, HttpServer, ServerLimits
from almondshore.mesh.adoption import TargetAdopter
from almondshore.mesh.change_server import CHANGES_PATH, MAX_STATE_AGE
from almondshore.mesh.changes import ChangeLog
from almondshore.mesh.collection import EvidenceCollector
from almondshore.mesh.crashes import DeathReporter
from almondshore.mesh.dialect import Dialect
from almondshore.mesh.directory import Directory
from almondshore.mesh.driver import RolloutDriver
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.feeds import StateFeeds
from almondshore.mesh.handover import HANDOVER_PATH, RolloutHandover
from almondshore.mesh.inbound import Inbound
from almondshore.mesh.liveness import PROBE_TIMEOUT, LivenessProber
from almondshore.mesh.local import AnnouncementResult, LocalTarget
from almondshore.mesh.metrics import MeshMetrics, MetricsHandler
from almondshore.mesh.model import (
    Address,
    Announcement,
    Death,
    MeshConfig,
    Target,
    WarmupLimit,
)
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.peers import InternalHandler, PeerClient
from almondshore.mesh.publishing import TargetPublisher
from almondshore.mesh.settings import MeshSettings
from almondshore.mesh.store import MeshStore
from almondshore.mesh.vanished import VanishedEntries
from almondshore.mesh.versions import VersionShares
from almondshore.placement.evacuation import ZONE_EVACUATED, ZoneEvacuations
from almondshore.placement.warmup import UNCONFIGURED_LIMIT
from almondshore.quotas.client import DistributedQuota
from almondshore.quotas.transport import UdpNetwork
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import QUARANTINE, CrashGuard
from almondshore.routing.completion import CompletionChooser
from almondshore.transfers.queue import TransferQueue

# Limits before a configuration is known, and of listeners that do not serve callers.
DEFAULT_LIMITS = ServerLimits(
    RequestLimits(64 * 1024, 64 * 1024 * 1024), timedelta(seconds=10), timedelta(seconds=60)
)
# Callers stop sending requests to a node after two failed readiness checks, one per second.
MIN_STOP_TIME = timedelta(seconds=2.6)
# Requests that still run after this share of the grace period are abandoned.
MAX_STOP_GRACE_SHARE = 0.9
# Time limit for removing the entry of a target that is gone before the process exits, since the
# store may be slow.
WITHDRAW_TIMEOUT = timedelta(milliseconds=200)
STOP_POLL_INTERVAL_S = 0.05
# Time limit for refusing the requests that arrive while the process is about to exit.
LAST_RESPONSES_TIMEOUT = timedelta(milliseconds=200)
HOUSEKEEPING_INTERVAL_S = 0.25
EXPIRE_EVERY_TICKS = 8
# A port that another process holds at the start is tried again for this long.
LISTEN_TIMEOUT = timedelta(seconds=15)
LISTEN_RETRY_INTERVAL_S = 0.1


def _call_later(delay: timedelta, function: Callable[[], None]) -> None:
    hubs.get_hub().schedule_call_global(delay.total_seconds(), function)


class ListenError(Exception):
    """A listener could not be opened."""

    def __init__(self, listener: str, address: Address, error: OSError):
        super().__init__(f"listen.{listener}: {address[0]}:{address[1]}: {error.strerror or error}")


class ReadinessHandler(ExchangeHandler):
    """Answers readiness checks."""

    def __init__(self, *, node: "MeshNode"):
        self.node = node

    def handle(self, exchange: Exchange) -> None:
        """Respond with status 200 if the node is ready, else 503."""
        exchange.respond(Response(200 if self.node.is_ready() else 503))


class MeshNode:
    """Creates, connects and runs the components of a node.

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
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.store = store
        self.pool = pool
        self.log_stream = log_stream
        self.stopping_since: timedelta | None = None
        self.ticks = 0
        self.metrics = MeshMetrics(node=settings.node, zone=settings.zone)
        self.changes = ChangeLog(epoch=f"{rng.getrandbits(64):016x}")
        self.directory = Directory(clock=clock, changes=self.changes)
        self.local = LocalTarget(
            clock=clock,
            node=settings.inbound,
            drain=settings.bounds.drain,
            link_mbps=settings.link_mbps,
        )
        self.local.schedule = _call_later
        self.local.on_departure = self._publish
        self.local.warmup.bound = settings.bounds.warmup
        self.local.warmup.limit = self._warmup_limit
        self.evacuations = ZoneEvacuations(
            rng=rng,
            directory=self.directory,
            node=settings.inbound,
            own_zones=self._own_zones,
            config=self.config,
        )
        self.recorder = ResultRecorder(clock=clock)
        self.shares = VersionShares(rng=rng)
        self.budget = RetryBudget(clock=clock)
        self.guard = CrashGuard(clock=clock)
        self.chooser = CompletionChooser(
            clock=clock,
            rng=rng,
            zone=settings.zone,
            node=settings.inbound,
            link_mbps=settings.link_mbps,
        )
        internal = InternalHandler(local=self.local, recorder=self.recorder)
        self.inbound = Inbound(
            clock=clock,
            dialect=dialect,
            pool=pool,
            app=settings.app,
            local=self.local,
            recorder=self.recorder,
            config_version=lambda: self.outbound.config_version(),
            internal=internal,
        )
        self.outbound = Outbound(
            clock=clock,
            rng=rng,
            dialect=dialect,
            directory=self.directory,
            chooser=self.chooser,
            shares=self.shares,
            budget=self.budget,
            guard=self.guard,
            pool=pool,
            inbound=self.inbound,
            node=settings.inbound,
            caller=lambda: self.settings.service,
            on_version=lambda node, version: self.feeds.peers.on_peer_version(node, version),
            observe=self.metrics.observe,
        )
        self.prober = LivenessProber(
            clock=clock,
            directory=self.directory,
            pool=pool,
            client=PeerClient(pool=pool, timeout=PROBE_TIMEOUT),
        )
        self.prober.on_unresponsive = self.outbound.on_unresponsive
        self.directory.on_unreachable = self.prober.recheck
        self.outbound.suspect = self.prober.suspect
        self.publisher = TargetPublisher(store=store, directory=self.directory)
        self.adopter = TargetAdopter(
            clock=clock,
            dialect=dialect,
            pool=pool,
            local=self.local,
            directory=self.directory,
            node=settings.inbound,
            service=lambda: self.settings.service,
            app=lambda: self.settings.app,
            config=self.config,
            adopt=self._adopt,
            is_evacuated=lambda: self.evacuations.own_evacuated,
        )
        self.death_reporter = DeathReporter(clock=clock, store=store, retention=QUARANTINE)
        self.inbound.on_death = self._on_death
        self.inbound.transfers.queue = TransferQueue(
            clock=clock, link_mbps=settings.link_mbps, schedule=_call_later
        )
        client = PeerClient(pool=pool)
        self.feeds = StateFeeds(
            clock=clock,
            rng=rng,
            store=store,
            client=client,
            outbound=self.outbound,
            directory=self.directory,
            shares=self.shares,
            guard=self.guard,
            changes=self.changes,
            node=settings.inbound,
            zone=settings.zone,
            config_name=config_name,
            first_start=settings.first_start,
            evacuates=settings.bounds.evacuation is not None,
        )
        self.outbound.config_age = self.feeds.follower.age
        self.outbound.is_evacuated = self.feeds.evacuations.is_evacuated
        self.feeds.evacuations.on_change = lambda: self.evacuations.apply(
            frozenset(self.feeds.evacuations.by_zone)
        )
        self.inbound.is_evacuated = lambda: self.evacuations.own_evacuated
        self.evacuations.on_begin = lambda: self.inbound.refuse_waiting(ZONE_EVACUATED)
        self.evacuations.on_end = self.local.warmup.on_evacuation_end
        self.quota = self._make_quota()
        if self.quota is not None:
            self.outbound.quota = self.quota
        self.feeds.on_config = self._on_config
        handover = RolloutHandover(rng=rng, client=client, store=store)
        internal.handlers = {CHANGES_PATH: self.feeds.server, HANDOVER_PATH: handover}
        self.driver = RolloutDriver(
            clock=clock,
            service=lambda: self.settings.service if self.local.announced else "",
            local_evidence=internal.evidence,
            bound=lambda: self.settings.bounds.exposure,
            collector=EvidenceCollector(
                node=settings.inbound,
                directory=self.directory,
                client=client,
                local_evidence=internal.evidence,
            ),
            rollouts=self.feeds.rollouts,
            handover=handover,
        )
        self.vanished = VanishedEntries(
            clock=clock,
            rng=rng,
            directory=self.directory,
            store=store,
            is_up_to_date=lambda: self.feeds.follower.age() <= MAX_STATE_AGE,
        )
        internal.order_age = self.driver.order_age
        self.inbound.is_retired = self._is_retired
        self.directory.on_change = self._on_directory_change
        self.servers: list[HttpServer] = []

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
        self._listen("ready", ReadinessHandler(node=self))
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
        for server in self.servers:
            server.close()
        self.housekeeping_timer.cancel()
        # A late response of the store would start the replicas again.
        self.store.era.listeners.clear()

    def config(self) -> MeshConfig | None:
        """Return the configuration in effect."""
        return self.outbound.config

    def is_ready(self) -> bool:
        """Return whether the node accepts new requests of callers."""
        return self.outbound.config is not None and self.stopping_since is None

    def on_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the local target.

        Announcements of another service or address are logged and ignored.
        """
        self._apply_announcement(announcement, is_heartbeat=True)

    def _apply_announcement(self, announcement: Announcement, *, is_heartbeat: bool) -> None:
        if (
            announcement.service != self.settings.service
            or announcement.address != self.settings.app
        ):
            log_event(
                "announcement_foreign",
                level="WARNING",
                target=announcement.target,
                service=announcement.service,
                address=announcement.address,
            )
            return
        previous = self.local.announced
        result = self.local.announce(announcement, is_heartbeat=is_heartbeat)
        self.inbound.target_down_until = timedelta()
        if result is not AnnouncementResult.ACCEPTED:
            return
        self.evacuations.update_own_zone()
        if (
            previous is None
            or previous.target != announcement.target
            or previous.born_ms != announcement.born_ms
        ):
            self.inbound.report_death()
            self.recorder.reset()
            self.pool.close_idle(self.settings.app)
        log_event(
            "target_announced",
            target=announcement.target,
            state=self.local.announced.state,
            version=announcement.version,
            sequence=announcement.sequence,
            born_ms=announcement.born_ms,
        )
        self._publish()

    def on_deregistration(self, target: str, born_ms: int | None) -> None:
        """Apply the deregistration of the local target.

        :param born_ms: start of the target in Unix milliseconds; None for the current incarnation
        """
        if born_ms is None:
            current = self.local.announced
            now_ms = int(self.clock.now().timestamp() * 1000)
            born_ms = current.born_ms if current is not None else now_ms
        is_current = self.local.deregister(target, born_ms)
        log_event("target_departing", target=target, known=is_current, born_ms=born_ms)
        if is_current:
            self._publish()

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
        self._set_retry_budget()

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
        self._close_servers()
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

    def _close_servers(self) -> None:
        """Stop accepting connections, and answer the requests that have arrived on open ones.

        The kernel keeps accepting connections and requests while the process exits, and resets
        them when it ends.
        """
        ends_at = self.clock.monotonic() + LAST_RESPONSES_TIMEOUT
        for server in self.servers:
            server.stop_accepting()
        while self.clock.monotonic() < ends_at:
            for server in self.servers:
                server.close_idle()
            if not any(server.connections for server in self.servers):
                return
            eventlet.sleep(STOP_POLL_INTERVAL_S)

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
        return not busy and not any(server.has_unsent() for server in self.servers)

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

    def _on_death(self, death: Death) -> None:
        self.feeds.crashes.count(death)
        self.death_reporter.report(death)

    def _adopt(self, target: Target) -> None:
        """Use a target whose last announcement went to an earlier process of this node."""
        self.publisher.adopt(target)
        self._apply_announcement(
            Announcement(
                target=target.target,
                service=target.service,
                version=target.version,
                zone=target.zone,
                slots=target.slots,
                state=target.state,
                address=self.settings.app,
                born_ms=target.born_ms,
                sequence=target.sequence,
                warmup=timedelta(),
            ),
            is_heartbeat=False,
        )

    def _warmup_limit(self) -> WarmupLimit | None:
        """Return the limit of the local target while it is cold, None if it has none."""
        config = self.outbound.config
        if config is not None:
            return config.warmups.get(self.settings.service)
        # Where zones are evacuated, the configuration to come may state one.
        return UNCONFIGURED_LIMIT if self.settings.bounds.evacuation is not None else None

    def _own_zones(self) -> set[str]:
        announced = self.local.announced
        return {self.settings.zone} | ({announced.zone} if announced is not None else set())

    def _publish(self) -> None:
        entry = self.local.entry()
        self.publisher.publish(entry)
        if self.local.store_read:
            # Makes the local target known to this node before the store has been updated.
            self.directory.put(entry)

    def _on_directory_change(self) -> None:
        targets = self.directory.targets
        local_entry = self.local.entry()
        if local_entry is not None and local_entry.target not in targets:
            # A full read of the store may precede the first write of the local target's entry.
            self.directory.put(local_entry)
            self.publisher.restore()
            return
        self.local.store_read = True
        for target in targets.values():
            self.local.apply_stored_entry(target)
        self.chooser.keep(set(targets))
        self.outbound.overload_refusals.retain(set(targets))
        self.prober.retain({target.node for target in targets.values()})
        self.shares.infer_stable_versions(targets.values())
        self._set_retry_budget()
        self._set_quota_nodes()

    def _set_retry_budget(self) -> None:
        bounds = self.settings.bounds
        nodes = max(1, len({target.node for target in self.directory.targets.values()}))
        self.budget.set_part_of(
            ratio=bounds.retry_ratio,
            minimum=bounds.retry_floor,
            window=bounds.retry_window,
            nodes=nodes,
        )

    def _make_quota(self) -> DistributedQuota | None:
        """Return the quotas over all nodes, None if the settings have no address for them."""
        settings = self.settings
        if settings.quotas is None:
            return None
        return DistributedQuota(
            clock=self.clock,
            rng=self.rng,
            network=UdpNetwork(address=settings.quotas),
            node=settings.quotas,
            zone=settings.zone,
            bound=settings.bounds.quota,
        )

    def _on_config(self, config: MeshConfig) -> None:
        """Apply the quotas and shares of a configuration that has come into effect."""
        tenants = config.tenants.by_name.values() if config.tenants is not None else ()
        self.local.service_shares.set_weights(
            {tenant.name: tenant.rate_per_s for tenant in tenants}
        )
        if self.quota is not None:
            self.quota.apply_tenants(tenants)
        elif any(tenant.rate_per_s for tenant in tenants):
            log_event("quotas_not_enforced", level="WARNING", reason="listen.quotas is not set")

    def _set_quota_nodes(self) -> None:
        if self.quota is not None:
            # All hosts use the same port for quotas.
            port = self.settings.quotas[1]
            self.quota.apply_nodes(
                ((target.node[0], port), target.zone) for target in self.directory.targets.values()
            )

    def _is_retired(self, service: str, version: str) -> bool:
        return self.shares.is_retired(service, version) or self.driver.is_faulty(service, version)

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
        ends_at = self.clock.monotonic() + LISTEN_TIMEOUT
        waiting = False
        while True:
            try:
                server = HttpServer(
                    clock=self.clock,
                    address=address,
                    handler=handler,
                    limits=limits,
                    memory=self.pool.memory,
                )
                break
            except OSError as error:
                in_use = error.errno == errno.EADDRINUSE
                if not in_use or self.clock.monotonic() >= ends_at:
                    raise ListenError(listener, address, error) from error
                if not waiting:
                    log_event(
                        "listener_waits",
                        level="WARNING",
                        listener=listener,
                        address=f"{address[0]}:{address[1]}",
                        error=error,
                    )
                waiting = True
            eventlet.sleep(LISTEN_RETRY_INTERVAL_S)
        self.servers.append(server)
        return server
