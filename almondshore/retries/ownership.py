"""Which node keeps the record of an idempotency key, and what that node may rely on."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from almondshore.core import rendezvous
from almondshore.core.clock import Clock

RETENTION = timedelta(hours=24)
# Covers the 3 s in which news of membership reaches every node.
WARM_UP = timedelta(seconds=5)
# Time in which every node learns that the platform is back and writes its marker.
PLATFORM_SETTLE_TIME = timedelta(seconds=10)
# Less than the 6 s after which a silent node may be declared dead: within this time of its last
# contact no other node can have taken over its keys.
CONTACT_MAX_AGE = timedelta(seconds=5)


class Standing(Enum):
    """What a node without a record may conclude about a key."""

    NOT_OWNER = "not-owner"
    # No earlier owner can have run the key without this node knowing of it.
    CERTAIN = "certain"
    # An owner that is gone may have run it: only the platform's claim proves that it did not.
    CLAIM_NEEDED = "claim-needed"
    # What earlier owners ran is not known yet.
    UNSETTLED = "unsettled"
    # An earlier owner died when it may have held runs without a claim.
    DOUBTFUL = "doubtful"


class Departure(NamedTuple):
    """A node that kept records and is gone.

    :ivar ago_s: seconds since it was removed
    :ivar doubtful: whether it may have held runs without a claim
    """

    node: str
    ago_s: float
    doubtful: bool


class Ownership:
    """History of the nodes that keep the records of one service's keys.

    The owner of a key is the first of the service's nodes in rendezvous order. A node that starts
    takes over the records of its keys from the live nodes; for nodes that are gone it relies on
    the platform.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        new_identity: bool = True,
        retention: timedelta = RETENTION,
        warm_up: timedelta = WARM_UP,
        settle: timedelta = PLATFORM_SETTLE_TIME,
        contact_max_age: timedelta = CONTACT_MAX_AGE,
    ):
        """Start a history that begins now.

        :param node: identity of this node among the members
        :param new_identity: whether no earlier process had this identity; if one had, it counts
            as an owner that died now
        """
        self.clock = clock
        self.node = node
        self.retention = retention
        self.warm_up = warm_up
        self.settle = settle
        self.contact_max_age = contact_max_age
        self.members: frozenset[str] = frozenset((node,))
        self.departed: dict[str, timedelta] = {}
        self.doubtful: set[str] = set()
        self.awaiting_handover: set[str] = set()
        # Nodes that handed over their records, with the time since which each kept records.
        self.received_handovers: dict[str, timedelta] = {}
        # Nodes that started after this one, hence never owned a key before it.
        self.later: set[str] = set()
        self.up_since: timedelta | None = None
        self.since = self.last_contact = clock.monotonic()
        if not new_identity:
            self.departed[node] = self.since
            self.doubtful.add(node)

    def note_platform_state(self, up: bool) -> None:
        """Take in what the relays report about the platform."""
        if not up:
            self.up_since = None
        elif self.up_since is None:
            self.up_since = self.clock.monotonic()

    def note_contact(self) -> None:
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
            self.note_departure(Departure(name, 0.0, name not in clean and not self.is_settled()))
        if now - self.since < self.warm_up:
            self.awaiting_handover |= current - self.members - self.received_handovers.keys()
        else:
            self.later |= current - self.members - self.departed.keys()
        self.awaiting_handover &= current
        self.members = current
        for name in [name for name, at in self.departed.items() if now - at >= self.retention]:
            del self.departed[name]
            self.doubtful.discard(name)
        self.later &= current | self.departed.keys()

    def note_departure(self, departure: Departure) -> None:
        """Add a node that is gone; the latest time and any doubt about it prevail."""
        at = self.clock.monotonic() - timedelta(seconds=departure.ago_s)
        self.departed[departure.node] = max(at, self.departed.get(departure.node, at))
        if departure.doubtful:
            self.doubtful.add(departure.node)

    def departures(self) -> list[Departure]:
        """Return the nodes that are gone, for a node that starts."""
        now = self.clock.monotonic()
        return [
            Departure(name, (now - at).total_seconds(), name in self.doubtful)
            for name, at in self.departed.items()
        ]

    def age(self) -> timedelta:
        """Return how long this node has kept records."""
        return self.clock.monotonic() - self.since

    def note_handover(self, sender: str, age: timedelta) -> None:
        """Note that a live node has handed over the records of this node's keys.

        :param age: how long the sender has kept records
        """
        self.received_handovers[sender] = self.clock.monotonic() - age
        self.awaiting_handover.discard(sender)

    def note_rejoin(self) -> None:
        """Note that others had declared this node dead and may have taken over its keys."""
        self.since = self.clock.monotonic()
        self.received_handovers.clear()
        self.later.clear()
        self.awaiting_handover = set(self.members - {self.node})

    def owner(self, key: str) -> str:
        """Return the node that keeps the record of a key."""
        return rendezvous.choose(key, self.members) or self.node

    def standing(self, key: str) -> Standing:
        """Return what this node may conclude from having no record of a key."""
        if self.owner(key) != self.node:
            return Standing.NOT_OWNER
        now = self.clock.monotonic()
        silent = now - self.last_contact >= self.contact_max_age
        if silent or self.awaiting_handover or now - self.since < self.warm_up:
            return Standing.UNSETTLED
        former = self.former_owners(key)
        if not former:
            return Standing.CERTAIN
        if not self.doubtful.isdisjoint(former):
            return Standing.DOUBTFUL
        return Standing.CLAIM_NEEDED

    def former_owners(self, key: str) -> list[str]:
        """Return the nodes that are gone and may have run a key of this node's."""
        if not self.departed:
            return []
        ranked = rendezvous.rank(key, {self.node, *self.departed, *self.received_handovers})
        rank = {name: position for position, name in enumerate(ranked)}
        return [name for name in self.departed if self._may_have_owned(name, rank)]

    def _may_have_owned(self, name: str, rank: dict[str, int]) -> bool:
        """Tell whether a node that is gone may have owned a key before this node.

        Beside this node it was the owner only if it ranks above it. If it was gone before it
        could hand over its records, it was the owner unless it ranks below a node that was there
        when it left, and that did hand over.
        """
        if name == self.node:
            return True
        if name in self.later or name in self.received_handovers:
            return rank[name] < rank[self.node]
        left = self.departed[name]
        return all(
            rank[name] < rank[other]
            for other, since in self.received_handovers.items()
            if since < left
        )

    def is_settled(self) -> bool:
        """Tell whether the platform has been up for long enough that markers are written."""
        if self.up_since is None:
            return False
        return self.clock.monotonic() - self.up_since >= self.settle
