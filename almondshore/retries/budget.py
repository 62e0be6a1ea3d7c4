"""Retry budgets, which limit retries to a share of the requests."""

from almondshore.core.clock import Clock

RETRY_RATIO = 0.1
MIN_RETRIES_PER_SECOND = 3.0
# Limits the burst of retries that a service can make after a long time without failures.
MAX_SAVED_RETRIES = 50.0


class _Balance:
    """Retries that a service may still make.

    :ivar earned: retries earned by first attempts
    :ivar minimum: retries left of the minimum per second
    :ivar updated_s: monotonic time in seconds at which the minimum was last refilled
    """

    __slots__ = ("earned", "minimum", "updated_s")

    def __init__(self, minimum: float, now_s: float):
        self.earned = 0.0
        self.minimum = minimum
        self.updated_s = now_s


class RetryBudget:
    """Limits the retries of each service to a share of its requests, with a minimum rate.

    Over any period, the retries of a service are at most ``ratio`` times its requests, plus
    ``min_per_second`` for each second, plus ``max_saved`` and the minimum of one second.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = RETRY_RATIO,
        min_per_second: float = MIN_RETRIES_PER_SECOND,
        max_saved: float = MAX_SAVED_RETRIES,
    ):
        self.clock = clock
        self.ratio = ratio
        self.min_per_second = min_per_second
        self.max_saved = max_saved
        self.balances: dict[str, _Balance] = {}

    def deposit(self, service: str) -> None:
        """Add the share of a first attempt to the budget of its service.

        The number of budgets is bounded, since the services come from the route table.
        """
        balance = self._balance(service)
        balance.earned = min(self.max_saved, balance.earned + self.ratio)

    def withdraw(self, service: str) -> bool:
        """Take one retry from the budget; return whether the budget allowed it."""
        balance = self._balance(service)
        now_s = self.clock.monotonic().total_seconds()
        refill = (now_s - balance.updated_s) * self.min_per_second
        balance.minimum = min(self.min_per_second, balance.minimum + refill)
        balance.updated_s = now_s
        if balance.earned >= 1.0:
            balance.earned -= 1.0
            return True
        if balance.minimum >= 1.0:
            balance.minimum -= 1.0
            return True
        return False

    def keep(self, services: set[str]) -> None:
        """Drop the budgets of all services but these."""
        for name in self.balances.keys() - services:
            del self.balances[name]

    def _balance(self, service: str) -> _Balance:
        balance = self.balances.get(service)
        if balance is None:
            now_s = self.clock.monotonic().total_seconds()
            balance = self.balances[service] = _Balance(self.min_per_second, now_s)
        return balance
