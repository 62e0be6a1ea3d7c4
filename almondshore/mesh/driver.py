"""Drives the rollout of the local target's service."""

from collections.abc import Callable
from datetime import timedelta

import eventlet
from returns.pipeline import is_successful

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.mesh.arrivals import ArrivalMeter, Arrivals
from almondshore.mesh.collection import EvidenceCollector, log_evidence
from almondshore.mesh.handover import RolloutHandover, RolloutNotice
from almondshore.mesh.hop import MILLISECOND
from almondshore.mesh.judgement import VersionJudge
from almondshore.mesh.model import Address, Rollout, RolloutState
from almondshore.mesh.peers import Evidence
from almondshore.mesh.rollout import MIN_FINISH_TIME, ExposureBound, next_progress
from almondshore.mesh.state import OWN, RolloutSink

STEP_INTERVAL = timedelta(milliseconds=400)
# A node looks at the results of its local target more often, and takes a step early after this many
# new failures: a faulty version may get all requests within a second.
LOCAL_CHECK_INTERVAL = timedelta(milliseconds=150)
MIN_NEW_FAILURES = 4
IDLE_INTERVAL = timedelta(seconds=1)
# Steps are taken at each check in the last part of a rollout, when they must be in time.
LAST_PART_FRACTION = 0.3
# The node of each further rank waits this much longer, so that those before it can act first.
RANK_DELAY = timedelta(milliseconds=300)
# Number of nodes that collect evidence and judge by it.
MAX_EVIDENCE_COLLECTORS = 3
# Number of further nodes that take over when a step is overdue.
MAX_STANDBYS = 5
FINISHED_STATES = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class Order:
    """What a node knows of an order that is not finished.

    :ivar first_seen: monotonic time at which the order was first seen
    :ivar full_share_at: monotonic time at which the new version was first seen to get all requests
    :ivar taken_over: whether this node acts in place of those that collect evidence
    :ivar desired: progress that is due but not saved, None if there is none
    :ivar desired_at: monotonic time at which it became due
    """

    def __init__(self, *, rollout: Rollout, first_seen: timedelta):
        self.service = rollout.service
        self.version = rollout.version
        self.first_seen = first_seen
        self.full_share_at: timedelta | None = None
        self.taken_over = False
        # Steps are more frequent in the last part.
        windows = round((1.0 + 2 * LAST_PART_FRACTION) * (rollout.duration / STEP_INTERVAL))
        self.judge = VersionJudge(version=rollout.version, windows=windows)
        self.meter = ArrivalMeter(version=rollout.version)
        self.desired: Rollout | None = None
        self.desired_at = timedelta()

    def is_of(self, rollout: Rollout) -> bool:
        """Return whether a rollout carries out this order."""
        return (self.service, self.version) == (rollout.service, rollout.version)

    def time_at_full_share(self, rollout: Rollout, now: timedelta) -> timedelta:
        """Return the time since which the new version gets all requests, zero if it does not."""
        if rollout.share < 1.0 or rollout.state is not RolloutState.RUNNING:
            self.full_share_at = None
            return timedelta()
        if self.full_share_at is None:
            self.full_share_at = now
            self.judge.start_last_step()
        return now - self.full_share_at


class RolloutDriver:
    """Advances the rollout of the local target's service.

    The nodes of the service's targets share the work: each has a rank, and acts if those before
    it have not. Writes are conditional, so that two nodes may safely act at the same time. A node
    that finds a version faulty refuses requests for it, even while the store is unavailable.

    :param service: returns the service of the local target, empty if none
    :param local_evidence: returns the results of the local target
    :param bound: returns how many requests a faulty version may get
    :ivar order: the unfinished order of the service, None if there is none
    :ivar faults: detected faults, by service and version
    :ivar failures_at_step: failures of the local target at the last step
    :ivar unsaved_since: monotonic time since which the store lacks known progress, None if it has
        it; after a failure to write it, that time
    """

    def __init__(
        self,
        *,
        clock: Clock,
        service: Callable[[], str],
        local_evidence: Callable[[], Evidence],
        bound: Callable[[], ExposureBound],
        collector: EvidenceCollector,
        rollouts: RolloutSink,
        handover: RolloutHandover,
    ):
        self.clock = clock
        self.service = service
        self.local_evidence = local_evidence
        self.bound = bound
        self.collector = collector
        self.rollouts = rollouts
        self.handover = handover
        self.order: Order | None = None
        self.faults: dict[tuple[str, str], str] = {}
        self.stepped_at: timedelta | None = None
        self.failures_at_step = 0
        self.unsaved_since: timedelta | None = None
        rollouts.on_change = self.on_rollout
        handover.on_notice = self.on_notice

    def run(self) -> None:
        """Drive rollouts until the process ends; runs in its own greenlet."""
        while True:
            idle = self.current() is None and self.unsaved_since is None
            pause = IDLE_INTERVAL if idle else LOCAL_CHECK_INTERVAL
            eventlet.sleep(pause.total_seconds())
            self.check()

    def on_rollout(self, rollout: Rollout) -> None:
        """Note an order of the service as soon as it is known, and forget a finished one."""
        if rollout.service != self.service():
            return
        if rollout.state is RolloutState.ORDERED:
            # A version that was rolled back may be ordered again.
            self.faults.pop((rollout.service, rollout.version), None)
        if self.current() is not None:
            self.order.time_at_full_share(rollout, self.clock.monotonic())

    def on_notice(self, notice: RolloutNotice) -> None:
        """Refuse requests for a version that another node has found faulty."""
        rollout = self.current()
        if notice.fault and rollout is not None and self.order.is_of(notice.rollout):
            self._record_fault(rollout, notice.fault, source="peer")

    def check(self) -> None:
        """Take a step if one is due or the local target fails requests."""
        self._save_again()
        rollout = self.current()
        if rollout is not None and (self._is_step_due(rollout) or self._has_new_failures(rollout)):
            self.stepped_at = self.clock.monotonic()
            self.step(rollout)

    def current(self) -> Rollout | None:
        """Return the unfinished rollout of the local target's service, or None."""
        rollout = self.rollouts.shares.rollouts.get(self.service())
        if rollout is None or rollout.state in FINISHED_STATES:
            self.order = None
            return None
        if self.order is None or not self.order.is_of(rollout):
            self.order = Order(rollout=rollout, first_seen=self.clock.monotonic())
        return rollout

    def order_age(self) -> timedelta:
        """Return how long this node has known of the unfinished rollout of its service."""
        if self.current() is None:
            return timedelta()
        return self.clock.monotonic() - self.order.first_seen

    def is_faulty(self, service: str, version: str) -> bool:
        """Return whether this node detected a fault in a version."""
        return (service, version) in self.faults

    def step(self, rollout: Rollout) -> None:
        """Check the version for faults, and advance the rollout if it is this node's turn."""
        order = self.order
        self.failures_at_step = _count_failures(self.local_evidence())
        ranked = self.collector.rank_nodes(rollout)
        rank = ranked.index(self.collector.node) if self.collector.node in ranked else len(ranked)
        if rank >= MAX_EVIDENCE_COLLECTORS and not self._is_overdue(order, rollout, rank):
            return
        evidence = self.collector.collect(ranked)
        log_evidence(rollout, evidence, rank=rank, nodes_asked=len(ranked))
        now = self.clock.monotonic()
        arrivals = order.meter.observe(evidence, share=rollout.share, now=now)
        if self._find_fault(order, rollout, evidence):
            desired = rollout._replace(state=RolloutState.ROLLED_BACK, share=0.0)
        elif any(item.version == rollout.version for item in evidence):
            desired = self._next_progress(order, rollout, evidence, arrivals)
        else:
            return
        self._save_progress(order, rollout, desired, ranked)

    def _next_progress(
        self, order: Order, rollout: Rollout, evidence: list[Evidence], arrivals: Arrivals
    ) -> Rollout:
        now = self.clock.monotonic()
        # Nodes of the new version start after the order; others have known of it for longer.
        age = max(item.order_age_ms for item in evidence) * MILLISECOND
        return next_progress(
            rollout,
            elapsed=max(age, now - order.first_seen),
            arrivals=arrivals,
            bound=self.bound(),
            time_at_full_share=order.time_at_full_share(rollout, now),
            old_running=sum(item.running for item in evidence if item.version != rollout.version),
        )

    def _is_step_due(self, rollout: Rollout) -> bool:
        if self.stepped_at is None:
            return True
        now = self.clock.monotonic()
        in_last_part = now - self.order.first_seen >= rollout.duration * (1 - LAST_PART_FRACTION)
        return in_last_part or now - self.stepped_at >= STEP_INTERVAL

    def _has_new_failures(self, rollout: Rollout) -> bool:
        """Return whether the local target has failed several requests since the last step."""
        evidence = self.local_evidence()
        if evidence.version != rollout.version:
            return False
        return _count_failures(evidence) - self.failures_at_step >= MIN_NEW_FAILURES

    def _find_fault(self, order: Order, rollout: Rollout, evidence: list[Evidence]) -> str:
        """Return the fault of the version, which is final once it is found, or an empty string.

        A node that gets no evidence from others cannot tell a fault of the version from one of its
        own host or network.
        """
        key = (order.service, order.version)
        if key not in self.faults and not self.collector.is_alone(order.service, evidence):
            fault = order.judge.observe(evidence)
            if fault:
                self._record_fault(rollout, fault, source="own")
                nodes = self.collector.nodes_of(rollout.service, rollout.version)
                self.handover.announce_fault(rollout, fault, nodes)
        return self.faults.get(key, "")

    def _record_fault(self, rollout: Rollout, fault: str, *, source: str) -> None:
        key = (rollout.service, rollout.version)
        if key not in self.faults:
            self.faults[key] = fault
            log_event(
                "version_condemned",
                service=rollout.service,
                version=rollout.version,
                fault=fault,
                source=source,
            )

    def _save_again(self) -> None:
        """Write progress again that the store lost when it was restored from a copy.

        The nodes of the service do so in the order of their ranks.
        """
        service = self.service()
        rollout = self.rollouts.shares.rollouts.get(service)
        if rollout is None or not rollout.revision or service not in self.rollouts.unsaved:
            self.unsaved_since = None
            return
        now = self.clock.monotonic()
        if self.unsaved_since is None:
            self.unsaved_since = now
        own_node = self.collector.node
        ranked = self.collector.rank_nodes(rollout)
        rank = ranked.index(own_node) if own_node in ranked else len(ranked)
        if now - self.unsaved_since < RANK_DELAY * rank:
            return
        fault = self.faults.get((service, rollout.version), "")
        result = self.handover.save(rollout, fault, [node for node in ranked if node != own_node])
        done = is_successful(result)
        log_event(
            "rollout_saved_again",
            level="INFO" if done else "WARNING",
            service=service,
            version=rollout.version,
            state=rollout.state,
            done=done,
        )
        if done:
            self.unsaved_since = None
            self.rollouts.restored.confirm(service)
            self.rollouts.put(rollout._replace(revision=result.unwrap()), source=OWN)
        else:
            self.unsaved_since = now + STEP_INTERVAL

    def _save_progress(
        self, order: Order, rollout: Rollout, desired: Rollout, ranked: list[Address]
    ) -> None:
        """Save the progress that is due, unless a node ranked before this one may still do so.

        A rollback does not wait for other nodes, nor does a step that they have missed.
        """
        own_node = self.collector.node
        now = self.clock.monotonic()
        if desired == rollout or not rollout.revision:
            # Without a revision, the store was restored and its rollout has not been read again.
            order.desired = None
            return
        if order.desired is None or order.desired.revision != desired.revision:
            order.desired_at = now
        order.desired = desired
        rank = ranked.index(own_node) if own_node in ranked else len(ranked)
        may_wait = desired.state is not RolloutState.ROLLED_BACK and rank < MAX_EVIDENCE_COLLECTORS
        if may_wait and now - order.desired_at < RANK_DELAY * rank:
            return
        fault = self.faults.get((order.service, order.version), "")
        result = self.handover.save(desired, fault, [node for node in ranked if node != own_node])
        if not is_successful(result):
            log_event(
                "rollout_not_saved",
                level="WARNING",
                service=desired.service,
                error=result.failure(),
            )
            return
        order.desired = None
        self.rollouts.put(desired._replace(revision=result.unwrap()), source=OWN)

    def _is_overdue(self, order: Order, rollout: Rollout, rank: int) -> bool:
        """Return whether the nodes that collect evidence have missed a step, and this one is next.

        They may be suspended, or unable to reach the others.
        """
        if rank >= MAX_EVIDENCE_COLLECTORS + MAX_STANDBYS:
            return False
        delay = RANK_DELAY * (rank - MAX_EVIDENCE_COLLECTORS + 1)
        age = self.clock.monotonic() - order.first_seen
        if rollout.share < 1.0 and age >= rollout.duration - MIN_FINISH_TIME + delay:
            order.taken_over = True
        return order.taken_over


def _count_failures(evidence: Evidence) -> int:
    return sum(counts.failures for counts in evidence.routes.values())
