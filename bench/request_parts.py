"""The decision code for the request model, and plain baselines to compare it with."""

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
from bench.request_model import SLOTS, Call, Model, Parts, make_slot_queue

RETRY_PAUSE_MS = 25.0


class OwnChooser:
    """``TargetChooser`` as the model calls it."""

    def __init__(self, model: Model, zone: str):
        rng = random.Random(model.rng.random())
        ejector = OutlierEjector(clock=model.clock)
        self.inner = TargetChooser(clock=model.clock, rng=rng, zone=zone, ejector=ejector)
        self.update, self.started = self.inner.update, self.inner.started
        self.finished = self.inner.finished

    def choose(self, call: Call) -> TargetRecord | None:
        """Choose a target that the call has not tried."""
        return self.inner.choose("s", {"v1": 1.0}, call.tried)


class OwnRetry:
    """``RetryPolicy`` as the model calls it."""

    def __init__(self, model: Model):
        rng = random.Random(model.rng.random())
        budget = RetryBudget(clock=model.clock)
        self.policy = RetryPolicy(clock=model.clock, rng=rng, budget=budget)

    def first(self) -> None:
        """Count a first attempt."""
        self.policy.record_first_attempt("s")

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Return the delay of a retry in milliseconds, or None."""
        deadline = timedelta(milliseconds=call.deadline_ms)
        failure = make_failure(reason)
        attempt = Attempt("s", failure, len(call.tried) - 1, True, True, deadline)
        answer = self.policy.decide(attempt)
        return answer.delay / timedelta(milliseconds=1) if isinstance(answer, Retry) else None


class PlainChooser:
    """Baseline: a rule over all listed targets, without zones, reports or ejection."""

    def __init__(self, model: Model, zone: str):
        self.rng = random.Random(model.rng.random())
        self.records: list[TargetRecord] = []
        self.own: dict[str, int] = {}

    def update(self, service: str, records: list[TargetRecord]) -> None:
        """Set the targets."""
        self.records = list(records)

    def started(self, target: str) -> None:
        """Count a request."""
        self.own[target] = self.own.get(target, 0) + 1

    def finished(self, target: str, result: TargetResult) -> None:
        """Count the end of a request."""
        self.own[target] -= 1

    def choose(self, call: Call) -> TargetRecord | None:
        """Choose a target."""
        raise NotImplementedError


class RoundRobin(PlainChooser):
    """Baseline: one target after the other."""

    def __init__(self, model: Model, zone: str):
        super().__init__(model, zone)
        self.turn = itertools.count(self.rng.randrange(100))

    def choose(self, call: Call) -> TargetRecord | None:
        """Return the next target."""
        return self.records[next(self.turn) % len(self.records)]


class RandomChoice(PlainChooser):
    """Baseline: any target."""

    def choose(self, call: Call) -> TargetRecord | None:
        """Return a random target."""
        return self.rng.choice(self.records)


class LeastRequests(PlainChooser):
    """Baseline: the target that holds the fewest requests of this node."""

    def choose(self, call: Call) -> TargetRecord | None:
        """Return the target with the fewest own requests; ties go to a random one."""
        return min(self.records, key=lambda item: (self.own.get(item.target, 0), self.rng.random()))


class Fifo:
    """Baseline: one unbounded queue for all classes, blind to deadlines."""

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
        """Start the request that has waited longest."""
        self.running.discard(request_id)
        if not self.waiting:
            return DispatchResult()
        request = self.waiting.popleft()
        self.running.add(request.request_id)
        return DispatchResult((request,))


class NoRetry:
    """Baseline: every failure goes to the caller."""

    def __init__(self, model: Model):
        pass

    def first(self) -> None:
        """Count nothing."""

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Never retry."""
        return None


class UnboundedRetry(NoRetry):
    """Baseline: retries every 25 ms until the deadline."""

    def __init__(self, model: Model):
        self.model = model

    def decide(self, call: Call, reason: Reason) -> float | None:
        """Retry while there is time."""
        return RETRY_PAUSE_MS if self.model.now_ms < call.deadline_ms else None


OWN = Parts("almondshore", OwnChooser, make_slot_queue, OwnRetry)
BASELINES = (
    Parts("round robin, FIFO, unbounded retries", RoundRobin, Fifo, UnboundedRetry),
    Parts("random, FIFO, unbounded retries", RandomChoice, Fifo, UnboundedRetry),
    Parts("least requests, FIFO, unbounded retries", LeastRequests, Fifo, UnboundedRetry),
    Parts("least requests, FIFO, no retries", LeastRequests, Fifo, NoRetry),
)
