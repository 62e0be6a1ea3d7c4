"""Simulated fleet of control nodes with one target each, for benchmarks and failure tests."""

import random
from collections.abc import Iterable
from datetime import timedelta

from almondshore.relay.control import ControlLimits, ControlNode
from almondshore.rules.compile import encode_part
from almondshore.rules.model import RoutePart, ServicePart
from almondshore.versions.publish import Publisher
from almondshore.versions.view import RoutingView, ViewBuilder
from bench.meter import Meter
from bench.pump import Pump
from standins.memory_platform import MemoryPlatform

STEPS_PER_ANNOUNCEMENT = 10
SEEDS_PER_NODE = 6
ROUTES_PER_SERVICE = 2
NODES_PER_SERVICE = 7


def make_part(name: str, *, version: str = "v1", salt: str = "") -> bytes:
    """Return the encoded configuration part of a service with a few routes.

    :param salt: part of each path; a different salt gives a different part
    """
    routes = [
        RoutePart(
            methods=["GET"],
            path=f"/{name}/{number}/{salt}*",
            request_class="routine",
            once=False,
            timeout_ms=2000,
        )
        for number in range(ROUTES_PER_SERVICE)
    ]
    return encode_part(
        ServicePart(name=name, version=version, routes=routes, move=None, allowed={})
    )


class Fleet:
    """Control nodes in several zones, an in-memory platform, and a publisher of configuration.

    :ivar zones: names of the zones, alternately in one of two regions
    :ivar slots: slot counts of targets, where not the default, by address of the target's node
    :ivar seeds: addresses of all nodes added so far
    """

    def __init__(
        self,
        *,
        seed: int,
        nodes: int,
        zones: int,
        drop_rate: float = 0.0,
        meter: Meter | None = None,
        limits: ControlLimits | None = None,
    ):
        self.rng = random.Random(seed)
        self.pump = Pump(seed=seed, drop_rate=drop_rate, meter=meter)
        self.zones = [f"region-{number % 2}-{number}" for number in range(zones)]
        self.limits = limits
        self.services = [f"service-{n}" for n in range(max(1, nodes // NODES_PER_SERVICE))]
        self.service_of: dict[str, str] = {}
        self.slots: dict[str, int] = {}
        self.views: dict[str, ViewBuilder] = {}
        self.parts = {f"service/{name}": make_part(name) for name in self.services}
        self.publisher = Publisher(platform=MemoryPlatform(store=self.pump.store))
        self.steps = 0
        self.next_index = 0
        self.seeds: list[str] = []
        for _ in range(nodes):
            self.add()
        self.publish({})

    @property
    def nodes(self) -> list[ControlNode]:
        """All running nodes."""
        return list(self.pump.nodes.values())

    @property
    def relays(self) -> list[ControlNode]:
        """The running nodes that act as relays."""
        return [node for node in self.nodes if node.relay is not None]

    def add(self, zone: str | None = None) -> ControlNode:
        """Start a node with one target; without a zone, zones are taken in turn."""
        index, self.next_index = self.next_index, self.next_index + 1
        zone = zone or self.zones[index % len(self.zones)]
        node = self.pump.add(index, zone, self.seeds[:SEEDS_PER_NODE], limits=self.limits)
        address = node.identity.control
        self.seeds.append(address)
        self.service_of[address] = self.services[index % len(self.services)]
        self.views[address] = ViewBuilder(state=node.config.state, directory=node.directory)
        return node

    def restart(self, addresses: Iterable[str]) -> None:
        """Replace nodes by new processes at the same addresses, without any state."""
        for address in addresses:
            old = self.pump.nodes[address]
            index = int(old.identity.node.removeprefix("node-"))
            node = self.pump.add(index, old.identity.zone, old.seeds, limits=self.limits)
            self.views[address] = ViewBuilder(state=node.config.state, directory=node.directory)

    def publish(self, changes: dict[str, bytes]) -> int:
        """Publish a new version of the configuration.

        :param changes: new or changed parts
        :return: number of the version
        """
        base = self.publisher.current().unwrap()
        old, self.parts = (self.parts if base.head.version else {}), {**self.parts, **changes}
        published = self.publisher.publish(
            base=base,
            base_parts=old,
            parts=self.parts,
            rules=str(base.head.version).encode(),
            author="bench",
            reason="bench",
            at=self.pump.clock.now(),
        )
        return published.unwrap().version

    def change_service(self) -> int:
        """Publish a change of a random service; returns the number of the new version."""
        name = self.rng.choice(self.services)
        salt = f"{self.rng.getrandbits(32):08x}"
        return self.publish({f"service/{name}": make_part(name, salt=salt)})

    def run(self, duration: timedelta) -> None:
        """Run for a simulated duration, in which the targets announce themselves."""
        end = self.pump.clock.monotonic() + duration
        while self.pump.clock.monotonic() < end:
            self.step()

    def step(self) -> None:
        """Run one step of the pump; each target announces itself every 2 s."""
        self.steps += 1
        for number, (address, node) in enumerate(list(self.pump.nodes.items())):
            if (
                address not in self.pump.paused
                and (number + self.steps) % STEPS_PER_ANNOUNCEMENT == 0
            ):
                self.pump.send(address, node.announce(self.announce(address, node)))
        self.pump.step()

    def announce(self, address: str, node: ControlNode) -> list:
        """Announce the local target of a node; returns the records that changed."""
        return node.local.announce(
            target=f"target-{node.identity.node}",
            service=self.service_of[address],
            version="v1",
            slots=self.slots.get(address, 10),
        )

    def nodes_at_version(self, version: int) -> int:
        """Return the number of nodes that have exactly this version in effect."""
        return sum(node.config.state.current.version == version for node in self.nodes)

    def run_until(self, condition, limit: timedelta) -> timedelta | None:
        """Run until a condition holds.

        :return: simulated time that passed, or None if the condition did not hold in time
        """
        start = self.pump.clock.monotonic()
        while not condition():
            if self.pump.clock.monotonic() - start >= limit:
                return None
            self.step()
        return self.pump.clock.monotonic() - start

    def is_converged(self, version: int) -> bool:
        """Return whether all nodes are ready, agree on the directory and have a version in effect.

        The directory has to list one target for each node.
        """
        nodes = self.nodes
        digest = nodes[0].directory.digest()
        return all(
            node.config.ready
            and node.config.state.current.version == version
            and node.directory.digest() == digest
            and len(node.directory.of_node(node.identity.node)) == 1
            for node in nodes
        )

    def view(self, address: str) -> RoutingView:
        """Return the effective routing view of a node."""
        return self.views[address].view()
