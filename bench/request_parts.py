"""The product's decision code and simple baselines, adapted to the request model."""

import itertools
import random
from collections import deque
from datetime import timedelta

from almondshore.core.messages import TargetRecord
from almondshore.limits.admission import Admitted, DispatchResult, Queued, SlotRequest
from almondshore.retries.budget import RetryBudget
from almondshore.retries.outcome import Reason, make_failure
from almondshore.retries.policy import Attempt, Retry, RetryPolicy
from almondshore.routing.choice import TargetChooser, TargetResult
from almondshore.routing.outlier import OutlierEjector
from bench.request_model import SLOTS, Call, Components, Model, make_slot_queue

RETRY_INTERVAL_MS = 25.0


class ProductChooser:
    """Adapts ``TargetChooser`` to the interface of the model."""

    def __init__(self, model: Model, zone: str):
        rng = random.Random(model.rng.random())
        ejector = OutlierEjector(clock=model.clock)
        self.chooser = TargetChooser(clock=model.clock, rng=rng, zone=zone, ejector=ejector)
        self.update, self.started = self.chooser.update, self.chooser.started
        self.finished = self.chooser.finished

    def choose(self, call: Call) -> TargetRecord | None:
        """Choose a target that the call has not tried; None if there is none."""
        return self.chooser.choose("s", {"v1": 1.0}, call.tried)


class ProductRetry:
    """Adapts ``RetryPolicy`` to the interface of the model."""

    def __init__(self, model: Model):
        rng = random.Random(model.rng.random())
        budget = RetryBudget(clock=model.clock)
        self.policy = RetryPolicy(clock=model.clock, rng=rng, budget=budget)

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds to the retry budget."""
        self.policy.record_first_attempt("s")

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Return the delay of a retry in milliseconds, or None."""
        deadline = timedelta(milliseconds=call.deadline_ms)
        failure = make_failure(reason)
        attempt = Attempt("s", failure, len(call.tried) - 1, True, True, deadline)
        decision = self.policy.decide(attempt)
        return decision.delay / timedelta(milliseconds=1) if isinstance(decision, Retry) else None


class PlainChooser:
    """Base of baselines that ignore zones, load reports and outlier ejection.

    :ivar active: this node's running requests by target
    """

    def __init__(self, model: Model, zone: str):
        self.rng = random.Random(model.rng.random())
        self.records: list[TargetRecord] = []
        self.active: dict[str, int] = {}

    def update(self, service: str, records: list[TargetRecord]) -> None:
        """Replace the list of targets."""
        self.records = list(records)

    def started(self, target: str) -> None:
        """Count a running request."""
        self.active[target] = self.active.get(target, 0) + 1

    def finished(self, target: str, result: TargetResult) -> None:
        """Count the end of a request."""
        self.active[target] -= 1

    def choose(self, call: Call) -> TargetRecord | None:
        """Choose a target."""
        raise NotImplementedError


class RoundRobin(PlainChooser):
    """Baseline: targets in turn, starting at a random one."""

    def __init__(self, model: Model, zone: str):
        super().__init__(model, zone)
        self.positions = itertools.count(self.rng.randrange(100))

    def choose(self, call: Call) -> TargetRecord | None:
        """Return the next target."""
        return self.records[next(self.positions) % len(self.records)]


class RandomChoice(PlainChooser):
    """Baseline: any target with equal probability."""

    def choose(self, call: Call) -> TargetRecord | None:
        """Return a random target."""
        return self.rng.choice(self.records)


class LeastRequests(PlainChooser):
    """Baseline: the target with the fewest running requests of this node."""

    def choose(self, call: Call) -> TargetRecord | None:
        """Return the target with the fewest requests; ties are broken at random."""
        return min(
            self.records, key=lambda item: (self.active.get(item.target, 0), self.rng.random())
        )


class Fifo:
    """Baseline: one unbounded queue for all request classes that ignores deadlines."""

    def __init__(self, model: Model):
        self.running: set[str] = set()
        self.waiting: deque[SlotRequest] = deque()

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiting)

    def offer(self, request: SlotRequest) -> Admitted | Queued:
        """Start or queue a request."""
        if len(self.running) < SLOTS:
            self.running.add(request.request_id)
            return Admitted()
        self.waiting.append(request)
        return Queued()

    def release(self, request_id: str) -> DispatchResult:
        """Free a slot and start the request that has waited longest."""
        self.running.discard(request_id)
        if not self.waiting:
            return DispatchResult()
        request = self.waiting.popleft()
        self.running.add(request.request_id)
        return DispatchResult((request,))


class NoRetry:
    """Baseline: every failure is returned to the caller."""

    def __init__(self, model: Model):
        pass

    def record_first_attempt(self) -> None:
        """Do nothing; there is no budget."""

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Never retry."""
        return None


class UnboundedRetry(NoRetry):
    """Baseline: retries every 25 ms until the deadline."""

    def __init__(self, model: Model):
        self.model = model

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Retry until the deadline has passed."""
        return RETRY_INTERVAL_MS if self.model.now_ms < call.deadline_ms else None


PRODUCT = Components("almondshore", ProductChooser, make_slot_queue, ProductRetry)
BASELINES = (
    Components("round robin, FIFO, unbounded retries", RoundRobin, Fifo, UnboundedRetry),
    Components("random, FIFO, unbounded retries", RandomChoice, Fifo, UnboundedRetry),
    Components("least requests, FIFO, unbounded retries", LeastRequests, Fifo, UnboundedRetry),
    Components("least requests, FIFO, no retries", LeastRequests, Fifo, NoRetry),
)
