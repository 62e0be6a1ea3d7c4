"""Estimates how long a caller has waited before the attempt that arrives."""

from datetime import timedelta

from almondshore.core.clock import Clock

ZERO = timedelta()
# The largest deadline of a route is that of the current and of the previous period of this length.
PERIOD = timedelta(seconds=30)
# A deadline counts as full if it is at least this share of the largest one.
FULL_SHARE = 0.95
# Weight of the newest request in the share of requests with a full deadline.
SHARE_GAIN = 0.05
# With a smaller share of full deadlines, the deadlines of a route vary for other reasons. Where
# callers repeat a refused request once, half of the deadlines are full even in an overload.
MIN_FULL_SHARE = 0.25
# Bounds the memory, as routes come and go with the configuration.
MAX_ROUTES = 4096


class _Deadlines:
    __slots__ = ("largest", "previous_largest", "period_began", "full_share")

    def __init__(self, now: timedelta) -> None:
        self.largest = self.previous_largest = ZERO
        self.period_began = now
        self.full_share = 1.0


class ElapsedEstimator:
    """Infers from the stated deadline what a caller has used of it in earlier attempts.

    The callers of a route mostly have the same deadline. One that was refused and returns states
    only what is left of it, while its objective counts from its first attempt.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.routes: dict[str, _Deadlines] = {}

    def observe(self, route: str, time_left: timedelta) -> timedelta:
        """Record the deadline of a request and return the time that its caller has waited."""
        now = self.clock.monotonic()
        known = self.routes.get(route)
        if known is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            known = self.routes[route] = _Deadlines(now)
        if now - known.period_began > PERIOD:
            known.previous_largest, known.largest = known.largest, ZERO
            known.period_began = now
        known.largest = max(known.largest, time_left)
        full = max(known.largest, known.previous_largest)
        is_full = time_left >= full * FULL_SHARE
        known.full_share += (is_full - known.full_share) * SHARE_GAIN
        return ZERO if is_full or known.full_share < MIN_FULL_SHARE else full - time_left
