"""Decides the steps of a rollout."""

from datetime import timedelta
from typing import NamedTuple

from almondshore.mesh.arrivals import Arrivals
from almondshore.mesh.model import Rollout, RolloutState

ZERO = timedelta()
# Share of the new version until the rate of requests is known.
FIRST_SHARE = 0.03
MIN_SHARE, MAX_EARLY_SHARE = 0.005, 0.1
# The share is changed when the planned one differs from it by more than this factor.
SHARE_CHANGE_FACTOR = 1.5
# Requests that the new version gets before the last step: what the last step does not need of those
# that a faulty version may get, but not more than this part of them, and not fewer than this part
# or number. Most faults are found by a few dozen results.
MIN_EARLY_PART, MAX_EARLY_PART = 0.15, 0.5
MIN_EARLY_REQUESTS = 60
# Time from the last step to the deadline: at least what it takes to complete the rollout.
MIN_FINISH_TIME = timedelta(seconds=1.3)
MAX_FINISH_FRACTION = 0.3
# Part of the requests that a faulty version may get which is planned for: rates change, and small
# numbers of requests vary by their square root.
PLANNED_PART = 0.95
# Time for requests on the old version to end: when the rollout is completed, the targets of that
# version are stopped immediately.
MIN_SETTLE_TIME = timedelta(seconds=0.7)
MAX_SETTLE_TIME = timedelta(seconds=2.5)
# A rollout is completed when this part of the time from the last step to the deadline is left: a
# version can be rolled back until then, and the store may be slow to save that it is completed.
COMPLETION_FRACTION = 0.3
# With requests on the old version it is completed this long before the deadline.
LEAST_MARGIN = timedelta(milliseconds=350)


class ExposureBound(NamedTuple):
    """Number of requests that a faulty version may get by the deadline of its rollout.

    :ivar share: part of the requests that reach the service
    :ivar slack: requests beyond that part
    """

    share: float = 0.1
    slack: int = 50


def next_progress(
    rollout: Rollout,
    *,
    elapsed: timedelta,
    arrivals: Arrivals,
    bound: ExposureBound,
    time_at_full_share: timedelta,
    old_running: int,
) -> Rollout:
    """Return the rollout with the state and share that are due.

    A fault may show at any time up to the deadline, and cannot be undone once the targets of the
    old version have stopped. So the new version gets all requests only when those until the
    deadline are within the bound, and a small share before, by which most faults are found.

    :param elapsed: time since the order
    :param arrivals: requests that have reached targets since then
    :param time_at_full_share: time since the new version began to get all requests
    :param old_running: requests that still run at targets of the old version
    """
    remaining = max(ZERO, rollout.duration - elapsed)
    if rollout.share >= 1.0 and rollout.state is RolloutState.RUNNING:
        settle_time = MIN_SETTLE_TIME if not old_running else MAX_SETTLE_TIME
        settled = time_at_full_share >= settle_time
        margin = COMPLETION_FRACTION * (time_at_full_share + remaining) if settled else LEAST_MARGIN
        done = time_at_full_share > ZERO and remaining <= margin
        return rollout._replace(state=RolloutState.COMPLETED) if done else rollout
    allowed = bound.share * arrivals.projected(elapsed, remaining) + bound.slack
    allowed = min(PLANNED_PART * allowed, allowed - allowed**0.5)
    if remaining <= finish_time(rollout.duration, allowed=allowed, arrivals=arrivals):
        share = 1.0
    elif rollout.state is RolloutState.RUNNING and not arrivals.rate:
        share = rollout.share
    else:
        share = early_share(rollout.share, remaining, allowed=allowed, arrivals=arrivals)
    if share == rollout.share and rollout.state is RolloutState.RUNNING:
        return rollout
    return rollout._replace(state=RolloutState.RUNNING, share=share)


def finish_time(duration: timedelta, *, allowed: float, arrivals: Arrivals) -> timedelta:
    """Return the time before the deadline at which the new version is to get all requests.

    :param allowed: requests that it may get by the deadline
    """
    longest = duration * MAX_FINISH_FRACTION
    if arrivals.full_rate:
        longest = min(longest, timedelta(seconds=(allowed - arrivals.new) / arrivals.full_rate))
    return max(MIN_FINISH_TIME, longest)


def early_share(
    current: float, remaining: timedelta, *, allowed: float, arrivals: Arrivals
) -> float:
    """Return the share of the new version before the last step.

    :param current: its present share
    :param allowed: requests that it may get by the deadline
    """
    if not arrivals.rate:
        return FIRST_SHARE
    kept_for_finish = arrivals.full_rate * MIN_FINISH_TIME.total_seconds()
    least = min(MIN_EARLY_PART * allowed, MIN_EARLY_REQUESTS)
    early = min(max(allowed - kept_for_finish, least), MAX_EARLY_PART * allowed)
    left = early - arrivals.new
    if left <= 0:
        return 0.0
    time_left_s = max(1.0, (remaining - MIN_FINISH_TIME).total_seconds())
    share = min(MAX_EARLY_SHARE, max(MIN_SHARE, left / (arrivals.full_rate * time_left_s)))
    is_near = current / SHARE_CHANGE_FACTOR <= share <= current * SHARE_CHANGE_FACTOR
    return current if current and is_near else share
