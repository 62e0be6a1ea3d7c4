"""Tests that an idempotency key runs at most once while nodes and targets are killed."""

from collections import Counter
from datetime import timedelta

import urllib3

from almondshore.retries.ownership import CONTACT_MAX_AGE, PLATFORM_SETTLE_TIME
from test.process.processtest import ProcessTest, pause
from test.process.test_requests import REQUEST_TIMEOUT_SECONDS, send

GRANT_TIMEOUT = timedelta(seconds=30)
KEYS = 30


class OnceTest(ProcessTest):
    """All keys belong to node-a1, which has the only targets of the service."""

    zones = {"node-a1": "zone-a", "node-a2": "zone-a", "node-b1": "zone-b"}

    @classmethod
    def start_targets(cls):
        owner = cls.deployment.nodes["node-a1"]
        cls.targets = [cls.deployment.start_target(owner, "fault-desk", "v1") for _ in range(2)]
        cls.runs_of_killed = Counter()

    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_SECONDS)
        self.addCleanup(self.http.clear)
        self.sent = 0

    def push(self, key, *names):
        """Send a push with an idempotency key through each of the named nodes, or all nodes."""
        return [
            send(
                self.http,
                self.deployment.nodes[name].addresses.caller,
                "POST",
                f"/push/{key}",
                key,
            )
            for name in names or self.zones
        ]

    def wait_granted(self, name):
        """Wait until new keys are granted; an owner refuses them for a time after its start."""

        self.wait_all_granted(name, keys=1)

    def wait_all_granted(self, name, *, keys):
        """Wait until this number of new keys is granted in a row.

        A failure reports the last responses.
        """
        results = []

        def granted():
            self.sent += 1
            new_keys = [f"{self.id()}-{self.sent}-{number}" for number in range(keys)]
            results[:] = [self.push(key, name)[0] for key in new_keys]
            return all(result.status == 200 for result in results)

        try:
            self.wait(granted, "grants of new keys", GRANT_TIMEOUT)
        except AssertionError as error:
            counts = Counter((result.status, result.outcome, result.reason) for result in results)
            raise AssertionError(f"{counts}\n{error}") from error

    def runs(self):
        """Return the number of runs of each key; runs of killed targets as read before the kill."""
        runs = Counter(self.runs_of_killed)
        for target in self.targets:
            runs.update(self.deployment.runs_of(target)["by_key"])
        return runs

    def check_once(self, keys):
        runs = self.runs()
        self.assertEqual([], [(key, runs[key]) for key in keys if runs[key] != 1])

    def test_a_key_resent_through_every_node(self):
        """Guards against a key that runs again at another node or target, or after a death."""
        self.wait_granted("node-a2")
        keys = [f"resent-{number}" for number in range(KEYS)]
        for key in keys:
            results = self.push(key)
            self.assertEqual({200}, {result.status for result in results}, results)
        self.check_once(keys)
        killed_target = max(self.targets, key=lambda t: self.deployment.runs_of(t)["runs"])
        self.runs_of_killed.update(self.deployment.runs_of(killed_target)["by_key"])
        self.targets.remove(killed_target)
        killed_target.process.kill()
        killed_target.process.wait()
        for key in keys:
            self.push(key)
        self.check_once(keys)
        entry = self.deployment.nodes["node-b1"]
        entry.process.kill()
        entry.process.wait()
        for key in keys:
            self.push(key, "node-a1", "node-a2")
        self.deployment.restart_node(entry.name)
        self.wait_converged()
        for key in keys:
            self.push(key)
        self.check_once(keys)

    def test_b_owner_killed_and_restarted(self):
        """Guards against keys that run again when their owner restarts without its records."""
        self.wait_granted("node-a2")
        keys = [f"owner-{number}" for number in range(KEYS)]
        for key in keys:
            self.assertEqual(200, self.push(key, "node-a2")[0].status)
        owner = self.deployment.nodes["node-a1"]
        # An owner that dies before the platform has been up for this long may have run keys without
        # a claim; all keys that it may have run are then refused for the retention period.
        pause((PLATFORM_SETTLE_TIME + CONTACT_MAX_AGE).total_seconds())
        owner.process.kill()
        owner.process.wait()
        self.deployment.restart_node(owner.name)
        self.wait_converged()
        # Longer than the time during which a starting node refuses all keys as unproven.
        for _ in range(8):
            for key in keys:
                self.push(key, "node-a2")
            pause(1)
        self.check_once(keys)

    def test_c_owner_that_joins(self):
        """Guards against a new owner that refuses its keys permanently."""
        joining = self.deployment.start_target(self.deployment.nodes["node-b1"], "fault-desk", "v1")
        self.targets.append(joining)
        pause(10)

        self.wait_all_granted("node-a2", keys=12)
