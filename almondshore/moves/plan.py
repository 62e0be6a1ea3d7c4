"""Steps of a move and the times at which they are due."""

from datetime import datetime, timedelta
from typing import NamedTuple

from almondshore.rules.model import MovePart, Preference

STEP_SHARES = (0.0, 0.01, 0.05, 0.25, 0.50, 1.0)
FINAL_STEP = len(STEP_SHARES) - 1

# A step lasts at least four evidence windows: one to collect, two to travel, one to act.
MIN_STEP = timedelta(seconds=4)
MARGIN_SHARE = 0.1
MIN_MARGIN = timedelta(seconds=5)
MAX_MARGIN = timedelta(minutes=10)

# Requests on the new version needed before each step: since the last step, and on the rarest route
# since the start. They show a version that fails 1 request in 3; milder faults are found later,
# when a larger share brings evidence fast. The first step only starts to collect and needs none.
MIN_REQUESTS = (0, 10, 30, 100, 200)
MIN_ROUTE_REQUESTS = (0, 0, 3, 5, 10)
# Targets above 80% of their slots queue requests, so a share needs that much more capacity.
MAX_UTILISATION = 0.8


class Capacity(NamedTuple):
    """Capacity of the new version against what the service needs.

    :ivar new_slots: slots of live targets of the new version
    :ivar demand: slots in use by the whole service, all versions
    :ivar old_slots: slots of live targets of the old version
    """

    new_slots: int
    demand: float
    old_slots: int


class Gathered(NamedTuple):
    """Requests seen on the new version since the current step was taken.

    :ivar requests: over all routes
    :ivar rarest_route: on the route with the fewest, among routes that carry traffic
    """

    requests: int
    rarest_route: int


class Decision(NamedTuple):
    """Whether the next step may be taken now, and if not, what is missing."""

    allowed: bool
    reason: str


class Plan:
    """Spreads the steps of a move from its start to a margin before its deadline."""

    def __init__(self, *, started: datetime, deadline: datetime, prefer: Preference):
        self.started = started
        self.deadline = deadline
        self.prefer = prefer
        margin = (deadline - started) * MARGIN_SHARE
        self.end = deadline - min(max(margin, MIN_MARGIN), MAX_MARGIN)

    def due(self, step: int, taken_at: datetime) -> datetime:
        """Return when the step after ``step`` is due.

        The remaining time is divided evenly over the remaining steps, so that a step that came
        late moves the later ones closer together instead of past the deadline.

        :param step: step in effect
        :param taken_at: when it was taken
        """
        if step == 0:
            return self.started
        remaining = FINAL_STEP - step + 1
        return taken_at + max((self.end - taken_at) / remaining, MIN_STEP)

    def is_late(self, step: int, now: datetime) -> bool:
        """Return whether only the shortest steps still reach the end in time."""
        return now >= self.end - MIN_STEP * (FINAL_STEP - step)

    def decide(
        self, *, step: int, taken_at: datetime, now: datetime, capacity: Capacity, seen: Gathered
    ) -> Decision:
        """Decide whether the step after ``step`` may be taken now."""
        if step >= FINAL_STEP:
            return Decision(False, "the last step is in effect")
        late = self.is_late(step, now)
        due = taken_at + MIN_STEP if late and step else self.due(step, taken_at)
        if now < due:
            return Decision(False, "not due")
        if not has_capacity(STEP_SHARES[step + 1], capacity):
            return Decision(False, "the new version lacks live capacity")
        hurried = late and self.prefer is Preference.DEADLINE
        if not hurried and not is_enough(step, seen):
            return Decision(False, "too few requests on the new version")
        return Decision(True, "")

    def is_complete(self, step: int, taken_at: datetime, now: datetime) -> bool:
        """Return whether the last step has been in effect long enough to report the move done."""
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
    """Return whether the live targets of the new version can carry a share of the demand.

    As many slots as the old version has for the share always suffice: during an overload the
    demand exceeds what either version can carry.
    """
    if capacity.new_slots <= 0:
        return False
    if capacity.new_slots >= share * capacity.old_slots > 0:
        return True
    return capacity.new_slots * MAX_UTILISATION >= share * capacity.demand


def is_enough(step: int, seen: Gathered) -> bool:
    """Return whether the requests seen suffice to take the step after ``step``."""
    return seen.requests >= MIN_REQUESTS[step] and seen.rarest_route >= MIN_ROUTE_REQUESTS[step]


def target_count(share: float, new_targets: int, old_targets: int) -> int:
    """Return how many targets of the new version should share its requests.

    As few as keep each at no more than the load that a target of the old version had before the
    move: a version that fails only under load shows it while its share is small.

    :param new_targets: live targets of the new version
    :param old_targets: live targets of the old version
    """
    if share >= 1:
        return new_targets
    reference = max(old_targets, 1)
    needed = -int(-share * reference // 1)
    return max(1, min(new_targets, needed))
