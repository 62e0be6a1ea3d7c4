"""Time of each decision on the request path, and memory of the tenant table."""

import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from almondshore.core.clock import ManualClock, SystemClock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.limits.admission import SlotQueue, SlotRequest
from almondshore.limits.tenants import Allowed, TenantLimits
from almondshore.retries.budget import RetryBudget
from almondshore.retries.claims import ClaimBudget, ClaimStore
from almondshore.retries.crash import CrashGuard, fingerprint
from almondshore.retries.once import OnceRecords, key_hash
from almondshore.retries.outcome import Reason, make_failure
from almondshore.retries.ownership import Ownership
from almondshore.retries.policy import Attempt, RetryPolicy
from almondshore.routing.choice import ResultKind, TargetChooser, TargetResult
from almondshore.routing.outlier import OutlierEjector
from almondshore.routing.table import RouteTable
from almondshore.rules.model import RequestClass, RoutePart, ServicePart
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

SERVICES = 2600
ROUTES_PER_SERVICE = 5
SAMPLES = 20_000
FLOOD_REQUESTS = 200_000
DAY = timedelta(days=1)


class Cost(NamedTuple):
    """Time of one decision in microseconds."""

    name: str
    mean_us: float
    p99_us: float


def _measure(name: str, action: Callable[[int], object]) -> Cost:
    histogram = HdrHistogram(1, 1_000_000_000, 3)
    for number in range(SAMPLES):
        begin = time.perf_counter_ns()
        action(number)
        histogram.record_value(max(1, time.perf_counter_ns() - begin))
    p99_ns = histogram.get_value_at_percentile(99)
    return Cost(name, histogram.get_mean_value() / 1000, p99_ns / 1000)


def _route(path: str) -> RoutePart:
    return RoutePart(
        methods=["GET"], path=path, request_class="routine", once=False, timeout_ms=1000
    )


def _table() -> Callable[[int], object]:
    parts = [
        ServicePart(
            name=f"s{n}",
            version="v1",
            routes=[_route(f"/s{n}/r{r}/*") for r in range(ROUTES_PER_SERVICE)],
            move=None,
            allowed={},
        )
        for n in range(SERVICES)
    ]
    table = RouteTable(parts)
    return lambda number: table.match("GET", f"/s{number % SERVICES}/r3/schedule/{number}")


def _choice(targets: int) -> Callable[[int], object]:
    clock = SystemClock()
    ejector = OutlierEjector(clock=clock)
    chooser = TargetChooser(clock=clock, rng=random.Random(1), zone="z0", ejector=ejector)
    chooser.update(
        "s",
        [
            TargetRecord(f"t{n}", f"t{n}", "s", "v1", "", f"z{n % 4}", 10, 1, TargetState.UP)
            for n in range(targets)
        ],
    )

    def action(number: int) -> None:
        target = chooser.choose("s", {"v1": 0.95, "v2": 0.05}).target
        chooser.started(target)
        chooser.finished(target, TargetResult(ResultKind.OK, number % 10, 0))

    return action


def _admission() -> Callable[[int], object]:
    """Return an action that offers a request to a queue and frees a slot when it is full."""
    clock = SystemClock()
    queue = SlotQueue(clock=clock, slots=10)
    classes = list(RequestClass)

    def action(number: int) -> None:
        deadline = clock.monotonic() + timedelta(seconds=60)
        queue.offer(SlotRequest(f"r{number}", classes[number % 3], deadline))
        if queue.queued >= queue.queue_limit:
            queue.release(next(iter(queue.running)))

    return action


def _retry() -> Callable[[int], object]:
    clock = SystemClock()
    policy = RetryPolicy(clock=clock, rng=random.Random(1), budget=RetryBudget(clock=clock))
    failure = make_failure(Reason.OVERLOADED)

    def action(number: int) -> None:
        policy.record_first_attempt("s")
        deadline = clock.monotonic() + timedelta(seconds=60)
        policy.decide(Attempt("s", failure, 0, True, True, deadline))

    return action


def _claim(nodes: int) -> Callable[[int], object]:
    """Return an action that claims a key at its owner; the in-memory platform adds no latency."""
    clock = SystemClock()
    ownership = Ownership(clock=clock, node="n0", warm_up=timedelta(), contact_max_age=DAY)
    ownership.update(f"n{number}" for number in range(nodes))
    platform = MemoryPlatform(store=ObjectStore(clock=clock, writes_per_second=10**9))
    budget = ClaimBudget(clock=clock, rate=1e9, burst=1e9)
    claims = ClaimStore(platform=platform, clock=clock, node="n0", instance="i", budget=budget)
    records = OnceRecords(clock=clock, claims=claims, ownership=ownership)

    def action(number: int) -> None:
        key = key_hash("s", "tenant", str(number))
        records.claim(key, number, clock.monotonic() + timedelta(seconds=2))

    return action


def decision_costs() -> list[Cost]:
    """Measure the time of each decision on the request path."""
    tenants = TenantLimits(clock=SystemClock())
    guard = CrashGuard(clock=SystemClock())
    return [
        _measure("route look-up, 13,000 routes", _table()),
        _measure("tenant limit", lambda number: tenants.take(f"tenant-{number % 500}")),
        _measure("crash check", lambda n: guard.check(fingerprint("GET", "/x", "t", b"%d" % n))),
        _measure("choice among 8 targets", _choice(8)),
        _measure("choice among 200 targets", _choice(200)),
        _measure("admission, full queue", _admission()),
        _measure("retry decision", _retry()),
        _measure("idempotency claim, 8 nodes, without the platform's time", _claim(8)),
    ]


class UnboundedTenantLimits:
    """Baseline: a token bucket for each tenant name ever seen, without eviction."""

    def __init__(self, clock: ManualClock):
        self.clock = clock
        self.buckets: dict[str, tuple[float, float]] = {}

    def take(self, tenant: str) -> bool:
        """Take a token; returns whether the request is allowed."""
        now_s = self.clock.monotonic().total_seconds()
        tokens, at = self.buckets.get(tenant, (200.0, now_s))
        tokens = min(200.0, tokens + (now_s - at) * 100.0)
        self.buckets[tenant] = (max(0.0, tokens - 1.0), now_s)
        return tokens >= 1.0


class FloodResult(NamedTuple):
    """State of a tenant table after a flood of requests under made-up tenant names.

    :ivar megabytes: memory of the table
    :ivar identities: entries in the table
    :ivar refused_known: refusals among one request each of 100 tenants known before the flood
    :ivar refused_new: refusals among one request each of 100 tenants first seen during the flood
    :ivar mean_us: mean time to decide on a request under a new name after the flood
    """

    megabytes: float
    identities: int
    refused_known: int
    refused_new: int
    mean_us: float


def measure_tenant_flood(bounded: bool, interval: timedelta) -> FloodResult:
    """Send one request under each of 200,000 made-up tenant names.

    :param bounded: whether to use the product's table or the unbounded baseline
    :param interval: simulated time between two requests
    """
    clock = ManualClock()
    refused = {"known": 0, "new": 0}
    tracemalloc.start()
    table = TenantLimits(clock=clock) if bounded else UnboundedTenantLimits(clock)

    def take(name: str) -> bool:
        decision = table.take(name)
        return isinstance(decision, Allowed) if bounded else decision

    for number in range(100):
        take(f"known-{number}")
    for number in range(FLOOD_REQUESTS):
        clock.advance(interval)
        take(f"made-up-{number}")
        if number % (FLOOD_REQUESTS // 100) == 0:
            refused["known"] += not take(f"known-{number * 100 // FLOOD_REQUESTS}")
            refused["new"] += not take(f"new-{number}")
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    begin = time.perf_counter_ns()
    for number in range(SAMPLES):
        take(f"late-{number}")
    mean_us = (time.perf_counter_ns() - begin) / 1000 / SAMPLES
    identities = len(table.unconfigured if bounded else table.buckets)
    return FloodResult(megabytes, identities, refused["known"], refused["new"], mean_us)
