"""Which node owns the shards of a tenant, and when it may act as the owner."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from almondshore.core.logs import log_event
from almondshore.core.rendezvous import rank
from almondshore.mesh.model import Address
from almondshore.quotas.messages import MAX_MEMBERS, MAX_ZONES, Hello

MIN_SHARDS = 2
MAX_SHARDS = 4
# A zone without nodes counts for this time, so that a larger share of the quota is used only after
# all nodes have noticed that there are fewer zones. Entries that are lost with a restored store are
# written again within this time.
ZONE_RETENTION_S = 6.0
# Nodes that start together learn of each other within this time.
START_HOLD_S = 0.5
HELLO_INTERVAL_S = 0.25
# One of the known nodes is greeted at this multiple of the interval, in turn: one that has started
# again may not see the entry of this node. In a zone of few nodes there may be no third one from
# which it could learn of it, so that the interval is shorter.
RECHECK_TICKS = 4
FEW_MEMBERS = 4
# Interval at which silent nodes are greeted, and nodes that have no entry in the directory.
SLOW_HELLO_INTERVAL_S = 2.0
# A node that has not answered for this time delays only the shards for which it is one of the next
# in rank. One of these is likely to be the owner so far; the second, if the first is new as well.
SILENCE_S = 1.0
NEXT_IN_RANK = 2
# The next in rank are taken to be gone after this time. The entry of a lost host remains for 10
# minutes, in which restarted owners would not have the shards for which it is next.
NEXT_SILENCE_S = 5.0
# A node that has no entry any more, or none yet, counts until it has been silent for this time.
UNLISTED_SILENCE_S = 10.0
# A process that has not run for this time may have missed that others took over its shards.
MAX_PAUSE_S = 1.0
MAX_CACHED_RANKS = 2_000
# Bounds the memory that greetings of made-up nodes can take.
MAX_UNLISTED = 500


class Shard(NamedTuple):
    """One of the equal parts of a tenant's quota.

    :ivar index: index among the shards of the zone
    """

    zone: str
    index: int


class _Member:
    """Another node of the zone.

    :ivar listed: whether it has an entry in the directory
    :ivar confirmed: whether it has confirmed that it knows this node
    :ivar left: whether it has given up its shards
    """

    __slots__ = ("listed", "confirmed", "left", "greeted_at", "first_greeted_at", "heard_at")

    def __init__(self, listed: bool, now_s: float):
        self.listed = listed
        self.confirmed = False
        self.left = False
        self.greeted_at = float("-inf")
        self.first_greeted_at: float | None = None
        self.heard_at = now_s


class Membership:
    """The nodes that share the shards, and the handover between them.

    A node acts as the owner of a shard if it ranks first among the nodes of the zone that it
    knows, and these have confirmed that they know it: from then on they do not act as the owner of
    a shard for which it ranks before them. Confirmations name the nodes that their sender knows,
    so that two nodes learn of each other from any third one.

    :param node: address of this node
    :param send: sends a message to a node
    :ivar joined: whether this node has had an entry; before, nodes of other zones would not find it
    :ivar changed_at: time since which the shards of this node are unchanged
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        node: Address,
        zone: str,
        now_s: float,
        send: Callable[[Address, Hello], None],
    ):
        self.rng = rng
        self.node = node
        self.zone = zone
        self.send = send
        self.members: dict[Address, _Member] = {}
        self.listed_nodes: frozenset[tuple[Address, str]] | None = None
        self.by_zone: dict[str, tuple[Address, ...]] = {}
        self.zones: tuple[str, ...] = ()
        self.shares = MIN_SHARDS
        # Times at which the zones without nodes stop to count.
        self.retained_zones: dict[str, float] = {}
        self.earlier_zones: tuple[str, ...] = ()
        self.zones_changed_at = now_s
        self.number = rng.getrandbits(32)
        self.changed_at = now_s
        self.ready_at: float | None = None
        self.ticked_at = now_s
        self.ticks = 0
        self.joined = False
        self.leaving = False
        self.ranks: dict[tuple[int, Shard], list[str]] = {}
        self.names: dict[str, Address] = {}
        self.on_change: Callable[[], None] = lambda: None

    def apply_nodes(self, nodes: Iterable[tuple[Address, str]], now_s: float) -> None:
        """Set the nodes of the directory, with their zones."""
        known = frozenset(nodes)
        if known == self.listed_nodes:
            return
        self.listed_nodes = known
        by_zone: dict[str, list[Address]] = {self.zone: []}
        for address, zone in sorted(known):
            by_zone.setdefault(zone, []).append(address)
        if self.ready_at is None:
            self.ready_at = now_s + START_HOLD_S
        listed = set(by_zone.pop(self.zone))
        self.joined = self.joined or self.node in listed
        listed.discard(self.node)
        for address in listed:
            member = self.members.get(address)
            if member is None:
                self.members[address] = _Member(True, now_s)
            else:
                member.listed = True
        for address in self.members.keys() - listed:
            member = self.members[address]
            if member.left:
                del self.members[address]
            elif member.listed:
                # It may still act as an owner: it is asked, and dropped if it does not respond.
                member.listed = False
                member.heard_at = now_s
                member.greeted_at = float("-inf")
        for zone in self.by_zone.keys() - by_zone.keys():
            self.retained_zones[zone] = now_s + ZONE_RETENTION_S
        self.by_zone = {zone: tuple(addresses) for zone, addresses in by_zone.items()}
        self._update(now_s)

    def tick(self, now_s: float) -> None:
        """Greet nodes where necessary; to be called every ``HELLO_INTERVAL_S``."""
        if now_s - self.ticked_at > MAX_PAUSE_S:
            # Answers to earlier greetings say nothing about what happened during the pause.
            self.number = self.rng.getrandbits(32)
            for member in self.members.values():
                member.confirmed = False
                member.first_greeted_at = None
                member.heard_at = now_s
                member.greeted_at = float("-inf")
            log_event("quota_owner_resumed", paused_s=round(now_s - self.ticked_at, 1))
            self._update(now_s)
        self.ticked_at = now_s
        if any(until <= now_s for until in self.retained_zones.values()):
            self._update(now_s)
        for address, member in list(self.members.items()):
            if not member.listed and now_s - member.heard_at >= UNLISTED_SILENCE_S:
                del self.members[address]
                self._update(now_s)
            elif self._is_greeting_due(member, now_s):
                self._greet(address, member, now_s)
        self._recheck()

    def on_hello(self, sender: Address, hello: Hello, now_s: float) -> None:
        """Handle the greeting of another node, or the answer to an earlier one."""
        if hello.zone != self.zone or sender == self.node:
            return
        member = self.members.get(sender)
        if member is None:
            if hello.leaving or not self._add_unlisted(sender, now_s):
                return
            member = self.members[sender]
        member.heard_at = now_s
        if member.left is not hello.leaving:
            member.left = hello.leaving
            self._update(now_s)
        if not hello.is_answer:
            self._answer(sender, hello)
        elif hello.number != self.number:
            # An earlier process of this node, or this one before a pause, has greeted its sender.
            self._greet(sender, member, now_s)
        elif now_s - self.ticked_at <= MAX_PAUSE_S:
            member.confirmed = True
        unknown_zones = set(hello.zones) - set(self.zones)
        if unknown_zones:
            for zone in unknown_zones:
                self.retained_zones[zone] = now_s + ZONE_RETENTION_S
            self._update(now_s)
        for address in hello.members:
            if address != self.node and address not in self.members:
                self._add_unlisted(address, now_s)

    def leave(self, now_s: float) -> None:
        """Give up all shards, and tell the nodes that take them over."""
        if self.leaving:
            return
        self.leaving = True
        for address in self.members:
            self.send(address, Hello(self.number, self.zone, False, True))
        self._update(now_s)

    def shards(self, tenant: int) -> list[Shard]:
        """Return the shards of a tenant, those of this zone first."""
        zones = _shard_zones(tenant, self.zones)
        if len(zones) <= 1:
            return [Shard(zone, index) for zone in zones for index in range(MIN_SHARDS)]
        # Tenants differ in the order of the other zones, which spreads the requests over them.
        others = rank(str(tenant), (zone for zone in zones if zone != self.zone))
        own = [Shard(self.zone, 0)] if self.zone in zones else []
        return own + [Shard(zone, 0) for zone in others]

    def owner(self, tenant: int, shard: Shard) -> Address | None:
        """Return the node that owns a shard according to the known nodes."""
        ranked = self._ranked(tenant, shard)
        return self.names[ranked[0]] if ranked else None

    def may_grant(self, tenant: int, shard: Shard, now_s: float) -> bool:
        """Return whether this node acts as the owner of a shard."""
        if self.leaving or self.ready_at is None or now_s < self.ready_at:
            return False
        if now_s - self.ticked_at > MAX_PAUSE_S:
            return False
        ranked = self._ranked(tenant, shard)
        if not ranked or self.names[ranked[0]] != self.node:
            return False
        if (
            len(self.zones) > MAX_SHARDS
            and now_s - self.zones_changed_at < ZONE_RETENTION_S
            and self.zone not in _shard_zones(tenant, self.earlier_zones)
        ):
            # The zone whose shard this one replaces may not know of it yet.
            return False
        next_nodes = [self.names[name] for name in ranked[1:]]
        for address, member in self.members.items():
            if member.confirmed or member.left:
                continue
            since = member.first_greeted_at
            limit_s = NEXT_SILENCE_S if address in next_nodes else SILENCE_S
            if since is None or now_s - since < limit_s:
                return False
        return True

    def _ranked(self, tenant: int, shard: Shard) -> list[str]:
        """Return the names of the nodes that rank first for a shard."""
        key = tenant, shard
        ranked = self.ranks.get(key)
        if ranked is None:
            if len(self.ranks) >= MAX_CACHED_RANKS:
                self.ranks.clear()
            if shard.zone == self.zone:
                nodes = [address for address, member in self.members.items() if not member.left]
                if self.joined and not self.leaving:
                    nodes.append(self.node)
            else:
                nodes = list(self.by_zone.get(shard.zone, ()))
            names = [f"{host}:{port}" for host, port in nodes]
            self.names.update(zip(names, nodes, strict=True))
            ranked = rank(f"{tenant}/{shard.zone}/{shard.index}", names)[: 1 + NEXT_IN_RANK]
            self.ranks[key] = ranked
        return ranked

    def _update(self, now_s: float) -> None:
        self.ranks.clear()
        self.names.clear()
        for zone, until in list(self.retained_zones.items()):
            if until <= now_s or zone in self.by_zone:
                del self.retained_zones[zone]
        zones = tuple(sorted({self.zone, *self.by_zone, *self.retained_zones}))
        if zones != self.zones:
            self.earlier_zones, self.zones = self.zones, zones
            self.zones_changed_at = now_s
        self.shares = max(MIN_SHARDS, min(MAX_SHARDS, len(zones)))
        self.changed_at = now_s
        self.on_change()

    def _add_unlisted(self, address: Address, now_s: float) -> bool:
        if sum(not member.listed for member in self.members.values()) >= MAX_UNLISTED:
            return False
        self.members[address] = _Member(False, now_s)
        self._update(now_s)
        return True

    def _sample_members(self) -> tuple[Address, ...]:
        """Return as many of the known nodes as fit into a message, those without entry first."""
        addresses = [address for address, member in self.members.items() if not member.left]
        self.rng.shuffle(addresses)
        addresses.sort(key=lambda address: self.members[address].listed)
        return tuple(addresses[:MAX_MEMBERS])

    def _answer(self, node: Address, hello: Hello) -> None:
        members, zones = (), ()
        if not hello.brief:
            members, zones = self._sample_members(), tuple(self.by_zone)[:MAX_ZONES]
        self.send(node, Hello(hello.number, self.zone, True, self.leaving, members, zones))

    def _recheck(self) -> None:
        """Greet one of the nodes that have confirmed this one."""
        self.ticks += 1
        if self.leaving or not self.joined:
            return
        confirmed = [address for address, member in self.members.items() if member.confirmed]
        interval = 1 if len(confirmed) <= FEW_MEMBERS else RECHECK_TICKS
        if confirmed and self.ticks % interval == 0:
            node = confirmed[self.ticks // interval % len(confirmed)]
            self.send(node, Hello(self.number, self.zone, brief=True))

    def _is_greeting_due(self, member: _Member, now_s: float) -> bool:
        if self.leaving or not self.joined or member.left or (member.listed and member.confirmed):
            return False
        since = member.first_greeted_at
        is_slow = member.confirmed or (since is not None and now_s - since >= NEXT_SILENCE_S)
        interval = SLOW_HELLO_INTERVAL_S if is_slow else HELLO_INTERVAL_S
        # Half of an interval of tolerance, so that a tick that is early does not skip a greeting.
        return now_s - member.greeted_at >= interval - HELLO_INTERVAL_S / 2

    def _greet(self, address: Address, member: _Member, now_s: float) -> None:
        member.greeted_at = now_s
        if member.first_greeted_at is None:
            member.first_greeted_at = now_s
        self.send(address, Hello(self.number, self.zone, False, self.leaving))


def _shard_zones(tenant: int, zones: tuple[str, ...]) -> list[str]:
    """Return the zones that have a shard of a tenant."""
    return list(zones) if len(zones) <= MAX_SHARDS else rank(str(tenant), zones)[:MAX_SHARDS]
