"""Simulated network: runs control nodes in one process, with delayed and lost messages."""

import heapq
import random
import weakref
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.core.messages import Send
from almondshore.relay.control import ControlLimits, ControlNode, Identity
from almondshore.versions.publish import HEAD_KEY
from bench.meter import Meter, MeteredPlatform
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

STEP = timedelta(milliseconds=200)
MIN_DELAY = timedelta(milliseconds=1)
NODES_PER_SUBNET = 250


class Pump:
    """Runs control nodes on one manual clock and delivers their messages.

    :ivar drop_rate: share of the messages that are lost
    :ivar duplicate_rate: share of the messages that arrive twice
    :ivar max_jitter: longest random delay beyond ``MIN_DELAY``; it can reorder messages
    :ivar paused: addresses of nodes that do not run; messages to them are lost
    :ivar partitions: pairs of zones between which messages are lost
    :ivar queue: messages in transit: time of delivery, sequence number, sender, message
    """

    def __init__(self, *, seed: int, drop_rate: float = 0.0, meter: Meter | None = None):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)
        self.drop_rate = drop_rate
        self.duplicate_rate = 0.0
        self.max_jitter = MIN_DELAY
        self.meter = meter
        self.nodes: dict[str, ControlNode] = {}
        self.paused: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.queue: list[tuple[timedelta, int, str, Send]] = []
        self.sequence = 0
        self.message_counts: Counter[str] = Counter()
        self.watch_started: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    def add(
        self,
        index: int,
        zone: str,
        seeds: Iterable[str],
        *,
        limits: ControlLimits | None = None,
    ) -> ControlNode:
        """Start a node; its name and addresses are derived from its index."""
        control = f"10.0.{index // NODES_PER_SUBNET}.{index % NODES_PER_SUBNET}:7400"
        milliseconds = int(self.clock.now().timestamp() * 1000)
        address = control.replace(":7400", ":7401")
        identity = Identity(f"node-{index:05d}", milliseconds, zone, control, address)
        node = ControlNode(
            clock=self.clock,
            rng=random.Random(self.rng.getrandbits(64)),
            identity=identity,
            platform=self._platform(control),
            seeds=list(seeds),
            limits=limits,
        )
        self.nodes[control] = node
        return node

    def kill(self, address: str) -> None:
        """Remove a node without notice to the others."""
        del self.nodes[address]

    def send(self, sender: str, sends: Iterable[Send]) -> None:
        """Queue messages for delivery, subject to loss, duplication and delay."""
        for send in sends:
            self._count(sender, send)
            if self.rng.random() < self.drop_rate:
                continue
            for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
                due = self.clock.monotonic() + MIN_DELAY + self.max_jitter * self.rng.random()
                self.sequence += 1
                heapq.heappush(self.queue, (due, self.sequence, sender, send))

    def run(self, duration: timedelta) -> None:
        """Run all nodes for some simulated time."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.step()

    def step(self) -> None:
        """Run one step: tick every node, then deliver the messages that are due within the step."""
        for address, node in list(self.nodes.items()):
            if address not in self.paused:
                self.send(address, self._run(address, node.platform_step))
                self._watch(address, node)
                self.send(address, self._run(address, node.tick))
        end = self.clock.monotonic() + STEP
        while self.queue and self.queue[0][0] <= end:
            due, _, sender, send = heapq.heappop(self.queue)
            self.clock.advance(max(timedelta(), due - self.clock.monotonic()))
            self._deliver(sender, send)
        self.clock.advance(end - self.clock.monotonic())

    def _platform(self, address: str) -> MemoryPlatform:
        if self.meter is None:
            return MemoryPlatform(store=self.store)
        return MeteredPlatform(store=self.store, meter=self.meter, address=address)

    def _run(self, address: str, action, *arguments):
        if self.meter is None:
            return action(*arguments)
        return self.meter.run(address, action, *arguments)

    def _watch(self, address: str, node: ControlNode) -> None:
        """Run a node's watch once its long poll would return.

        That is after the watch timeout if the poll has to wait for a change, otherwise after
        the source's delay.
        """
        source = node.source
        if source is None:
            return
        now = self.clock.monotonic()
        started = self.watch_started.get(source, now - source.delay)
        changed = self.store.change_positions.get(HEAD_KEY, 0) > source.position
        waiting = source.position > 0 and not changed and self.store.fault is Fault.NONE
        if now - started < (source.watch_timeout if waiting else source.delay):
            return
        self.watch_started[source] = now
        self._run(address, source.poll)

    def _deliver(self, sender: str, send: Send) -> None:
        node = self.nodes.get(send.to)
        if node is None or send.to in self.paused or self._is_partitioned(sender, node):
            return
        self.send(send.to, self._run(send.to, node.handle, send.message, sender))

    def _is_partitioned(self, sender: str, receiver: ControlNode) -> bool:
        sending_node = self.nodes.get(sender)
        if sending_node is None or not self.partitions:
            return False
        return frozenset((sending_node.identity.zone, receiver.identity.zone)) in self.partitions

    def _count(self, sender: str, send: Send) -> None:
        self.message_counts[type(send.message).__name__] += 1
        if self.meter is not None:
            zone = self.nodes[sender].identity.zone if sender in self.nodes else ""
            self.meter.record_message(sender, zone, send)
