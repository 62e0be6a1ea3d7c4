"""Tests of the tool's entry point, of ``check``, ``status`` and ``history``."""

import json

from almondshore.versions.status import ZoneStatus, encode_status
from test.ui.tooltest import RULES, ToolTest


class MainTest(ToolTest):
    def test_wrong_usage_exits_with_2(self):
        """Guards against wrong usage that a script takes for a finding."""
        for tokens in (["bogus"], ["check"], ["apply", "x"], ["check", "/no/such/file"]):
            code, out, err = self.run_tool(*tokens)
            self.assertEqual((2, ""), (code, out), tokens)
            self.assertIn("almondshore: ", err)

    def test_missing_platform_is_wrong_usage(self):
        self.assertEqual(2, self.run_tool("status", url="")[0])

    def test_check_as_json(self):
        code, out, _ = self.run_tool("check", self.file(RULES + "x # A: b\n"), "--json", url="")
        self.assertEqual(1, code)
        self.assertEqual([4], [item["line"] for item in json.loads(out)["findings"]])

    def test_history_and_status(self):
        self.run_tool("apply", self.file(), "--author", "Livia", "--reason", "first")
        status = ZoneStatus(zone="a", at="t", versions={"1": 3}, nodes=[], moves=[])
        self.platform.create("status/a", encode_status(status), "w")
        self.assertIn("Livia", self.run_tool("history")[1])
        self.assertIn("1 on 3 nodes", self.run_tool("status")[1])
        self.assertEqual(1, json.loads(self.run_tool("status", "--json")[1])["version"])
