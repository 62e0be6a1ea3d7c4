"""Which nodes are in contact: undisturbed for a while, with the store in reach."""

from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from soak.host import Host

# The bound `contact_s`.
CONTACT_TIME = timedelta(seconds=3)
SAMPLE_INTERVAL = timedelta(seconds=0.05)
# The store runs in the process of the soak: if the process stalls for longer than this, no node
# reaches the store meanwhile.
MAX_STALL = timedelta(seconds=0.25)
# Allowed beyond each bound: the stand-ins run in one process with all callers, and observe a
# request some time after it arrives.
OBSERVATION_MARGIN = timedelta(seconds=0.5)


class ContactTracker:
    """Remembers when each node was disturbed last; a node that was never observed is disturbed.

    :ivar disturbed_at: monotonic time of the last disturbance, by node
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.disturbed_at: dict[str, timedelta] = {}
        self.sampled_at = clock.monotonic()

    def disturb(self, node: str) -> None:
        """Record that a node is disturbed now."""
        self.disturbed_at[node] = self.clock.monotonic()

    def sample(self, hosts: Iterable[Host], *, store_reachable: bool) -> None:
        """Record the disturbed nodes; to be called every ``SAMPLE_INTERVAL``."""
        now = self.clock.monotonic()
        stalled = now - self.sampled_at > SAMPLE_INTERVAL + MAX_STALL
        self.sampled_at = now
        for host in hosts:
            if stalled or not store_reachable or not host.has_contact():
                self.disturb(host.name)

    def in_contact_since(self, node: str, since: timedelta) -> bool:
        """Return whether a node has been in contact at all times from ``since`` until now."""
        disturbed_at = self.disturbed_at.get(node)
        return disturbed_at is not None and disturbed_at + CONTACT_TIME <= since

    def in_contact(self, node: str) -> bool:
        """Return whether a node is in contact now."""
        return self.in_contact_since(node, self.clock.monotonic())
