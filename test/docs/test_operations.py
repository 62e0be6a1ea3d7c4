"""Tests of the operations page; commands that need no deployment are run as written there."""

import io
import os
import re
import shlex
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.daemon.settings import parse_settings
from almondshore.ui.context import Context
from almondshore.ui.main import run

DOCS = Path(__file__).parents[2] / "docs"
PAGE = (DOCS / "OPERATIONS.md").read_text()
# Time of the runs on the page; the deadlines on the page are later.
RUN_TIME = datetime(2026, 12, 4, 10, 0, tzinfo=UTC)
PROMPT = "    $ "


def blocks(kind):
    return re.findall(rf"^```{kind}\n(.*?)^```", PAGE, re.M | re.S)


def commands(name):
    """Return the arguments and the shown output of each run of a command on the page."""
    found = []
    for block in re.findall(r"(?:^    .*\n)+", PAGE, re.M):
        for part in block.split(PROMPT)[1:]:
            line, *output = part.splitlines()
            words = shlex.split(line)
            if words[:2] == ["almondshore", name]:
                found.append((words[1:], [text.removeprefix("    ").rstrip() for text in output]))
    return found


class OperationsTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, Path.cwd())
        os.chdir(folder.name)
        (rules,), (holiday, moved) = blocks("rules"), blocks("rules-line")
        broken = moved.partition(" prefer")[0] + "\n"
        Path("rules.txt").write_text(rules)
        Path("published.txt").write_text(rules + holiday)
        Path("edited.txt").write_text(rules + moved)
        Path("broken.txt").write_text((rules + broken).replace("class urgent", "class urgnt"))

    def run_tool(self, words):
        out, err = io.StringIO(), io.StringIO()
        code = run(words, context=Context(clock=ManualClock(start=RUN_TIME), out=out, err=err))
        return code, (err.getvalue() + out.getvalue()).splitlines()

    def test_check_prints_what_the_page_shows(self):
        """Guards against a rules file on the page that the tool refuses, and different output."""
        shown = commands("check")
        self.assertEqual(["rules.txt", "edited.txt"], [words[1] for words, _ in shown])
        for words, output in shown:
            self.assertEqual((0, output), self.run_tool(words))

    def test_diff_prints_what_the_page_shows(self):
        """Guards against a changed deadline that the tool shows in another way than the page.

        The published rules, with which the page compares, are read from a file instead.
        """
        ((words, output),) = commands("diff")
        self.assertEqual(["diff", "edited.txt"], words)
        self.assertEqual((0, output), self.run_tool(["diff", "published.txt", "edited.txt"]))

    def test_findings_are_those_that_the_page_shows(self):
        """Guards against findings whose position, code or wording differs from the page."""
        output = next(out for words, out in commands("apply") if words[1] == "broken.txt")
        self.assertEqual((1, output[:-1]), self.run_tool(["check", "broken.txt"]))
        words = ["--platform", "http://127.0.0.1:9", "apply", "broken.txt", "--author", "livia"]
        self.assertEqual((1, output), self.run_tool(words))

    def test_settings_load_without_findings(self):
        """Guards against a settings file on a page with a key or value that is refused."""
        pages = [PAGE, (DOCS / "settings.md").read_text()]
        files = [text for page in pages for text in re.findall(r"```yaml\n(.*?)```", page, re.S)]
        self.assertEqual(2, len(files))
        for text in files:
            self.assertNotEqual("", parse_settings(text.encode(), name="page").node)

    def test_rules_of_the_rules_page_have_no_findings(self):
        """Guards against an example on the rules page that the tool refuses."""
        text = re.search(r"```\n(service .*?)```", (DOCS / "rules.md").read_text(), re.S)[1]
        Path("rules-page.txt").write_text(text)
        self.assertEqual(
            (0, ["rules-page.txt: 5 rules, no findings"]),
            self.run_tool(["check", "rules-page.txt"]),
        )

    def test_links_lead_to_pages(self):
        """Guards against links to pages or headings that do not exist."""
        for name in ("OPERATIONS.md", "embedding.md"):
            for path, heading in re.findall(r"\]\(([^)#]+)#?([^)]*)\)", (DOCS / name).read_text()):
                target = (DOCS / path).read_text()
                headings = [line.lstrip("# ") for line in target.splitlines() if line[:1] == "#"]
                self.assertTrue(
                    not heading or heading in [h.lower().replace(" ", "-") for h in headings]
                )

    def test_events_of_the_page_are_documented(self):
        """Guards against a log event of the page that the reference of log events lacks."""
        listed = re.findall(r"^\| (`.*?) \|", PAGE.partition("## Log events")[2], re.M)
        reference = (DOCS / "logs-and-metrics.md").read_text()
        for event in re.findall(r"`(\w+)", " ".join(listed)):
            known = event if not event.startswith(("move_", "send_")) else event.split("_")[0] + "_"
            self.assertIn(f"`{known}", reference)
