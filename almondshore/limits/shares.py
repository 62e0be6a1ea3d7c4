"""Shares of one target's slots by tenant and by kind of request."""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from datetime import timedelta
from math import exp, log, log2
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event

# Time constant of the counts.
MEMORY = timedelta(seconds=5)
# Time for which the order that follows from the counts is used before it is computed again.
UPDATE_INTERVAL = timedelta(milliseconds=100)
LOG_INTERVAL = timedelta(seconds=1)
MAX_TENANTS = 1024
# A share is starved below this part of that of all requests together.
MIN_RELATIVE_SHARE = 0.25
# With fewer offered requests a low share may be chance.
MIN_OFFERED = 8.0
# A tenant counts as over its share only for what it used beyond this number of mean requests: one
# request of a tenant that rarely sends any is more than its share for seconds.
FREE_STARTS = 4.0
# Largest number of places that a tenant ranks behind others of its urgency: 2 ** 4 times the mean.
MAX_PLACES_BEHIND = 4
# Counts grow by this factor at most before all are scaled down, so that they stay exact.
MAX_SCALE = 1e9
# Time in which they grow by that factor, in time constants.
MAX_ELAPSED = log(MAX_SCALE)
# A tenant whose decayed number of requests is lower than this is forgotten at the next scaling.
MIN_KEPT = 1e-6


class Share(NamedTuple):
    """What is counted of a request: its kind, its urgency and its tenant.

    :ivar tenant: empty if there is none
    """

    route: str
    urgency: int
    tenant: str


class _Use:
    """Decayed counts of one tenant or kind.

    :ivar offered: requests offered to the queue
    :ivar started: requests started
    :ivar started_s: expected service time of the requests started, in seconds
    """

    __slots__ = ("offered", "started", "started_s")

    def __init__(self) -> None:
        self.offered = self.started = self.started_s = 0.0

    def scale(self, factor: float) -> None:
        """Multiply all counts."""
        self.offered *= factor
        self.started *= factor
        self.started_s *= factor


class ServiceShares:
    """Counts what tenants and kinds of requests get of a target, and derives their order.

    Requests without a tenant are not counted, so that a configuration without tenants keeps its
    order. Counts are kept multiplied by ``exp(t / MEMORY)``, which decays all of them by one
    division.

    :ivar weights: relative shares by tenant; a tenant without one has the mean of the others
    :ivar starved: tenants, routes and urgencies that get far less than their part of the starts
    :ivar behind: places that a tenant ranks behind the others of its urgency, if any
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.weights: dict[str, float] = {}
        self.mean_weight = 1.0
        self.total = _Use()
        self.tenants: OrderedDict[str, _Use] = OrderedDict()
        self.kinds: dict[Hashable, _Use] = {}
        self.epoch = self.updated_at = self.next_log_at = clock.monotonic()
        self.starved: frozenset[Hashable] = frozenset()
        self.behind: dict[str, int] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the shares of the tenants; values that are not positive count as none."""
        self.weights = {name: weight for name, weight in weights.items() if weight > 0.0}
        if self.weights:
            self.mean_weight = sum(self.weights.values()) / len(self.weights)

    def record_offer(self, share: Share) -> None:
        """Count a request that needs a slot."""
        if not share.tenant:
            return
        scale = self._scale()
        for use in self._uses(share):
            use.offered += scale
        if self.clock.monotonic() - self.updated_at >= UPDATE_INTERVAL:
            self._update()

    def record_start(self, share: Share, service_time: timedelta) -> None:
        """Count a request that is started.

        :param service_time: its expected service time
        """
        if not share.tenant:
            return
        scale = self._scale()
        for use in self._uses(share):
            use.started += scale
            use.started_s += service_time.total_seconds() * scale

    def rank(self, share: Share) -> tuple[int, int]:
        """Return the urgency that a request is served with, and its place within that urgency."""
        if self.starved and not self.starved.isdisjoint(
            (("tenant", share.tenant), ("route", share.route), ("urgency", share.urgency))
        ):
            return 0, 0
        return share.urgency, self.behind.get(share.tenant, 0)

    def _uses(self, share: Share) -> tuple[_Use, ...]:
        tenant = self.tenants.get(share.tenant)
        if tenant is None:
            if len(self.tenants) >= MAX_TENANTS:
                self.tenants.popitem(last=False)
            tenant = self.tenants[share.tenant] = _Use()
        else:
            self.tenants.move_to_end(share.tenant)
        route = self._kind(("route", share.route))
        return self.total, tenant, route, self._kind(("urgency", share.urgency))

    def _kind(self, key: Hashable) -> _Use:
        use = self.kinds.get(key)
        if use is None:
            use = self.kinds[key] = _Use()
        return use

    def _scale(self) -> float:
        """Return the factor of a count that is added now."""
        now = self.clock.monotonic()
        elapsed = (now - self.epoch) / MEMORY
        if elapsed < MAX_ELAPSED:
            return exp(elapsed)
        self.epoch = now
        # exp() overflows for positive arguments above 709, which is an hour without requests; for
        # negative ones it becomes 0.
        decay = exp(-elapsed)
        self.total.scale(decay)
        for table in (self.tenants, self.kinds):
            for key, use in list(table.items()):
                use.scale(decay)
                if use.offered < MIN_KEPT:
                    del table[key]
        return 1.0

    def _update(self) -> None:
        self.updated_at = self.clock.monotonic()
        scale = self._scale()
        uses = {("tenant", name): use for name, use in self.tenants.items()} | self.kinds
        self.starved = frozenset(key for key, use in uses.items() if self._is_starved(use, scale))
        self.behind = self._places_behind(scale)
        if self.starved and self.updated_at >= self.next_log_at:
            self.next_log_at = self.updated_at + LOG_INTERVAL
            log_event(
                "starved_requests",
                kinds=" ".join(f"{name}:{value}" for name, value in sorted(self.starved, key=str)),
                behind=" ".join(sorted(self.behind)),
            )

    def _is_starved(self, use: _Use, scale: float) -> bool:
        if use.offered < MIN_OFFERED * scale:
            return False
        mean_share = self.total.started / self.total.offered
        return use.started / use.offered < MIN_RELATIVE_SHARE * mean_share

    def _places_behind(self, scale: float) -> dict[str, int]:
        """Return by how many factors of two tenants are over their share of the starts."""
        present = [name for name, use in self.tenants.items() if use.offered >= MIN_KEPT * scale]
        weight = sum(self._weight(name) for name in present)
        if not present or self.total.started <= 0.0:
            return {}
        mean_use = self.total.started_s / weight
        if mean_use <= 0.0:
            # Counts that have decayed for an hour are too small to be divided.
            return {}
        free_s = FREE_STARTS * scale * self.total.started_s / self.total.started
        behind = {}
        for name in present:
            use = (self.tenants[name].started_s - free_s) / self._weight(name)
            if use >= 2.0 * mean_use:
                behind[name] = min(MAX_PLACES_BEHIND, int(log2(use / mean_use)))
        return behind

    def _weight(self, tenant: str) -> float:
        return self.weights.get(tenant, self.mean_weight)
