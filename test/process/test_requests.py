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


class Answer(NamedTuple):
    """Result of a request at its caller.

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
        self.answers: list[Answer] = []
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
        return self.answers

    def _run(self, number):
        # Each request uses its own connection, because a draining node may close idle ones.
        http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_SECONDS)
        sent = 0
        while not self.ended.is_set():
            address = self.addresses[(number + sent) % len(self.addresses)]
            name = f"{id(self)}-{number}-{sent}"
            sent += 1
            answer = send(http, address, self.method, f"{self.prefix}/{name}")
            self.answers.append(answer)


def send(http, address, method, path, key=""):
    headers = {"x-tenant": "bakery-12", "connection": "close"}
    if key:
        headers["idempotency-key"] = key
    try:
        response = http.request(method, f"http://{address}{path}", headers=headers)
        if response.status == 200:
            json.loads(response.data)
    except urllib3.exceptions.NewConnectionError:
        return Answer(path, key, -1, NOT_RUN, "")
    except urllib3.exceptions.HTTPError as error:
        return Answer(path, key, 0, "", repr(error))
    return Answer(
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

    def check_runs(self, answers, *, once):
        """Check that requests reported as not run did not run.

        :param once: whether to check also that no request ran more than once
        """
        paths = self.runs()
        ran_anyway = [a for a in answers if a.outcome == NOT_RUN and paths[a.path]]
        self.assertEqual([], ran_anyway)
        if once:
            self.assertEqual([], [a for a in answers if paths[a.path] > 1])

    def count_answers(self, answers):
        """Count the answers by status and reason; check that no response was cut off."""
        found = Counter((a.status, a.reason) for a in answers)
        self.assertEqual([], [a for a in answers if a.status == 0])
        return found

    def restart_stopped_nodes(self):
        """Restart the nodes that a test has stopped, and wait until all nodes have converged."""
        for name, node in list(self.deployment.nodes.items()):
            if node.process.poll() is not None:
                self.deployment.restart_node(name)
        self.wait_converged()

    def test_a_target_leaves_under_load(self):
        """Guards against requests that fail or are cut off when a target is told to stop."""
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
        answers_before = len(load.answers)
        self.wait(
            lambda: len(load.answers) > answers_before + 50, "requests after the target's end"
        )
        answers = load.stop()
        self.assertEqual({(200, "")}, set(self.count_answers(answers)))
        self.check_runs(answers, once=False)

    def test_b_node_leaves_under_load(self):
        """Guards against requests that are cut off when a node is told to stop."""
        node = self.deployment.nodes["node-a2"]
        load = Load(self, self.callers(), "GET", "/schedule", callers=8)
        self.wait(lambda: len(load.answers) > 50, "load")
        node.process.terminate()
        self.assertEqual(0, node.process.wait(60))
        answers_before = len(load.answers)
        self.wait(lambda: len(load.answers) > answers_before + 100, "requests after the node's end")
        answers = load.stop()
        found = self.count_answers(answers)
        self.check_runs(answers, once=False)
        # Callers of the stopped node itself get no connection.
        self.assertEqual({(200, ""), (-1, "")}, set(found), found)
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
        answers_before = len(load.answers)
        self.wait(
            lambda: len(load.answers) > answers_before + 100, "requests after the target's death"
        )
        answers = load.stop()
        self.targets.remove(killed_target)
        self.count_answers(answers)
        self.check_runs(answers, once=True)
        # Requests in flight when the target died may have run there, but not at another target.
        lost = [a for a in answers if a.status != 200 and a.outcome != NOT_RUN]
        self.assertEqual([], [a for a in lost if self.runs()[a.path]])
