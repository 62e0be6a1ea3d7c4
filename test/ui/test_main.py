"""Tests of the tool's entry point and of ``check``."""

import json

from test.ui.tooltest import RULES, ToolTest


class MainTest(ToolTest):
    def test_wrong_usage_exits_with_2(self):
        """Guards against wrong usage that a script takes for a finding."""
        apply = ["apply", self.file(), "--author"]
        for tokens in (
            ["bogus"],
            ["check"],
            ["check", "/no/such/file"],
            ["check", str(self.directory)],
            ["apply", "x"],
            [*apply, " "],
            [*apply, "A\nB"],
            [*apply, "A", "--wait", "-1"],
            [*apply, "A", "--base", "one"],
            ["history", "--limit", "0"],
        ):
            code, out, err = self.run_tool(*tokens)
            self.assertEqual((2, ""), (code, out), tokens)
            self.assertIn("almondshore: ", err)

    def test_platform_option(self):
        """Guards against a traceback without a platform, and a fixed place of the option."""
        for command in ("status", "nodes", "moves", "history"):
            self.assertEqual(2, self.run_tool(command, url="")[0])
            self.assertEqual(0, self.run_tool(command, "--platform", "memory:", url="")[0])

    def test_check(self):
        """Guards against findings that a script or an editor cannot read."""
        good = self.file()
        self.assertEqual((0, f"{good}: 3 rules, no findings\n", ""), self.run_tool("check", good))
        bad = self.file(RULES + "x # A: b\n")
        self.assertIn(f"{bad}:4:1: unknown-rule: ", self.run_tool("check", bad, url="")[1])
        code, out, _ = self.run_tool("check", bad, "--json", url="")
        self.assertEqual(1, code)
        self.assertEqual([4], [item["line"] for item in json.loads(out)["findings"]])
