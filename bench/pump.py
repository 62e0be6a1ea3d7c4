"""In-process message pump: delivers messages between control nodes with delays and drops."""

import heapq
import random
import weakref
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.core.codec import encode
from almondshore.core.messages import Envelope, Send
from almondshore.relay.control import ControlLimits, ControlNode, Identity
from almondshore.versions.publish import HEAD_KEY
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

STEP = timedelta(milliseconds=200)
DELAY = timedelta(milliseconds=1)
NODES_PER_HOST_RANGE = 250


class Pump:
    """Runs control nodes on one manual clock.

    :ivar drop: share of the messages that are lost
    :ivar sent_bytes: encoded bytes sent, by sender
    """

    def __init__(self, *, seed: int, drop: float = 0.0, count_bytes: bool = False):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)
        self.drop = drop
        self.count_bytes = count_bytes
        self.nodes: dict[str, ControlNode] = {}
        self.paused: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.queue: list[tuple[timedelta, int, str, Send]] = []
        self.sequence = 0
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.kind_bytes: Counter[str] = Counter()
        self.kind_counts: Counter[str] = Counter()
        self.watch_started: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self.sizes: dict[int, tuple[object, int]] = {}

    def add(
        self,
        index: int,
        zone: str,
        seeds: Iterable[str],
        *,
        limits: ControlLimits | None = None,
    ) -> ControlNode:
        """Start a node whose addresses follow from its index."""
        control = f"10.0.{index // NODES_PER_HOST_RANGE}.{index % NODES_PER_HOST_RANGE}:7400"
        milliseconds = int(self.clock.now().timestamp() * 1000)
        address = control.replace(":7400", ":7401")
        identity = Identity(f"node-{index:05d}", milliseconds, zone, control, address)
        node = ControlNode(
            clock=self.clock,
            rng=random.Random(self.rng.getrandbits(64)),
            identity=identity,
            platform=MemoryPlatform(store=self.store),
            seeds=list(seeds),
            limits=limits,
        )
        self.nodes[control] = node
        return node

    def kill(self, address: str) -> None:
        """End a node at once."""
        del self.nodes[address]

    def send(self, sender: str, sends: Iterable[Send]) -> None:
        """Put messages on their way."""
        for send in sends:
            self._count(sender, send)
            if self.rng.random() < self.drop:
                continue
            due = self.clock.monotonic() + DELAY * (1 + self.rng.random())
            self.sequence += 1
            heapq.heappush(self.queue, (due, self.sequence, sender, send))

    def run(self, duration: timedelta) -> None:
        """Run all nodes for a time."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.step()

    def step(self) -> None:
        """Run one step: every node ticks, then all messages due in the step are delivered."""
        for address, node in list(self.nodes.items()):
            if address not in self.paused:
                self.send(address, node.platform_step())
                self._watch(node)
                self.send(address, node.tick())
        end = self.clock.monotonic() + STEP
        while self.queue and self.queue[0][0] <= end:
            due, _, sender, send = heapq.heappop(self.queue)
            self.clock.advance(max(timedelta(), due - self.clock.monotonic()))
            self._deliver(sender, send)
        self.clock.advance(end - self.clock.monotonic())

    def _watch(self, node: ControlNode) -> None:
        """Run a node's watch when it would return: on a change, after its time-out or delay."""
        source = node.source
        if source is None:
            return
        now = self.clock.monotonic()
        started = self.watch_started.get(source, now - source.delay)
        changed = self.store.changed_at.get(HEAD_KEY, 0) > source.position
        waiting = source.position > 0 and not changed and self.store.fault is Fault.NONE
        if now - started < (source.watch_timeout if waiting else source.delay):
            return
        self.watch_started[source] = now
        source.poll()

    def _deliver(self, sender: str, send: Send) -> None:
        node = self.nodes.get(send.to)
        if node is None or send.to in self.paused or self._is_cut(sender, node):
            return
        self.send(send.to, node.handle(send.message, sender))

    def _is_cut(self, sender: str, receiver: ControlNode) -> bool:
        source = self.nodes.get(sender)
        if source is None or not self.cut:
            return False
        return frozenset((source.identity.zone, receiver.identity.zone)) in self.cut

    def _count(self, sender: str, send: Send) -> None:
        kind = type(send.message).__name__
        self.kind_counts[kind] += 1
        if not self.count_bytes:
            return
        size = self._size(sender, send)
        self.sent_bytes[sender] += size
        self.received_bytes[send.to] += size
        self.kind_bytes[kind] += size

    def _size(self, sender: str, send: Send) -> int:
        """Return the encoded size; a message sent to many peers is encoded once."""
        known = self.sizes.get(id(send.message))
        if known is not None and known[0] is send.message:
            return known[1]
        zone = self.nodes[sender].identity.zone if sender in self.nodes else ""
        size = len(encode(Envelope(sender, zone, send.message)))
        if len(self.sizes) > 256:
            self.sizes.clear()
        self.sizes[id(send.message)] = (send.message, size)
        return size
