"""Fixtures shared by the tests of moves."""

import random
from datetime import UTC, datetime, timedelta

from returns.result import Failure, Success

from almondshore.core.clock import ManualClock
from almondshore.core.messages import Evidence, EvidenceRow, TargetRecord, TargetState
from almondshore.moves.coordinator import MoveCoordinator, TargetCounts
from almondshore.moves.evidence import BUCKET_COUNT, window_of
from almondshore.moves.outcome import OutcomePublisher
from almondshore.moves.state import MoveTable
from almondshore.rules.model import MovePart, ServicePart
from almondshore.storage.port import Unavailable
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

START = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = "counter-app"
ROUTES = ("GET /schedule/*", "POST /push/*")
TARGET_COUNTS = TargetCounts(new_targets=4, new_slots=40, old_targets=4, old_slots=40)


def make_part(*, seconds=300, prefer="deadline", state="active", allowed=None, move_id="m1"):
    deadline = START + timedelta(seconds=seconds)
    move = MovePart(
        move_id=move_id,
        from_version="v1",
        to_version="v2",
        started=START.isoformat(),
        deadline=deadline.isoformat(),
        prefer=prefer,
        state=state,
        reason="",
    )
    route = {"methods": ["GET"], "request_class": "routine", "once": False, "timeout_ms": 2000}
    routes = [{**route, "path": path} for path in ROUTES]
    version = "v2" if state == "done" else "v1"
    return ServicePart(
        name=SERVICE, version=version, routes=routes, move=move, allowed=allowed or {}
    )


def row(version, requests, errors=0, *, route=ROUTES[0], service=SERVICE, broken=0, bucket=6):
    buckets = [0] * BUCKET_COUNT
    buckets[bucket] = requests - broken
    return EvidenceRow(service, version, route, requests, errors, buckets, broken)


def make_targets(names):
    return {
        version: [
            TargetRecord(name, name, SERVICE, version, "", "z1", 10, 1, TargetState.UP)
            for name in target_names
        ]
        for version, target_names in names.items()
    }


class FakePublisher(OutcomePublisher):
    """Records published outcomes; fails while the platform is down."""

    def __init__(self, store):
        self.store = store
        self.published = []

    def publish(self, service, move_id, state, reason):
        if self.store.fault is Fault.DOWN:
            return Failure(Unavailable("down"))
        self.published.append((move_id, state))
        return Success(len(self.published))


class Simulation:
    """A platform and coordinators that share a clock; evidence is generated from error rates."""

    def __init__(self, **part):
        self.clock = ManualClock(start=START)
        self.store = ObjectStore(clock=self.clock)
        self.publisher = FakePublisher(self.store)
        self.part = make_part(**part)
        self.target_counts = TARGET_COUNTS
        self.error_rates = {"v1": 0.0, "v2": 0.0}
        self.requests = 200
        self.messages = []

    def coordinator(self, epoch, table=None):
        return MoveCoordinator(
            clock=self.clock,
            rng=random.Random(epoch),
            platform=MemoryPlatform(store=self.store),
            publisher=self.publisher,
            table=table or MoveTable(),
            node=f"n{epoch}",
            epoch=epoch,
            part=self.part,
            config_version=7,
        )

    def rows(self, share):
        rows = []
        for route in ROUTES:
            for version, version_share in (("v1", 1 - share), ("v2", share)):
                count = round(self.requests * version_share)
                errors = round(count * self.error_rates[version])
                rows.append(row(version, count, errors, route=route))
        return rows

    def run(self, coordinator, seconds, extra=()):
        """Advance second by second, with evidence that follows the shares of the coordinator."""
        sent = []
        for _ in range(seconds):
            share = coordinator.table.weights(self.part).get("v2", 0.0)
            window = window_of(self.clock.now())
            self.clock.advance(timedelta(seconds=1))
            evidence = Evidence(window, 1, [*self.rows(share), *extra])
            coordinator.add_evidence(evidence, "relay")
            sent += coordinator.tick(self.target_counts)
        self.messages += sent
        return sent
