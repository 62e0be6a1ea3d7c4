"""An idempotency key runs at most once while nodes and targets are killed."""

from collections import Counter
from datetime import timedelta

import urllib3

from almondshore.retries.ownership import CONTACT_MAX_AGE, PLATFORM_SETTLE_TIME
from test.process.processtest import ProcessTest, pause
from test.process.test_requests import REQUEST_TIMEOUT_SECONDS, send

GRANT_BOUND = timedelta(seconds=30)
KEYS = 30


class OnceTest(ProcessTest):
    """All keys belong to node-a1, which has the only targets of the service."""

    zones = {"node-a1": "zone-a", "node-a2": "zone-a", "node-b1": "zone-b"}

    @classmethod
    def start_targets(cls):
        owner = cls.deployment.nodes["node-a1"]
        cls.targets = [cls.deployment.start_target(owner, "fault-desk", "v1") for _ in range(2)]
        cls.ended = Counter()

    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_SECONDS)
        self.addCleanup(self.http.clear)
        self.sent = 0

    def push(self, key, *names):
        """Send a keyed push through the named nodes, or all."""
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
        """Wait until new keys are granted, that is, until the owner is past its start."""

        self.wait_all_granted(name, keys=1)

    def wait_all_granted(self, name, *, keys):
        """Wait until so many new keys are granted in a row; a failure shows the last answers."""
        answers = []

        def granted():
            self.sent += 1
            new = [f"{self.id()}-{self.sent}-{number}" for number in range(keys)]
            answers[:] = [self.push(key, name)[0] for key in new]
            return all(answer.status == 200 for answer in answers)

        try:
            self.wait(granted, "grants of new keys", GRANT_BOUND)
        except AssertionError as error:
            seen = Counter((answer.status, answer.outcome, answer.reason) for answer in answers)
            raise AssertionError(f"{seen}\n{error}") from error

    def runs(self):
        """Return the runs of each key, those of killed targets as last read."""
        found = Counter(self.ended)
        for target in self.targets:
            found.update(self.deployment.runs_of(target)["by_key"])
        return found

    def check_once(self, keys):
        runs = self.runs()
        self.assertEqual([], [(key, runs[key]) for key in keys if runs[key] != 1])

    def test_a_key_resent_through_every_node(self):
        """Guards against a key that runs again at another node, target or after a death."""
        self.wait_granted("node-a2")
        keys = [f"resent-{number}" for number in range(KEYS)]
        for key in keys:
            answers = self.push(key)
            self.assertEqual({200}, {answer.status for answer in answers}, answers)
        self.check_once(keys)
        victim = max(self.targets, key=lambda t: self.deployment.runs_of(t)["runs"])
        self.ended.update(self.deployment.runs_of(victim)["by_key"])
        self.targets.remove(victim)
        victim.process.kill()
        victim.process.wait()
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
        # An owner that dies before the platform has been up for so long may have run keys that it
        # has not claimed; those that it may have run are then refused for the retention.
        pause((PLATFORM_SETTLE_TIME + CONTACT_MAX_AGE).total_seconds())
        owner.process.kill()
        owner.process.wait()
        self.deployment.restart_node(owner.name)
        self.wait_converged()
        # Beyond the time in which a node that starts refuses all keys as unproven.
        for _ in range(8):
            for key in keys:
                self.push(key, "node-a2")
            pause(1)
        self.check_once(keys)

    def test_c_owner_that_joins(self):
        """Guards against a new owner that refuses its keys for ever."""
        joining = self.deployment.start_target(self.deployment.nodes["node-b1"], "fault-desk", "v1")
        self.targets.append(joining)
        pause(10)

        self.wait_all_granted("node-a2", keys=12)
