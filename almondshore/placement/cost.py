"""Expected service times of requests by route, path, tenant and size of the body."""

from datetime import timedelta
from typing import NamedTuple

# Weight of the newest observation in the service time of a route.
SERVICE_TIME_GAIN = 0.15
# Expected service time before the first observation; targets take between 15 ms and 550 ms.
DEFAULT_SERVICE_TIME = timedelta(milliseconds=100)
# Least weight of the newest observation in the factor of a value: a value that has been seen more
# often keeps what its last 50 observations showed.
FACTOR_GAIN = 0.02
# Weight, in observations, of the assumption that a value does not matter.
PRIOR_OBSERVATIONS = 2.0
# A factor is used only as far as it differs from 1 by more than this many standard errors. Without
# such a bound the spread of the service times of a uniform route appears as structure.
MIN_STANDARD_ERRORS = 2.0
# Weight of the newest observation in the variance of a route and in its mean factor.
VARIANCE_GAIN = 0.05
MEAN_FACTOR_GAIN = 0.01
# Relative variance of a route before its first observations: a lognormal spread of 0.5.
INITIAL_VARIANCE = 0.28
# Limits of the ratio of one observation to the expected time: a single stall says little.
MIN_RATIO, MAX_RATIO = 0.02, 50.0
# Maximum number of entries of each table; an entry takes about 200 bytes.
MAX_ROUTES = 512
MAX_VALUES = {"size": 512, "tenant": 1024, "parent": 1024, "path": 2048}
# How many often observed entries may be passed over to evict one that was observed less often.
MAX_SECOND_CHANCES = 8


class Features(NamedTuple):
    """What is known of a request before it runs; with the defaults, only its route.

    :ivar path: path without the query, empty if not known
    :ivar tenant: name of the tenant, empty if there is none
    :ivar body_bytes: size of the body
    """

    route: str
    path: bytes = b""
    tenant: str = ""
    body_bytes: int = 0


class _RouteTimes:
    """Service time of a route; times are seconds.

    :ivar base_s: mean service time divided by the factors of the requests
    :ivar mean_factor: mean of the products of the factors
    :ivar mean_factors: mean factor of each table; factors are used in proportion to it, so that a
        value which was not seen before stands for the mean
    :ivar only_keys: the key that all requests have had in a table, 0 if there were several; such a
        key predicts nothing and has no entry
    :ivar variance: mean square of the relative error of the expected time
    """

    __slots__ = ("base_s", "mean_factor", "mean_factors", "only_keys", "variance")

    def __init__(self, base_s: float):
        self.base_s = base_s
        self.mean_factor = 1.0
        self.mean_factors = dict.fromkeys(MAX_VALUES, 1.0)
        self.only_keys: dict[str, int] = {}
        self.variance = INITIAL_VARIANCE

    def is_only_key(self, name: str, key: int) -> bool:
        """Return whether all requests have had this key in a table so far."""
        only = self.only_keys.setdefault(name, key)
        if only == key:
            return True
        self.only_keys[name] = 0
        return False


class _Value:
    """What one value of a feature does to the service time.

    :ivar mean_ratio: mean ratio of the service time to the one expected without this value
    :ivar variance: mean square of the relative difference from that mean
    :ivar observations: observations in both, at most the inverse of ``FACTOR_GAIN``
    :ivar factor: the part of the ratio that the observations prove
    """

    __slots__ = ("mean_ratio", "variance", "observations", "factor")

    def __init__(self) -> None:
        self.mean_ratio = 1.0
        self.variance = 0.0
        self.observations = 0.0
        self.factor = 1.0

    def observe(self, ratio: float, route_variance: float) -> None:
        """Record a ratio; the variance of the route counts as one observation of the variance."""
        observations = self.observations = min(self.observations + 1.0, 1.0 / FACTOR_GAIN)
        mean_ratio = self.mean_ratio + (ratio - self.mean_ratio) / observations
        deviation = (ratio - self.mean_ratio) * (ratio - mean_ratio) / (mean_ratio * mean_ratio)
        self.variance += (deviation - self.variance) / observations
        self.mean_ratio = mean_ratio
        variance = (route_variance + observations * self.variance) / (1.0 + observations)
        difference = mean_ratio - 1.0
        square = difference * difference
        # The spread of the times grows with the times.
        error = variance * mean_ratio * mean_ratio / observations
        bound = MIN_STANDARD_ERRORS * MIN_STANDARD_ERRORS * error
        if square <= bound:
            self.factor = 1.0
            return
        share = (1.0 - bound / square) * observations
        self.factor = 1.0 + difference * share / (observations + PRIOR_OBSERVATIONS)


class CostModel:
    """Learns service times online: a mean for each route, and factors of the features' values.

    The expected time is the route's mean times a factor for each feature. A factor stays 1 until
    the observations prove another one, so that a route whose requests cost alike has a moving
    average. Each factor is learned from the ratio to the time that all the others lead to expect.
    Values are kept as keyed hashes, so that long paths take no memory.

    :ivar overall_s: moving average over all routes in seconds, 0 before the first observation
    """

    def __init__(self) -> None:
        self.routes: dict[str, _RouteTimes] = {}
        self.overall_s = 0.0
        self.values: dict[str, dict[int, _Value]] = {name: {} for name in MAX_VALUES}

    def observe(self, features: Features, duration: timedelta) -> None:
        """Record the service time of a request that ended."""
        duration_s = duration.total_seconds()
        self.overall_s += (duration_s - self.overall_s) * (
            SERVICE_TIME_GAIN if self.overall_s else 1.0
        )
        route = self.routes.get(features.route)
        if route is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            self.routes[features.route] = route = _RouteTimes(duration_s)
        base_s = route.base_s
        if base_s <= 0.0:
            route.base_s = duration_s
            return
        mean_factors = route.mean_factors
        values = [
            (name, self._entry(name, key))
            for name, key in _keys(features)
            # An entry from before the route was evicted is used by expected(), so it must go on
            # learning.
            if not route.is_only_key(name, key) or key in self.values[name]
        ]
        factor = 1.0
        for name, value in values:
            factor *= value.factor / mean_factors[name]
        ratio = min(MAX_RATIO, max(MIN_RATIO, duration_s / base_s))
        error = ratio / factor - 1.0
        route.variance += (min(error * error, MAX_RATIO) - route.variance) * VARIANCE_GAIN
        for name, value in values:
            mean_factor = mean_factors[name]
            others = factor * mean_factor / value.factor
            value.observe(ratio / others, route.variance)
            mean_factor += (value.factor - mean_factor) * MEAN_FACTOR_GAIN
            mean_factors[name] = mean_factor
            factor = others * value.factor / mean_factor
        route.base_s = base_s + (duration_s / factor - base_s) * SERVICE_TIME_GAIN
        route.mean_factor += (factor - route.mean_factor) * MEAN_FACTOR_GAIN

    def expected(self, features: Features) -> timedelta:
        """Return the expected service time of a request.

        With nothing but the route, this is the mean of the route; a route without observations has
        the average of all routes.
        """
        route = self.routes.get(features.route)
        if route is None:
            return timedelta(seconds=self.overall_s) if self.overall_s else DEFAULT_SERVICE_TIME
        return timedelta(seconds=route.base_s * self._factor(features, route))

    def relative(self, features: Features) -> float:
        """Return the ratio of the expected service time to the mean of the route."""
        route = self.routes.get(features.route)
        return 1.0 if route is None else self._factor(features, route) / route.mean_factor

    def variance(self, route: str) -> float:
        """Return the mean square of the relative error of the expected times of a route."""
        times = self.routes.get(route)
        return INITIAL_VARIANCE if times is None else times.variance

    def observed(self, route: str) -> timedelta | None:
        """Return the mean service time of a route, or None before its first observation."""
        times = self.routes.get(route)
        return None if times is None else timedelta(seconds=times.base_s * times.mean_factor)

    def _factor(self, features: Features, route: _RouteTimes) -> float:
        keys = _keys(features)
        if not keys:
            return route.mean_factor
        factor = 1.0
        for name, key in keys:
            value = self.values[name].get(key)
            if value is not None:
                factor *= value.factor / route.mean_factors[name]
        return factor

    def _entry(self, name: str, key: int) -> _Value:
        """Return the entry of a value as the most recently used one of its table."""
        table = self.values[name]
        value = table.pop(key, None)
        if value is None:
            value = _Value()
            if len(table) >= MAX_VALUES[name]:
                _evict(table)
        table[key] = value
        return value


def _evict(table: dict[int, _Value]) -> None:
    """Remove the entry that was used least recently, sparing a few that were observed often."""
    for _ in range(MAX_SECOND_CHANCES):
        key = next(iter(table))
        value = table.pop(key)
        if value.observations < 2.0:
            return
        value.observations /= 2.0
        table[key] = value
    del table[next(iter(table))]


def _keys(features: Features) -> tuple[tuple[str, int], ...]:
    """Return the tables and keys of a request's values, none if only the route is known.

    The parent of a path predicts the cost where the last segment is an identifier. Requests without
    a tenant, a body or a parent have entries too, as the factors are relative to the mean of all.
    """
    route, path, tenant, body_bytes = features
    if not (path or tenant or body_bytes):
        return ()
    return (
        ("size", hash((route, body_bytes.bit_length()))),
        ("tenant", hash((route, tenant))),
        ("parent", hash((route, path.rpartition(b"/")[0]))),
        ("path", hash((route, path))),
    )
