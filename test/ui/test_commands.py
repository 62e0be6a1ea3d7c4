"""Tests of the commands that read: ``diff``, ``history``, ``status``, ``nodes``, ``moves``."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

from standins.object_store import Fault
from test.ui.tooltest import RULES, ToolTest


def move_status(step, state, at_risk=False):
    names = {"service": "desk", "move_id": "m", "from_version": "v1", "to_version": "v2"}
    progress = {"step_percent": step, "state": state, "at_risk": at_risk}
    return {**names, **progress, "reason": "", "deadline": "2026-12-08T05:00:00+00:00"}


ROLLOUT_FIELDS = ("to_version", "state", "share")
NODE_VIEW = {
    "node": "n\x1b[2J1",
    "zone": "zone-a",
    "service": "desk",
    "ready": True,
    "stopping": False,
    "config_version": 12,
    "source": "10.0.0.7:7401",
    "state_age_ms": 1700,
    "store_away_ms": 900,
    "target": "i-1",
    "target_state": "ready",
    "running": 3,
    "waiting": 1,
    "services": [
        {
            "service": "desk",
            "ready": {"v1": 2},
            "known": 3,
            "rollout": "running",
            "rollout_version": "v2",
            "rollout_share": 0.25,
        }
    ],
    "unreachable": ["10.0.0.9:7401"],
}


class ReadingTest(ToolTest):
    def test_diff_of_files_ignores_order_and_spacing(self):
        lines = RULES.splitlines()
        old = self.write_rules(name="old")
        new = self.write_rules("\n".join([lines[2].replace("  ", " "), "", *lines[:2]]), name="new")
        self.assertEqual((0, "no differences\n", ""), self.run_tool("diff", old, new, url=""))

    def test_diff_against_the_published_rules(self):
        self.apply()
        changed = self.write_rules(RULES.replace("100  # Anna: contract", "90  # Ugo: less"))
        change = json.loads(self.run_tool("diff", changed, "--json")[1])["changes"][0]
        self.assertEqual(
            ("changed", 3, "Ugo"), (change["kind"], *_line_and_requester(change["new"]))
        )
        self.assertEqual((3, "Anna"), _line_and_requester(change["old"]))

    def test_diff_of_a_malformed_file(self):
        """Guards against a diff that silently omits lines with findings."""
        code, out, err = self.run_tool(
            "diff", self.write_rules(), self.write_rules("x", "new"), url=""
        )
        self.assertEqual((1, ""), (code, out))
        self.assertIn("new:1:1: unknown-rule", err)

    def test_history(self):
        for burst in (1, 2, 3):
            self.apply(RULES.replace("100", str(burst)), "Livia", "--reason", f"b{burst}")
        out = json.loads(self.run_tool("history", "--limit", "2", "--json")[1])
        versions = [(item["version"], item["reason"]) for item in out["versions"]]
        self.assertEqual([(3, "b3"), (2, "b2")], versions)
        self.assertEqual(4, len(self.run_tool("history")[1].splitlines()))
        self.assertIn("burst 2 ", self.run_tool("history", "--rules", "2")[1])
        self.assertEqual(1, self.run_tool("history", "--rules", "7")[0])

    def test_status_and_nodes(self):
        target = {"target": "10.0.0.2:80", "service": "desk", "version": "v1", "state": "up"}
        node = {"node": "n1", "address": "10.0.0.2:70", "config_version": 1, "ready": True}
        self.apply()
        self.report("a", {"9": 1, "10": 2}, [{**node, "targets": [target]}])
        self.report("b", {"10": 1}, [{**node, "node": "n\x1b[2J", "targets": []}])
        self.assertIn("10 on 2 nodes, 9 on 1 nodes", self.run_tool("status")[1])
        self.assertEqual(2, len(json.loads(self.run_tool("status", "--json")[1])["zones"]))
        out = self.run_tool("nodes")[1]
        self.assertIn("desk v1 up at 10.0.0.2:80", out)
        self.assertNotIn("\x1b", out)
        nodes = json.loads(self.run_tool("nodes", "--zone", "a", "--json")[1])["nodes"]
        self.assertEqual(["n1"], [item["node"] for item in nodes])

    def test_moves_merge_zones(self):
        """Guards against hiding that one zone is behind or reports a risk."""
        self.report("a", {}, moves=[move_status(25, "active")])
        self.report("b", {}, moves=[move_status(5, "active", at_risk=True)])
        moves = json.loads(self.run_tool("moves", "--json")[1])["moves"]
        self.assertEqual(1, len(moves))
        self.assertEqual(([5, 25], True), (moves[0]["steps_percent"], moves[0]["at_risk"]))
        self.assertIn("5% to 25%", self.run_tool("moves")[1])

    def test_failures_are_one_line(self):
        """Guards against tracebacks during an outage or on malformed objects."""
        commands = (["status"], ["nodes"], ["moves"], ["history"], ["diff", self.write_rules()])
        self.store.put("config/head", b"\xc1", 0, "w")
        self.store.put("status/a", b"\xc1", 0, "w")
        for fault in (Fault.NONE, Fault.DOWN):
            self.store.fault = fault
            for tokens in commands:
                code, out, err = self.run_tool(*tokens)
                self.assertEqual((1, "", 1), (code, out, err.count("\n")), tokens)


class DrainTest(ToolTest):
    def serve(self, status, body=b""):
        requests = []

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):  # noqa: N802
                requests.append(self.path)
                self.send_response(status)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST  # noqa: N815

            def log_message(self, *args):
                pass

        server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        return f"http://127.0.0.1:{server.server_port}", requests

    def test_drain(self):
        url, requests = self.serve(202)
        self.assertEqual(0, self.run_tool("drain", url + "/", url="")[0])
        self.assertEqual(["/almondshore/v1/drain"], requests)

    def test_targets_of_a_node(self):
        """Guards against an outage in which operators cannot see the targets that a node knows."""
        targets = [
            {"target": "i-1", "service": "s", "version": "v1", "zone": "a", "node": "10.0.0.1:8"}
            | {"state": "ready", "answers": True},
            {"target": "i-2", "service": "s", "version": "v2", "zone": "b", "node": "10.0.0.2:8"}
            | {"state": "draining\x1b[2J", "answers": False},
        ]
        url, requests = self.serve(200, json.dumps({"targets": targets}).encode())
        code, out, err = self.run_tool("nodes", "--node", url, url="")
        self.assertEqual((0, ["/targets"], ""), (code, requests, err))
        lines = [line.split() for line in out.splitlines()]
        self.assertIn(["a", "10.0.0.1:8", "s", "v1", "ready", "yes", "i-1"], lines)
        self.assertNotIn("\x1b", out)
        out = self.run_tool("nodes", "--node", url, "--zone", "b", "--json", url="")[1]
        self.assertEqual(targets[1:], json.loads(out)["targets"])
        url, _ = self.serve(200, b"[]")
        self.assertEqual(1, self.run_tool("nodes", "--node", url, url="")[0])

    def test_rollouts_of_a_node(self):
        """Guards against an outage in which operators cannot see the progress of a rollout."""
        url, requests = self.serve(200, json.dumps(NODE_VIEW).encode())
        code, out, err = self.run_tool("moves", "--node", url, url="")
        self.assertEqual((0, ["/status"], ""), (code, requests, err))
        self.assertIn("25%", out)
        (rollout,) = json.loads(self.run_tool("moves", "--node", url, "--json", url="")[1])["moves"]
        self.assertEqual(("v2", "running", 0.25), tuple(rollout[k] for k in ROLLOUT_FIELDS))

    def test_node(self):
        """Guards against output that hides the age of a node's state or has terminal sequences."""
        url, requests = self.serve(200, json.dumps(NODE_VIEW).encode())
        code, out, err = self.run_tool("node", url, url="")
        self.assertEqual((0, ["/status"], ""), (code, requests, err))
        for text in ("1700 ms old", "store away for 900 ms", "v1: 2", "v2 running at 25%"):
            self.assertIn(text, out)
        self.assertNotIn("\x1b", out)
        self.assertEqual(NODE_VIEW, json.loads(self.run_tool("node", url, "--json", url="")[1]))
        for malformed in (b"{}", b"<html>"):
            url, _ = self.serve(200, malformed)
            code, out, err = self.run_tool("node", url, url="")
            self.assertEqual((1, "", 1), (code, out, err.count("\n")))

    def test_failures(self):
        """Guards against reporting a drain as started when the node refused it."""
        url, requests = self.serve(503)
        code, out, err = self.run_tool("drain", url, url="")
        self.assertEqual((1, "", 1, 1), (code, out, err.count("\n"), len(requests)))
        self.assertEqual(1, self.run_tool("drain", "http://127.0.0.1:1", url="")[0])
        for wrong in ("127.0.0.1:7070", "http://", "ftp://x", "http://[x"):
            self.assertEqual(2, self.run_tool("drain", wrong, url="")[0], wrong)


def _line_and_requester(side):
    return side["line"], side["requester"]
