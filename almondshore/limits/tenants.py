"""Request rate limits by tenant, with a bounded table of tenants outside the configuration."""

import heapq
from collections.abc import Iterable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import xxhash

from almondshore.core.clock import Clock
from almondshore.core.token_bucket import TokenBucket
from almondshore.rules.model import TenantPart

MAX_UNCONFIGURED_TENANTS = 10_000
DEFAULT_RATE_PER_S = 100.0
DEFAULT_BURST_REQUESTS = 200
# Tenant names come from callers. Longer ones are replaced by a hash, so that the size of a table
# entry is bounded.
MAX_NAME_CHARS = 64
# Bounds the time that a single request spends on finding an entry to evict.
MAX_EVICTION_STEPS = 32


class LimitReason(StrEnum):
    """Why a tenant's request was refused."""

    TENANT_LIMITED = "tenant-limited"
    TABLE_FULL = "tenant-table-full"


class Allowed(NamedTuple):
    """The request is within its tenant's limit."""


class Limited(NamedTuple):
    """The request is over its tenant's limit, or its tenant is new and the table is full."""

    retry_after: timedelta
    reason: LimitReason


class TenantLimits:
    """Token buckets by tenant.

    Each configured tenant has a bucket that is never evicted. All other names, which callers can
    make up, share a bounded table. A full bucket is equal to a new one, so evicting it loses
    nothing; when no bucket is full, only names that are not in the table are refused.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        capacity: int = MAX_UNCONFIGURED_TENANTS,
        default_rate: float = DEFAULT_RATE_PER_S,
        default_burst: int = DEFAULT_BURST_REQUESTS,
    ):
        """Create an empty table.

        :param capacity: maximum number of tracked tenants outside the configuration
        :param default_rate: requests per second for each of them
        :param default_burst: requests that each of them may send at once
        """
        self.clock = clock
        self.capacity = capacity
        self.default_rate = default_rate
        self.default_burst = default_burst
        self.configured: dict[str, TokenBucket] = {}
        self.unconfigured: dict[str, TokenBucket] = {}
        # Heap with one entry for each key of ``unconfigured``: a lower bound of the time at which
        # its bucket is full.
        self.by_full_at: list[tuple[float, str]] = []

    def configure(self, parts: Iterable[TenantPart]) -> None:
        """Set the configured tenants; a tenant whose limit is unchanged keeps its bucket."""
        now_s = self.clock.monotonic().total_seconds()
        configured = {}
        for part in parts:
            bucket = self.configured.get(part["name"])
            if bucket is None or (bucket.rate, bucket.burst) != (part["rate"], part["burst"]):
                bucket = TokenBucket(part["rate"], float(part["burst"]), now_s)
            configured[part["name"]] = bucket
        self.configured = configured

    def take(self, tenant: str) -> Allowed | Limited:
        """Charge a request to a tenant's bucket.

        :param tenant: name given by the caller; the empty name is treated like any other
        """
        now_s = self.clock.monotonic().total_seconds()
        bucket = self.configured.get(tenant) or self._unconfigured_bucket(tenant, now_s)
        if bucket is None:
            wait_s = max(1.0, self.by_full_at[0][0] - now_s) if self.by_full_at else 1.0
            return Limited(timedelta(seconds=wait_s), LimitReason.TABLE_FULL)
        wait_s = bucket.take(now_s)
        if wait_s:
            return Limited(timedelta(seconds=wait_s), LimitReason.TENANT_LIMITED)
        return Allowed()

    def _unconfigured_bucket(self, tenant: str, now_s: float) -> TokenBucket | None:
        key = tenant
        if len(tenant) > MAX_NAME_CHARS:
            key = f"#{xxhash.xxh3_128_hexdigest(tenant.encode(errors='replace'))}"
        bucket = self.unconfigured.get(key)
        if bucket is not None:
            return bucket
        if len(self.unconfigured) >= self.capacity and not self._evict(now_s):
            return None
        bucket = self.unconfigured[key] = TokenBucket(
            self.default_rate, float(self.default_burst), now_s
        )
        heapq.heappush(self.by_full_at, (now_s, key))
        return bucket

    def _evict(self, now_s: float) -> bool:
        """Evict one full bucket, in a bounded number of steps; return whether one was found."""
        for _ in range(MAX_EVICTION_STEPS):
            bound, key = self.by_full_at[0]
            if bound > now_s:
                return False
            full_at = self.unconfigured[key].full_at()
            if full_at <= now_s:
                heapq.heappop(self.by_full_at)
                del self.unconfigured[key]
                return True
            heapq.heapreplace(self.by_full_at, (full_at, key))
        return False
