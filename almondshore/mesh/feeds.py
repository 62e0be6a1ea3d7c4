"""Keeps a node's copy of the mesh state up to date from the store, a watcher or another node."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import hubs
from returns.pipeline import is_successful

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
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
from almondshore.mesh.store import Changed, Feed, MeshStore
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
# After the store was restored from a copy and read, entries that it lacks stay in effect for this
# long. Nodes write theirs again within 2 s, operators and targets within seconds.
ERA_GRACE = timedelta(seconds=10)
# After the store was read in a new era, a watcher writes the lost entries of leaving targets,
# spread over the first time; it replaces older entries of the copy after the second time only, when
# nodes that run have done so themselves.
DEPARTURES_SPREAD = timedelta(milliseconds=300)
DEPARTURES_DELAY = timedelta(seconds=1.5)


class StateFeeds:
    """Keeps the configuration, targets, rollouts and deaths up to date, and serves followers.

    :param node: address at which other nodes reach this one
    :param config_name: name of the stored item that holds the configuration
    :param first_start: whether all nodes of the deployment start for the first time
    :param evacuates: whether zones of the deployment may be evacuated
    :ivar probe_replica: replica of the feed that is cheapest to call; it detects store outages
    :ivar on_config: called with each configuration that comes into effect
    :ivar server: serves changes to the nodes that follow this one
    :ivar awaits_read: whether an era of the store began whose state has not been read
    :ivar grace_timer: ends the time in which entries that a restored store lacks stay in effect
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
        self.era = store.era
        self.grace_timer: Any = None
        self.awaits_read = False
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
            targets=targets,
            era=store.era,
        )
        self.sink = sink
        self.store = store
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
            era=store.era,
            is_reading=self.follower.is_reading,
        )
        self.changes = changes
        store.era.subscribe(self._on_new_era)
        self.follower.on_confirmed = self._on_read
        for replica in self.replicas:
            replica.on_read = self._on_read
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
        if self.grace_timer is not None:
            self.grace_timer.cancel()

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

    def _on_new_era(self) -> None:
        """Read all state again, and tell the nodes that follow this one."""
        if self.grace_timer is not None:
            self.grace_timer.cancel()
            self.grace_timer = None
        self.awaits_read = True
        for replica in self.replicas:
            replica.begin_era()
        self.follower.begin_era()
        self.changes.increment()
        eventlet.spawn(self._restart_replicas, eventlet.getcurrent())

    def _restart_replicas(self, current: eventlet.greenthread.GreenThread) -> None:
        """End the pending calls, which continue from positions of the earlier era.

        :param current: the greenlet whose call showed the new era
        """
        for replica in self.replicas:
            if replica.greenlet is not current and replica.reads_again:
                replica.restart()

    def _on_read(self) -> None:
        """Begin the grace time once the state of a new era has been read completely."""
        if self.awaits_read and not self.follower.is_reading():
            self.awaits_read = False
            log_event("store_era_read", era=self.era.number)
            if self.follower.followed is None:
                spread = DEPARTURES_SPREAD * self.rng.random()
                eventlet.spawn_after(spread.total_seconds(), self._save_departures, missing=True)
                delay = DEPARTURES_DELAY + spread
                eventlet.spawn_after(delay.total_seconds(), self._save_departures, missing=False)
            self.grace_timer = hubs.get_hub().schedule_call_global(
                ERA_GRACE.total_seconds(), self._end_grace
            )

    def _save_departures(self, *, missing: bool) -> None:
        """Write the entries of leaving targets that the store has lost, for nodes that are down.

        A node that starts again would not know otherwise that its target has left.

        :param missing: whether to write those that are missing; otherwise those that are older
        """
        for target, has_older in self.sink.targets.lost_departures():
            if missing is has_older:
                continue
            result = self.store.save_target(target, 0)
            if has_older and not is_successful(result) and isinstance(result.failure(), Changed):
                result = self.store.save_target(target, result.failure().revision)
            log_event(
                "departure_saved_again",
                target=target.target,
                state=target.state,
                done=is_successful(result),
            )

    def _end_grace(self) -> None:
        """Keep nothing any longer that the restored store lacks; read it once more in full."""
        self.grace_timer = None
        for replica in self.replicas:
            replica.end_grace()
        if self.sink.has_kept:
            self.sink.has_kept = False
            self.follower.request_full_state()

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
