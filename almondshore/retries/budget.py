"""Retry budgets, which limit retries to a share of the requests."""

from datetime import timedelta

from almondshore.core.clock import Clock

RETRY_RATIO = 0.1
MIN_RETRIES_PER_SECOND = 3.0
# Limits the burst of retries that a service can make after a long time without failures.
MAX_SAVED_RETRIES = 50.0
# Share of a limit on retries by the number of requests that is divided among the nodes. The rest
# covers uneven load between nodes, and the calls that a retried request repeats, which count at the
# called service. At 0.75, a service whose targets rejected half of the requests got 1,693 retries
# where 1,589 were allowed.
NODE_RATIO_SHARE = 0.6
# Share of the retries that are always allowed in a window, which the nodes earn during it, and
# share that they may have saved up before it. Each node can save one retry, however many there are.
NODE_MINIMUM_SHARE = 0.2
NODE_SAVED_SHARE = 0.25


class _Balance:
    """Retries that a service may still make.

    :ivar retries: retries earned by first attempts and by the passing of time
    :ivar updated_s: monotonic time in seconds at which the minimum was last added
    """

    __slots__ = ("retries", "updated_s")

    def __init__(self, retries: float, now_s: float):
        self.retries = retries
        self.updated_s = now_s


class RetryBudget:
    """Limits the retries of each service to a share of its requests, with a minimum rate.

    Over any period, the retries of a service are at most ``ratio`` times its requests, plus
    ``min_per_second`` for each second, plus ``max_saved`` and the minimum of one second. The
    minimum adds up while it is not used: where many nodes share a limit, each has less than one
    retry per second.

    :param max_saved: retries that can be saved up beyond the minimum of one second, at least 1
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

    def set_part_of(self, *, ratio: float, minimum: int, window: timedelta, nodes: int) -> None:
        """Take one node's part of a limit that all nodes share.

        :param ratio: allowed retries as a share of the requests to a service
        :param minimum: retries that are always allowed in a window
        :param nodes: number of nodes that share the limit
        """
        self.ratio = ratio * NODE_RATIO_SHARE
        per_node = minimum / nodes
        self.min_per_second = per_node * NODE_MINIMUM_SHARE / window.total_seconds()
        self.max_saved = max(1.0, per_node * NODE_SAVED_SHARE)

    def deposit(self, service: str) -> None:
        """Add the share of a first attempt to the budget of its service.

        The number of budgets is bounded, since the services come from the route table.
        """
        balance = self._balance(service)
        balance.retries = min(self._limit(), balance.retries + self.ratio)

    def withdraw(self, service: str) -> bool:
        """Take one retry from the budget; return whether the budget allowed it."""
        balance = self._balance(service)
        if balance.retries < 1.0:
            return False
        balance.retries -= 1.0
        return True

    def keep(self, services: set[str]) -> None:
        """Drop the budgets of all services but these."""
        for name in self.balances.keys() - services:
            del self.balances[name]

    def _balance(self, service: str) -> _Balance:
        """Return the balance of a service with the minimum added that has passed since."""
        now_s = self.clock.monotonic().total_seconds()
        balance = self.balances.get(service)
        if balance is None:
            balance = self.balances[service] = _Balance(self.min_per_second, now_s)
        earned = (now_s - balance.updated_s) * self.min_per_second
        balance.retries = min(self._limit(), balance.retries + earned)
        balance.updated_s = now_s
        return balance

    def _limit(self) -> float:
        return self.max_saved + self.min_per_second
