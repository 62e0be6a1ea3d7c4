"""Sequential test by e-processes: likelihood ratios that may be looked at after each window."""

import math
from collections.abc import Sequence

# A new start every 15 windows finds a version that turns bad long after the move began.
START_EVERY = 15
MAX_STARTS = 8
# Weight of the first start: at first requests are few, later a larger share brings evidence fast.
FIRST_START = 0.75
# Above this many terms the exact distribution costs more than it is worth.
MAX_TERMS = 200


class Alternative:
    """Odds that a test tells apart.

    :ivar tolerance: ratio of the new version's odds to the old one's that is still accepted
    :ivar ratios: ratios of the alternatives, all above the tolerance
    """

    def __init__(self, *, tolerance: float, ratios: Sequence[float]):
        self.tolerance = tolerance
        self.ratios = tuple(ratios)


def concurrent_ratio(
    alternative: Alternative, *, new: int, old: int, new_total: int, old_total: int
) -> list[float]:
    """Return the log likelihood ratios of one window with requests on both versions.

    Given the number of events on both versions together, the number on the new one follows
    Fisher's noncentral hypergeometric distribution, whatever the common rate is in this window.

    :param new: events on the new version
    :param old: events on the old version
    :param new_total: requests on the new version
    :param old_total: requests on the old version
    """
    events = new + old
    if not events or not new_total or not old_total:
        return [0.0] * len(alternative.ratios)
    if min(events, new_total) > MAX_TERMS:
        return _binomial_ratio(alternative, new, events, new_total, old_total)
    low, high = max(0, events - old_total), min(events, new_total)
    terms = [
        (j, _log_choose(new_total, j) + _log_choose(old_total, events - j))
        for j in range(low, high + 1)
    ]
    base = _log_mass(terms, alternative.tolerance)
    return [
        new * math.log(ratio / alternative.tolerance) + base - _log_mass(terms, ratio)
        for ratio in alternative.ratios
    ]


def _binomial_ratio(
    alternative: Alternative, new: int, events: int, new_total: int, old_total: int
) -> list[float]:
    """Return log likelihood ratios with the binomial in place of the hypergeometric.

    The binomial is more dispersed, so the test stays valid and is only weaker.
    """
    tolerance = alternative.tolerance
    base = tolerance * new_total + old_total
    return [
        new * math.log(ratio / tolerance)
        + events * math.log(base / (ratio * new_total + old_total))
        for ratio in alternative.ratios
    ]


def _log_choose(total: int, count: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)


def _log_mass(terms: list[tuple[int, float]], ratio: float) -> float:
    log_ratio = math.log(ratio)
    return log_sum(value + count * log_ratio for count, value in terms)


def baseline_ratio(
    alternative: Alternative, *, new: float, new_total: int, rate: float
) -> list[float]:
    """Return the log likelihood ratios of one window against a known rate of the old version."""
    tolerance = alternative.tolerance
    return [
        new * math.log(ratio / tolerance) - new_total * rate * (ratio - tolerance)
        for ratio in alternative.ratios
    ]


class EProcess:
    """Mixture of likelihood ratios over alternatives and over start times.

    Its expectation under the null hypothesis never exceeds 1, so by Ville's inequality it ever
    reaches ``1 / alpha`` with probability at most ``alpha``. The weights of the starts
    add up to 1, those after the first in proportion to 1/(j(j+1)); dropping a start only makes the
    test stricter.
    """

    def __init__(self, *, alternatives: int):
        self.alternatives = alternatives
        self.windows = 0
        self.starts: list[list[float]] = []

    def update(self, ratios: Sequence[float]) -> None:
        """Multiply in the log likelihood ratios of one window."""
        if self.windows % START_EVERY == 0:
            number = self.windows // START_EVERY + 1
            share = FIRST_START if number == 1 else (1 - FIRST_START) * 2 / (number * (number + 1))
            weight = math.log(share / self.alternatives)
            self.starts.append([weight] * self.alternatives)
        self.windows += 1
        self.starts = [
            [value + ratio for value, ratio in zip(start, ratios, strict=True)]
            for start in self.starts
        ]
        if len(self.starts) > MAX_STARTS:
            self.starts.remove(min(self.starts, key=max))

    def log_value(self) -> float:
        """Return the natural logarithm of the e-process; 0 before the first window."""
        if not self.starts:
            return 0.0
        return log_sum(value for start in self.starts for value in start)


def log_sum(values) -> float:
    """Return the logarithm of the sum of exponentials."""
    values = list(values)
    top = max(values)
    return top + math.log(sum(math.exp(value - top) for value in values))
