"""Evacuation of the zone of this node."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from almondshore.core.logs import log_event
from almondshore.mesh.model import WarmupLimit

# Reason for which requests for the targets of an evacuated zone are refused.
ZONE_EVACUATED = "zone-evacuated"


class OwnZone:
    """Tells when the zone of the local target is evacuated, and when that ends.

    :param zones: returns the zones of this node and of its target, which are usually the same
    :ivar evacuated: whether the zone is evacuated
    :ivar on_begin: called when the evacuation begins
    :ivar on_end: called when it ends
    """

    def __init__(self, *, zones: Callable[[], Iterable[str]]):
        self.zones = zones
        self.evacuated = False
        self.on_begin: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None

    def update(self, evacuated_zones: frozenset[str]) -> None:
        """Apply the set of evacuated zones."""
        evacuated = not evacuated_zones.isdisjoint(self.zones())
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        log_event("own_zone_evacuated" if evacuated else "own_zone_returned")
        (self.on_begin if evacuated else self.on_end)()


def return_delay(limit: WarmupLimit, *, nodes: int, rng: random.Random) -> timedelta:
    """Return the time after which this node sends its first request to a target that has returned.

    Without it, all nodes would send to a target that they know nothing of at the same moment, and
    most of their requests would be refused. The first response tells each node of the limit.

    :param nodes: number of nodes that may send to the target
    """
    return min(limit.time, timedelta(seconds=nodes / limit.rate_per_s)) * rng.random()
