"""Benchmark of the request path: overload, slow target, zone loss, retries, decision times."""

from datetime import timedelta

from almondshore.limits.tenants import CAPACITY
from almondshore.rules.model import RequestClass
from bench.request_chain import DEPTH, GAP, REQUESTS, Chain, unbounded_runs
from bench.request_costs import decision_costs, flood
from bench.request_model import (
    MIX,
    SERVICE_MS,
    TARGETS_PER_ZONE,
    ZONES,
    Model,
    Scenario,
    Totals,
)
from bench.request_parts import BASELINES, OWN
from bench.rows import BenchRow

OVERLOAD = Scenario("3x overload", 3.0)
SLOW = Scenario("slow target", 0.6, slow_factor=5.0)
ZONE_LOSS = Scenario("zone loss", 0.6, duration_ms=12000.0, lost_zone_at_ms=2000.0)
FAILING = Scenario("all targets fail 2 s", 0.6, failing_ms=(3000.0, 5000.0))
HOPS = 2 * len(ZONES)
# Section 1 of the design page: added latency for 99 in 100 calls.
MAX_ADDED_US = 1800.0
# Section 7: retries are 10% of requests plus 3/s; each hop 1 starts with one second's minimum.
RETRY_RATIO, RETRY_MIN_PER_S = 0.1, 3.0
# Section 7: one slot of each target is the minimum for internal calls.
INTERNAL_MIN_PER_S = len(ZONES) * TARGETS_PER_ZONE * 1000.0 / SERVICE_MS
SECOND = timedelta(seconds=1)
FLOOD_GAPS = (timedelta(microseconds=50), timedelta(microseconds=1))


def _verdict(holds: bool) -> str:
    return "pass" if holds else "FAIL"


def _class_rows(scenario: Scenario, name: str, totals: Totals) -> list[BenchRow]:
    """Return good responses and p99 by class, for information."""
    seconds = scenario.duration_ms / 1000
    rows = []
    for request_class in MIX:
        label = f"{scenario.name}, {name}: {request_class.value}"
        rate = totals.good[request_class] / seconds
        offered = totals.offered[request_class] / seconds
        rows.append(BenchRow(f"{label} good", f"of {offered:.0f}", f"{rate:.1f}", "1/s", "info"))
        figure = f"{totals.p99_ms(request_class):.0f}"
        rows.append(BenchRow(f"{label} p99", "-", figure, "ms", "info"))
    attempts = f"{totals.attempts / totals.offered.total():.2f}"
    rows.append(
        BenchRow(f"{scenario.name}, {name}: attempts", "-", attempts, "for each request", "info")
    )
    return rows


def _compare(scenario: Scenario) -> tuple[Totals, list[BenchRow]]:
    """Run a scenario with the product and the baselines.

    :returns: the product's totals, and rows of which one holds the product against the baselines
    """
    own = Model(scenario, OWN).run()
    rows = _class_rows(scenario, OWN.name, own)
    best = 0
    for parts in BASELINES:
        totals = Model(scenario, parts).run()
        rows += _class_rows(scenario, parts.name, totals)
        best = max(best, totals.good.total())
    seconds = scenario.duration_ms / 1000
    rows.append(
        BenchRow(
            f"{scenario.name}: good responses, all classes",
            f">= best baseline {best / seconds:.1f}",
            f"{own.good.total() / seconds:.1f}",
            "1/s",
            _verdict(own.good.total() >= best),
        )
    )
    return own, rows


def _overload_rows() -> list[BenchRow]:
    own, rows = _compare(OVERLOAD)
    rate = own.good[RequestClass.INTERNAL] * 1000.0 / OVERLOAD.duration_ms
    target = f">= {INTERNAL_MIN_PER_S:.0f} (1 slot of each target)"
    verdict = _verdict(rate >= INTERNAL_MIN_PER_S)
    rows.append(BenchRow("3x overload: internal good", target, f"{rate:.1f}", "1/s", verdict))
    return rows


def _failing_rows() -> list[BenchRow]:
    """Hold the retries of the product against the budget, without what is saved up."""
    own, rows = _compare(FAILING)
    seconds = FAILING.duration_ms / 1000
    allowed = RETRY_RATIO * own.offered.total() + RETRY_MIN_PER_S * (seconds + 1) * HOPS
    rows.append(
        BenchRow(
            "all targets fail 2 s: retries",
            f"<= {allowed:.0f} (10% + 3/s for each hop 1)",
            f"{own.retries}",
            "count",
            _verdict(own.retries <= allowed),
        )
    )
    return rows


def _chain_rows() -> list[BenchRow]:
    allowed = 1.0 + RETRY_RATIO + RETRY_MIN_PER_S * (GAP * REQUESTS / SECOND + 1) / REQUESTS
    runs = Chain(header=True).run()
    name = f"chain of {DEPTH}: runs of the last target"
    unit = "for each request"
    bare = Chain(header=False).run()
    plain = unbounded_runs(2)
    return [
        BenchRow(name, f"<= {allowed:.3f} (10% + 3/s)", f"{runs:.3f}", unit,
                 _verdict(runs <= allowed)),
        BenchRow(f"{name}, attempt header not passed on", "-", f"{bare:.3f}", unit, "info"),
        BenchRow(f"{name}, 2 retries at each hop (3^7)", "-", f"{plain}", unit, "info"),
    ]  # fmt: skip


def _cost_rows() -> list[BenchRow]:
    costs = decision_costs()
    rows = [
        BenchRow(f"time: {cost.name}", "-", f"{cost.mean_us:.1f} / {cost.p99_us:.1f}",
                 "us mean / p99", "info")
        for cost in costs
    ]  # fmt: skip
    total = sum(cost.p99_us for cost in costs)
    target = f"<= {MAX_ADDED_US:.0f} (all of a hop)"
    rows.append(
        BenchRow(
            "time: sum of the p99", target, f"{total:.1f}", "us", _verdict(total <= MAX_ADDED_US)
        )
    )
    return rows


def _tenant_rows() -> list[BenchRow]:
    rows = []
    for gap in FLOOD_GAPS:
        for bounded in (True, False):
            result = flood(bounded, gap)
            kind = "bounded" if bounded else "plain"
            name = f"tenant flood, 1 name in {gap / timedelta(microseconds=1):.0f} us, {kind}"
            holds = _verdict(result.identities <= CAPACITY) if bounded else "info"
            target = f"<= {CAPACITY}" if bounded else "-"
            rows.append(
                BenchRow(f"{name}: identities", target, f"{result.identities}", "count", holds)
            )
            rows.append(BenchRow(f"{name}: memory", "-", f"{result.megabytes:.1f}", "MB", "info"))
            rows.append(BenchRow(f"{name}: time", "-", f"{result.mean_us:.1f}", "us", "info"))
            refused = f"{result.refused_known} / {result.refused_new}"
            rows.append(
                BenchRow(f"{name}: refused known / new", "-", refused, "of 100 each", "info")
            )
    return rows


def run() -> list[BenchRow]:
    """Run all scenarios and return their rows."""
    rows = _overload_rows()
    for scenario in (SLOW, ZONE_LOSS):
        rows += _compare(scenario)[1]
    return [*rows, *_failing_rows(), *_chain_rows(), *_cost_rows(), *_tenant_rows()]


def main() -> None:
    """Print the table."""
    for row in run():
        print(f"{row.name:<80} {row.target:<34} {row.figure:>14} {row.unit:<16} {row.verdict}")


if __name__ == "__main__":
    main()
