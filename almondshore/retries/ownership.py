"""Which node keeps the record of an idempotency key, and what that node may rely on."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum

from almondshore.core import rendezvous
from almondshore.core.clock import Clock

RETENTION = timedelta(hours=24)
# Covers the 3 s in which news of membership reaches every node, and the time in which an owner
# writes its marker after an outage.
SETTLE = timedelta(seconds=10)
# Less than the 6 s after which a silent node may be declared dead: within this time of its last
# contact no other node can have taken over its keys.
CONTACT_MAX_AGE = timedelta(seconds=5)


class Standing(Enum):
    """What a node without a record may conclude about a key."""

    NOT_OWNER = "not-owner"
    # The node has owned the key for the whole retention: no record means not run.
    CERTAIN = "certain"
    # An earlier owner may have run it: only the platform's claim proves that it did not.
    CLAIM_NEEDED = "claim-needed"
    # As above, but whether the claim may be trusted is not known yet.
    UNSETTLED = "unsettled"
    # An earlier owner died when it may have held runs without a claim.
    DOUBTFUL = "doubtful"


class Ownership:
    """History of the nodes that keep the records of one service's keys.

    The owner of a key is the first of the service's nodes in rendezvous order. Without a record,
    an owner has to rule out that an earlier owner ran the key: one that left within the
    retention, or one that was there before this node.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        new_identity: bool = False,
        retention: timedelta = RETENTION,
        settle: timedelta = SETTLE,
        contact_max_age: timedelta = CONTACT_MAX_AGE,
    ):
        """Start a history that begins now.

        :param node: identity of this node
        :param new_identity: whether no earlier process had this identity; otherwise that process
            counts as an earlier owner
        """
        self.clock = clock
        self.node = node
        self.new_identity = new_identity
        self.retention = retention
        self.settle = settle
        self.contact_max_age = contact_max_age
        self.members: frozenset[str] = frozenset((node,))
        self.departed: dict[str, timedelta] = {}
        self.doubtful: set[str] = set()
        self.since = clock.monotonic()
        self.up_since: timedelta | None = None
        self.last_contact = self.since
        self.started_settled: bool | None = None

    def platform_state(self, up: bool) -> None:
        """Take in what the relays report about the platform."""
        if not up:
            self.up_since = None
            if self.started_settled is None:
                self.started_settled = False
        elif self.up_since is None:
            self.up_since = self.clock.monotonic()
        if self.started_settled is None and self._is_settled():
            self.started_settled = True

    def contact(self) -> None:
        """Note an acknowledged heartbeat: this node is not declared dead."""
        self.last_contact = self.clock.monotonic()

    def update(self, members: Iterable[str], left: Iterable[str] = ()) -> None:
        """Set the nodes that keep records.

        :param members: identities of the service's live nodes
        :param left: nodes that have gone in order, with all their runs claimed
        """
        now = self.clock.monotonic()
        current = frozenset(members) | {self.node}
        clean = frozenset(left)
        for name in self.members - current:
            self.departed[name] = now
            if name not in clean and not self._is_settled():
                self.doubtful.add(name)
        # A node that comes back was replaced in between; it counts as an earlier owner until then.
        self.members = current
        for name in [name for name, at in self.departed.items() if now - at >= self.retention]:
            del self.departed[name]
            self.doubtful.discard(name)

    def rejoined(self) -> None:
        """Note that others had declared this node dead and may have taken over its keys."""
        self.since = self.clock.monotonic()

    def owner(self, key: str) -> str:
        """Return the node that keeps the record of a key."""
        return rendezvous.choose(key, self.members) or self.node

    def standing(self, key: str) -> Standing:
        """Return what this node may conclude from having no record of a key."""
        if self.owner(key) != self.node:
            return Standing.NOT_OWNER
        former = self.former_owners(key)
        if not former:
            in_contact = self.clock.monotonic() - self.last_contact < self.contact_max_age
            return Standing.CERTAIN if in_contact else Standing.UNSETTLED
        if self.doubtful.intersection(former) or (
            self.node in former and self.started_settled is False
        ):
            return Standing.DOUBTFUL
        young = self.clock.monotonic() - self.since < self.settle
        if young or not self._is_settled():
            return Standing.UNSETTLED
        return Standing.CLAIM_NEEDED

    def former_owners(self, key: str) -> list[str]:
        """Return the nodes that may have run a key of this node's before it did."""
        ranked = rendezvous.rank(key, self.members | self.departed.keys())
        position = ranked.index(self.node)
        former = ranked[:position]
        if self.clock.monotonic() - self.since < self.retention:
            former += ranked[position + 1 : position + 2]
            if not self.new_identity:
                former.append(self.node)
        return former

    def has_doubt(self) -> bool:
        """Tell whether keys of this node may have been run without a claim by one that died."""
        return bool(self.doubtful)

    def _is_settled(self) -> bool:
        if self.up_since is None:
            return False
        return self.clock.monotonic() - self.up_since >= self.settle
