"""Token buckets of the shards that a node owns."""

from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.token_bucket import TokenBucket
from almondshore.mesh.model import Address
from almondshore.mesh.settings import QuotaBound
from almondshore.quotas.membership import Membership, Shard
from almondshore.quotas.messages import MAX_WAIT_MS, Answer, Question, tenant_key
from almondshore.tenants.table import Tenant

MAX_GRANT_LIFETIME = timedelta(milliseconds=500)
# Share of the slack that buckets hold beyond the burst. The grants of a window are those of its
# length plus the lifetime of a grant, which the overage covers; the slack covers the rest.
BURST_SLACK_SHARE = 0.5
# Share of the slack for returned tokens. A token that returns to a full bucket's tenant was
# charged to an earlier window, so that returns may add to the tokens used in a later one.
RETURN_SLACK_SHARE = 0.2
# Share of a bucket's tokens that a node may take for requests it only expects.
EXPECTED_SHARE = 0.25
# A node that was refused asks again after at least this time, in which tokens accumulate. With a
# small bucket it is shorter, so that the bucket does not overflow.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 1.0
MIN_WAIT_OF_FULL_BUCKET = 0.25
NOT_OWNER_WAIT_S = 0.1
IDLE_TIME_S = 60.0


def grant_lifetime_s(bound: QuotaBound) -> float:
    """Return the time after which a granted token may not be used any more."""
    return min(MAX_GRANT_LIFETIME, bound.window * bound.overage).total_seconds()


class _ShardBucket:
    """The bucket of a shard.

    :ivar returns: bounds the tokens that may be returned in a window
    """

    __slots__ = ("bucket", "returns", "used_at")

    def __init__(self, bucket: TokenBucket, returns: TokenBucket):
        self.bucket = bucket
        self.returns = returns
        self.used_at = bucket.updated_s


class ShardOwner:
    """Grants tokens of the shards that this node owns.

    A bucket starts with what its shard has earned since this node owns it.
    """

    def __init__(self, *, membership: Membership, bound: QuotaBound, now_s: float):
        self.membership = membership
        self.bound = bound
        self.tenants: dict[int, Tenant] = {}
        self.buckets: dict[tuple[int, int], _ShardBucket] = {}
        self.configured_at = now_s

    def apply_tenants(self, tenants: Iterable[Tenant], now_s: float) -> None:
        """Set the tenants that have a rate; changed limits apply at once."""
        limited = {tenant_key(tenant.name): tenant for tenant in tenants if tenant.rate_per_s > 0}
        if limited == self.tenants:
            return
        self.tenants = limited
        self.configured_at = now_s
        self.refresh(now_s)

    def apply_bound(self, bound: QuotaBound, now_s: float) -> None:
        """Set the bounds that the operator allows."""
        self.bound = bound
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Drop the buckets of other owners, and apply changed shares."""
        for key in list(self.buckets):
            tenant_id, index = key
            tenant = self.tenants.get(tenant_id)
            if tenant is None or not self._owns(tenant_id, index):
                del self.buckets[key]
                continue
            held = self.buckets[key]
            rate, burst = self._share(tenant)
            held.bucket.refill(now_s)
            held.bucket.change_limits(rate, burst)

    def answer(self, question: Question, now_s: float) -> Answer:
        """Answer a question for tokens."""
        tenant = self.tenants.get(question.tenant)
        shard = Shard(self.membership.zone, question.shard)
        if tenant is None or not self.membership.may_grant(question.tenant, shard, now_s):
            return Answer(0, _to_ms(NOT_OWNER_WAIT_S))
        held = self._bucket(tenant, question, now_s)
        held.used_at = now_s
        bucket = held.bucket
        bucket.refill(now_s)
        if question.returned:
            held.returns.refill(now_s)
            credit = min(question.returned, held.returns.tokens)
            held.returns.tokens -= credit
            bucket.put_back(credit)
        available = int(bucket.tokens)
        granted = min(question.need, available)
        expected = max(0, question.want - question.need)
        granted += min(expected, int((available - granted) * EXPECTED_SHARE))
        bucket.tokens -= granted
        if granted >= question.need:
            return Answer(granted)
        return Answer(granted, _to_ms(_wait_s(bucket)))

    def expire(self, now_s: float) -> None:
        """Drop the buckets that have not been used recently."""
        for key, held in list(self.buckets.items()):
            if now_s - held.used_at >= IDLE_TIME_S:
                del self.buckets[key]

    def left(self, now_s: float) -> dict[str, float]:
        """Return the tokens left in the buckets, by tenant."""
        left: dict[str, float] = {}
        for (tenant_id, _), held in self.buckets.items():
            name = self.tenants[tenant_id].name
            held.bucket.refill(now_s)
            left[name] = left.get(name, 0.0) + held.bucket.tokens
        return left

    def _bucket(self, tenant: Tenant, question: Question, now_s: float) -> _ShardBucket:
        key = question.tenant, question.shard
        held = self.buckets.get(key)
        if held is None:
            rate, burst = self._share(tenant)
            since = max(self.membership.changed_at, self.configured_at, now_s - IDLE_TIME_S)
            bucket = TokenBucket(rate=rate, burst=burst, now_s=now_s, tokens=rate * (now_s - since))
            window_s = self.bound.window.total_seconds()
            # Half at once, and half in the course of a window.
            half = self.bound.slack * RETURN_SLACK_SHARE / self.membership.shares / 2
            held = self.buckets[key] = _ShardBucket(
                bucket,
                TokenBucket(rate=half / window_s, burst=half, now_s=now_s, tokens=0.0),
            )
        return held

    def _share(self, tenant: Tenant) -> tuple[float, float]:
        """Return rate and burst of one shard."""
        shares = self.membership.shares
        burst = (tenant.burst + self.bound.slack * BURST_SLACK_SHARE) / shares
        return tenant.rate_per_s / shares, max(1.0, burst)

    def _owns(self, tenant_id: int, index: int) -> bool:
        membership = self.membership
        shard = Shard(membership.zone, index)
        if shard not in membership.shards(tenant_id):
            return False
        return membership.owner(tenant_id, shard) == membership.node


class ReplyCache:
    """The last reply to each node, for asks that are repeated because the reply was lost."""

    def __init__(self, *, lifetime_s: float):
        self.lifetime_s = lifetime_s
        self.replies: dict[Address, tuple[int, float, bytes]] = {}

    def find(self, node: Address, number: int, now_s: float) -> bytes | None:
        """Return the reply to the ask of this number, if it was sent recently."""
        reply = self.replies.get(node)
        if reply is None or reply[0] != number or now_s - reply[1] > self.lifetime_s:
            return None
        return reply[2]

    def put(self, node: Address, number: int, now_s: float, data: bytes) -> None:
        """Keep a reply."""
        self.replies[node] = number, now_s, data

    def expire(self, now_s: float) -> None:
        """Drop replies that are not repeated any more."""
        for node, (_, sent_at, _) in list(self.replies.items()):
            if now_s - sent_at > self.lifetime_s:
                del self.replies[node]


def _wait_s(bucket: TokenBucket) -> float:
    """Return the time after which a refused node asks again."""
    pause = min(MIN_WAIT_S, MIN_WAIT_OF_FULL_BUCKET * bucket.burst / bucket.rate)
    return min(MAX_WAIT_S, max(bucket.wait_s(), pause))


def _to_ms(wait_s: float) -> int:
    return min(MAX_WAIT_MS, max(1, round(wait_s * 1000)))
