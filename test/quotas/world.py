"""A simulated network of nodes that share quotas, in virtual time."""

import heapq
import itertools
import random
from bisect import bisect_left
from collections import Counter
from datetime import UTC, datetime, timedelta

from almondshore.core.clock import Clock
from almondshore.mesh.settings import QuotaBound
from almondshore.quotas.client import DistributedQuota
from almondshore.quotas.port import Granted
from almondshore.quotas.transport import QuotaNetwork
from almondshore.tenants.table import Tenant

IN_ZONE_S = 0.0002
BETWEEN_ZONES_S = 0.001
HEADER_BYTES = 28


class WorldClock(Clock):
    def __init__(self, world):
        self.world = world

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self):
        return timedelta(seconds=self.world.now_s)


class SimulatedNetwork(QuotaNetwork):
    """The network of one process; its events stop when the process ends."""

    def __init__(self, world, node):
        super().__init__()
        self.world = world
        self.node = node
        self.is_open = False
        self.ended = False

    def open(self):
        self.is_open = True

    def send(self, node, data):
        if self.is_open:
            self.world.transmit(self.node, node, data)

    def call_later(self, delay_s, function):
        self.world.at(self.world.now_s + delay_s, self.run, function)

    def run(self, function, *args):
        if self.ended:
            return
        thaws_at = self.world.frozen.get(self.node, 0.0)
        if thaws_at > self.world.now_s:
            self.world.at(thaws_at, self.run, function, *args)
        else:
            function(*args)


class World:
    """Nodes by address, their links, and the requests that were granted.

    :ivar frozen: times until which processes are suspended
    :ivar blocked: returns whether datagrams from one node to another are lost
    :ivar used: times of granted requests by tenant
    """

    def __init__(self, *, zones, seed=1, bound=None):
        self.rng = random.Random(seed)
        self.bound = bound or QuotaBound()
        self.now_s = 1000.0
        self.events = []
        self.order = itertools.count()
        self.zones = dict(zones)
        self.quotas = {}
        self.networks = {}
        self.frozen = {}
        self.loss = self.duplicates = self.delay_s = 0.0
        self.blocked = lambda _sender, _receiver: False
        self.used = {}
        self.refused = Counter()
        self.datagrams = self.sent_bytes = 0
        self.waits = []

    def at(self, time_s, function, *args):
        heapq.heappush(self.events, (time_s, next(self.order), function, args))

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now_s = end_s

    def start(self, node, tenants=(), nodes=None):
        """Start a process, in place of an earlier one."""
        if node in self.networks:
            self.networks[node].ended = True
        network = self.networks[node] = SimulatedNetwork(self, node)
        quota = self.quotas[node] = DistributedQuota(
            clock=WorldClock(self),
            rng=random.Random(self.rng.random()),
            network=network,
            node=node,
            zone=self.zones[node],
            bound=self.bound,
        )
        quota.apply_nodes(self.zones.items() if nodes is None else nodes)
        quota.apply_tenants(tenants)
        return quota

    def transmit(self, sender, receiver, data):
        self.datagrams += 1
        self.sent_bytes += len(data)
        if receiver not in self.networks or self.blocked(sender, receiver):
            return
        for _ in range(1 + (self.rng.random() < self.duplicates)):
            if self.rng.random() < self.loss:
                continue
            is_near = self.zones.get(sender) == self.zones.get(receiver)
            delay_s = IN_ZONE_S if is_near else BETWEEN_ZONES_S
            if self.delay_s:
                delay_s += self.rng.expovariate(1 / self.delay_s)
            self.at(self.now_s + delay_s, self.deliver, sender, receiver, data)

    def deliver(self, sender, receiver, data):
        network = self.networks[receiver]
        if network.is_open:
            network.run(network.on_datagram, sender, data)

    def request(self, node, tenant):
        """Send a request of a tenant to a node; a suspended one does not receive it."""
        if self.frozen.get(node, 0.0) > self.now_s:
            return
        asked_at = self.now_s

        def decide(decision):
            self.waits.append(self.now_s - asked_at)
            if isinstance(decision, Granted):
                self.used.setdefault(tenant.name, []).append(self.now_s)
            else:
                self.refused[tenant.name] += 1

        self.quotas[node].take(tenant, decide)

    def load(self, tenant, rate, pick_node, seconds, *, regular=False):
        """Send requests at a rate from now on, at random or regular times."""
        end_s = self.now_s + seconds

        def send():
            if self.now_s < end_s:
                gap_s = 1 / rate if regular else self.rng.expovariate(rate)
                self.at(self.now_s + gap_s, send)
                self.request(pick_node(), tenant)

        self.at(self.now_s + self.rng.random() / rate, send)


def address(number):
    return f"10.0.{number // 250}.{number % 250 + 1}", 7000


def nodes_in_zones(count, zones):
    return {address(number): f"z{number % zones}" for number in range(count)}


def zipf_tenants(count, exponent, rate):
    weights = [1 / (rank + 1) ** exponent for rank in range(count)]
    return [
        Tenant(f"tenant-{rank}", None, rate * weight / sum(weights), 2 * rate * weight)
        for rank, weight in enumerate(weights)
    ]


def max_in_window(times, window_s):
    """Return the largest number of times in any window, and its start."""
    times = sorted(times)
    best = 0, 0.0
    for index, start in enumerate(times):
        best = max(best, (bisect_left(times, start + window_s) - index, start))
    return best


def allowed(tenant, bound):
    window_s = bound.window.total_seconds()
    return (tenant.rate_per_s * window_s + tenant.burst) * (1 + bound.overage) + bound.slack
