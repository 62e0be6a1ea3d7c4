"""Adaptive concurrency: fewer slots in use when latency rises above its floor."""

from collections import OrderedDict, deque
from datetime import timedelta

# A window closes after this many responses; with fewer, one slow response would move its mean.
WINDOW_RESPONSES = 50
# Floors are forgotten after this many windows, so that a lasting change becomes the new floor.
FLOOR_WINDOWS = 60
MAX_ROUTES = 256
RISE = 2.0
CALM = 1.5
DECREASE = 0.9


class _RouteFloor:
    """Mean latency of a route in the present window, and the floor of past ones; seconds."""

    __slots__ = ("total", "count", "means")

    def __init__(self) -> None:
        self.total = 0.0
        self.count = 0
        self.means: deque[float] = deque(maxlen=FLOOR_WINDOWS)


class AdaptiveConcurrency:
    """Additive increase, multiplicative decrease of the slots in use.

    Latency is compared with the floor of the same route, so that a change in the mix of fast and
    slow routes is not taken for overload.
    """

    def __init__(
        self,
        *,
        slots: int,
        min_slots: int = 2,
        window: int = WINDOW_RESPONSES,
        max_routes: int = MAX_ROUTES,
    ):
        """Start with all slots in use.

        :param slots: requests that the target runs at the same time
        :param min_slots: never lower the limit below this
        :param window: responses in a window
        """
        self.slots = slots
        self.min_slots = min(min_slots, slots)
        self.window = window
        self.max_routes = max_routes
        self.current = float(slots)
        self.routes: OrderedDict[str, _RouteFloor] = OrderedDict()
        self.count = 0

    def limit(self) -> int:
        """Return the slots in use at most now."""
        return int(self.current)

    def observe(self, route: str, latency: timedelta) -> None:
        """Take in the time that a request held its slot."""
        floor = self.routes.get(route)
        if floor is None:
            if len(self.routes) >= self.max_routes:
                self.routes.popitem(last=False)
            floor = self.routes[route] = _RouteFloor()
        floor.total += latency.total_seconds()
        floor.count += 1
        self.count += 1
        if self.count >= self.window:
            self._close_window()

    def _close_window(self) -> None:
        expected = observed = 0.0
        for floor in self.routes.values():
            if not floor.count:
                continue
            mean = floor.total / floor.count
            expected += min(floor.means, default=mean) * floor.count
            observed += floor.total
            if floor.count * len(self.routes) >= self.window / 2:
                floor.means.append(mean)
            floor.total, floor.count = 0.0, 0
        self.count = 0
        if observed > RISE * expected:
            self.current = max(float(self.min_slots), self.current * DECREASE)
        elif observed < CALM * expected:
            self.current = min(float(self.slots), self.current + 1.0)
