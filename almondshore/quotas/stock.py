"""Tokens of one tenant at one node: what was granted and not yet used."""

import math
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from almondshore.quotas.membership import Shard
from almondshore.quotas.messages import MAX_TOKENS, Question, tenant_key
from almondshore.quotas.port import Granted, Limited
from almondshore.tenants.table import Tenant

# Time constant of the estimate of the requests per second.
DEMAND_TIME_S = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0

OnDecision = Callable[[Granted | Limited], None]


class TenantCounts:
    """Requests of a tenant at this node since the start of the process.

    :ivar used: granted requests, less those whose tokens were returned
    """

    __slots__ = ("used", "refused")

    def __init__(self) -> None:
        self.used = 0
        self.refused = 0


class TenantStock:
    """Granted tokens of a tenant, and the requests that wait for more.

    Times are in seconds.

    :ivar expires_at: time after which the tokens may not be used
    :ivar added_at: time of the last grant; tokens taken since then expire with ``expires_at``
    :ivar blocked: times until which the owners of shards are not asked, since they had no tokens
    :ivar returned: tokens to return with the next question
    :ivar asking: whether a question is on its way
    """

    __slots__ = (
        "tenant",
        "key",
        "counts",
        "tokens",
        "expires_at",
        "added_at",
        "demand",
        "demand_at",
        "waiting",
        "blocked",
        "refused_until",
        "returned",
        "asking",
        "logged_at",
    )

    def __init__(self, *, tenant: Tenant, counts: TenantCounts, now_s: float):
        self.tenant = tenant
        self.key = tenant_key(tenant.name)
        self.counts = counts
        self.tokens = 0
        self.expires_at = now_s
        self.added_at = now_s
        self.demand = 0.0
        self.demand_at = now_s
        self.waiting: deque[OnDecision] = deque()
        self.blocked: dict[Shard, float] = {}
        self.refused_until = now_s
        self.returned = 0
        self.asking = False
        self.logged_at = float("-inf")

    def take(self, now_s: float) -> bool:
        """Count a request, and take a token for it if there is one."""
        elapsed = now_s - self.demand_at
        if elapsed > 0:
            self.demand *= math.exp(-elapsed / DEMAND_TIME_S)
            self.demand_at = now_s
        self.demand += 1.0
        return self.use(now_s)

    def use(self, now_s: float) -> bool:
        """Take a token if there is one."""
        if self.tokens and now_s < self.expires_at:
            self.tokens -= 1
            return True
        return False

    def add(self, count: int, expires_at: float, now_s: float) -> None:
        """Add granted tokens; those that have expired on the way are returned."""
        self.drop_expired(now_s)
        if now_s >= expires_at:
            self._return(count)
            return
        if count:
            # Tokens of several grants are rarely held at once; they all expire with the first.
            self.added_at = now_s
            self.expires_at = min(self.expires_at, expires_at) if self.tokens else expires_at
            self.tokens += count

    def drop_expired(self, now_s: float) -> None:
        """Mark expired tokens for return."""
        if self.tokens and now_s >= self.expires_at:
            self._return(self.tokens)
            self.tokens = 0

    def give_back(self, taken_at: float | None, now_s: float) -> None:
        """Accept the token of a request that will not run.

        A token of a grant that has not expired is used again. Others are returned to the owner,
        which bounds how many of them count in a window: they may be charged to an earlier one.

        :param taken_at: time at which the token was taken, None if it is not known
        """
        self.counts.used -= 1
        if taken_at is not None and taken_at >= self.added_at and now_s < self.expires_at:
            self.tokens += 1
        else:
            self._return(1)

    def question(self, shard: Shard, lifetime_s: float, now_s: float) -> Question:
        """Return the question for the tokens that are needed now."""
        self.drop_expired(now_s)
        need = min(MAX_TOKENS, len(self.waiting))
        demand = self.demand * math.exp(-max(0.0, now_s - self.demand_at) / DEMAND_TIME_S)
        expected = round(demand / DEMAND_TIME_S * lifetime_s)
        returned, self.returned = self.returned, 0
        return Question(self.key, shard.index, need, min(MAX_TOKENS, need + expected), returned)

    def retry_after(self, until: float, now_s: float, spread: float) -> timedelta:
        """Return the time after which a refused request is likely to be granted.

        :param spread: from 0 to 1, spreads retries over half of the time
        """
        wait_s = max(MIN_RETRY_AFTER_S, until - now_s) * (1.0 + spread / 2)
        return timedelta(seconds=min(MAX_RETRY_AFTER_S, wait_s))

    def is_idle(self, now_s: float, idle_s: float) -> bool:
        """Return whether nothing is lost if the stock is dropped."""
        is_busy = self.asking or self.waiting or now_s < self.expires_at
        return not is_busy and now_s - self.demand_at >= idle_s

    def _return(self, count: int) -> None:
        self.returned = min(MAX_TOKENS, self.returned + count)
