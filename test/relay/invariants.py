"""Checks of the invariants I1, I2 and I3 on all nodes of a fleet."""

from datetime import timedelta

from almondshore.versions.config import digest_parts
from test.versions.test_view import assert_closed


class Invariants:
    """Records the published versions and what each node has in effect, to check invariants.

    I1: the version in effect at a ready node never decreases. I2: the routing view of a node
    refers only to services, versions and targets that the node knows. I3: a node holds only
    complete versions that were published.
    """

    def __init__(self, test, fleet):
        self.test = test
        self.fleet = fleet
        self.digests = {0: digest_parts({})}
        self.highest = {}
        self.checked = {}
        self.record_published()

    def record_published(self):
        head = self.fleet.publisher.current().unwrap().head
        self.digests[head.version] = head.digest

    def publish(self):
        version = self.fleet.change_service()
        self.record_published()
        return version

    def run(self, seconds):
        """Run step by step; after each step check the nodes that changed in it."""
        for _ in range(int(seconds * 5)):
            self.fleet.step()
            self.check()

    def until(self, done, seconds):
        """Run with checks until a condition holds; fail if that takes longer than the time."""
        end = self.fleet.pump.clock.monotonic() + timedelta(seconds=seconds)
        while not done():
            self.test.assertLess(
                self.fleet.pump.clock.monotonic(), end, "condition not met in time"
            )
            self.fleet.step()
            self.check()

    def check(self):
        for address, node in self.fleet.pump.nodes.items():
            current, view = node.config.state.current, self.fleet.view(address)
            seen = (node.config.ready, current, view)
            if self.checked.get(address) is not None and _same(seen, self.checked[address]):
                continue
            self.checked[address] = seen
            self.test.assertEqual(self.digests[current.version], current.digest, "I3")
            self.test.assertEqual(current.digest, digest_parts(current.parts), "I3")
            if node.config.ready:
                self.test.assertGreaterEqual(current.version, self.highest.get(address, 0), "I1")
                self.highest[address] = current.version
            assert_closed(self.test, view, node.config.state, node.directory)


def _same(left, right):
    return all(a is b for a, b in zip(left, right, strict=True))
