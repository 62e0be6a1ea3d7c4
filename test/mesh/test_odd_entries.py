"""Tests of nodes that read odd entries, left in the store by another writer."""

import msgspec
from loguru import logger
from testtools import TestCase

from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until
from test.mesh.test_node import new_mesh

ENTRY = {
    "service": "s",
    "version": "v1",
    "zone": "a",
    "slots": 9,
    "state": "ready",
    "host": "127.0.0.1",
    "port": 9,
    "born_ms": 1000,
    "sequence": 1,
}
NESTED = b"[" * 10_000 + b"]" * 10_000
HUGE = b"9" * 400


def entry(**changes):
    """Return an encoded entry of a target, with some fields replaced by raw JSON."""
    return msgspec.json.encode(
        ENTRY | {name: msgspec.Raw(value) for name, value in changes.items()}
    )


ODD_SPECS = (
    NESTED,
    entry(slots=NESTED),
    entry(slots=HUGE),
    entry(born_ms=b"9" * 5000),
    entry(born_ms=HUGE),
    entry(sequence=HUGE),
    entry(link_mbps=b"1e999"),
    entry(port=b"70000"),
    entry(port=b"-1"),
    entry(port=HUGE),
    entry(host=b'"no address"'),
    entry(host=b'"\\ud800"'),
    entry(zone=b'"\\u0000"'),
    b'"text"',
    b"null",
)
KINDS = ("almondshore-targets", "almondshore-deaths", "rollouts")


class OddEntriesTest(TestCase):
    def test_node_follows_the_other_entries(self):
        """Guards against a node that ends or stops following a list because of an odd entry.

        Another operator's nodes did so for entries that were deeply nested, had a number too
        large, or a port out of range.
        """
        lines = []
        self.addCleanup(logger.remove, logger.add(lines.append))
        mesh = new_mesh(self)
        mesh.store.put("config", "main", stored_config(3, ("s", "other")))
        for kind in KINDS:
            for number, spec in enumerate(ODD_SPECS):
                mesh.store.put(kind, f"odd-{number}", msgspec.Raw(spec))
        first = mesh.add_node("n1", service="other")
        mesh.add_node("n2")
        wait_until(lambda: {"i-n1", "i-n2"} <= first.directory.targets.keys(), seconds=6)
        for kind in KINDS:
            for number, spec in enumerate(ODD_SPECS):
                mesh.store.put(kind, f"later-{number}", msgspec.Raw(spec))
        mesh.add_node("n3")
        wait_until(lambda: "i-n3" in first.directory.targets, seconds=6)
        self.assertEqual({"i-n1", "i-n2", "i-n3"}, set(first.directory.targets))
        for _ in range(20):
            self.assertEqual(200, mesh.request_status("n1"))
        failed = [line for line in lines if "worker_failed" in line or "handler_failed" in line]
        self.assertEqual([], failed)
