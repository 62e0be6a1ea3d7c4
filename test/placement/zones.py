"""A model of hosts in several zones, whose zones are evacuated and whose targets become cold."""

import random
from collections import Counter
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallFailure
from almondshore.http.messages import Response
from almondshore.http.server import Exchange
from almondshore.mesh.model import WarmupLimit
from almondshore.mesh.settings import WarmupBound
from almondshore.placement.evacuation import ZONE_EVACUATED, ZoneEvacuations
from test.mesh.fakes import APP, SIGNED, RequestPathHarness
from test.mesh.samples import announcement, route, target

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=20)
TICK_STEPS = 12
HEARTBEAT = 1.5 * SECOND
RUN_TIME = timedelta(milliseconds=200)
# Time until a node knows of a change in the store, at most.
LONGEST_DELAY_S = 2.0
LIMIT = WarmupLimit(8 * SECOND, 6.0)


class Connection:
    """The connection of an exchange, whose response is passed on."""

    peer = "10.0.0.9:5555"

    def __init__(self, on_response):
        self.on_response = on_response
        self.exchange = None

    def flush(self):
        self.on_response(self.exchange.response)


class Host:
    """A node, its target and its callers.

    :ivar cold_until: time at which the target is warm
    :ivar arrived_at: times at which the target got a request, each with whether it was cold
    :ivar refusals: refused requests, each with its time and reason
    """

    def __init__(self, world, number, zone, slots):
        self.world, self.zone, self.name = world, zone, f"t{number}"
        self.address, self.slots = (f"10.0.1.{number}", 1), slots
        self.clock = world.clock
        self.cold_until = self.clock.monotonic()
        self.arrived_at, self.running, self.refusals = [], [], []
        self.sequence = 0
        self.heartbeat_at = self.clock.monotonic() + HEARTBEAT * world.rng.random()
        self.harness = RequestPathHarness([route(timeout=3 * SECOND)], clock=self.clock)
        self.harness.rng.seed(number)
        self.harness.outbound.node = self.harness.local.node = self.address
        self.harness.outbound.chooser.zone = zone
        self.harness.outbound.chooser.node = self.address
        warmups = {"s": world.limit}
        self.harness.outbound.config = self.harness.outbound.config._replace(warmups=warmups)
        warmup = self.harness.local.warmup
        warmup.limit, warmup.bound = lambda: world.limit, WarmupBound()
        self.evacuations = ZoneEvacuations(
            rng=self.harness.rng,
            directory=self.harness.directory,
            node=self.address,
            own_zones=lambda: {zone},
            config=lambda: self.harness.outbound.config,
        )
        inbound = self.harness.inbound
        self.evacuations.on_begin = lambda: inbound.refuse_waiting(ZONE_EVACUATED)
        self.evacuations.on_end = warmup.on_evacuation_end
        inbound.is_evacuated = lambda: self.evacuations.own_evacuated
        self.harness.outbound.is_evacuated = (
            lambda name: name in self.harness.directory.evacuated_zones
        )

    def warmup_left(self):
        return max(timedelta(), self.cold_until - self.clock.monotonic())

    def announce(self):
        self.sequence += 1
        fields = {"sequence": self.sequence, "slots": self.slots, "zone": self.zone}
        self.harness.local.announce(
            announcement(self.name, address=APP, warmup=self.warmup_left(), **fields)
        )

    def tick(self):
        """Do what the node does several times per second."""
        warmup = self.harness.local.warmup
        warmup.tick()
        if warmup.needs_check() and not self.evacuations.own_evacuated:
            warmup.on_check()
            self.harness.local.queue.rate_limit.record_start()
            self._arrive()
            warmup.on_health(self.warmup_left(), asked_at=self.clock.monotonic())

    def step(self):
        now = self.clock.monotonic()
        if now >= self.heartbeat_at:
            self.heartbeat_at += HEARTBEAT
            self.announce()
        self.harness.local.queue.dispatch()
        calls, self.harness.pool.calls[:] = list(self.harness.pool.calls), []
        for call in calls:
            if call.address == APP:
                self._arrive()
                self.running.append((now + RUN_TIME, call))
            else:
                self.world.by_address[call.address].receive(call)
        for end in [item for item in self.running if item[0] <= now]:
            self.running.remove(end)
            if not end[1].cancelled:
                attempt = (b"Attempt-Id", end[1].header(b"attempt-id"))
                end[1].answer(Response(200, (attempt, SIGNED), b"x"))

    def receive(self, call):
        """Receive a request of another node."""
        before = self.harness.inbound.refusals.copy()
        connection = Connection(call.answer)
        connection.exchange = Exchange(
            request=call.request, received_at=self.clock.monotonic(), connection=connection
        )
        self.harness.inbound.handle(connection.exchange)
        for reason in self.harness.inbound.refusals - before:
            self.refusals.append((self.clock.monotonic(), reason))

    def _arrive(self):
        now = self.clock.monotonic()
        self.arrived_at.append((now, now < self.cold_until))

    def restart_target(self):
        """Start the target anew under its name: it is cold, and its next heartbeat says so."""
        self.cold_until = self.clock.monotonic() + self.world.limit.time
        running, self.running = self.running, []
        for _, call in running:
            if not call.cancelled:
                call.fail(CallFailure.CLOSED)

    def most_cold_per_second(self):
        times = [at for at, cold in self.arrived_at if cold]
        return max((sum(at <= other < at + SECOND for other in times) for at in times), default=0)


class Zones:
    """Hosts in zones, on one clock.

    :ivar limit: limit of cold targets
    :ivar statuses: status of each request that callers sent, with whether it was on time
    """

    def __init__(self, *, per_zone=6, slots=5, limit=LIMIT, seed=1):
        self.clock, self.rng, self.limit = ManualClock(), random.Random(seed), limit
        self.clock.advance(100 * SECOND)
        self.hosts = [
            Host(self, number, "abcd"[number % 4], slots) for number in range(4 * per_zone)
        ]
        self.by_address = {host.address: host for host in self.hosts}
        entries = [
            target(host.name, node=host.address, zone=host.zone, slots=slots) for host in self.hosts
        ]
        for host in self.hosts:
            host.harness.directory.replace(entries)
            host.announce()
        self.statuses, self.pending, self.due, self.steps = Counter(), [], 0.0, 0

    def in_zone(self, zone):
        return [host for host in self.hosts if host.zone == zone]

    def set_evacuated(self, *zones):
        """Let each node learn of the evacuated zones after a time of its own."""
        now = self.clock.monotonic()
        for host in self.hosts:
            delay = timedelta(seconds=LONGEST_DELAY_S * self.rng.random())
            self.pending.append((now + delay, host, frozenset(zones)))

    def play(self, seconds, rate):
        """Let callers send requests for some seconds; returns the share that is served on time."""
        self.statuses = Counter()
        ends_at = self.clock.monotonic() + seconds * SECOND
        while self.clock.monotonic() < ends_at:
            self.clock.advance(STEP)
            self.steps += 1
            now = self.clock.monotonic()
            for item in [item for item in self.pending if item[0] <= now]:
                self.pending.remove(item)
                item[1].evacuations.apply(item[2])
            self.due += rate * STEP.total_seconds()
            while self.due >= 1.0:
                self.due -= 1.0
                self._request(self.rng.choice(self.hosts))
            for host in self.hosts:
                if self.steps % TICK_STEPS == 0:
                    host.tick()
                host.step()
        total = sum(self.statuses.values())
        return self.statuses[200, True] / total if total else 0.0

    def _request(self, host):
        sent_at = self.clock.monotonic()
        connection = Connection(
            lambda response: self._count(response, self.clock.monotonic() - sent_at)
        )
        exchange = host.harness.request(left_ms=3000)
        connection.exchange = exchange
        exchange.connection = connection
        if exchange.response is not None:
            connection.flush()

    def _count(self, response, took):
        self.statuses[response.status, took <= 0.6 * SECOND] += 1
