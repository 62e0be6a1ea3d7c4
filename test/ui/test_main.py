"""Tests of the tool's entry point and of ``check``."""

import errno
import io
import json

from almondshore.ui.context import Context
from almondshore.ui.main import run
from test.ui.tooltest import RULES, ToolTest


class FullDiskOutput(io.StringIO):
    def write(self, text):
        raise OSError(errno.ENOSPC, "No space left on device")


class MainTest(ToolTest):
    def test_wrong_usage_exits_with_2(self):
        """Guards against an exit code with which a script mistakes wrong usage for findings."""
        apply = ["apply", self.write_rules(), "--author"]
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
        """Guards against a traceback without a platform, and an option refused after a command."""
        for command in ("status", "nodes", "moves", "history"):
            self.assertEqual(2, self.run_tool(command, url="")[0])
            self.assertEqual(0, self.run_tool(command, "--platform", "memory:", url="")[0])

    def test_malformed_platform_url_is_wrong_usage(self):
        """Guards against reporting a mistyped URL as an outage."""
        for url in ("no url", "127.0.0.1:7300", "http://127.0.0.1:99999", "ftp://x", "http://"):
            context = Context(out=io.StringIO(), err=io.StringIO())
            self.assertEqual(2, run(["--platform", url, "status"], context=context), url)

    def test_output_that_cannot_be_written(self):
        """Guards against a traceback when the output goes to a full disk."""
        context = Context(out=FullDiskOutput(), err=io.StringIO())
        self.assertEqual(1, run(["check", self.write_rules()], context=context))
        self.assertIn("cannot write the output", context.err.getvalue())

    def test_check(self):
        """Guards against findings in a format that a script or an editor cannot parse."""
        good = self.write_rules()
        self.assertEqual((0, f"{good}: 3 rules, no findings\n", ""), self.run_tool("check", good))
        bad = self.write_rules(RULES + "x # A: b\n")
        self.assertIn(f"{bad}:4:1: unknown-rule: ", self.run_tool("check", bad, url="")[1])
        code, out, _ = self.run_tool("check", bad, "--json", url="")
        self.assertEqual(1, code)
        self.assertEqual([4], [item["line"] for item in json.loads(out)["findings"]])
