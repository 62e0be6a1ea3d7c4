"""Tests of targets whose status lines are not valid, through one node and through two."""

import tempfile
from pathlib import Path

from testtools import TestCase

from soak.cluster import Cluster
from soak.guarantees import SentRequest
from test.http.loopback import wait_until
from test.http.test_statuses import INVALID_STATUS_LINES

REST = b"\r\nContent-Length: 2\r\nAttempt-Id: %b\r\nResponse-Signature: s\r\n\r\nab"


class InvalidStatusTest(TestCase):
    """The target of ``n0`` responds with raw bytes; ``n1`` is the node of another caller."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(folder=Path(folder.name), hosts=2, seed=1)
        self.addCleanup(self.cluster.close)
        self.standin = self.cluster.hosts[0].target_standin
        self.service = self.cluster.hosts[0].service
        for host in self.cluster.hosts:
            wait_until(
                lambda host=host: self.cluster.probe_route(host, f"/{self.service}/x") == 200,
                seconds=20,
            )

    def send(self, host, *, idempotent):
        self.cluster.request_count += 1
        sent = SentRequest(
            f"q{self.cluster.request_count}", host.name, host.service, self.service, idempotent
        )
        self.cluster.checker.sent[sent.request_id] = sent
        path = f"/{self.service}/x" if idempotent else f"/once/{self.service}/x"
        method = b"GET" if idempotent else b"POST"
        result = self.cluster.send(host, method, path, sent.request_id)
        return result.response.status if result.response is not None else result.failure

    def test_no_invalid_status_reaches_the_caller(self):
        """Guards against callers that get an invalid response, or wait for one until a timeout."""
        runs = []

        def respond(exchange):
            runs.append(exchange.request.method)
            request_id = exchange.request.header(b"attempt-id") or b""
            exchange.connection.stream.write(self.line + REST % request_id)

        self.standin.handle = respond
        seen, expected = [], []
        for name, self.line in INVALID_STATUS_LINES.items():
            for host in self.cluster.hosts:
                runs.clear()
                status = self.send(host, idempotent=False)
                seen.append((name, host.name, "once", status, runs.count(b"POST")))
                expected.append((name, host.name, "once", 502, 1))
                status = self.send(host, idempotent=True)
                seen.append((name, host.name, "idempotent", status))
                expected.append((name, host.name, "idempotent", 502))
        wrong = [item for item, right in zip(seen, expected, strict=True) if item != right]
        self.assertEqual([], wrong)
