"""Several targets and the nodes that choose among them, on a manual clock."""

import random
from collections import Counter
from datetime import timedelta
from heapq import heappop, heappush

from almondshore.core.clock import ManualClock
from almondshore.limits.objective import Job, ObjectiveQueue, Terms
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.inbound import UNANSWERED_FACTOR
from almondshore.mesh.model import LoadReport, Target, TargetState
from almondshore.routing.completion import CompletionChooser

ONE_WAY = {True: timedelta(milliseconds=0.1), False: timedelta(milliseconds=0.9)}
MAX_REFUSALS = 3


class Server:
    """A target with its queue and results.

    :ivar unanswered: share of the requests that it takes and never answers
    """

    def __init__(self, clock, name, zone, *, speed=1.0, failures=0.0, unanswered=0.0, slots=9):
        self.entry = Target(name, "s", "v1", zone, slots, TargetState.READY, (name, 1), 1, 1)
        self.queue = ObjectiveQueue(clock=clock, slots=slots)
        self.recorder = ResultRecorder(clock=clock)
        self.speed = speed
        self.failures = failures
        self.unanswered = unanswered

    def report(self, route):
        return LoadReport(
            len(self.queue.running),
            len(self.queue.waiting),
            self.queue.slots,
            self.queue.times.expected(route),
            self.recorder.failure_rate(),
            False,
        )


class Call(Job):
    """A request of a node, at one target after the other until one takes it."""

    def __init__(self, fleet, chooser, terms, work):
        self.fleet, self.chooser, self.terms, self.work = fleet, chooser, terms, work
        self.refused_by = set()
        self.server = None

    def send(self):
        entries = [server.entry for server in self.fleet.servers.values()]
        objective = self.terms.objective_at - self.fleet.clock.monotonic()
        chosen = self.chooser.choose(
            entries, route="r", objective=objective, exclude=self.refused_by
        )
        if chosen is None or len(self.refused_by) >= MAX_REFUSALS:
            self.fleet.ends["refused"] += 1
            return
        self.server = self.fleet.servers[chosen.target]
        self.chooser.started(chosen.target)
        self.fleet.sent[chosen.target] += 1
        self.fleet.after(self.way(), lambda: self.server.queue.offer(self))

    def way(self):
        return ONE_WAY[self.server.entry.zone == self.chooser.zone]

    def start(self):
        if self.fleet.rng.random() < self.server.unanswered:
            started = self.fleet.clock.monotonic()
            self.fleet.after(self.terms.deadline_at - started, lambda: self.give_up(started))
            return
        took = self.work / self.server.speed
        self.fleet.after(took, lambda: self.finish(took))

    def finish(self, took):
        ok = self.fleet.rng.random() >= self.server.failures
        self.server.recorder.record("r", ok=ok, took=took, warm=True)
        self.server.queue.release(self, observed=ok)
        self.fleet.after(self.way(), lambda: self.answer(ok))

    def give_up(self, started):
        usual = self.server.queue.times.observed("r")
        took = self.fleet.clock.monotonic() - started
        if usual is not None and took >= usual * UNANSWERED_FACTOR:
            self.server.recorder.record_unanswered()
        self.server.queue.release(self, observed=False)
        self.chooser.finished(self.server.entry.target, "r", None)
        self.fleet.ends["failed"] += 1

    def answer(self, ok):
        self.chooser.finished(self.server.entry.target, "r", self.server.report("r"))
        now = self.fleet.clock.monotonic()
        end = "on time" if now <= self.terms.objective_at else "late"
        self.fleet.ends[end if ok else "failed"] += 1

    def refuse(self, reason, retry_after):
        self.refused_by.add(self.server.entry.target)
        report = self.server.report("r")
        self.fleet.after(self.way(), lambda: self.on_refusal(report))

    def on_refusal(self, report):
        self.chooser.finished(self.server.entry.target, "r", report)
        self.send()


class Fleet:
    """Plays requests of nodes in three zones against targets.

    :ivar ends: how requests ended
    :ivar sent: sends by target
    """

    ZONES = ("a", "b", "c")

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.servers = {}
        self.nodes = [
            CompletionChooser(clock=self.clock, rng=self.rng, zone=zone)
            for zone in self.ZONES
            for _ in range(3)
        ]
        self.events = []
        self.count = 0
        self.ends = Counter()
        self.sent = Counter()

    def add(self, name, zone, **fields):
        self.servers[name] = Server(self.clock, name, zone, **fields)

    def remove(self, name):
        """Take a target away; what it runs it still ends."""
        del self.servers[name]

    def after(self, delay, action):
        self.count += 1
        heappush(self.events, (self.clock.monotonic() + delay, self.count, action))

    def play(
        self, per_s, seconds, *, work=0.2, objective=0.6, deadline=1.2, spread=0.5, zones=ZONES
    ):
        """Play requests that come at random times to random nodes of some zones."""
        nodes = [node for node in self.nodes if node.zone in zones]
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(per_s)
            took = timedelta(seconds=work * self.rng.lognormvariate(-spread * spread / 2, spread))
            start = timedelta(seconds=at)
            terms = Terms(
                "r", 1, start + timedelta(seconds=objective), start + timedelta(seconds=deadline)
            )
            call = Call(self, self.rng.choice(nodes), terms, took)
            self.after(start, call.send)
        while self.events:
            at, _, action = heappop(self.events)
            self.clock.advance(max(timedelta(), at - self.clock.monotonic()))
            action()

    def share(self, *ends):
        return sum(self.ends[end] for end in ends) / sum(self.ends.values())

    def sent_share(self, name):
        return self.sent[name] / sum(self.sent.values())
