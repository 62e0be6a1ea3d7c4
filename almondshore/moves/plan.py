"""Schedule of a move: its steps, when they are due and what each step requires."""

from datetime import datetime, timedelta
from typing import NamedTuple

from almondshore.rules.model import MovePart, Preference

# Share of requests that goes to the new version in each step.
STEP_SHARES = (0.0, 0.01, 0.05, 0.25, 0.50, 1.0)
FINAL_STEP = len(STEP_SHARES) - 1

# A step lasts at least four evidence windows: one to collect evidence, two to transmit it, one to
# act on it.
MIN_STEP_DURATION = timedelta(seconds=4)
DEADLINE_MARGIN_SHARE = 0.1
MIN_DEADLINE_MARGIN = timedelta(seconds=5)
MAX_DEADLINE_MARGIN = timedelta(minutes=10)

# Requests to the new version that are required before each step: since the previous step, and on
# the route with the fewest requests since the start. They are enough to detect a version that
# fails 1 request in 3; less frequent faults are detected later, when a larger share gives more
# evidence per window. The first step only starts the collection and requires none.
MIN_REQUESTS = (0, 10, 30, 100, 200)
MIN_ROUTE_REQUESTS = (0, 0, 3, 5, 10)
# Targets with more than 80% of their slots in use queue requests, so a share requires headroom.
MAX_UTILISATION = 0.8


class Capacity(NamedTuple):
    """Capacity of both versions and the demand on the service.

    :ivar new_slots: slots of live targets of the new version
    :ivar demand: slots in use by all versions of the service
    :ivar old_slots: slots of live targets of the old version
    """

    new_slots: int
    demand: float
    old_slots: int


class RequestCounts(NamedTuple):
    """Requests to the new version.

    :ivar requests: on all routes since the current step was taken
    :ivar fewest_on_route: since the start, on the route with the fewest among those with traffic
    """

    requests: int
    fewest_on_route: int


class Decision(NamedTuple):
    """Whether the next step may be taken now.

    :ivar reason: why it may not be taken; empty if it may
    """

    allowed: bool
    reason: str


class Plan:
    """Spreads the steps of a move evenly between its start and a margin before its deadline.

    :ivar planned_end: when the move should be complete, the deadline minus the margin
    """

    def __init__(self, *, started: datetime, deadline: datetime, prefer: Preference):
        self.started = started
        self.deadline = deadline
        self.prefer = prefer
        margin = (deadline - started) * DEADLINE_MARGIN_SHARE
        self.planned_end = deadline - min(max(margin, MIN_DEADLINE_MARGIN), MAX_DEADLINE_MARGIN)

    def due(self, step: int, taken_at: datetime) -> datetime:
        """Return when the step after ``step`` is due.

        The remaining time is divided evenly among the remaining steps, so that after a late step
        the following ones are closer together and still precede the deadline.

        :param step: step in effect
        :param taken_at: when it was taken
        """
        if step == 0:
            return self.started
        remaining = FINAL_STEP - step + 1
        return taken_at + max((self.planned_end - taken_at) / remaining, MIN_STEP_DURATION)

    def is_late(self, step: int, now: datetime) -> bool:
        """Return whether the move can end as planned only with steps of minimum duration."""
        return now >= self.planned_end - MIN_STEP_DURATION * (FINAL_STEP - step)

    def decide(
        self,
        *,
        step: int,
        taken_at: datetime,
        now: datetime,
        capacity: Capacity,
        counts: RequestCounts,
    ) -> Decision:
        """Decide whether the step after ``step`` may be taken now.

        If the move is late, steps have their minimum duration, and if it prefers its deadline,
        the number of requests is not checked. Capacity is required in any case.

        :param step: step in effect
        :param taken_at: when it was taken
        """
        if step >= FINAL_STEP:
            return Decision(False, "the last step is in effect")
        late = self.is_late(step, now)
        due = taken_at + MIN_STEP_DURATION if late and step else self.due(step, taken_at)
        if now < due:
            return Decision(False, "the next step is not due yet")
        if not has_capacity(STEP_SHARES[step + 1], capacity):
            return Decision(False, "the new version lacks live capacity")
        ignore_evidence = late and self.prefer is Preference.DEADLINE
        if not ignore_evidence and not has_enough_requests(step, counts):
            return Decision(False, "too few requests on the new version")
        return Decision(True, "")

    def is_complete(self, step: int, taken_at: datetime, now: datetime) -> bool:
        """Return whether the last step has been in effect long enough to complete the move."""
        if step < FINAL_STEP:
            return False
        return now >= self.due(step, taken_at)


def plan_of(move: MovePart) -> Plan:
    """Return the plan of a compiled move."""
    return Plan(
        started=datetime.fromisoformat(move["started"]),
        deadline=datetime.fromisoformat(move["deadline"]),
        prefer=Preference(move["prefer"]),
    )


def has_capacity(share: float, capacity: Capacity) -> bool:
    """Return whether the live targets of the new version can serve a share of the demand.

    The new version also has enough capacity if it has at least the share times the slots of the
    old version, because during an overload the demand exceeds the capacity of either version.
    """
    if capacity.new_slots <= 0:
        return False
    if capacity.new_slots >= share * capacity.old_slots > 0:
        return True
    return capacity.new_slots * MAX_UTILISATION >= share * capacity.demand


def has_enough_requests(step: int, counts: RequestCounts) -> bool:
    """Return whether the new version got enough requests to take the step after ``step``."""
    return (
        counts.requests >= MIN_REQUESTS[step] and counts.fewest_on_route >= MIN_ROUTE_REQUESTS[step]
    )


def target_count(share: float, new_targets: int, old_targets: int) -> int:
    """Return how many targets of the new version should receive its requests.

    It is the smallest number with which no target gets more load than a target of the old version
    had before the move, so that a version that fails only under load is detected while its share
    is small.

    :param share: share of requests that goes to the new version
    :param new_targets: live targets of the new version
    :param old_targets: live targets of the old version
    """
    if share >= 1:
        return new_targets
    reference = max(old_targets, 1)
    required = -int(-share * reference // 1)
    return max(1, min(new_targets, required))
