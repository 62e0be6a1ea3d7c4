"""Simulation of the slots of one target under a given load, with a manual clock."""

import random
from collections import Counter
from datetime import timedelta
from heapq import heappop, heappush

from almondshore.core.clock import ManualClock
from almondshore.limits.objective import Job, ObjectiveQueue, Terms
from almondshore.placement.cost import Features


def ms(number):
    return timedelta(milliseconds=number)


class Arrival(Job):
    """A request that arrives at the queue; ``work`` is its service time."""

    def __init__(self, simulation, kind, terms, work):
        self.simulation, self.kind, self.terms, self.work = simulation, kind, terms, work

    def start(self):
        self.simulation.schedule(self.simulation.clock.monotonic() + self.work, self.finish)

    def finish(self):
        now = self.simulation.clock.monotonic()
        end = "late" if now > self.terms.objective_at else "on time"
        if now > self.terms.deadline_at:
            end = "useless"
        self.simulation.ends[self.kind, end] += 1
        self.simulation.queue.release(self, observed=True)

    def refuse(self, reason, retry_after):
        self.simulation.ends[self.kind, "refused"] += 1
        self.simulation.refusal_delays[self.kind].append(
            self.simulation.clock.monotonic() - self.arrived
        )
        self.simulation.retry_after.append(retry_after)


class SlotsSimulation:
    """Runs arrivals of requests against the queue of one target.

    :ivar ends: number of requests by kind and by how they ended: "on time", "late", "useless"
        (after the deadline) or "refused"
    :ivar refusal_delays: times from arrival to refusal, by kind
    """

    def __init__(self, slots=9, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.queue = ObjectiveQueue(clock=self.clock, slots=slots)
        self.events = []
        self.ends = Counter()
        self.refusal_delays = {}
        self.retry_after = []
        self.count = 0

    def schedule(self, at, action):
        self.count += 1
        heappush(self.events, (at, self.count, action))

    def schedule_arrivals(
        self, kind, per_s, seconds, *, work, objective, deadline, urgency, spread=0.3, tenant=""
    ):
        """Schedule requests of a kind at random times; the times of a request are milliseconds.

        :param spread: standard deviation of the logarithm of the service time
        :param tenant: name of the tenant; its requests are counted by kind and tenant
        """
        name = f"{kind} {tenant}" if tenant else kind
        self.refusal_delays.setdefault(name, [])
        features = Features(kind, tenant=tenant) if tenant else None
        for number in range(int(per_s * seconds)):
            at = timedelta(seconds=(number + self.rng.random()) / per_s)
            service_time = ms(work) * self.rng.lognormvariate(-spread * spread / 2, spread)

            def offer(at=at, service_time=service_time):
                terms = Terms(kind, urgency, at + ms(objective), at + ms(deadline), features)
                arrival = Arrival(self, name, terms, service_time)
                arrival.arrived = at
                self.queue.offer(arrival)

            self.schedule(at, offer)

    def run(self):
        while self.events:
            at, _, action = heappop(self.events)
            self.clock.advance(max(timedelta(), at - self.clock.monotonic()))
            action()

    def share(self, kind, *ends):
        """Return the share of a kind's requests that ended in one of the given ways."""
        total = sum(count for (name, _), count in self.ends.items() if name == kind)
        return sum(self.ends[kind, end] for end in ends) / total
