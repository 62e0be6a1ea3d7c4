"""Adaptive concurrency limit: fewer usable slots when latency rises above its baseline."""

from collections import OrderedDict, deque
from datetime import timedelta

# Responses in a window; with fewer, a single slow response would shift the mean.
WINDOW_RESPONSES = 50
# The baseline is the lowest mean of this many past windows, so that a lasting change in latency
# becomes the new baseline.
BASELINE_WINDOWS = 60
MAX_ROUTES = 256
# Ratio of the observed to the baseline latency above which the limit is lowered.
OVERLOAD_RATIO = 2.0
# Ratio below which the limit is raised; in between it stays.
RECOVERY_RATIO = 1.5
DECREASE_FACTOR = 0.9


class _RouteLatency:
    """Latency of a route, in seconds: sum in the current window, and means of past windows."""

    __slots__ = ("total", "count", "means")

    def __init__(self) -> None:
        self.total = 0.0
        self.count = 0
        self.means: deque[float] = deque(maxlen=BASELINE_WINDOWS)


class AdaptiveConcurrency:
    """Additive increase, multiplicative decrease of the number of usable slots.

    Latency is compared with the baseline of the same route, so that a change in the mix of fast
    and slow routes is not mistaken for overload.
    """

    def __init__(
        self,
        *,
        slots: int,
        min_slots: int = 2,
        window: int = WINDOW_RESPONSES,
        max_routes: int = MAX_ROUTES,
    ):
        """Start with a limit that allows all slots.

        :param slots: requests that the target runs at the same time
        :param min_slots: lower bound of the limit
        :param window: responses of all routes in a window
        :param max_routes: routes that are tracked; the oldest is dropped to add another
        """
        self.slots = slots
        self.min_slots = min(min_slots, slots)
        self.window = window
        self.max_routes = max_routes
        self.current_limit = float(slots)
        self.routes: OrderedDict[str, _RouteLatency] = OrderedDict()
        self.count = 0

    def limit(self) -> int:
        """Return the number of slots that may be in use at present."""
        return int(self.current_limit)

    def observe(self, route: str, latency: timedelta) -> None:
        """Record the time for which a request held its slot."""
        latencies = self.routes.get(route)
        if latencies is None:
            if len(self.routes) >= self.max_routes:
                self.routes.popitem(last=False)
            latencies = self.routes[route] = _RouteLatency()
        latencies.total += latency.total_seconds()
        latencies.count += 1
        self.count += 1
        if self.count >= self.window:
            self._close_window()

    def _close_window(self) -> None:
        baseline = observed = 0.0
        for latencies in self.routes.values():
            if not latencies.count:
                continue
            mean = latencies.total / latencies.count
            baseline += min(latencies.means, default=mean) * latencies.count
            observed += latencies.total
            if latencies.count * len(self.routes) >= self.window / 2:
                latencies.means.append(mean)
            latencies.total, latencies.count = 0.0, 0
        self.count = 0
        if observed > OVERLOAD_RATIO * baseline:
            self.current_limit = max(float(self.min_slots), self.current_limit * DECREASE_FACTOR)
        elif observed < RECOVERY_RATIO * baseline:
            self.current_limit = min(float(self.slots), self.current_limit + 1.0)
