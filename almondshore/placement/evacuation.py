"""Effects of evacuated zones on the node: on its own target, and on its choice of others."""

import random
from collections.abc import Callable, Collection
from datetime import timedelta

from almondshore.core.logs import log_event
from almondshore.mesh.directory import Directory
from almondshore.mesh.model import Address, MeshConfig, WarmupLimit

# Longest time until a node may send to a target of a zone that has returned, if the length of the
# warm-up is not known. In a model of 64 targets, a longest time of 5 s led to 1.6 times as many
# refused requests as one of 8 s.
MAX_RETURN_DELAY = timedelta(seconds=10)
# Reason for which requests for the targets of an evacuated zone are refused.
ZONE_EVACUATED = "zone-evacuated"


class ZoneEvacuations:
    """Applies the set of evacuated zones.

    :param node: address of this node
    :param own_zones: returns the zones of this node and of its target, usually one
    :param config: returns the configuration in effect
    :ivar own_evacuated: whether the local target gets no more requests
    :ivar on_begin: called when the evacuation of the own zone begins
    :ivar on_end: called when it ends
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        directory: Directory,
        node: Address,
        own_zones: Callable[[], Collection[str]],
        config: Callable[[], MeshConfig | None],
    ):
        self.rng = rng
        self.directory = directory
        self.node = node
        self.own_zones = own_zones
        self.config = config
        self.own_evacuated = False
        self.on_begin: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None

    def apply(self, zones: frozenset[str]) -> None:
        """Apply a changed set of evacuated zones."""
        returned = self.directory.evacuated_zones - zones
        self.directory.evacuated_zones = zones
        self.update_own_zone()
        if returned:
            self._delay_returned_targets(returned)

    def update_own_zone(self) -> None:
        """Begin or end the evacuation of the local target; to be called when its zone is known."""
        evacuated = not self.directory.evacuated_zones.isdisjoint(self.own_zones())
        if evacuated == self.own_evacuated:
            return
        self.own_evacuated = evacuated
        log_event("own_zone_evacuated" if evacuated else "own_zone_returned")
        (self.on_begin if evacuated else self.on_end)()

    def _delay_returned_targets(self, zones: frozenset[str]) -> None:
        """Spread the first requests of all nodes to the targets of zones that have returned."""
        config = self.config()
        if config is None or not config.warmups:
            return
        targets = self.directory.targets.values()
        nodes = len({target.node for target in targets})
        for target in targets:
            limit = config.warmups.get(target.service)
            if limit is not None and target.zone in zones and target.node != self.node:
                delay = return_delay(limit, nodes=nodes, rng=self.rng)
                self.directory.delay_target(target.target, delay)


def return_delay(limit: WarmupLimit, *, nodes: int, rng: random.Random) -> timedelta:
    """Return the time after which this node sends its first request to a target that has returned.

    Without it, all nodes would send to a target that they know nothing of at the same moment, and
    most of their requests would be refused. The first response tells each node of the limit.

    :param nodes: number of nodes that may send to the target
    """
    longest = limit.time or MAX_RETURN_DELAY
    spread_s = min(longest.total_seconds(), nodes / limit.rate_per_s)
    return timedelta(seconds=spread_s) * rng.random()
