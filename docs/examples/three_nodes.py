"""Simulates three nodes in two zones on one manual clock; all learn of a version and a target."""

import random
import sys
from collections import deque
from datetime import timedelta

from almondshore.core.clock import Clock, ManualClock
from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.core.messages import Send
from almondshore.daemon.node import Node
from almondshore.relay.control import Identity
from almondshore.rules.check import check_rules
from almondshore.rules.compile import compile_rules
from almondshore.storage.port import Platform
from almondshore.versions.publish import Publisher
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

ZONES = {"10.0.1.1": "zone-a", "10.0.1.2": "zone-a", "10.0.2.1": "zone-b"}
RULES = b"""\
service counter-app version v1  # Anna: base
route GET /schedule/* to counter-app class urgent timeout 2s  # Marco: shopkeepers look up
"""
STEP = timedelta(milliseconds=100)
ANNOUNCE_INTERVAL = timedelta(seconds=2)


def publish(platform: Platform, clock: Clock, text: bytes) -> int:
    """Check a rules file and publish it as the first version.

    :return: the number of the version
    :raises InvalidInputError: if the rules have findings
    """
    findings = FindingList(file="rules.txt")
    rules = check_rules(text, now=clock.now(), findings=findings)
    if findings:
        raise InvalidInputError(findings.sorted())
    publisher = Publisher(platform=platform)
    base = publisher.current().unwrap()
    published = publisher.publish(
        base=base,
        base_parts={},
        parts=compile_rules(rules, version=base.head.version + 1, now=clock.now(), previous={}),
        rules=text,
        author="anna",
        reason="first installation",
        at=clock.now(),
    )
    return published.unwrap().version


class Simulation:
    """Runs nodes on one clock and delivers their messages in order and without loss.

    :ivar nodes: nodes by control address
    :ivar queue: sender and message of each message not yet delivered
    :ivar delivered: number of delivered messages
    """

    def __init__(self, *, seed: int):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.platform = MemoryPlatform(store=ObjectStore(clock=self.clock))
        self.nodes: dict[str, Node] = {}
        self.queue: deque[tuple[str, Send]] = deque()
        self.delivered = 0

    def add(self, ip: str, zone: str) -> Node:
        """Create a node that knows the control addresses of the nodes created before it."""
        control = f"{ip}:7402"
        node = Node(
            clock=self.clock,
            rng=random.Random(self.rng.getrandbits(64)),
            identity=Identity(f"node-{ip}", 1, zone, control, f"{ip}:7401"),
            platform=self.platform,
            seeds=list(self.nodes),
            max_tenants=100,
        )
        self.nodes[control] = node
        return node

    def send(self, sender: str, sends: list[Send]) -> None:
        """Queue the messages of a node for delivery."""
        self.queue.extend((sender, item) for item in sends)

    def step(self) -> None:
        """Run what is due at each node, deliver all messages and advance the clock."""
        for address, node in self.nodes.items():
            self.send(address, node.platform_step())
            node.watch_step()
            self.send(address, node.coordinate())
            self.send(address, node.tick())
        while self.queue:
            sender, item = self.queue.popleft()
            if item.to in self.nodes:
                self.delivered += 1
                self.send(item.to, self.nodes[item.to].handle(item.message, sender))
        self.clock.advance(STEP)

    def run(self, duration: timedelta) -> None:
        """Run steps for a duration of the manual clock."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.step()


def announce(simulation: Simulation, node: Node) -> None:
    """Register or renew the target on a node's host and publish the change to the other nodes."""
    records = node.control.local.announce(
        target="counter-1", service="counter-app", version="v1", slots=10
    )
    simulation.send(node.identity.control, node.control.announce(records))


def run(seed: int = 1) -> Simulation:
    """Run the example and return the simulation with its nodes."""
    simulation = Simulation(seed=seed)
    publish(simulation.platform, simulation.clock, RULES)
    for ip, zone in ZONES.items():
        simulation.add(ip, zone)
    simulation.run(timedelta(seconds=20))
    first = next(iter(simulation.nodes.values()))
    for _ in range(3):
        announce(simulation, first)
        simulation.run(ANNOUNCE_INTERVAL)
    return simulation


def main() -> None:
    """Run the example and print the state of each node."""
    simulation = run()
    for address, node in simulation.nodes.items():
        version = node.control.config.state.current.version
        targets = sorted(node.control.directory.records)
        routed = sorted(node.current_routes().weights)
        sys.stdout.write(
            f"{address} {node.identity.zone} ready={node.ready} version={version} "
            f"targets={targets} routed={routed} relay={node.control.relay is not None}\n"
        )
    sys.stdout.write(f"messages delivered: {simulation.delivered}\n")


if __name__ == "__main__":
    main()
