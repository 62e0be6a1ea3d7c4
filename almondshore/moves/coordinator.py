"""The coordinator of one service's move."""

import random
from collections.abc import Iterable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Result

from almondshore.core.clock import Clock
from almondshore.core.messages import Evidence, EvidenceRow, MoveStep, Veto
from almondshore.moves.controls import SlotsInUse
from almondshore.moves.evidence import (
    BUCKET_BOUNDS_MS,
    COORDINATOR_GRACE,
    EvidenceAggregator,
)
from almondshore.moves.outcome import OutcomePublisher
from almondshore.moves.plan import FINAL_STEP, Capacity, Gathered, plan_of, target_count
from almondshore.moves.record import Backoff, Fenced, MoveRecord, RecordStore
from almondshore.moves.state import MoveTable
from almondshore.moves.verdict import COORDINATOR_ALPHA_SHARE, FALSE_POSITIVE_RATE, MoveVerdict
from almondshore.moves.veto import make_veto, read_veto, save_veto
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import NotFound, Platform

# Caches of a new version fill up; its latencies count only after this time. With a fifth of a short
# move as the limit, a version that was cold for 25 s was reverted in a move of 120 s.
WARM_UP = timedelta(seconds=30)
WARM_UP_SHARE = 0.3
# A move taken over at this step has been warm for long.
WARM_STEP = 3
# Weight of one window in the moving average of the demand.
DEMAND_DECAY = 0.2
ROUTE_TRAFFIC_SHARE = 0.01


class TargetCounts(NamedTuple):
    """Live targets of both versions of a service, as the directory shows them.

    :ivar new_targets: without the counts of targets, latencies are not compared
    """

    new_slots: int
    old_slots: int
    new_targets: int = 0
    old_targets: int = 0


class Status(StrEnum):
    """State of a move as it is reported to operators."""

    ACTIVE = "active"
    AT_RISK = "at risk"
    DONE = "done"
    REVERTED = "reverted"


class Report(NamedTuple):
    """What is reported of a move.

    :ivar recorded: whether the platform holds the outcome
    """

    service: str
    move_id: str
    status: Status
    step: int
    reason: str
    route: str
    evidence: str
    at: str
    recorded: bool


class MoveCoordinator:
    """Takes the steps of one move, or rolls it back.

    The caller holds the lease of the move and gives its epoch. The record is written before a
    step is announced, so that a coordinator that was paused past its lease finds the record of
    its successor and announces nothing. While the platform does not answer, steps are announced
    at once and recorded later; receivers refuse those of an old epoch.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        publisher: OutcomePublisher,
        table: MoveTable,
        node: str,
        epoch: int,
        part: ServicePart,
        config_version: int,
    ):
        self.clock = clock
        self.platform = platform
        self.publisher = publisher
        self.table = table
        self.node = node
        self.epoch = epoch
        self.part = part
        self.config_version = config_version
        self.plan = plan_of(part["move"])
        self.store = RecordStore(platform=platform, service=part["name"], epoch=epoch, node=node)
        self.backoff = Backoff(clock=clock, rng=rng)
        self.aggregator = EvidenceAggregator(clock=clock, grace=COORDINATOR_GRACE)
        self.record: MoveRecord | None = None
        self.verdict: MoveVerdict | None = None
        self.fenced = False
        self.blocked = ""
        self.demand = 0.0
        self.seen_at_step = 0
        self.first_seen: timedelta | None = None
        self.unsaved_veto: Veto | None = None
        self.unpublished: MoveState | None = None

    def set_configuration(self, part: ServicePart, config_version: int) -> None:
        """Take over a newer version of the service's part with the same move."""
        to_version = self.part["move"]["to_version"]
        if part["allowed"].get(to_version) != self.part["allowed"].get(to_version):
            self.verdict = None
        self.part = part
        self.plan = plan_of(part["move"])
        self.config_version = config_version

    def add_evidence(self, evidence: Evidence, sender: str) -> None:
        """Take in the evidence of a relay."""
        self.aggregator.add(evidence, sender)

    def tick(self, fleet: TargetCounts) -> list[MoveStep | Veto]:
        """Act on what is known by now; return the messages for all nodes."""
        known = self.table.step(self.part)
        if known is not None and known.epoch > self.epoch:
            self.fenced = True
        if self.fenced:
            return []
        messages: list[MoveStep | Veto] = []
        if self.record is None:
            messages += self._take_over()
        if self.record is not None:
            messages += self._judge(fleet) + self._advance(fleet)
            self._save()
        return [] if self.fenced else messages

    def report(self) -> Report:
        """Return the state of the move for operators."""
        move, record = self.part["move"], self.record
        if record is None:
            return Report(
                self.part["name"], move["move_id"], Status.ACTIVE, 0, "starting", "", "", "", False
            )
        status, reason = Status(record.state), record.reason
        if status is Status.ACTIVE and self._at_risk():
            status, reason = Status.AT_RISK, self.blocked or "the deadline has passed"
        recorded = self.store.pending is None and self.unpublished is None
        return Report(
            self.part["name"],
            move["move_id"],
            status,
            record.step,
            reason,
            record.route,
            record.evidence,
            record.at.isoformat(),
            recorded,
        )

    def _at_risk(self) -> bool:
        now = self.clock.now()
        late = self.plan.is_late(self.record.step, now) and self.record.step < FINAL_STEP
        return now >= self.plan.deadline or late

    def _take_over(self) -> list[MoveStep]:
        """Continue the move from its record and from the steps that nodes know."""
        if not self.backoff.is_due():
            return []
        result = self.store.read()
        found = result.unwrap() if is_successful(result) else None
        if not is_successful(result) and isinstance(result.failure(), Fenced):
            self.fenced = True
            return []
        self.backoff.note(not is_successful(result))
        self.record = self._continued(found)
        self.verdict = self._verdict()
        if self.record.step >= WARM_STEP:
            self.first_seen = self.clock.monotonic() - WARM_UP
        self._learn_veto()
        self._note_outcome()
        self._write()
        return [] if self.fenced else [self._message()]

    def _continued(self, found: MoveRecord | None) -> MoveRecord:
        """Return the record to continue from, given the one in the platform."""
        move, now = self.part["move"], self.clock.now()
        if found is None or found.move_id != move["move_id"]:
            found = MoveRecord(
                move["move_id"], self.epoch, 0, 0, move["state"], "", "", "", self.plan.started
            )
        known = self.table.step(self.part)
        if known is not None and known.step > found.step:
            found = found._replace(step=known.step, at=now)
        if move["state"] != MoveState.ACTIVE.value and found.state == MoveState.ACTIVE.value:
            found = found._replace(state=move["state"], reason=move["reason"])
        if found.state == MoveState.DONE.value:
            found = found._replace(step=FINAL_STEP)
        return found._replace(epoch=self.epoch, coordinators=found.coordinators + 1)

    def _learn_veto(self) -> None:
        """Take the veto that the platform holds, if every node that knew it was restarted."""
        veto = read_veto(self.platform, self.part["name"], self.part["move"]["to_version"])
        if veto is not None:
            self.table.add_veto(veto)

    def _judge(self, fleet: TargetCounts) -> list[Veto]:
        """Evaluate the windows that have closed; return a veto if the version is condemned."""
        if self.record.state == MoveState.REVERTED.value:
            return []
        verdict = self.verdict = self.verdict or self._verdict()
        for evidence in self.aggregator.tick():
            self._note_demand(evidence.rows)
            verdict.observe(
                evidence.window,
                evidence.rows,
                slots=self._slots(fleet),
                warm=self._is_warm(evidence.rows),
            )
        messages = []
        if verdict.regression is not None and self._veto() is None:
            veto = make_veto(
                self.part,
                verdict.regression,
                config_version=self.config_version,
                origin=self.node,
                clock=self.clock,
            )
            self.table.add_veto(veto)
            messages.append(veto)
        veto = self._veto()
        if veto is not None:
            self._roll_back(veto)
        return messages

    def _veto(self) -> Veto | None:
        return self.table.veto(self.part, self.part["move"]["to_version"])

    def _verdict(self) -> MoveVerdict:
        """Return a new verdict; the n-th coordinator of a move gets 1/(n(n+1)) of the rate."""
        move, number = self.part["move"], max(self.record.coordinators, 1)
        verdict = MoveVerdict(
            service=self.part["name"],
            old=move["from_version"],
            new=move["to_version"],
            routes=len(self.part["routes"]),
            alpha=FALSE_POSITIVE_RATE * COORDINATOR_ALPHA_SHARE / (number * (number + 1)),
        )
        verdict.add_baseline(self.record.baseline)
        return verdict

    def _roll_back(self, veto: Veto) -> None:
        regression = self.verdict.regression if self.verdict else None
        self.unsaved_veto = veto
        self._end(
            MoveState.REVERTED,
            veto.reason,
            regression.route if regression else "",
            regression.evidence if regression else veto.reason,
        )

    def _end(self, state: MoveState, reason: str, route: str = "", evidence: str = "") -> None:
        self.record = self.record._replace(
            state=state.value, reason=reason, route=route, evidence=evidence, at=self.clock.now()
        )
        self._note_outcome()
        self._write()

    def _advance(self, fleet: TargetCounts) -> list[MoveStep]:
        """Take the next step if it is allowed, or complete the move."""
        record, now = self.record, self.clock.now()
        if record.state != MoveState.ACTIVE.value:
            return []
        if self.plan.is_complete(record.step, record.at, now):
            self._end(MoveState.DONE, "all requests go to the new version")
            return []
        decision = self.plan.decide(
            step=record.step,
            taken_at=record.at,
            now=now,
            capacity=Capacity(fleet.new_slots, self.demand or fleet.old_slots, fleet.old_slots),
            seen=self._gathered(),
        )
        self.blocked = decision.reason
        if not decision.allowed:
            return []
        baseline = self.verdict.baseline()
        self.record = record._replace(step=record.step + 1, at=now, baseline=baseline)
        self.seen_at_step = self._new_requests()
        self._write()
        return [] if self.fenced else [self._message()]

    def _message(self) -> MoveStep:
        message = MoveStep(self.part["name"], self.record.move_id, self.epoch, self.record.step)
        self.table.apply_step(message)
        return message

    def _write(self) -> None:
        self._note(self.store.write(self.record))

    def _note(self, result: Result) -> None:
        """Take the result of a write: continue from what was written, or stop if fenced."""
        failed = not is_successful(result)
        if failed and isinstance(result.failure(), Fenced):
            self.fenced = True
        elif not failed and result.unwrap() is not None:
            self.record = result.unwrap()
            self._note_outcome()
        self.backoff.note(failed)

    def _note_outcome(self) -> None:
        """Publish the recorded outcome if the configuration does not have it."""
        state = self.record.state
        if state != MoveState.ACTIVE.value and state != self.part["move"]["state"]:
            self.unpublished = MoveState(state)

    def _save(self) -> None:
        """Repeat what the platform has not confirmed: record, veto, configuration version."""
        if self.fenced or not self.backoff.is_due():
            return
        if self.store.pending is not None:
            self._note(self.store.flush())
        if self.unsaved_veto is not None and self.store.pending is None:
            saved = save_veto(self.platform, self.unsaved_veto)
            self.unsaved_veto = None if saved else self.unsaved_veto
        if self.unpublished is not None and self.store.pending is None and not self.fenced:
            record = self.record
            result = self.publisher.publish(
                self.part["name"], record.move_id, self.unpublished, record.reason
            )
            failed = not is_successful(result)
            if not failed or isinstance(result.failure(), NotFound):
                self.unpublished = None
            self.backoff.note(failed)

    def _gathered(self) -> Gathered:
        """Return the requests on the new version since the step, and on its rarest route."""
        counts = self.verdict.requests() if self.verdict else {}
        total = sum(new + old for new, old in counts.values())
        busy = [new for new, old in counts.values() if new + old >= ROUTE_TRAFFIC_SHARE * total > 0]
        return Gathered(self._new_requests() - self.seen_at_step, min(busy, default=0))

    def _new_requests(self) -> int:
        return sum(new for new, _ in self.verdict.requests().values()) if self.verdict else 0

    def _is_warm(self, rows: Iterable[EvidenceRow]) -> bool:
        new = self.part["move"]["to_version"]
        now = self.clock.monotonic()
        if self.first_seen is None and any(r.version == new and r.requests for r in rows):
            self.first_seen = now
        duration = self.plan.end - self.plan.started
        warm_up = min(WARM_UP, duration * WARM_UP_SHARE)
        return self.first_seen is not None and now >= self.first_seen + warm_up

    def _slots(self, fleet: TargetCounts) -> SlotsInUse | None:
        """Return the slots among which requests are spread, as the chooser limits them."""
        if not fleet.new_targets or not fleet.old_targets:
            return None
        share = self.table.share(self.part)
        used = target_count(share, fleet.new_targets, fleet.old_targets)
        new = fleet.new_slots * used // fleet.new_targets
        return SlotsInUse(new, fleet.old_slots)

    def _note_demand(self, rows: Iterable[EvidenceRow]) -> None:
        """Estimate the slots in use from rate and latency (Little's law)."""
        in_use = sum(_in_use(row) for row in rows if row.service == self.part["name"])
        weight = DEMAND_DECAY if self.demand else 1.0
        self.demand += weight * (in_use - self.demand)


def _in_use(row: EvidenceRow) -> float:
    """Return the mean number of requests of a row that ran at the same time."""
    bounds = (*BUCKET_BOUNDS_MS, 2 * BUCKET_BOUNDS_MS[-1])
    milliseconds = sum(
        count * bound for count, bound in zip(row.latency_buckets, bounds, strict=True)
    )
    timed = sum(row.latency_buckets)
    return milliseconds / 1000 * row.requests / timed if timed else 0.0
