"""Ownership of idempotency keys, and what an owner may conclude about keys without a record."""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from almondshore.core import rendezvous
from almondshore.core.clock import Clock

RETENTION = timedelta(hours=24)
# Time after its start in which a node treats what earlier owners ran as unknown. It covers the 3 s
# in which a change of the membership reaches every node.
WARM_UP = timedelta(seconds=5)
# Time in which every node learns that the platform has become available and writes its marker.
PLATFORM_SETTLE_TIME = timedelta(seconds=10)
# Less than the 6 s after which a node without contact may be declared dead: for this long after its
# last contact, no other node can have taken over its keys.
CONTACT_MAX_AGE = timedelta(seconds=5)


class KeyHistory(Enum):
    """What a node knows about earlier runs of a key that it has no record of."""

    NOT_OWNER = "not-owner"
    # The key has not run: this node would know of any run by an earlier owner.
    COMPLETE = "certain"
    # A departed owner may have run the key. Winning its claim in the platform proves that it has
    # not.
    CLAIM_NEEDED = "claim-needed"
    # It is not known yet which keys earlier owners have run.
    INCOMPLETE = "unsettled"
    # An earlier owner died and may have run the key without a claim.
    DOUBTFUL = "doubtful"


class Departure(NamedTuple):
    """A node that kept records and has left or died.

    :ivar ago_s: seconds since it was removed from the members
    :ivar doubtful: whether it may have run keys without a claim
    """

    node: str
    ago_s: float
    doubtful: bool


class Ownership:
    """Current and former nodes that keep the records of one service's idempotency keys.

    The owner of a key is the first of the service's nodes in rendezvous order. A node that starts
    takes over the records of its keys from the live nodes. For departed nodes it relies on the
    claims and markers in the platform.

    :ivar departed: nodes that have left or died, with the time at which each was removed
    :ivar doubtful: those of them that may have run keys without a claim
    :ivar awaiting_handover: live nodes that have not handed over their records yet
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        new_identity: bool = True,
        retention: timedelta = RETENTION,
        warm_up: timedelta = WARM_UP,
        settle_time: timedelta = PLATFORM_SETTLE_TIME,
        contact_max_age: timedelta = CONTACT_MAX_AGE,
    ):
        """Start with this node as the only member.

        :param node: identity of this node among the members
        :param new_identity: whether no earlier process had this identity; otherwise that process
            counts as a doubtful owner that died now
        """
        self.clock = clock
        self.node = node
        self.retention = retention
        self.warm_up = warm_up
        self.settle_time = settle_time
        self.contact_max_age = contact_max_age
        self.members: frozenset[str] = frozenset((node,))
        self.departed: dict[str, timedelta] = {}
        self.doubtful: set[str] = set()
        self.awaiting_handover: set[str] = set()
        # Nodes that handed over their records, with the time at which each began to keep records.
        self.received_handovers: dict[str, timedelta] = {}
        # Nodes that started after this one, so that they cannot have owned a key before it.
        self.started_later: set[str] = set()
        self.platform_up_since: timedelta | None = None
        self.recording_since = self.last_contact = clock.monotonic()
        if not new_identity:
            self.departed[node] = self.recording_since
            self.doubtful.add(node)

    def note_platform_state(self, up: bool) -> None:
        """Note whether the relays report the platform as available."""
        if not up:
            self.platform_up_since = None
        elif self.platform_up_since is None:
            self.platform_up_since = self.clock.monotonic()

    def note_contact(self) -> None:
        """Note an acknowledged heartbeat, which shows that this node is not declared dead."""
        self.last_contact = self.clock.monotonic()

    def update(self, members: Iterable[str], left: Iterable[str] = ()) -> None:
        """Set the nodes that keep records, and note departures.

        :param members: identities of the service's live nodes
        :param left: nodes that left gracefully, after all their runs were claimed
        """
        now = self.clock.monotonic()
        current = frozenset(members) | {self.node}
        left_gracefully = frozenset(left)
        for name in self.members - current:
            self.note_departure(
                Departure(name, 0.0, name not in left_gracefully and not self.is_platform_settled())
            )
        if now - self.recording_since < self.warm_up:
            self.awaiting_handover |= current - self.members - self.received_handovers.keys()
        else:
            self.started_later |= current - self.members - self.departed.keys()
        self.awaiting_handover &= current
        self.members = current
        for name in [name for name, at in self.departed.items() if now - at >= self.retention]:
            del self.departed[name]
            self.doubtful.discard(name)
        self.started_later &= current | self.departed.keys()

    def note_departure(self, departure: Departure) -> None:
        """Add a departed node.

        If it is already known, the later time is kept, and it stays doubtful once it was.
        """
        at = self.clock.monotonic() - timedelta(seconds=departure.ago_s)
        self.departed[departure.node] = max(at, self.departed.get(departure.node, at))
        if departure.doubtful:
            self.doubtful.add(departure.node)

    def departures(self) -> list[Departure]:
        """Return the departed nodes, to be sent to a node that starts."""
        now = self.clock.monotonic()
        return [
            Departure(name, (now - at).total_seconds(), name in self.doubtful)
            for name, at in self.departed.items()
        ]

    def age(self) -> timedelta:
        """Return the time for which this node has kept records without interruption."""
        return self.clock.monotonic() - self.recording_since

    def note_handover(self, sender: str, age: timedelta) -> None:
        """Note that a live node has handed over the records of this node's keys.

        :param age: how long the sender has kept records
        """
        self.received_handovers[sender] = self.clock.monotonic() - age
        self.awaiting_handover.discard(sender)

    def note_rejoin(self) -> None:
        """Note that others had declared this node dead and may have taken over its keys."""
        self.recording_since = self.clock.monotonic()
        self.received_handovers.clear()
        self.started_later.clear()
        self.awaiting_handover = set(self.members - {self.node})

    def owner(self, key: str) -> str:
        """Return the node that keeps the record of a key."""
        return rendezvous.choose(key, self.members) or self.node

    def history_of(self, key: str) -> KeyHistory:
        """Return what this node knows about earlier runs of a key that it has no record of."""
        if self.owner(key) != self.node:
            return KeyHistory.NOT_OWNER
        now = self.clock.monotonic()
        out_of_contact = now - self.last_contact >= self.contact_max_age
        if out_of_contact or self.awaiting_handover or now - self.recording_since < self.warm_up:
            return KeyHistory.INCOMPLETE
        former = self.former_owners(key)
        if not former:
            return KeyHistory.COMPLETE
        if not self.doubtful.isdisjoint(former):
            return KeyHistory.DOUBTFUL
        return KeyHistory.CLAIM_NEEDED

    def former_owners(self, key: str) -> list[str]:
        """Return the departed nodes that may have run a key that this node owns now."""
        if not self.departed:
            return []
        ranked = rendezvous.rank(key, {self.node, *self.departed, *self.received_handovers})
        rank = {name: position for position, name in enumerate(ranked)}
        return [name for name in self.departed if self._may_have_owned(name, rank)]

    def _may_have_owned(self, name: str, rank: dict[str, int]) -> bool:
        """Return whether a departed node may have owned a key before this node.

        A node that was a member at the same time as this one was the owner only if it ranks above
        it. A node that departed before it could hand over its records may have been the owner
        unless it ranks below a node that was a member when it left and has handed over its records.
        """
        if name == self.node:
            return True
        if name in self.started_later or name in self.received_handovers:
            return rank[name] < rank[self.node]
        departed_at = self.departed[name]
        return all(
            rank[name] < rank[other]
            for other, since in self.received_handovers.items()
            if since < departed_at
        )

    def is_platform_settled(self) -> bool:
        """Return whether the platform has been up long enough for all nodes' markers."""
        if self.platform_up_since is None:
            return False
        return self.clock.monotonic() - self.platform_up_since >= self.settle_time
