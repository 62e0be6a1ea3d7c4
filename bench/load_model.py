"""Discrete-event simulation of clients, nodes and targets that runs the product's decision code."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from heapq import heappop, heappush
from math import pi, sin

from almondshore.core.clock import ManualClock
from almondshore.limits.objective import Job, Refusal, Terms
from almondshore.mesh.model import LoadReport
from almondshore.placement.cost import Features
from almondshore.retries.retry_after import retry_after
from almondshore.routing.completion import CompletionChooser
from bench.load_parts import PLAIN, ZERO, ZONES, Chooser, ClientBehaviour, Draw, Load, Server

NODES_PER_ZONE = 3
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# One-way network delay by whether both ends are in one zone, as the users' sites state it.
ONE_WAY_DELAY = {True: timedelta(milliseconds=0.1), False: timedelta(milliseconds=0.9)}
# Number of targets that may refuse a request before the client gets the refusal.
MAX_REFUSALS = 3


class Call(Job):
    """A client's request, which the node offers to one target after another until one accepts it.

    :ivar work: service time on a target of speed 1
    :ivar kind: under which its end is counted
    :ivar features: what the nodes know of it
    :ivar retries: number of times that the client has repeated the request
    :ivar refused_by: names of the targets that refused it since the client sent it
    :ivar server: the target that it was last sent to, None between two targets
    :ivar retry_after: retry-after time of the last refusal
    """

    def __init__(
        self,
        *,
        system: "SimulatedSystem",
        chooser: Chooser,
        terms: Terms,
        work: timedelta,
        behaviour: ClientBehaviour,
        draw: Draw = PLAIN,
    ):
        self.system, self.chooser, self.terms, self.work = system, chooser, terms, work
        self.behaviour = behaviour
        self.kind = draw.kind or terms.route
        self.features = Features(terms.route, draw.path, draw.tenant, draw.body_bytes)
        self.retries = 0
        self.refused_by: set[str] = set()
        self.server: Server | None = None
        self.first_sent_at = ZERO
        self.started_at: timedelta | None = None
        self.retry_after = ZERO
        self.done = False

    def begin(self) -> None:
        """Send the request for the first time."""
        self.first_sent_at = self.system.clock.monotonic()
        if self.behaviour.timeout is not None:
            self.system.schedule(self.behaviour.timeout, self.leave)
        self.send()

    def send(self) -> None:
        """Send the request to the best target that has not refused it."""
        entries = [server.entry for server in self.system.servers.values()]
        objective = self.terms.objective_at - self.system.clock.monotonic()
        chosen = self.chooser.choose(
            entries,
            route=self.terms.route,
            objective=objective,
            exclude=self.refused_by,
            features=self.features,
        )
        if chosen is None or len(self.refused_by) >= MAX_REFUSALS:
            self.end("refused")
            return
        self.server = self.system.servers[chosen.target]
        self.chooser.started(chosen.target, self.features)
        self.system.sent[chosen.target] += 1
        self.system.cross_zone += chosen.zone != self.chooser.zone
        delay = self.one_way_delay() + self.system.transfer_time(self)
        self.system.schedule(delay, self.arrive)

    def one_way_delay(self) -> timedelta:
        """Return the network delay from the node to the target's host."""
        return ONE_WAY_DELAY[self.server.entry.zone == self.chooser.zone]

    def arrive(self) -> None:
        """Offer the request to the queue of the target."""
        if not self.done:
            self.server.queue.offer(self)

    def start(self) -> None:
        """Run the request; with ``unanswered_rate``, the target never responds to it."""
        self.started_at = self.system.clock.monotonic()
        self.server.recorder.record_sent(self, self.terms.route)
        if self.system.rng.random() < self.server.unanswered_rate:
            self.system.schedule(self.terms.deadline_at - self.started_at, self.expire)
        else:
            self.system.schedule(self.work / self.server.speed, self.finish)

    def finish(self) -> None:
        """End the run with a success or a failure, and send the response to the node."""
        if self.done:
            return
        ok = self.system.rng.random() >= self.server.failure_rate
        self.server.recorder.record(self, ok=ok, warm=True)
        self.server.queue.release(self, observed=ok)
        self.system.schedule(self.one_way_delay(), lambda: self.receive_response(ok))

    def expire(self) -> None:
        """Abandon at the deadline a run that the target has not answered."""
        if self.done:
            return
        self._abandon()
        self.end("failed")

    def leave(self) -> None:
        """Cancel the request because its client has abandoned it."""
        if self.done:
            return
        if self.started_at is not None:
            self._abandon()
        elif self.server is not None:
            self.server.queue.cancel(self)
            self._finished(None)
        self.system.record_end("left", self.kind)
        self.done = True

    def receive_response(self, ok: bool) -> None:
        """Handle the response at the node."""
        if self.done:
            return
        ran = self.work / self.server.speed if ok else ZERO
        self._finished(self.server.report(self.features, ran))
        now = self.system.clock.monotonic()
        self.system.response_times.append(now - self.first_sent_at)
        self.system.times_by_kind[self.kind].append(now - self.first_sent_at)
        late = now > self.terms.objective_at
        self.end("failed" if not ok else "late" if late else "on time")

    def refuse(self, reason: Refusal, retry_after: timedelta) -> None:
        """Return the refusal to the node, which tries another target."""
        self.refused_by.add(self.server.entry.target)
        report = self.server.report(self.features)
        self.system.schedule(self.one_way_delay(), lambda: self._try_next(report, retry_after))

    def end(self, outcome: str) -> None:
        """End an attempt; the client may retry a refused or failed request before its deadline."""
        retry = outcome in ("refused", "failed") and self.retries < self.behaviour.max_retries
        now = self.system.clock.monotonic()
        delay = self.system.retry_after(self, now) if self.behaviour.honours_retry_after else ZERO
        remaining = self.terms.deadline_at - now - delay
        if not retry or remaining <= ZERO:
            self.done = True
            self.system.record_end(outcome, self.kind)
            return
        self.retries += 1
        self.system.client_retries += 1
        self.refused_by.clear()
        self.server = self.started_at = None
        self.system.schedule(delay, lambda: self.done or self.send())

    def _try_next(self, report: LoadReport, retry_after: timedelta) -> None:
        """Record a refusal at the node and send the request to another target."""
        if self.done:
            return
        self.retry_after = retry_after
        self._finished(report)
        self.server = None
        self.send()

    def _finished(self, report: LoadReport | None) -> None:
        """Tell the chooser that an attempt has ended."""
        target = self.server.entry.target
        self.chooser.finished(target, self.terms.route, report, self.features)

    def _abandon(self) -> None:
        """Free the slot of a run that the target has not answered."""
        self.server.record_unanswered(self)
        self.server.queue.release(self, observed=False)
        self._finished(None)


class SimulatedSystem:
    """Simulation of clients, nodes in three zones, and targets on a manual clock.

    :param chooser: makes the chooser of a node
    :ivar nodes: choosers of the nodes, which clients use at random
    :ivar events: pending actions: time, sequence number, action
    :ivar ends: requests by how they ended: on time, late, refused, failed or left
    :ivar ends_by_kind: the same by kind of request
    :ivar times_by_kind: times to a target's response by kind of request
    :ivar sent: requests sent, by target
    :ivar cross_zone: requests sent to a target in another zone
    :ivar links: time until which the link of a host is in use, by the host's name
    :ivar client_retries: requests that clients repeated
    :ivar response_times: times from the first sending of a request to a target's response
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        chooser: Callable[..., Chooser] = CompletionChooser,
    ):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.servers: dict[str, Server] = {}
        self.chooser = chooser
        self.nodes: list[Chooser] = []
        self.set_nodes(NODES_PER_ZONE)
        self.events: list[tuple[timedelta, int, Callable[[], object]]] = []
        self.sequence = 0
        self.ends: Counter[str] = Counter()
        self.ends_by_kind: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.times_by_kind: defaultdict[str, list[timedelta]] = defaultdict(list)
        self.sent: Counter[str] = Counter()
        self.cross_zone = 0
        self.links: dict[str, timedelta] = {}
        self.client_retries = 0
        self.response_times: list[timedelta] = []

    def set_nodes(self, per_zone: int) -> None:
        """Replace the nodes by this many in each zone."""
        self.nodes = [
            self.chooser(clock=self.clock, rng=self.rng, zone=zone)
            for zone in ZONES
            for _ in range(per_zone)
        ]

    def add(self, name: str, zone: str, **fields: float) -> None:
        """Add a target; ``fields`` are passed to ``Server``."""
        self.servers[name] = Server(clock=self.clock, name=name, zone=zone, **fields)

    def remove(self, name: str) -> None:
        """Remove a target from selection; it still ends the requests that it runs."""
        del self.servers[name]

    def schedule(self, delay: timedelta, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        self.sequence += 1
        heappush(self.events, (self.clock.monotonic() + delay, self.sequence, action))

    def retry_after(self, call: Call, now: timedelta) -> timedelta:
        """Return the time after which a node tells a refused client to return."""
        return retry_after(
            rng=self.rng,
            stated=call.retry_after,
            slack=call.terms.objective_at - now - call.work,
            time_left=call.terms.deadline_at - now,
        )

    def record_end(self, outcome: str, kind: str) -> None:
        """Count the end of a request."""
        self.ends[outcome] += 1
        self.ends_by_kind[kind][outcome] += 1

    def set_hosts(self) -> None:
        """Replace the nodes by one beside each target."""
        self.nodes = [
            self.chooser(
                clock=self.clock,
                rng=self.rng,
                zone=server.entry.zone,
                node=server.entry.node,
                link_mbps=server.entry.link_mbps,
            )
            for server in self.servers.values()
        ]

    def transfer_time(self, call: Call) -> timedelta:
        """Return the time that the body of a request takes on the links of sender and target.

        A link carries one body after the other.
        """
        bits = call.features.body_bytes * BITS_PER_BYTE
        sender, receiver = getattr(call.chooser, "node", None), call.server.entry.node
        if not bits or sender == receiver:
            return ZERO
        now = at = self.clock.monotonic()
        for host in (sender, receiver):
            server = self.servers.get(host[0]) if host is not None else None
            if server is None or not server.entry.link_mbps:
                continue
            seconds = bits / (server.entry.link_mbps * BITS_PER_MEGABIT)
            at = max(at, self.links.get(host[0], ZERO)) + timedelta(seconds=seconds)
            self.links[host[0]] = at
        return at - now

    def run(self, *loads: Load) -> None:
        """Simulate requests that arrive at random times at random nodes of the loads' zones."""
        for load in loads:
            self._schedule_arrivals(load)
        while self.events:
            at_time, _, action = heappop(self.events)
            self.clock.advance(max(ZERO, at_time - self.clock.monotonic()))
            action()

    def _schedule_arrivals(self, load: Load) -> None:
        nodes = [node for node in self.nodes if node.zone in load.zones]
        at = 0.0
        while at < load.seconds:
            at += self.rng.expovariate(load.per_s)
            factor = self.rng.lognormvariate(
                -load.work_sigma * load.work_sigma / 2, load.work_sigma
            )
            draw = load.draw(self.rng) if load.draw is not None else PLAIN
            start = timedelta(seconds=at)
            terms = Terms(
                load.route,
                1,
                start + timedelta(seconds=load.objective),
                start + timedelta(seconds=load.deadline),
                Features(load.route, draw.path, draw.tenant, draw.body_bytes),
            )
            work = timedelta(seconds=load.work * draw.cost * factor)
            call = Call(
                system=self,
                chooser=self._pick_node(nodes, load, at),
                terms=terms,
                work=work,
                behaviour=load.behaviour,
                draw=draw,
            )
            self.schedule(start, call.begin)

    def _pick_node(self, nodes: list[Chooser], load: Load, at: float) -> Chooser:
        if not load.wave:
            return self.rng.choice(nodes)
        weights = [
            1.0 + load.wave * sin(2.0 * pi * (at / load.wave_s + number / len(load.zones)))
            for number in range(len(load.zones))
        ]
        zone = self.rng.choices(load.zones, weights)[0]
        return self.rng.choice([node for node in nodes if node.zone == zone])

    def share(self, *ends: str) -> float:
        """Return the share of the requests that ended in one of the given ways."""
        return sum(self.ends[end] for end in ends) / sum(self.ends.values())

    def sent_share(self, name: str) -> float:
        """Return the share of the sent requests that went to a target."""
        return self.sent[name] / sum(self.sent.values())
