"""Quotas that hold over all nodes: asks the owners of shards for tokens, and answers others."""

import random
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.mesh.model import Address
from almondshore.mesh.settings import QuotaBound
from almondshore.quotas.membership import HELLO_INTERVAL_S, Membership, Shard
from almondshore.quotas.messages import (
    MAX_QUESTIONS,
    Answer,
    Ask,
    Hello,
    Reply,
    decode,
    encode,
)
from almondshore.quotas.owner import IDLE_TIME_S, ReplyCache, ShardOwner, grant_lifetime_s
from almondshore.quotas.port import Granted, Limited, QuotaClient
from almondshore.quotas.stock import MAX_RETRY_AFTER_S, OnDecision, TenantCounts, TenantStock
from almondshore.quotas.transport import QuotaNetwork
from almondshore.tenants.table import Tenant

REPLY_TIMEOUT_S = 0.03
ATTEMPTS = 2
# An owner that did not respond is not asked for this time.
SILENT_TIME_S = 1.0
# Requests of a tenant that wait for tokens at the same time; further ones are refused.
MAX_WAITING = 2_000
EXPIRE_EVERY_TICKS = 40
MAX_COUNTED_TENANTS = 200
OTHER_TENANTS = "other"
MIN_LOG_INTERVAL_S = 1.0


class TenantQuota(NamedTuple):
    """State of a tenant's quota at this node, for the metrics.

    :ivar used: requests granted since the start of the process, less those that did not run
    :ivar refused: requests refused since the start of the process
    :ivar left: tokens in the stock and in the buckets that this node owns
    """

    used: int
    refused: int
    left: float


class _Pending:
    """An ask without a reply.

    :ivar asked_at: time of the first attempt, from which the lifetime of the grants counts
    """

    __slots__ = ("owner", "items", "data", "asked_at", "attempts")

    def __init__(
        self, owner: Address, items: list[tuple[TenantStock, Shard]], data: bytes, asked_at: float
    ):
        self.owner = owner
        self.items = items
        self.data = data
        self.asked_at = asked_at
        self.attempts = 1


class DistributedQuota(QuotaClient):
    """Takes tokens from the shards of a tenant's quota.

    :param node: address of this node on the network of the quotas
    :ivar silent: owners that did not respond, and the times until which they are not asked
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: QuotaNetwork,
        node: Address,
        zone: str,
        bound: QuotaBound,
    ):
        self.clock = clock
        self.rng = rng
        self.network = network
        self.node = node
        now_s = self._now()
        self.lifetime_s = grant_lifetime_s(bound)
        self.membership = Membership(
            rng=rng, node=node, zone=zone, now_s=now_s, send=self._send_hello
        )
        self.owner = ShardOwner(membership=self.membership, bound=bound, now_s=now_s)
        self.membership.on_change = self._on_membership_change
        self.stocks: dict[str, TenantStock] = {}
        self.counts: dict[str, TenantCounts] = {}
        self.batches: dict[Address, list[tuple[TenantStock, Shard]]] = {}
        self.pending: dict[int, _Pending] = {}
        self.silent: dict[Address, float] = {}
        self.replies = ReplyCache(lifetime_s=ATTEMPTS * REPLY_TIMEOUT_S)
        # A reply to an earlier process of this node does not match the numbers of this one.
        self.number = rng.getrandbits(32)
        self.nodes: list[tuple[Address, str]] | None = None
        self.active = False
        self.ticks = 0
        self.malformed = 0
        self.malformed_logged_at = float("-inf")
        network.on_datagram = self.on_datagram

    def take(self, tenant: Tenant, on_decision: OnDecision) -> None:
        """Take a token for a request from the stock, or ask the owners of the tenant's shards."""
        now_s = self.clock.monotonic().total_seconds()
        stock = self.stocks.get(tenant.name)
        if stock is None:
            stock = self._add_stock(tenant, now_s)
        if stock.take(now_s):
            stock.counts.used += 1
            on_decision(Granted())
        elif now_s < stock.refused_until or len(stock.waiting) >= MAX_WAITING:
            self._refuse(stock, on_decision, now_s)
        else:
            stock.waiting.append(on_decision)
            if not stock.asking:
                self._ask(stock, now_s)

    def give_back(self, tenant: Tenant, taken_at: timedelta | None = None) -> None:
        """Return the token of a request that was not served and will not run.

        :param taken_at: monotonic time at which it was taken; without it, the token cannot be used
            again at once
        """
        stock = self.stocks.get(tenant.name)
        if stock is not None:
            stock.give_back(taken_at.total_seconds() if taken_at else None, self._now())

    def apply_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Set the tenants of the configuration in force."""
        now_s = self._now()
        self.owner.apply_tenants(tenants, now_s)
        for stock in self.stocks.values():
            stock.refused_until = now_s
            stock.blocked.clear()
        if self.owner.tenants and not self.active:
            self.active = True
            self.membership.ticked_at = now_s
            self.network.open()
            if self.nodes is not None:
                self.membership.apply_nodes(self.nodes, now_s)
            self._tick()

    def apply_bound(self, bound: QuotaBound) -> None:
        """Set how far the tenants may exceed their quotas."""
        self.lifetime_s = grant_lifetime_s(bound)
        self.owner.apply_bound(bound, self._now())

    def apply_nodes(self, nodes: Iterable[tuple[Address, str]]) -> None:
        """Set the nodes of the directory with their zones, except for those that leave."""
        self.nodes = list(nodes)
        if self.active:
            self.membership.apply_nodes(self.nodes, self._now())

    def leave(self) -> None:
        """Give up the shards of this node; it may still take tokens."""
        if self.active:
            self.membership.leave(self._now())
        self.membership.leaving = True

    def tenant_quotas(self) -> dict[str, TenantQuota]:
        """Return the state by tenant; tenants beyond the first ones are summed up as one."""
        now_s = self._now()
        left = self.owner.left(now_s)
        for name, stock in self.stocks.items():
            if now_s < stock.expires_at:
                left[name] = left.get(name, 0.0) + stock.tokens
        other_left = sum(count for name, count in left.items() if name not in self.counts)
        quotas = {
            name: TenantQuota(counts.used, counts.refused, left.get(name, 0.0))
            for name, counts in self.counts.items()
        }
        if OTHER_TENANTS in quotas:
            other = quotas[OTHER_TENANTS]
            quotas[OTHER_TENANTS] = other._replace(left=other.left + other_left)
        return quotas

    def on_datagram(self, sender: Address, data: bytes) -> None:
        """Handle a datagram of another node; a malformed one is ignored."""
        try:
            message = decode(data)
        except msgspec.MsgspecError as error:
            self._log_malformed(sender, error)
            return
        now_s = self._now()
        if isinstance(message, Ask):
            self._on_ask(sender, message, now_s)
        elif isinstance(message, Reply):
            self._on_reply(sender, message, now_s)
        else:
            self.membership.on_hello(sender, message, now_s)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def _add_stock(self, tenant: Tenant, now_s: float) -> TenantStock:
        name = tenant.name if len(self.counts) < MAX_COUNTED_TENANTS else OTHER_TENANTS
        counts = self.counts.get(tenant.name) or self.counts.setdefault(name, TenantCounts())
        stock = TenantStock(tenant=tenant, counts=counts, now_s=now_s)
        self.stocks[tenant.name] = stock
        return stock

    def _ask(self, stock: TenantStock, now_s: float) -> None:
        """Ask owners in turn until no request waits, or a reply is awaited, or none has tokens."""
        while stock.waiting and not stock.asking:
            shard, owner = self._next_owner(stock, now_s)
            if shard is None:
                self._refuse_all(stock, now_s)
            elif owner == self.node:
                question = stock.question(shard, self.lifetime_s, now_s)
                answer = self.owner.answer(question, now_s)
                self._on_answer(stock, shard, answer, now_s + self.lifetime_s, now_s)
            else:
                stock.asking = True
                self._enqueue(owner, stock, shard)

    def _next_owner(
        self, stock: TenantStock, now_s: float
    ) -> tuple[Shard, Address] | tuple[None, None]:
        """Return the first shard whose owner may have tokens."""
        until = now_s + MAX_RETRY_AFTER_S
        for shard in self.membership.shards(stock.key):
            blocked_until = stock.blocked.get(shard, now_s)
            owner = self.membership.owner(stock.key, shard)
            if owner is None:
                continue
            blocked_until = max(blocked_until, self.silent.get(owner, now_s))
            if blocked_until <= now_s:
                if owner in self.silent:
                    # Until it responds, only one ask at a time waits for it.
                    self.silent[owner] = now_s + SILENT_TIME_S
                return shard, owner
            until = min(until, blocked_until)
        stock.refused_until = until
        return None, None

    def _enqueue(self, owner: Address, stock: TenantStock, shard: Shard) -> None:
        batch = self.batches.get(owner)
        if batch is None:
            batch = self.batches[owner] = []
            self.network.call_later(0, lambda: self._flush(owner))
        batch.append((stock, shard))

    def _flush(self, owner: Address) -> None:
        """Send the questions to an owner that came up in one turn of the hub."""
        batch = self.batches.pop(owner)
        now_s = self._now()
        for start in range(0, len(batch), MAX_QUESTIONS):
            items = batch[start : start + MAX_QUESTIONS]
            questions = tuple(
                stock.question(shard, self.lifetime_s, now_s) for stock, shard in items
            )
            self.number = number = (self.number + 1) % 2**32
            data = encode(Ask(number, questions))
            self.pending[number] = _Pending(owner, items, data, now_s)
            self._send_ask(number)

    def _send_ask(self, number: int) -> None:
        pending = self.pending[number]
        self.network.send(pending.owner, pending.data)
        self.network.call_later(REPLY_TIMEOUT_S, lambda: self._on_timeout(number))

    def _on_timeout(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is None:
            return
        if pending.attempts < ATTEMPTS:
            pending.attempts += 1
            self._send_ask(number)
            return
        del self.pending[number]
        now_s = self._now()
        owner = pending.owner
        if owner not in self.silent:
            log_event("quota_owner_silent", level="WARNING", peer=f"{owner[0]}:{owner[1]}")
        self.silent[owner] = now_s + SILENT_TIME_S
        for stock, _ in pending.items:
            stock.asking = False
            self._ask(stock, now_s)

    def _on_ask(self, sender: Address, ask: Ask, now_s: float) -> None:
        data = self.replies.find(sender, ask.number, now_s)
        if data is None:
            answers = tuple(self.owner.answer(question, now_s) for question in ask.questions)
            data = encode(Reply(ask.number, answers))
            self.replies.put(sender, ask.number, now_s, data)
        self.network.send(sender, data)

    def _on_reply(self, sender: Address, reply: Reply, now_s: float) -> None:
        pending = self.pending.get(reply.number)
        if pending is None or pending.owner != sender:
            return
        if len(reply.answers) != len(pending.items):
            self._log_malformed(sender, "wrong number of answers")
            return
        del self.pending[reply.number]
        if self.silent.pop(sender, None) is not None:
            log_event("quota_owner_responds", peer=f"{sender[0]}:{sender[1]}")
        expires_at = pending.asked_at + self.lifetime_s
        for (stock, shard), answer in zip(pending.items, reply.answers, strict=True):
            stock.asking = False
            self._on_answer(stock, shard, answer, expires_at, now_s)
            self._ask(stock, now_s)

    def _on_answer(
        self, stock: TenantStock, shard: Shard, answer: Answer, expires_at: float, now_s: float
    ) -> None:
        stock.add(answer.granted, expires_at, now_s)
        if answer.wait_ms:
            # Nodes that are refused together do not all ask again at the same time.
            wait_s = answer.wait_ms / 1000 * (1.0 + self.rng.random() / 4)
            stock.blocked[shard] = now_s + wait_s
        else:
            stock.blocked.pop(shard, None)
        while stock.waiting and stock.use(now_s):
            stock.counts.used += 1
            _decide(stock.waiting.popleft(), Granted())

    def _refuse_all(self, stock: TenantStock, now_s: float) -> None:
        waiting = list(stock.waiting)
        stock.waiting.clear()
        for on_decision in waiting:
            self._refuse(stock, on_decision, now_s)

    def _refuse(self, stock: TenantStock, on_decision: OnDecision, now_s: float) -> None:
        stock.counts.refused += 1
        if now_s - stock.logged_at >= MIN_LOG_INTERVAL_S:
            stock.logged_at = now_s
            log_event(
                "quota_refused",
                tenant=stock.tenant.name,
                refused=stock.counts.refused,
                used=stock.counts.used,
                demand_per_s=round(stock.demand, 1),
                shards_refusing=sum(until > now_s for until in stock.blocked.values()),
                owners_silent=sum(until > now_s for until in self.silent.values()),
            )
        retry_after = stock.retry_after(stock.refused_until, now_s, self.rng.random())
        _decide(on_decision, Limited(retry_after))

    def _on_membership_change(self) -> None:
        now_s = self._now()
        self.owner.refresh(now_s)
        for stock in self.stocks.values():
            stock.refused_until = now_s
            stock.blocked.clear()

    def _send_hello(self, node: Address, hello: Hello) -> None:
        self.network.send(node, encode(hello))

    def _tick(self) -> None:
        self.network.call_later(HELLO_INTERVAL_S, self._tick)
        now_s = self._now()
        self.membership.tick(now_s)
        self.ticks += 1
        if self.ticks % EXPIRE_EVERY_TICKS == 0:
            self.owner.expire(now_s)
            self.replies.expire(now_s)
            for name, stock in list(self.stocks.items()):
                if stock.is_idle(now_s, IDLE_TIME_S):
                    del self.stocks[name]

    def _log_malformed(self, sender: Address, error: object) -> None:
        self.malformed += 1
        now_s = self._now()
        if now_s - self.malformed_logged_at >= MIN_LOG_INTERVAL_S:
            self.malformed_logged_at = now_s
            log_event(
                "quota_message_malformed",
                level="WARNING",
                peer=f"{sender[0]}:{sender[1]}",
                error=error,
                total=self.malformed,
            )


def _decide(on_decision: OnDecision, decision: Granted | Limited) -> None:
    """Pass a decision on; an error in the handling of one request does not affect the others."""
    try:
        on_decision(decision)
    except Exception as error:
        log_event("quota_decision_failed", level="ERROR", error=repr(error))
