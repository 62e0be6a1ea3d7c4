"""Benchmark of version moves: the product's decision code and three baselines."""

import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from statistics import median
from typing import NamedTuple

from bench.move_kinds import BAD_KINDS, BASE_ERROR_RATE, GOOD_KINDS, Kind
from bench.move_policies import AtOncePolicy, Policy, ProductPolicy, ThresholdPolicy, TimedPolicy
from bench.move_world import FOUR_ZONE_DEPLOYMENT, THREE_ZONE_DEPLOYMENT, TICK_S, Deployment, World
from bench.rows import BenchRow

PRODUCT = "almondshore"
POLICIES: dict[str, type[Policy]] = {
    PRODUCT: ProductPolicy,
    "timed steps": TimedPolicy,
    "threshold 5%": ThresholdPolicy,
    "all at once": AtOncePolicy,
}
DEPLOYMENTS = (FOUR_ZONE_DEPLOYMENT, THREE_ZONE_DEPLOYMENT)
SHORT_MOVE_S = 120.0
LONG_MOVE_S = 400.0
# Runs last for this multiple of the move's duration, since some versions turn bad after it.
OBSERVED_DURATIONS = 1.3
WORKER_PROCESSES = 3
MAX_BROKEN_REQUESTS_PER_CRASH = 9


class Case(NamedTuple):
    """One run; ``duration`` is the duration of the move in seconds."""

    policy: str
    kind: Kind
    deployment: Deployment
    duration: float
    seed: int


class Result(NamedTuple):
    """Result of one run.

    :ivar completed_at: when all requests went to the new version, in seconds, or None
    :ivar harmed: share of the service's requests that a bad version harmed
    :ivar exposed: share of requests on the new version until its fifth bad response
    :ivar first_bad_to_last: seconds from the first bad response to the last request on the version
    :ivar fifth_bad_to_last: seconds from the fifth bad response to the last request on the version
    :ivar bytes_per_node: control bytes per second and node
    """

    case: Case
    completed_at: float | None
    reverted: bool
    harmed: float
    exposed: float
    first_bad_to_last: float | None
    fifth_bad_to_last: float | None
    bytes_per_node: float


def run_case(case: Case) -> Result:
    """Run one move from its start until some time after its deadline or its rollback."""
    world = World(case.kind, case.deployment, case.duration, case.seed)
    policy = POLICIES[case.policy](world=world)
    completed_at = None
    while world.now < OBSERVED_DURATIONS * case.duration:
        _run_requests(world, policy)
        world.advance()
        policy.tick()
        if completed_at is None and policy.is_complete() and world.live("v2"):
            completed_at = world.now
        if (
            policy.is_reverted()
            and world.last_request_on_new
            and world.now > world.last_request_on_new + 10
        ):
            break
    return _result(case, world, policy, completed_at)


def _run_requests(world: World, policy: Policy) -> None:
    rng, rate = world.rng, world.rate()
    nodes = [node for node in policy.nodes() if policy.zone(node) != world.lost_zone]
    shares = {node: policy.share(node) for node in nodes}
    for _ in range(round(rate * TICK_S + rng.uniform(-0.5, 0.5))):
        node = rng.choice(nodes)
        version = "v2" if rng.random() < shares[node] else "v1"
        target = world.choose(version, shares[node])
        target = target or world.choose("v1" if version == "v2" else "v2", shares[node])
        if target is None or target.gone:
            continue
        route = world.route()
        outcome = world.serve(target, route)
        policy.record(node, target, route, outcome)
        if outcome is not None and outcome.broken:
            for _ in range(rng.randint(0, MAX_BROKEN_REQUESTS_PER_CRASH)):
                policy.record(rng.choice(nodes), target, route, outcome)
    _send_control_requests(world, policy, nodes)


def _send_control_requests(world: World, policy: Policy, nodes: list[int]) -> None:
    """Send requests to services without a move, which serve as controls of the verdict."""
    rng = world.rng
    for service in ("fault-desk", "status-monitoring", "schedule-programming"):
        for _ in range(3):
            latency = timedelta(milliseconds=20 * rng.lognormvariate(0, 0.5))
            policy.record_control(
                rng.choice(nodes), service, rng.random() >= BASE_ERROR_RATE, latency
            )


def _result(case: Case, world: World, policy: Policy, completed_at: float | None) -> Result:
    def seconds_to_last_request(start: float | None) -> float | None:
        if start is None or world.last_request_on_new is None:
            return None
        return max(0.0, world.last_request_on_new - start)

    return Result(
        case,
        completed_at,
        policy.is_reverted(),
        world.harmed / max(world.requests, 1),
        world.exposed_at_fifth_bad,
        seconds_to_last_request(world.first_bad),
        seconds_to_last_request(world.fifth_bad),
        policy.bytes / max(world.now, 1) / len(policy.nodes()),
    )


def make_cases(policy: str, kinds: Iterable[Kind], seeds: int) -> list[Case]:
    """Return the runs of a policy; long moves are run with a sixth of the seeds."""
    return [
        Case(policy, kind, deployment, duration, seed)
        for kind in kinds
        for deployment in DEPLOYMENTS
        for duration, count in ((SHORT_MOVE_S, seeds), (LONG_MOVE_S, max(seeds // 6, 1)))
        for seed in range(count)
    ]


def run_cases(cases: list[Case]) -> list[Result]:
    """Run cases in ``WORKER_PROCESSES`` processes; results keep the order of the cases."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        return list(pool.map(run_case, cases, chunksize=4))


def is_in_time(result: Result) -> bool:
    """Return whether a move was complete by its deadline and was not reverted."""
    completed_at = result.completed_at
    return completed_at is not None and completed_at <= result.case.duration and not result.reverted


def good_rows(name: str, results: list[Result]) -> list[BenchRow]:
    """Return the rows for good versions: moves in time and false rollbacks."""
    count, in_time = len(results), [result for result in results if is_in_time(result)]
    margins = [1 - result.completed_at / result.case.duration for result in in_time]
    margin = f", least margin {min(margins):.0%}" if margins else ""
    reverted = sum(result.reverted for result in results)
    return [
        BenchRow(
            f"{name}: in time",
            "all",
            f"{len(in_time)} of {count}{margin}",
            "moves",
            _verdict(len(in_time) == count),
        ),
        BenchRow(
            f"{name}: false rollbacks",
            "below 1 in 1,000",
            f"{reverted} of {count}",
            "moves",
            _verdict(reverted < count / 1000),
        ),
    ]


def bad_rows(name: str, results: list[Result]) -> list[BenchRow]:
    """Return the rows for bad versions: rollbacks, harmed requests and time to the rollback."""
    count, reverted = len(results), sum(result.reverted for result in results)
    harmed = max(result.harmed for result in results)
    first = [result.first_bad_to_last for result in results if result.first_bad_to_last is not None]
    last = [result.fifth_bad_to_last for result in results if result.fifth_bad_to_last is not None]
    rows = [
        BenchRow(
            f"{name}: rolled back",
            "all",
            f"{reverted} of {count}",
            "moves",
            _verdict(reverted == count),
        ),
        BenchRow(
            f"{name}: harmed, worst", "5", f"{100 * harmed:.2f}", "%", _verdict(harmed <= 0.05)
        ),
    ]
    if first and last:
        figure = f"{median(last):.1f} / {max(last):.1f} ({median(first):.1f} / {max(first):.1f})"
        rows.append(
            BenchRow(
                f"{name}: fifth (first) bad response to last request, median / worst",
                "5",
                figure,
                "s",
                _verdict(max(last) <= 5),
            )
        )
    if results[0].case.kind.version.is_bad_at_start():
        exposed = max(result.exposed for result in results)
        rows.append(
            BenchRow(
                f"{name}: requests on it before its fifth bad response, worst",
                "5",
                f"{100 * exposed:.1f}",
                "%",
                _verdict(exposed <= 0.05),
            )
        )
    return rows


def make_rows(results: list[Result]) -> list[BenchRow]:
    """Return rows by kind for the product, and summary rows for the product and each baseline."""
    groups: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        groups.setdefault((result.case.policy, result.case.kind.name), []).append(result)
    rows = []
    for (policy, kind), group in groups.items():
        if policy == PRODUCT:
            bad = group[0].case.kind.version.is_bad()
            rows += (bad_rows if bad else good_rows)(kind, group)
    for policy in POLICIES:
        of_policy = [result for result in results if result.case.policy == policy]
        good = [result for result in of_policy if not result.case.kind.version.is_bad()]
        bad = [result for result in of_policy if result.case.kind.version.is_bad()]
        rows += good_rows(f"{policy}, all good kinds", good) if good else []
        rows += bad_rows(f"{policy}, all bad kinds", bad)[:2] if bad else []
    max_bytes = max((result.bytes_per_node for result in results), default=0)
    rows.append(
        BenchRow(
            "control bytes of moves for each node, most",
            "14,000",
            f"{max_bytes:.0f}",
            "B/s",
            _verdict(max_bytes < 14_000),
        )
    )
    return rows


def _verdict(met: bool) -> str:
    return "met" if met else "missed"


def run(seeds: int = 1) -> list[BenchRow]:
    """Run all kinds with all policies and return the table."""
    cases = make_cases(PRODUCT, GOOD_KINDS + BAD_KINDS, seeds)
    for policy in POLICIES:
        if policy != PRODUCT:
            cases += make_cases(policy, GOOD_KINDS + BAD_KINDS, max(seeds // 10, 1))
    return make_rows(run_cases(cases))


def main() -> None:
    """Run the benchmark and print its table; the first argument is the number of seeds."""
    for row in run(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        print(f"| {row.name} | {row.target} | {row.figure} | {row.unit} | {row.verdict} |")


if __name__ == "__main__":
    main()
