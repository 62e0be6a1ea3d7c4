"""Tests of the documentation page on embedding and its example."""

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
        """Guards against an example that runs but whose nodes no longer exchange their state."""
        nodes = self.example["run"]().nodes.values()
        self.assertEqual({"zone-a", "zone-b"}, {node.identity.zone for node in nodes})
        for node in nodes:
            self.assertTrue(node.ready)
            self.assertEqual(1, node.control.config.state.current.version)
            self.assertEqual(["counter-1"], list(node.control.directory.records))
            self.assertEqual(["counter-app"], list(node.current_routes().weights))

    def test_run_is_reproducible_by_seed(self):
        """Guards against decision logic that uses global random state or the system clock."""
        first, again = (self.trace(seed=7) for _ in range(2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, self.trace(seed=8))

    def trace(self, *, seed):
        """Return all messages that the nodes send in 30 s, with the time and the sender."""
        simulation = self.example["Simulation"](seed=seed)
        self.example["publish"](simulation.platform, simulation.clock, self.example["RULES"])
        sent, send = [], simulation.send
        simulation.send = lambda sender, sends: (
            sent.extend((simulation.clock.monotonic(), sender, item) for item in sends),
            send(sender, sends),
        )
        for ip, zone in self.example["ZONES"].items():
            simulation.add(ip, zone)
        simulation.run(timedelta(seconds=30))
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

    def test_listing_is_that_of_the_example(self):
        """Guards against a listing on the page that differs from the code of the example."""
        listing = re.search(r"```python\n(.*?)```", (DOCS / "embedding.md").read_text(), re.S)[1]
        example = EXAMPLE.read_text()
        self.assertIn(textwrap.indent(listing, " " * 4), example)

    def test_output_is_that_of_the_example(self):
        """Guards against output on the page that the example no longer prints."""
        completed = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "docs.examples.three_nodes"],
            cwd=DOCS.parent,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("", completed.stderr)
        shown = (DOCS / "embedding.md").read_text().split("three_nodes\n")[1].split("\n\n")[0]
        self.assertEqual(completed.stdout, textwrap.dedent(shown) + "\n")
