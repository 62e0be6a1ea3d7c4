"""Sequential test based on e-processes, which stays valid when evaluated after every window."""

import math
from collections.abc import Sequence

# A new start every 15 windows detects a version that becomes faulty long after the move began.
START_INTERVAL_WINDOWS = 15
MAX_OPEN_STARTS = 8
# The first start gets most of the weight, since the new version gets few requests at first. Later
# starts need less weight, because a larger share of the requests gives evidence quickly.
FIRST_START_WEIGHT = 0.75
# With more terms the gain of the exact distribution does not justify its cost.
MAX_EXACT_TERMS = 200


class OddsHypothesis:
    """Null and alternative hypotheses about the odds ratio of the new version to the old one.

    :ivar tolerance: largest accepted odds ratio, the bound of the null hypothesis
    :ivar odds_ratios: odds ratios of the alternatives, all above the tolerance
    """

    def __init__(self, *, tolerance: float, odds_ratios: Sequence[float]):
        self.tolerance = tolerance
        self.odds_ratios = tuple(odds_ratios)


def concurrent_log_ratios(
    hypothesis: OddsHypothesis, *, new: int, old: int, new_total: int, old_total: int
) -> list[float]:
    """Return the log likelihood ratios of one window with requests on both versions.

    Given the total number of events, the number on the new version follows Fisher's noncentral
    hypergeometric distribution, regardless of the common rate in this window.

    :param new: events on the new version
    :param old: events on the old version
    :param new_total: requests on the new version
    :param old_total: requests on the old version
    """
    events = new + old
    if not events or not new_total or not old_total:
        return [0.0] * len(hypothesis.odds_ratios)
    if min(events, new_total) > MAX_EXACT_TERMS:
        return _binomial_log_ratios(hypothesis, new, events, new_total, old_total)
    low, high = max(0, events - old_total), min(events, new_total)
    terms = [
        (j, _log_choose(new_total, j) + _log_choose(old_total, events - j))
        for j in range(low, high + 1)
    ]
    base = _log_normalizer(terms, hypothesis.tolerance)
    return [
        new * math.log(ratio / hypothesis.tolerance) + base - _log_normalizer(terms, ratio)
        for ratio in hypothesis.odds_ratios
    ]


def _binomial_log_ratios(
    hypothesis: OddsHypothesis, new: int, events: int, new_total: int, old_total: int
) -> list[float]:
    """Return log likelihood ratios with the binomial instead of the hypergeometric distribution.

    The binomial has a larger variance, so the test stays valid but has less power.
    """
    tolerance = hypothesis.tolerance
    base = tolerance * new_total + old_total
    return [
        new * math.log(ratio / tolerance)
        + events * math.log(base / (ratio * new_total + old_total))
        for ratio in hypothesis.odds_ratios
    ]


def _log_choose(total: int, count: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)


def _log_normalizer(terms: list[tuple[int, float]], ratio: float) -> float:
    log_ratio = math.log(ratio)
    return log_sum_exp(value + count * log_ratio for count, value in terms)


def baseline_log_ratios(
    hypothesis: OddsHypothesis, *, new: float, new_total: int, rate: float
) -> list[float]:
    """Return the log likelihood ratios of one window against a known rate of the old version.

    :param new: events on the new version
    :param new_total: requests on the new version
    :param rate: rate of events per request on the old version
    """
    tolerance = hypothesis.tolerance
    return [
        new * math.log(ratio / tolerance) - new_total * rate * (ratio - tolerance)
        for ratio in hypothesis.odds_ratios
    ]


def known_rate_log_ratios(
    hypothesis: OddsHypothesis, *, new: int, new_total: int, rate: float
) -> list[float]:
    """Return the log likelihood ratios of one window against a rate of the old version.

    Like :func:`baseline_log_ratios`, but exact for rates that are not small.

    :param new: events on the new version
    :param new_total: requests on the new version
    :param rate: rate of events per request on the old version, above 0 and below 1
    """
    odds = rate / (1.0 - rate)

    def log_likelihood(ratio: float) -> float:
        return new * math.log(ratio * odds) - new_total * math.log1p(ratio * odds)

    base = log_likelihood(hypothesis.tolerance)
    return [log_likelihood(ratio) - base for ratio in hypothesis.odds_ratios]


class EProcess:
    """Mixture of likelihood ratios over alternatives and over start times.

    Its expected value under the null hypothesis never exceeds 1, so by Ville's inequality the
    probability that it ever reaches ``1 / alpha`` is at most ``alpha``. The weights of the starts
    add up to 1; those after the first are equal, or proportional to 1/(j(j+1)) if their number is
    not limited. Dropping a start only makes the test more conservative.

    :param starts_each_window: number of windows after the first that each are a start of the same
        weight; None to start every ``START_INTERVAL_WINDOWS``, however many windows there are
    :param reserved_weight: part of the weight of the first start that is kept for ``start_anew``
    """

    def __init__(
        self,
        *,
        alternatives: int,
        starts_each_window: int | None = None,
        reserved_weight: float = 0.0,
    ):
        self.alternatives = alternatives
        self.starts_each_window = starts_each_window
        self.reserved_weight = reserved_weight
        self.windows = 0
        self.starts: list[list[float]] = []

    def update(self, log_ratios: Sequence[float]) -> None:
        """Multiply the process by the likelihood ratios of one window, given as logarithms."""
        self._add_start(self._start_weight())
        self.windows += 1
        self.starts = [
            [value + ratio for value, ratio in zip(start, log_ratios, strict=True)]
            for start in self.starts
        ]
        if len(self.starts) > MAX_OPEN_STARTS:
            self.starts.remove(min(self.starts, key=max))

    def start_anew(self) -> None:
        """Start with the reserved weight, at a time at which faults are likely to appear."""
        self._add_start(self.reserved_weight)
        self.reserved_weight = 0.0

    def _add_start(self, share: float) -> None:
        if share:
            weight = math.log(share / self.alternatives)
            self.starts.append([weight] * self.alternatives)

    def _start_weight(self) -> float:
        """Return the weight of a start at the next window, 0 if it is none."""
        if not self.windows:
            return FIRST_START_WEIGHT - self.reserved_weight
        if self.starts_each_window is not None:
            later_weight = (1 - FIRST_START_WEIGHT) / max(1, self.starts_each_window)
            return later_weight if self.windows <= self.starts_each_window else 0.0
        number, rest = divmod(self.windows, START_INTERVAL_WINDOWS)
        return 0.0 if rest else (1 - FIRST_START_WEIGHT) * 2 / ((number + 1) * (number + 2))

    def log_value(self) -> float:
        """Return the natural logarithm of the e-process; 0 before the first window."""
        if not self.starts:
            return 0.0
        return log_sum_exp(value for start in self.starts for value in start)


def log_sum_exp(values) -> float:
    """Return the logarithm of the sum of the exponentials of the values, without overflow."""
    values = list(values)
    largest = max(values)
    return largest + math.log(sum(math.exp(value - largest) for value in values))
