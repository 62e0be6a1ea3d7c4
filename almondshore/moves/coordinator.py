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
from almondshore.moves.plan import FINAL_STEP, Capacity, RequestCounts, plan_of, target_count
from almondshore.moves.record import Backoff, Fenced, MoveRecord, RecordStore
from almondshore.moves.state import MoveTable
from almondshore.moves.verdict import COORDINATOR_ALPHA_SHARE, FALSE_POSITIVE_RATE, MoveVerdict
from almondshore.moves.veto import make_veto, read_veto, save_veto
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import NotFound, Platform

# Latencies of a new version count only after this time, when its caches are filled. In short moves
# it is limited to a share of the duration: with a limit of one fifth, a version that was cold for
# 25 s was reverted in a move of 120 s.
WARM_UP_DURATION = timedelta(seconds=30)
MAX_WARM_UP_SHARE = 0.3
# At this step the new version has long been warm, so a succeeding coordinator does not wait for it
# to warm up again.
MIN_WARM_STEP = 3
# Weight of one window in the moving average of the demand.
DEMAND_WINDOW_WEIGHT = 0.2
# Routes with a smaller share of the requests do not delay a step.
MIN_ROUTE_TRAFFIC_SHARE = 0.01


class TargetCounts(NamedTuple):
    """Slots and live targets of both versions of a service, according to the directory.

    :ivar new_targets: live targets of the new version; latencies are compared only if both counts
        of targets are given
    """

    new_slots: int
    old_slots: int
    new_targets: int = 0
    old_targets: int = 0


class Status(StrEnum):
    """State of a move in reports to operators."""

    ACTIVE = "active"
    AT_RISK = "at risk"
    DONE = "done"
    REVERTED = "reverted"


class MoveReport(NamedTuple):
    """Report on a move for operators.

    :ivar recorded: whether the platform has stored the record and the outcome
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
    """Executes the steps of one move, or rolls it back.

    The caller holds the lease of the move and passes its epoch. The record is written before a
    step is announced, so that a coordinator that was paused until its lease expired finds the
    record of its successor and announces nothing. While the platform does not respond, steps are
    announced immediately and recorded later; receivers reject those of an old epoch.

    :ivar fenced: whether a coordinator with a higher epoch has taken over; this one then takes no
        further action
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
        self.blocked_reason = ""
        self.demand = 0.0
        self.requests_at_step = 0
        self.first_request_at: timedelta | None = None
        self.pending_veto: Veto | None = None
        self.pending_outcome: MoveState | None = None

    def set_configuration(self, part: ServicePart, config_version: int) -> None:
        """Set a newer version of the service's part that contains the same move.

        A changed ``allow`` rule of the new version discards the evidence collected so far.
        """
        to_version = self.part["move"]["to_version"]
        if part["allowed"].get(to_version) != self.part["allowed"].get(to_version):
            self.verdict = None
        self.part = part
        self.plan = plan_of(part["move"])
        self.config_version = config_version

    def add_evidence(self, evidence: Evidence, sender: str) -> None:
        """Add the evidence of a relay."""
        self.aggregator.add(evidence, sender)

    def tick(self, target_counts: TargetCounts) -> list[MoveStep | Veto]:
        """Evaluate closed windows and advance the move; return the messages for all nodes."""
        newest_step = self.table.step(self.part)
        if newest_step is not None and newest_step.epoch > self.epoch:
            self.fenced = True
        if self.fenced:
            return []
        messages: list[MoveStep | Veto] = []
        if self.record is None:
            messages += self._take_over()
        if self.record is not None:
            messages += self._evaluate(target_counts) + self._advance(target_counts)
            self._retry_pending_writes()
        return [] if self.fenced else messages

    def report(self) -> MoveReport:
        """Return the state of the move for operators."""
        move, record = self.part["move"], self.record
        if record is None:
            return MoveReport(
                self.part["name"], move["move_id"], Status.ACTIVE, 0, "starting", "", "", "", False
            )
        status, reason = Status(record.state), record.reason
        if status is Status.ACTIVE and self._is_at_risk():
            status, reason = Status.AT_RISK, self.blocked_reason or "the deadline has passed"
        recorded = self.store.pending is None and self.pending_outcome is None
        return MoveReport(
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

    def _is_at_risk(self) -> bool:
        now = self.clock.now()
        late = self.plan.is_late(self.record.step, now) and self.record.step < FINAL_STEP
        return now >= self.plan.deadline or late

    def _take_over(self) -> list[MoveStep]:
        """Resume the move from its record and from the newest step known to this node."""
        if not self.backoff.is_due():
            return []
        result = self.store.read()
        stored = result.unwrap() if is_successful(result) else None
        if not is_successful(result) and isinstance(result.failure(), Fenced):
            self.fenced = True
            return []
        self.backoff.record_result(not is_successful(result))
        self.record = self._resumed_record(stored)
        self.verdict = self._new_verdict()
        if self.record.step >= MIN_WARM_STEP:
            self.first_request_at = self.clock.monotonic() - WARM_UP_DURATION
        self._load_veto()
        self._queue_outcome()
        self._write()
        return [] if self.fenced else [self._announce_step()]

    def _resumed_record(self, record: MoveRecord | None) -> MoveRecord:
        """Return the record to resume from.

        :param record: the record in the platform, if any
        """
        move, now = self.part["move"], self.clock.now()
        if record is None or record.move_id != move["move_id"]:
            record = MoveRecord(
                move["move_id"], self.epoch, 0, 0, move["state"], "", "", "", self.plan.started
            )
        known = self.table.step(self.part)
        if known is not None and known.step > record.step:
            record = record._replace(step=known.step, at=now)
        if move["state"] != MoveState.ACTIVE.value and record.state == MoveState.ACTIVE.value:
            record = record._replace(state=move["state"], reason=move["reason"])
        if record.state == MoveState.DONE.value:
            record = record._replace(step=FINAL_STEP)
        return record._replace(epoch=self.epoch, coordinators=record.coordinators + 1)

    def _load_veto(self) -> None:
        """Load the stored veto, because every node that held it may have restarted."""
        veto = read_veto(self.platform, self.part["name"], self.part["move"]["to_version"])
        if veto is not None:
            self.table.add_veto(veto)

    def _evaluate(self, target_counts: TargetCounts) -> list[Veto]:
        """Evaluate the closed windows; return a veto if there is a regression not yet vetoed."""
        if self.record.state == MoveState.REVERTED.value:
            return []
        verdict = self.verdict = self.verdict or self._new_verdict()
        for evidence in self.aggregator.tick():
            self._update_demand(evidence.rows)
            verdict.observe(
                evidence.window,
                evidence.rows,
                slots=self._slots(target_counts),
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

    def _new_verdict(self) -> MoveVerdict:
        """Return a new verdict.

        The n-th coordinator of a move gets 1/(n(n+1)) of the coordinators' false positive rate.
        """
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
        self.pending_veto = veto
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
        self._queue_outcome()
        self._write()

    def _advance(self, target_counts: TargetCounts) -> list[MoveStep]:
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
            capacity=Capacity(
                target_counts.new_slots,
                self.demand or target_counts.old_slots,
                target_counts.old_slots,
            ),
            counts=self._request_counts(),
        )
        self.blocked_reason = decision.reason
        if not decision.allowed:
            return []
        baseline = self.verdict.baseline()
        self.record = record._replace(step=record.step + 1, at=now, baseline=baseline)
        self.requests_at_step = self._new_requests()
        self._write()
        return [] if self.fenced else [self._announce_step()]

    def _announce_step(self) -> MoveStep:
        message = MoveStep(self.part["name"], self.record.move_id, self.epoch, self.record.step)
        self.table.apply_step(message)
        return message

    def _write(self) -> None:
        self._handle_write_result(self.store.write(self.record))

    def _handle_write_result(self, result: Result) -> None:
        """Handle the result of a write: continue from the record as written, or stop if fenced."""
        failed = not is_successful(result)
        if failed and isinstance(result.failure(), Fenced):
            self.fenced = True
        elif not failed and result.unwrap() is not None:
            self.record = result.unwrap()
            self._queue_outcome()
        self.backoff.record_result(failed)

    def _queue_outcome(self) -> None:
        """Schedule publication of the outcome if the configuration does not contain it."""
        state = self.record.state
        if state != MoveState.ACTIVE.value and state != self.part["move"]["state"]:
            self.pending_outcome = MoveState(state)

    def _retry_pending_writes(self) -> None:
        """Retry unconfirmed writes: the record, then the veto and the configuration version."""
        if self.fenced or not self.backoff.is_due():
            return
        if self.store.pending is not None:
            self._handle_write_result(self.store.flush())
        if self.pending_veto is not None and self.store.pending is None:
            saved = save_veto(self.platform, self.pending_veto)
            self.pending_veto = None if saved else self.pending_veto
        if self.pending_outcome is not None and self.store.pending is None and not self.fenced:
            record = self.record
            result = self.publisher.publish(
                self.part["name"], record.move_id, self.pending_outcome, record.reason
            )
            failed = not is_successful(result)
            if not failed or isinstance(result.failure(), NotFound):
                self.pending_outcome = None
            self.backoff.record_result(failed)

    def _request_counts(self) -> RequestCounts:
        """Return the new version's requests since the step, and on the route with the fewest."""
        counts = self.verdict.requests() if self.verdict else {}
        total = sum(new + old for new, old in counts.values())
        route_requests = [
            new for new, old in counts.values() if new + old >= MIN_ROUTE_TRAFFIC_SHARE * total > 0
        ]
        return RequestCounts(
            self._new_requests() - self.requests_at_step, min(route_requests, default=0)
        )

    def _new_requests(self) -> int:
        return sum(new for new, _ in self.verdict.requests().values()) if self.verdict else 0

    def _is_warm(self, rows: Iterable[EvidenceRow]) -> bool:
        new = self.part["move"]["to_version"]
        now = self.clock.monotonic()
        if self.first_request_at is None and any(r.version == new and r.requests for r in rows):
            self.first_request_at = now
        duration = self.plan.planned_end - self.plan.started
        warm_up = min(WARM_UP_DURATION, duration * MAX_WARM_UP_SHARE)
        return self.first_request_at is not None and now >= self.first_request_at + warm_up

    def _slots(self, target_counts: TargetCounts) -> SlotsInUse | None:
        """Return the slots that receive requests; the new version may use only some targets."""
        if not target_counts.new_targets or not target_counts.old_targets:
            return None
        share = self.table.share(self.part)
        used = target_count(share, target_counts.new_targets, target_counts.old_targets)
        new = target_counts.new_slots * used // target_counts.new_targets
        return SlotsInUse(new, target_counts.old_slots)

    def _update_demand(self, rows: Iterable[EvidenceRow]) -> None:
        """Update the estimate of slots in use from request rate and latency (Little's law)."""
        concurrency = sum(
            _mean_concurrency(row) for row in rows if row.service == self.part["name"]
        )
        weight = DEMAND_WINDOW_WEIGHT if self.demand else 1.0
        self.demand += weight * (concurrency - self.demand)


def _mean_concurrency(row: EvidenceRow) -> float:
    """Return the mean number of concurrent requests of a row."""
    bounds = (*BUCKET_BOUNDS_MS, 2 * BUCKET_BOUNDS_MS[-1])
    milliseconds = sum(
        count * bound for count, bound in zip(row.latency_buckets, bounds, strict=True)
    )
    timed = sum(row.latency_buckets)
    return milliseconds / 1000 * row.requests / timed if timed else 0.0
