"""Components of a node and the connections between them."""

import random
from collections.abc import Callable
from datetime import timedelta

from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
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
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.metrics import MeshMetrics
from almondshore.mesh.model import Death, MeshConfig, WarmupLimit
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.peers import InternalHandler, PeerClient
from almondshore.mesh.publishing import TargetPublisher
from almondshore.mesh.registration import TargetRegistration
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


def _call_later(delay: timedelta, function: Callable[[], None]) -> None:
    hubs.get_hub().schedule_call_global(delay.total_seconds(), function)


class NodeComponents:
    """Creates and connects the components of a node.

    :param config_name: name of the stored item that holds the configuration
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
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.store = store
        self.pool = pool
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
        self.local.warmup.bound = settings.bounds.warmup
        self.local.warmup.limit = self._warmup_limit
        self.evacuations = ZoneEvacuations(
            rng=rng,
            directory=self.directory,
            node=settings.inbound,
            own_zones=lambda: self.registration.own_zones(),
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
        self.registration = TargetRegistration(
            clock=clock,
            settings=lambda: self.settings,
            local=self.local,
            inbound=self.inbound,
            recorder=self.recorder,
            pool=pool,
            directory=self.directory,
            publisher=self.publisher,
            evacuations=self.evacuations,
        )
        self.local.on_departure = self.registration.publish
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
            adopt=self.registration.adopt,
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

    def config(self) -> MeshConfig | None:
        """Return the configuration in effect."""
        return self.outbound.config

    def _on_death(self, death: Death) -> None:
        self.feeds.crashes.count(death)
        self.death_reporter.report(death)

    def _warmup_limit(self) -> WarmupLimit | None:
        """Return the limit of the local target while it is cold, None if it has none."""
        config = self.outbound.config
        if config is not None:
            return config.warmups.get(self.settings.service)
        # Where zones are evacuated, the configuration to come may state one.
        return UNCONFIGURED_LIMIT if self.settings.bounds.evacuation is not None else None

    def _on_directory_change(self) -> None:
        if not self.registration.on_directory_change():
            return
        targets = self.directory.targets
        self.chooser.keep(set(targets))
        self.outbound.overload_refusals.retain(set(targets))
        self.prober.retain({target.node for target in targets.values()})
        self.shares.infer_stable_versions(targets.values())
        self.set_retry_budget()
        self._set_quota_nodes()

    def set_retry_budget(self) -> None:
        """Divide the bounds of the retries among the nodes that are known."""
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
