"""Tests of the target stand-in."""

import io
import json
import random
import signal
import threading
from datetime import timedelta
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import urllib3
from testtools import TestCase

from almondshore.core.clock import ManualClock
from standins.deployment import Deployment, NodeAddresses, NodeProcess, wait_for
from standins.target_server import Behaviour, TargetApp


class AnnouncementRecorder(BaseHTTPRequestHandler):
    def do_POST(self):  # noqa: N802
        body = self.rfile.read(int(self.headers["content-length"]))
        self.server.announcements.append(json.loads(body))
        self.send_response(200)
        self.send_header("content-length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class TargetServerTest(TestCase):
    def handle(self, app, path, **environ):
        started = []
        environ |= {"PATH_INFO": path, "wsgi.input": io.BytesIO(b"abc")}
        chunks = app(environ, lambda status, headers: started.append(status))
        return int(started[0].split()[0]), json.loads(b"".join(chunks))

    def test_runs_are_counted_by_key_and_errors_follow_the_rate(self):
        """Guards against a stand-in whose counts do not reveal a request that ran twice."""
        app = TargetApp(
            target="t",
            version="v2",
            behaviour=Behaviour(error_rate=0.2, cold_start=timedelta(seconds=1)),
            clock=ManualClock(),
            rng=random.Random(1),
        )
        statuses = [self.handle(app, "/a", HTTP_IDEMPOTENCY_KEY="k")[0] for _ in range(500)]
        self.assertTrue(70 <= statuses.count(500) <= 130, statuses.count(500))
        document = self.handle(app, "/b")[1]
        self.assertEqual(
            ("t", "v2", "/b", 501, 3),
            tuple(document[key] for key in ("target", "version", "path", "run", "body_bytes")),
        )
        self.assertEqual(
            {
                "runs": 501,
                "by_key": {"k": 500},
                "by_path": {"/a": 500, "/b": 1},
                "last_headers": {},
            },
            self.handle(app, "/runs")[1],
        )
        self.assertEqual(0, app.active)

    def test_sigterm_announces_the_departure_and_finishes_the_request(self):
        """Guards against a stand-in that drops active requests, as if a node had dropped them."""
        node = ThreadingHTTPServer(("127.0.0.1", 0), AnnouncementRecorder)
        node.announcements = []
        self.addCleanup(node.server_close)
        self.addCleanup(node.shutdown)
        threading.Thread(target=node.serve_forever, daemon=True).start()
        deployment = Deployment()
        self.addCleanup(deployment.__exit__)
        admin = f"127.0.0.1:{node.server_address[1]}"
        local_node = NodeProcess("n", "z", NodeAddresses("", "", "", "", admin), None)
        target = deployment.start_target(local_node, "s", "v1", "--latency-ms", "1500")
        wait_for(lambda: node.announcements, "the announcement")
        wait_for(lambda: deployment._responds_ok(f"http://{target.address}/runs"), "the target")
        results = []
        http = urllib3.PoolManager(retries=False, timeout=30)
        url = f"http://{target.address}/slow"
        request = threading.Thread(target=lambda: results.append(http.request("GET", url).status))
        request.start()

        def request_is_running():
            runs = deployment.http.request("GET", f"http://{target.address}/runs")
            return json.loads(runs.data)["runs"] == 1

        wait_for(request_is_running, "the request")
        target.process.send_signal(signal.SIGTERM)
        request.join(30)
        self.assertEqual([200], results)
        self.assertEqual(0, target.process.wait(30))
        states = [announcement["state"] for announcement in node.announcements]
        self.assertEqual(("up", "leaving"), (states[0], states[-1]))
        self.assertEqual({"v1"}, {announcement["version"] for announcement in node.announcements})
