"""Base class of tests that run the tool in-process against an in-memory platform."""

import io
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.ui.context import Context
from almondshore.ui.main import run
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

START = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)
RULES = """\
service counter-app version v1  # Anna: base
route GET /schedule/* to counter-app class urgent timeout 2s  # Marco: fault reads
tenant bakery-12 limit 50/s burst 100  # Anna: contract
"""


class ToolTest(TestCase):
    """Runs commands against ``self.store`` on a manual clock."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=START)
        self.store = ObjectStore(clock=self.clock)
        self.platform = MemoryPlatform(store=self.store)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def file(self, text=RULES, name="rules.txt"):
        path = self.directory / name
        path.write_bytes(text.encode())
        return str(path)

    def run_tool(self, *tokens, url="memory:"):
        """Return the exit code, the output and the errors of a command."""
        context = Context(
            clock=self.clock,
            out=io.StringIO(),
            err=io.StringIO(),
            wait=self.clock.advance,
            connect=lambda url, clock: self.platform,
        )
        options = ("--platform", url) if url else ()
        code = run((*options, *tokens), context=context)
        return code, context.out.getvalue(), context.err.getvalue()
