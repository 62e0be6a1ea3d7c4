"""Owner nodes of idempotency keys that share an in-memory platform."""

from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.retries.claims import ClaimBudget, ClaimStore
from almondshore.retries.once import Denied, Granted, OnceRecords, StoredResponse, key_hash
from almondshore.retries.outcome import Outcome
from almondshore.retries.ownership import Ownership
from standins.memory_platform import MemoryPlatform
from standins.object_store import Fault, ObjectStore

TIMEOUT = timedelta(seconds=2)
RESPONSE = StoredResponse(200, (), b"done")


def seconds(number):
    return timedelta(seconds=number)


class OwnerNode:
    def __init__(self, name, clock, store, claim_rate=1000.0):
        self.name = name
        self.ownership = Ownership(clock=clock, node=name)
        budget = ClaimBudget(clock=clock, rate=claim_rate, burst=max(1.0, claim_rate))
        platform = MemoryPlatform(store=store)
        self.claims = ClaimStore(
            platform=platform, clock=clock, node=name, instance=f"{name}-1", budget=budget
        )
        self.records = OnceRecords(clock=clock, claims=self.claims, ownership=self.ownership)


class Fleet:
    """Nodes of one service with a shared clock and platform, and the number of runs of each key.

    Changes of the membership reach all nodes immediately. ``kill`` advances the clock by the 8 s
    that it takes to declare a node dead.
    """

    def __init__(self, names=("a", "b", "c"), claim_rate=1000.0):
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock)
        self.claim_rate = claim_rate
        self.nodes = {}
        self.started = 0
        self.runs = {}
        for name in names:
            self._add(name)
        self.sync()
        self.advance(20)

    def _add(self, name):
        self.nodes[name] = OwnerNode(name, self.clock, self.store, self.claim_rate)

    def start(self):
        self.started += 1
        name = f"new{self.started}"
        self._add(name)
        self.sync()
        self.advance(6)

    def sync(self, left=()):
        for node in self.nodes.values():
            node.ownership.update(self.nodes, left)
        for node in self.nodes.values():
            for name in list(node.ownership.awaiting_handover):
                handover = self.nodes[name].records.hand_over(node.name)
                if handover is not None:
                    node.records.take_over(handover)

    def advance(self, number):
        for _ in range(number):
            self.clock.advance(seconds(1))
            for node in self.nodes.values():
                node.ownership.note_contact()
                node.ownership.note_platform_state(self.store.fault is not Fault.DOWN)
                node.records.tick()

    def kill(self, name):
        del self.nodes[name]
        self.advance(8)
        self.sync()

    def owner(self, key):
        return next(iter(self.nodes.values())).ownership.owner(key)

    def claim(self, key, fingerprint=1):
        """Claim the key at its owner, as a request or a repeat through any node does."""
        records = self.nodes[self.owner(key)].records
        return records, records.claim(key, fingerprint, self.clock.monotonic() + TIMEOUT)

    def send(self, key, ending="done"):
        """Claim a key and run its request if that is granted.

        :param ending: what the holder of the grant observes: "done", "not-run", "lost" (the
            response) or "silent" (nothing is reported)
        """
        records, result = self.claim(key)
        if not isinstance(result, Granted):
            return result
        if ending == "not-run":
            records.record_outcome(key, result.token, Outcome.NOT_RUN)
            return result
        if not records.mark_running(key, result.token):
            return result
        self.runs[key] = self.runs.get(key, 0) + 1
        if ending == "done":
            records.record_response(key, result.token, RESPONSE)
        elif ending == "lost":
            records.record_outcome(key, result.token, Outcome.UNKNOWN)
        return result


def denial_reason(result):
    return result.failure.reason if isinstance(result, Denied) else None


def key_of(fleet, owner, number=0):
    """Return the n-th of the keys that a node owns."""
    keys = (key_hash("push", "bakery", f"k{n}") for n in range(1000))
    return [key for key in keys if fleet.owner(key) == owner][number]
