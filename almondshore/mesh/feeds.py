"""Keeps a node's copy of the mesh state up to date from the store, a watcher or another node."""

import random
from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.clock import Clock
from almondshore.core.workers import spawn_worker
from almondshore.mesh.change_server import ChangeServer
from almondshore.mesh.changes import ChangeLog
from almondshore.mesh.crashes import CrashSink
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Address, MeshConfig
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.peers import PeerClient, PeerSync
from almondshore.mesh.replication import Replica, Sink
from almondshore.mesh.state import (
    ConfigSink,
    EvacuationSink,
    PeerSink,
    RolloutSink,
    TargetSink,
)
from almondshore.mesh.store import Feed, MeshStore
from almondshore.mesh.versions import VersionShares
from almondshore.mesh.watching import Follower
from almondshore.retries.crash import CrashGuard

# Longest wait of one call for changes. The store charges for each call, but only a tenth for stale
# reads, which the feeds of targets and deaths use. A newer configuration is also noticed in the
# responses of other nodes.
CONFIG_MAX_WAIT = timedelta(seconds=3)
ROLLOUTS_MAX_WAIT = timedelta(seconds=4)
DEATHS_MAX_WAIT = timedelta(seconds=4)
EVACUATIONS_MAX_WAIT = timedelta(seconds=3)
# The cheapest feed detects outages of the store; when the store responds again, the others call
# it immediately. Even after a failed call and its retry, its state is recent enough for followers.
TARGETS_MAX_WAIT = timedelta(milliseconds=800)
# Changes that arrive within this delay are read by one call; they must take effect within 2 s. Each
# version of a large configuration takes a third of a second on a link of 10 Mbit/s.
CONFIG_BATCH_DELAY = timedelta(milliseconds=700)
TARGETS_BATCH_DELAY = timedelta(milliseconds=500)


class StateFeeds:
    """Keeps the configuration, targets, rollouts and deaths up to date, and serves followers.

    :param node: address at which other nodes reach this one
    :param config_name: name of the stored item that holds the configuration
    :param first_start: whether all nodes of the deployment start for the first time
    :param evacuates: whether zones of the deployment may be evacuated
    :ivar probe_replica: replica of the feed that is cheapest to call; it detects store outages
    :ivar on_config: called with each configuration that comes into effect
    :ivar server: serves changes to the nodes that follow this one
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        store: MeshStore,
        client: PeerClient,
        outbound: Outbound,
        directory: Directory,
        shares: VersionShares,
        guard: CrashGuard,
        changes: ChangeLog,
        node: Address,
        zone: str,
        config_name: str,
        first_start: bool = False,
        evacuates: bool = False,
    ):
        self.clock = clock
        self.rng = rng
        self.rollouts = RolloutSink(shares=shares, changes=changes)
        self.crashes = CrashSink(guard=guard, changes=changes)
        self.evacuations = EvacuationSink(changes=changes)
        config = ConfigSink(outbound=outbound, name=config_name, changes=changes)
        config.on_apply = lambda applied: self.on_config(applied)
        self.on_config: Callable[[MeshConfig], None] = lambda _config: None
        targets = TargetSink(directory=directory)
        self.probe_replica: Replica | None = None
        self.probe_replica = self._make_replica(
            store.targets,
            targets,
            TARGETS_MAX_WAIT,
            TARGETS_BATCH_DELAY,
            stale_first_read=first_start,
        )
        self.probe_replica.on_recovered = self._on_store_recovered
        self.replicas = (
            self.probe_replica,
            self._make_replica(
                store.config, config, CONFIG_MAX_WAIT, CONFIG_BATCH_DELAY, large=True
            ),
            self._make_replica(store.rollouts, self.rollouts, ROLLOUTS_MAX_WAIT, timedelta()),
            self._make_replica(store.deaths, self.crashes, DEATHS_MAX_WAIT, timedelta()),
        )
        if evacuates:
            replica = self._make_replica(
                store.evacuations, self.evacuations, EVACUATIONS_MAX_WAIT, timedelta()
            )
            self.replicas = (*self.replicas, replica)
        sink = PeerSink(
            config=config,
            directory=directory,
            rollouts=self.rollouts,
            crashes=self.crashes,
            evacuations=self.evacuations,
            decode=store.decode_config,
        )
        self.peers = PeerSync(
            clock=clock,
            rng=rng,
            client=client,
            sink=sink,
            node=node,
            zone=zone,
            store_unavailable_since=self.store_unavailable_since,
        )
        self.follower = Follower(
            clock=clock,
            rng=rng,
            client=client,
            sink=sink,
            node=node,
            zone=zone,
            replicas=self.replicas,
            probe_replica=self.probe_replica,
            first_start=first_start,
        )
        self.server = ChangeServer(
            changes=changes,
            config=lambda: outbound.config,
            directory=directory,
            rollouts=self.rollouts,
            crashes=self.crashes,
            evacuations=self.evacuations,
            age=self.follower.age,
        )
        self.greenlets: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the workers; the follower starts the other replicas if they are needed."""
        self.probe_replica.start()
        workers = (self.peers, self.follower)
        self.greenlets = [spawn_worker(type(item).__name__, item.run) for item in workers]

    def kill(self) -> None:
        """Kill all workers and replicas."""
        for worker in (*self.greenlets, *self.replicas):
            worker.kill()

    def store_unavailable_since(self) -> timedelta | None:
        """Return the earliest time since which a feed has not responded, None if all respond.

        While neither this node nor its watchers get responses, it is the time since that is known.
        """
        failing = [item.failing_since for item in self.replicas if item.is_running()]
        failing.append(self.follower.outdated_since)
        return min((since for since in failing if since is not None), default=None)

    def _on_store_recovered(self) -> None:
        for replica in self.replicas:
            if replica is not self.probe_replica:
                replica.restart()

    def _make_replica(
        self,
        feed: Feed,
        sink: Sink,
        wait: timedelta,
        batch_delay: timedelta,
        *,
        large: bool = False,
        stale_first_read: bool = False,
    ) -> Replica:
        return Replica(
            clock=self.clock,
            rng=self.rng,
            feed=feed,
            sink=sink,
            wait=wait,
            batch_delay=batch_delay,
            large=large,
            stale_first_read=stale_first_read,
            probe_replica=self.probe_replica,
        )
