"""Base class and helpers of tests with real processes."""

import json
import threading
import time
from collections.abc import Sequence
from datetime import timedelta

import urllib3
from testtools import TestCase

from standins.deployment import Deployment, TargetProcess, wait_for

SAMPLE_INTERVAL_SECONDS = 0.05
SAMPLE_TIMEOUT_SECONDS = 1
CONVERGENCE_TIMEOUT = timedelta(seconds=60)
NODES = {"node-a1": "zone-a", "node-a2": "zone-a", "node-b1": "zone-b", "node-b2": "zone-b"}
RULES = """\
service counter-app version v1  # Anna: base
service fault-desk version v1  # Anna: base
route GET,POST /schedule/* to counter-app class urgent timeout 10s  # Marco: shopkeepers look up
route POST /push/* to fault-desk class routine once timeout 5s  # Marco: holiday pushes
tenant bakery-12 limit {limit}/s burst 20000  # Anna: contract
"""


class VersionSampler:
    """Samples the configuration version of every node in background threads.

    A process that has just started reports version 0 until it has received a version; this is not a
    decrease as long as it does not report that it is ready.

    :ivar highest: process ID and highest version seen, by node
    :ivar decreases: node, highest version before and lower version seen afterwards
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.http = urllib3.PoolManager(retries=False, timeout=SAMPLE_TIMEOUT_SECONDS)
        self.highest: dict[str, tuple[int, int]] = {}
        self.decreases: list[tuple[str, int, int]] = []
        self.samples = 0
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in deployment.nodes
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sampling and wait for the threads."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.http.clear()

    def _run(self, name: str) -> None:
        while not self.ended.wait(SAMPLE_INTERVAL_SECONDS):
            node = self.deployment.nodes[name]
            url = f"http://{node.addresses.admin}/almondshore/v1/status"
            try:
                status = json.loads(self.http.request("GET", url).data)
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            self._record_status(name, node.process.pid, status)

    def _record_status(self, name: str, pid: int, status: dict) -> None:
        version = status["config_version"]
        last_pid, highest = self.highest.get(name, (pid, 0))
        self.samples += 1
        if version == 0 and pid != last_pid and not status["ready"]:
            return
        if version < highest:
            self.decreases.append((name, highest, version))
        self.highest[name] = (pid, max(highest, version))


class ProcessTest(TestCase):
    """Shares one deployment between the tests of a class."""

    zones = NODES
    # Targets that the directories of all nodes must contain.
    targets: Sequence[TargetProcess] = ()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.__exit__)
        cls.version = 0
        cls.deployment.start_platform()
        cls.apply()
        for name, zone in cls.zones.items():
            cls.deployment.start_node(name, zone)
        cls.start_targets()
        cls.wait(cls.converged, "the first version at all nodes")

    @classmethod
    def start_targets(cls):
        """Start the targets of the test class and set ``targets``."""

    @classmethod
    def apply(cls) -> int:
        """Publish rules that differ from the previous ones and return the version."""
        file = cls.deployment.path / "rules.txt"
        file.write_text(RULES.format(limit=10000 + cls.version))
        result = cls.deployment.command("apply", str(file), "--author", "anna")
        if result.returncode != 0:
            raise AssertionError(f"apply failed: {result.stdout}{result.stderr}")
        cls.version += 1
        return cls.version

    @classmethod
    def converged(cls, names=()) -> bool:
        """Return whether the named nodes, or all, have the newest version and know all targets."""
        nodes = [cls.deployment.nodes[name] for name in names or cls.zones]
        statuses = [cls.deployment.status_of(node) for node in nodes]
        return all(
            s.get("ready")
            and s["config_version"] >= cls.version
            and s["directory_targets"] >= len(cls.targets)
            for s in statuses
        )

    def wait_converged(self, *names):
        self.wait(lambda: self.converged(names), f"version {self.version}")

    @classmethod
    def wait(cls, condition, description, timeout=CONVERGENCE_TIMEOUT):
        """Wait for a condition; a failure reports the state and last log lines of the nodes."""
        try:
            wait_for(condition, description, timeout)
        except TimeoutError as error:
            raise AssertionError(f"{error}\n{cls.deployment.diagnostics()}") from error

    def relay_of(self, zone, without=()):
        """Return a node that is a relay of the zone, except those named, or None."""
        for name, node_zone in self.zones.items():
            node = self.deployment.nodes[name]
            if node_zone == zone and name not in without:
                status = self.deployment.status_of(node)
                if status.get("is_relay"):
                    return node
        return None

    def wait_relay(self, zone, without=()):
        self.wait(lambda: self.relay_of(zone, without) is not None, f"a relay of {zone}")
        return self.relay_of(zone, without)


def pause(seconds: float) -> None:
    """Sleep while the processes go on; no check depends on the exact duration."""
    time.sleep(seconds)
