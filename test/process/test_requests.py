"""Tests of the guarantees for requests while nodes and targets are killed or drained."""

import json
import threading
from collections import Counter
from typing import NamedTuple

import urllib3

from test.process.processtest import ProcessTest

NOT_RUN = "not-run"
REQUEST_TIMEOUT_SECONDS = 20
LATENCY = ("--latency-ms", "100")


class CallResult(NamedTuple):
    """Result of a request as its caller sees it.

    :ivar status: HTTP status; 0 if the response was cut off, -1 if no connection was made
    """

    path: str
    key: str
    status: int
    outcome: str
    reason: str


class Load:
    """Callers that each send one request at a time; each request has a unique path."""

    def __init__(self, test, addresses, method, prefix, *, callers=6):
        self.method, self.prefix = method, prefix
        self.addresses = addresses
        self.results: list[CallResult] = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]
        for thread in self.threads:
            thread.start()
        test.addCleanup(self.stop)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        return self.results

    def _run(self, number):
        # Each request uses its own connection, because a draining node may close idle ones.
        http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_SECONDS)
        sent = 0
        while not self.ended.is_set():
            address = self.addresses[(number + sent) % len(self.addresses)]
            name = f"{id(self)}-{number}-{sent}"
            sent += 1
            result = send(http, address, self.method, f"{self.prefix}/{name}")
            self.results.append(result)


def send(http, address, method, path, key=""):
    headers = {"x-tenant": "bakery-12", "connection": "close"}
    if key:
        headers["idempotency-key"] = key
    try:
        response = http.request(method, f"http://{address}{path}", headers=headers)
        if response.status == 200:
            json.loads(response.data)
    except urllib3.exceptions.NewConnectionError:
        return CallResult(path, key, -1, NOT_RUN, "")
    except urllib3.exceptions.HTTPError as error:
        return CallResult(path, key, 0, "", repr(error))
    return CallResult(
        path,
        key,
        response.status,
        response.headers.get("x-almondshore-outcome", ""),
        response.headers.get("x-almondshore-reason", ""),
    )


class RequestsTest(ProcessTest):
    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_SECONDS)
        self.addCleanup(self.http.clear)

    @classmethod
    def start_targets(cls):
        cls.targets = [
            cls.deployment.start_target(cls.deployment.nodes[name], service, "v1", *LATENCY)
            for name in ("node-a1", "node-a2", "node-b1")
            for service in ("counter-app", "fault-desk")
        ]

    def callers(self, without=()):
        nodes = self.deployment.nodes
        return [nodes[name].addresses.caller for name in self.zones if name not in without]

    def runs(self):
        """Return how many times the running targets have run each path."""
        paths = Counter()
        for target in self.targets:
            if target.process.poll() is None:
                paths.update(self.deployment.runs_of(target)["by_path"])
        return paths

    def check_runs(self, results, *, once):
        """Check that requests reported as not run did not run.

        :param once: whether to check also that no request ran more than once
        """
        paths = self.runs()
        ran_anyway = [r for r in results if r.outcome == NOT_RUN and paths[r.path]]
        self.assertEqual([], ran_anyway)
        if once:
            self.assertEqual([], [r for r in results if paths[r.path] > 1])

    def count_results(self, results):
        """Count the results by status and reason; check that no response was cut off."""
        counts = Counter((r.status, r.reason) for r in results)
        self.assertEqual([], [r for r in results if r.status == 0])
        return counts

    def restart_stopped_nodes(self):
        """Restart the nodes that a test has stopped, and wait until all nodes have converged."""
        for name, node in list(self.deployment.nodes.items()):
            if node.process.poll() is not None:
                self.deployment.restart_node(name)
        self.wait_converged()

    def test_a_target_leaves_under_load(self):
        """Guards against requests that fail or are cut off when a target gets SIGTERM."""
        target = self.deployment.start_target(
            self.deployment.nodes["node-b2"], "counter-app", "v1", *LATENCY
        )
        self.targets.append(target)
        self.wait_converged()
        load = Load(self, self.callers(), "GET", "/schedule")
        self.wait(lambda: self.deployment.runs_of(target)["runs"] > 5, "load on the target")
        target.process.terminate()
        self.assertEqual(0, target.process.wait(60))
        self.targets.remove(target)
        results_before = len(load.results)
        self.wait(
            lambda: len(load.results) > results_before + 50, "requests after the target's end"
        )
        results = load.stop()
        self.assertEqual({(200, "")}, set(self.count_results(results)))
        self.check_runs(results, once=False)

    def test_b_node_leaves_under_load(self):
        """Guards against requests that are cut off when a node gets SIGTERM."""
        node = self.deployment.nodes["node-a2"]
        load = Load(self, self.callers(), "GET", "/schedule", callers=8)
        self.wait(lambda: len(load.results) > 50, "load")
        node.process.terminate()
        self.assertEqual(0, node.process.wait(60))
        results_before = len(load.results)
        self.wait(lambda: len(load.results) > results_before + 100, "requests after the node's end")
        results = load.stop()
        counts = self.count_results(results)
        self.check_runs(results, once=False)
        # Callers of the stopped node itself get no connection.
        self.assertEqual({(200, ""), (-1, "")}, set(counts), counts)
        self.restart_stopped_nodes()

    def test_c_target_killed_while_it_runs_pushes(self):
        """Guards against a push that runs twice because its target died."""
        load = Load(self, self.callers(), "POST", "/push", callers=8)
        killed_target = next(
            t for t in self.targets if t.name.startswith("fault-desk") and t.process.poll() is None
        )
        self.wait(lambda: self.deployment.runs_of(killed_target)["runs"] > 5, "load on the target")
        killed_target.process.kill()
        killed_target.process.wait()
        results_before = len(load.results)
        self.wait(
            lambda: len(load.results) > results_before + 100, "requests after the target's death"
        )
        results = load.stop()
        self.targets.remove(killed_target)
        self.count_results(results)
        self.check_runs(results, once=True)
        # Requests in flight when the target died may have run there, but not at another target.
        lost = [r for r in results if r.status != 200 and r.outcome != NOT_RUN]
        self.assertEqual([], [r for r in lost if self.runs()[r.path]])
