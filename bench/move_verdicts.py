"""Bench of the verdict alone: how often equal versions are told apart over many moves."""

import random
import sys

from almondshore.core.messages import EvidenceRow
from almondshore.moves.controls import SlotsInUse
from almondshore.moves.evidence import BUCKETS
from almondshore.moves.verdict import COORDINATOR_ALPHA_SHARE, FALSE_POSITIVE_RATE, MoveVerdict
from bench.move_kinds import ROUTE_WEIGHTS, ROUTES
from bench.rows import BenchRow

WINDOWS_PER_STEP = 20
REQUESTS_PER_WINDOW = 100
NEW_VERSION_SHARES = (0.01, 0.05, 0.25, 0.5, 1.0)
ERROR_RATES = (0.0005, 0.005, 0.05)
# Histogram of both versions as (bucket, weight); the slow bucket is hit by 4%.
LATENCY_BUCKETS = ((9, 0.5), (10, 0.3), (11, 0.16), (13, 0.04))


def make_evidence_row(
    rng: random.Random, version: str, route: str, count: int, rate: float
) -> EvidenceRow:
    """Return a window of a version that fails at the given rate."""
    buckets = [0] * BUCKETS
    for bucket in rng.choices(*zip(*LATENCY_BUCKETS, strict=True), k=count):
        buckets[bucket] += 1
    errors = sum(rng.random() < rate for _ in range(count))
    return EvidenceRow("service", version, route, count, errors, buckets)


def is_rolled_back(seed: int) -> bool:
    """Run a move between equal versions; the common rate changes from window to window."""
    rng = random.Random(seed)
    verdict = MoveVerdict(
        service="service",
        old="v1",
        new="v2",
        routes=len(ROUTES),
        alpha=FALSE_POSITIVE_RATE * COORDINATOR_ALPHA_SHARE,
    )
    base = ERROR_RATES[seed % len(ERROR_RATES)]
    for window in range(WINDOWS_PER_STEP * len(NEW_VERSION_SHARES)):
        share = NEW_VERSION_SHARES[window // WINDOWS_PER_STEP]
        # While old requests run, the common rate may be ten times higher for a while.
        rate = base * (10 if share < 1 and window % 30 > 25 else 1)
        rows = []
        for route, weight in zip(ROUTES, ROUTE_WEIGHTS, strict=True):
            total = round(REQUESTS_PER_WINDOW * weight)
            new = sum(rng.random() < share for _ in range(total))
            rows.append(make_evidence_row(rng, "v2", route, new, rate))
            rows.append(make_evidence_row(rng, "v1", route, total - new, rate))
        new_slots = max(1, round(40 * share))
        verdict.observe(window, rows, slots=SlotsInUse(new_slots, 40))
        if verdict.regression is not None:
            return True
    return False


def run(moves: int = 300) -> list[BenchRow]:
    """Return the share of moves between equal versions in which the new one is condemned."""
    rolled_back = sum(is_rolled_back(seed) for seed in range(moves))
    met = rolled_back <= FALSE_POSITIVE_RATE * moves
    return [
        BenchRow(
            "verdict alone, equal versions: condemned",
            "below 1 in 1,000",
            f"{rolled_back} of {moves}",
            "moves",
            "met" if met else "missed",
        )
    ]


if __name__ == "__main__":
    for row in run(int(sys.argv[1]) if len(sys.argv) > 1 else 300):
        print(f"| {row.name} | {row.target} | {row.figure} | {row.unit} | {row.verdict} |")
