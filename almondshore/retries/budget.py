"""Retry budgets: retries are a bounded share of requests."""

from almondshore.core.clock import Clock

RATIO = 0.1
MIN_PER_SECOND = 3.0
# Limits what a quiet period saves up for a later burst of retries.
MAX_SAVED = 50.0


class _Balance:
    """Retries that a service may still make; times in seconds."""

    __slots__ = ("earned", "floor", "updated")

    def __init__(self, floor: float, now_s: float):
        self.earned = 0.0
        self.floor = floor
        self.updated = now_s


class RetryBudget:
    """Allows each service retries of 10% of its requests, and a minimum for quiet services.

    Over any period, the retries of a service are at most ``ratio`` times its requests, plus
    ``min_per_second`` for each second, plus ``max_saved`` and one second's minimum.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = RATIO,
        min_per_second: float = MIN_PER_SECOND,
        max_saved: float = MAX_SAVED,
    ):
        self.clock = clock
        self.ratio = ratio
        self.min_per_second = min_per_second
        self.max_saved = max_saved
        self.balances: dict[str, _Balance] = {}

    def deposit(self, service: str) -> None:
        """Count a first attempt; the services come from the route table, hence are bounded."""
        balance = self._balance(service)
        balance.earned = min(self.max_saved, balance.earned + self.ratio)

    def withdraw(self, service: str) -> bool:
        """Take a retry from the budget if it allows one."""
        balance = self._balance(service)
        now_s = self.clock.monotonic().total_seconds()
        refill = (now_s - balance.updated) * self.min_per_second
        balance.floor = min(self.min_per_second, balance.floor + refill)
        balance.updated = now_s
        if balance.earned >= 1.0:
            balance.earned -= 1.0
            return True
        if balance.floor >= 1.0:
            balance.floor -= 1.0
            return True
        return False

    def keep(self, services: set[str]) -> None:
        """Drop the balances of services that are no longer configured."""
        for name in self.balances.keys() - services:
            del self.balances[name]

    def _balance(self, service: str) -> _Balance:
        balance = self.balances.get(service)
        if balance is None:
            now_s = self.clock.monotonic().total_seconds()
            balance = self.balances[service] = _Balance(self.min_per_second, now_s)
        return balance
