"""Tests of the embedder's page and its example."""

import re
import runpy
import subprocess
import sys
import textwrap
from datetime import timedelta
from importlib import import_module
from pathlib import Path

from testtools import TestCase

DOCS = Path(__file__).parents[2] / "docs"
EXAMPLE = DOCS / "examples" / "three_nodes.py"


class ExampleTest(TestCase):
    def setUp(self):
        super().setUp()
        self.example = runpy.run_path(str(EXAMPLE))

    def test_all_nodes_hold_the_version_and_the_target(self):
        """Guards against an example that runs but no longer joins its nodes."""
        nodes = self.example["run"]().nodes.values()
        self.assertEqual({"zone-a", "zone-b"}, {node.identity.zone for node in nodes})
        for node in nodes:
            self.assertTrue(node.ready)
            self.assertEqual(1, node.control.config.state.current.version)
            self.assertEqual(["counter-1"], list(node.control.directory.records))
            self.assertEqual(["counter-app"], list(node.current_routes().weights))

    def test_a_seed_repeats_the_run(self):
        """Guards against decision logic that draws on global random state or the system clock."""
        first, again = (self.trace(seed=7) for _ in range(2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, self.trace(seed=8))

    def trace(self, *, seed):
        """Return all messages that the nodes send in 30 s, with the time and the sender."""
        pump = self.example["Pump"](seed=seed)
        self.example["publish"](pump.platform, pump.clock, self.example["RULES"])
        sent, put = [], pump.send
        pump.send = lambda sender, sends: (
            sent.extend((pump.clock.monotonic(), sender, item) for item in sends),
            put(sender, sends),
        )
        for ip, zone in self.example["ZONES"].items():
            pump.add(ip, zone)
        pump.run(timedelta(seconds=30))
        return sent


class PageTest(TestCase):
    def test_every_named_component_exists(self):
        """Guards against a page that names modules or classes that were renamed."""
        text = (DOCS / "embedding.md").read_text()
        names = re.findall(r"`almondshore\.([a-z_.]+)(?:\.([A-Z]\w+))?`", text)
        self.assertGreater(len(names), 20)
        for module, attribute in names:
            found = import_module(f"almondshore.{module}")
            self.assertTrue(not attribute or hasattr(found, attribute), f"{module}.{attribute}")

    def test_the_code_shown_is_that_of_the_example(self):
        """Guards against a listing on the page that differs from the code that runs."""
        listing = re.search(r"```python\n(.*?)```", (DOCS / "embedding.md").read_text(), re.S)[1]
        example = EXAMPLE.read_text()
        self.assertIn(textwrap.indent(listing, " " * 4), example)

    def test_the_output_shown_is_that_of_the_example(self):
        """Guards against output on the page that the example no longer prints."""
        done = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "docs.examples.three_nodes"],
            cwd=DOCS.parent,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("", done.stderr)
        shown = (DOCS / "embedding.md").read_text().split("three_nodes\n")[1].split("\n\n")[0]
        self.assertEqual(done.stdout, textwrap.dedent(shown) + "\n")
