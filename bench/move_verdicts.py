"""Benchmark of the verdict: rate of false rollbacks over many moves between equal versions."""

import random
import sys

from almondshore.core.messages import EvidenceRow
from almondshore.moves.controls import SlotsInUse
from almondshore.moves.evidence import BUCKET_COUNT
from almondshore.moves.verdict import COORDINATOR_ALPHA_SHARE, FALSE_POSITIVE_RATE, MoveVerdict
from bench.move_kinds import ROUTE_WEIGHTS, ROUTES
from bench.rows import BenchRow

WINDOWS_PER_STEP = 20
REQUESTS_PER_WINDOW = 100
NEW_VERSION_SHARES = (0.01, 0.05, 0.25, 0.5, 1.0)
ERROR_RATES = (0.0005, 0.005, 0.05)
# Latency histogram of both versions as (bucket, weight); 4% fall into the slow bucket.
LATENCY_BUCKETS = ((9, 0.5), (10, 0.3), (11, 0.16), (13, 0.04))


def make_evidence_row(
    rng: random.Random, version: str, route: str, count: int, rate: float
) -> EvidenceRow:
    """Return the evidence of one window for a version with the given error rate."""
    buckets = [0] * BUCKET_COUNT
    for bucket in rng.choices(*zip(*LATENCY_BUCKETS, strict=True), k=count):
        buckets[bucket] += 1
    errors = sum(rng.random() < rate for _ in range(count))
    return EvidenceRow("service", version, route, count, errors, buckets)


def is_rolled_back(seed: int) -> bool:
    """Return whether the verdict rolls back a move between equal versions.

    The error rate is the same for both versions, but changes over the windows.
    """
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
        # While the old version still gets requests, the common rate is at times ten times higher.
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
    """Return a row with the number of moves between equal versions that are rolled back."""
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
