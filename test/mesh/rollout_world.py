"""A model of one service in a rollout: its nodes, their targets, senders and the store."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import eventlet
import msgspec
from returns.result import Failure, Success

from almondshore.core.clock import ManualClock
from almondshore.http.messages import Request
from almondshore.http.server import Exchange
from almondshore.mesh.collection import EvidenceCollector
from almondshore.mesh.directory import Directory
from almondshore.mesh.driver import RolloutDriver
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.handover import HANDOVER_PATH, RolloutHandover
from almondshore.mesh.model import Rollout, RolloutState
from almondshore.mesh.peers import Evidence
from almondshore.mesh.rollout import ExposureBound
from almondshore.mesh.state import RolloutSink
from almondshore.mesh.store import Changed, StoreEra
from almondshore.mesh.versions import VersionShares
from almondshore.storage.port import Unavailable
from test.mesh.fakes import FakeConnection
from test.mesh.samples import target

SERVICE, OLD, NEW = "s", "v1", "v2"
TICK = timedelta(milliseconds=10)
CHECK_INTERVAL = timedelta(milliseconds=150)
# Nodes of the new version start this long after the order.
NEW_VERSION_DELAY = timedelta(seconds=1)
# A store that is reachable passes a change on to all nodes within this time.
STORE_DELAY = timedelta(milliseconds=20)
SLOTS = 9
QUEUED = 4
MEAN_TIME = timedelta(milliseconds=60)
SIGMA = 0.5
# Idempotent requests that last longer are sent to a second target, whose answer ends them.
HEDGE_AFTER = timedelta(milliseconds=150)
ROUTES = ("r1", "r2", "r3")


class Effect(NamedTuple):
    """What a version does to a request.

    :ivar failed: whether the request fails
    :ivar factor: how many times as long as usual it takes
    """

    failed: bool = False
    factor: float = 1.0


Fault = Callable[[random.Random, timedelta], Effect]


def no_fault(_rng, _age):
    return Effect()


def slow(share, factor):
    """Return a fault: a share of the requests takes some times as long."""
    return lambda rng, _age: Effect(factor=factor if rng.random() < share else 1.0)


def failing(share, after=0.0):
    """Return a fault: a share of the requests fails, from some seconds after the order on."""

    def fault(rng, age):
        return Effect(failed=age.total_seconds() >= after and rng.random() < share)

    return fault


class StoreClient:
    """The store as one host reaches it."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.era = StoreEra()

    def save_progress(self, rollout):
        if self.host.is_cut():
            return Failure(Unavailable("timeout"))
        if rollout.revision != self.world.stored.revision:
            return Failure(Changed(self.world.stored.revision))
        self.world.store(rollout)
        return Success(self.world.stored.revision)


class Peers:
    """Client of the other nodes; all of them can be reached."""

    def __init__(self, world):
        self.world = world

    def get(self, node, _path, **_options):
        host = self.world.by_node[node]
        return None if host.is_suspended() else msgspec.json.encode(host.evidence())

    def post(self, node, _path, body):
        exchange = Exchange(
            request=Request(b"POST", HANDOVER_PATH, (), body),
            received_at=self.world.clock.monotonic(),
            connection=FakeConnection(),
        )
        host = self.world.by_node[node]
        if host.is_suspended():
            return None
        host.handover.handle(exchange)
        while exchange.response is None:
            eventlet.sleep(0)
        return exchange.response.body if exchange.response.status == 200 else None


class Host:
    """A node of the service and its target.

    :ivar cut_from: time since the order from which the host does not reach the store
    :ivar suspended_from: time since the order from which its node does nothing
    """

    def __init__(self, world, number, version, speed):
        self.world = world
        self.version = version
        self.speed = speed
        self.node = (f"10.0.0.{number}", 1)
        self.target = f"t{number}"
        self.running = 0
        self.cut_from = None
        self.suspended_from = None
        self.recorder = ResultRecorder(clock=world.clock)
        self.rollouts = RolloutSink(shares=VersionShares(rng=world.rng))
        self.rollouts.shares.stable[SERVICE] = OLD
        self.next_check = world.clock.monotonic() + CHECK_INTERVAL * world.rng.random()
        self.handover = RolloutHandover(
            rng=world.rng, client=Peers(world), store=StoreClient(world, self)
        )
        self.driver = RolloutDriver(
            clock=world.clock,
            service=lambda: SERVICE,
            local_evidence=self.evidence,
            bound=ExposureBound,
            collector=EvidenceCollector(
                node=self.node,
                directory=world.directory,
                client=Peers(world),
                local_evidence=self.evidence,
            ),
            rollouts=self.rollouts,
            handover=self.handover,
        )

    def is_cut(self):
        return self.cut_from is not None and self.world.age() >= self.cut_from

    def is_suspended(self):
        return self.suspended_from is not None and self.world.age() >= self.suspended_from

    def evidence(self):
        return Evidence(
            target=self.target,
            service=SERVICE,
            version=self.version,
            running=self.running,
            routes=self.recorder.snapshot(warm=True),
            order_age_ms=int(self.driver.order_age() / timedelta(milliseconds=1)),
            sent=self.recorder.sent,
        )

    def refuses(self):
        if self.is_suspended():
            return True
        is_retired = self.rollouts.shares.is_retired(SERVICE, self.version)
        is_full = self.running >= SLOTS + QUEUED
        return is_retired or is_full or self.driver.is_faulty(SERVICE, self.version)


class RolloutWorld:
    """Plays a rollout; times are given in seconds since the order.

    :param rate: requests a second
    :param fault: what the new version does to a request
    :param old_fault: what the old version does to it
    :ivar arrived: number of requests that reached a target of each version, up to the deadline
    :ivar bad_at: times of the bad answers of the new version
    :ivar last_new_at: time at which the last request reached the new version
    :ivar state_at: time of each state of the rollout
    """

    def __init__(
        self,
        *,
        seed,
        rate=250.0,
        duration=16.0,
        fault=no_fault,
        old_fault=no_fault,
        old=4,
        new=4,
        speeds=(1.0, 0.8, 1.2, 1.4),
    ):
        self.rng = random.Random(seed)
        self.rate, self.duration = rate, duration
        self.faults = {OLD: old_fault, NEW: fault}
        self.clock = ManualClock()
        self.ordered_at = self.clock.monotonic()
        self.directory = Directory(clock=self.clock)
        self.hosts, self.by_node = [], {}
        self.events, self.order = [], itertools.count()
        self.arrived = {OLD: 0, NEW: 0}
        self.bad_at, self.last_new_at, self.state_at = [], 0.0, {}
        speed = itertools.cycle(speeds)
        for _ in range(old):
            self.add_host(OLD, next(speed))
        self.store(Rollout(SERVICE, NEW, timedelta(seconds=duration), RolloutState.ORDERED, 0.0, 1))
        for _ in range(new):
            self.at(NEW_VERSION_DELAY, self.add_host, NEW, next(speed))

    def add_host(self, version, speed):
        host = Host(self, len(self.hosts) + 1, version, speed)
        self.hosts.append(host)
        self.by_node[host.node] = host
        self.directory.put(
            target(host.target, version=version, node=host.node, born_ms=len(self.hosts))
        )
        if version == NEW:
            host.rollouts.put(self.stored, source="store")

    def age(self):
        return (self.clock.monotonic() - self.ordered_at).total_seconds()

    def at(self, delay, function, *args):
        due = self.clock.monotonic() + delay
        heapq.heappush(self.events, (due, next(self.order), function, args))

    def store(self, rollout):
        revision = self.stored.revision + 1 if hasattr(self, "stored") else 1
        self.stored = rollout._replace(revision=revision)
        self.state_at.setdefault(rollout.state, self.age())
        self.at(STORE_DELAY, self.distribute, self.stored)

    def distribute(self, rollout):
        for host in self.hosts:
            host.rollouts.put(rollout, source="store")

    def play(self, until=None):
        """Play up to a time, by default a second past the deadline."""
        until = self.duration + 1.0 if until is None else until
        while self.age() < until:
            self.clock.advance(TICK)
            now = self.clock.monotonic()
            while self.events and self.events[0][0] <= now:
                _, _, function, args = heapq.heappop(self.events)
                function(*args)
            for _ in range(self._arrivals()):
                self._send()
            for host in self.hosts:
                if now >= host.next_check and not host.is_suspended():
                    host.next_check += CHECK_INTERVAL
                    host.driver.check()
                    eventlet.sleep(0)
        return self

    def allowed(self):
        """Return how many requests the new version may get by the deadline."""
        return 0.1 * sum(self.arrived.values()) + 50

    def _arrivals(self):
        expected = self.rate * TICK.total_seconds()
        return int(expected) + (self.rng.random() < expected % 1)

    def _send(self):
        sender = self.rng.choice(self.hosts)
        version = sender.rollouts.shares.pick(SERVICE, {OLD: [None], NEW: [None]})
        candidates = [host for host in self.hosts if host.version == version and not host.refuses()]
        if not candidates:
            return
        host = min(self.rng.sample(candidates, min(2, len(candidates))), key=lambda h: h.running)
        if self.age() < self.duration:
            self.arrived[version] += 1
        if version == NEW:
            self.last_new_at = self.age()
        request = object()
        host.recorder.record_sent(request, self.rng.choices(ROUTES, (9, 3, 1))[0])
        host.running += 1
        age = self.clock.monotonic() - self.ordered_at
        effect = self.faults[version](self.rng, age)
        took = MEAN_TIME * host.speed * effect.factor * self.rng.lognormvariate(-0.125, SIGMA)
        bad = effect.failed or effect.factor > 1.0
        # Too few retries are allowed to hedge more than a part of all requests.
        share = sender.rollouts.shares.new_share(SERVICE)[1]
        hedge = HEDGE_AFTER + MEAN_TIME * self.rng.lognormvariate(-0.125, SIGMA)
        if took > hedge and share < 0.5 and not effect.failed:
            self.at(hedge, self._end, host, request, None, bad)
        else:
            self.at(took, self._end, host, request, not effect.failed, bad)

    def _end(self, host, request, ok, bad):
        host.running -= 1
        if ok is None:
            host.recorder.record_abandoned(request, expected=MEAN_TIME, warm=True)
        else:
            host.recorder.record(request, ok=ok, warm=True)
        if bad and host.version == NEW:
            self.bad_at.append(self.age())
