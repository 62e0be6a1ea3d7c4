"""Base class of tests that run the tool in-process against an in-memory platform."""

import io
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from returns.result import Failure
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.storage.port import Unavailable
from almondshore.ui.context import Context
from almondshore.ui.main import run
from almondshore.versions.status import ZoneStatus, encode_status
from standins.memory_platform import MemoryPlatform
from standins.object_store import ObjectStore

START = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)
RULES = """\
service counter-app version v1  # Anna: base
route GET /schedule/* to counter-app class urgent timeout 2s  # Marco: fault reads
tenant bakery-12 limit 50/s burst 100  # Anna: contract
"""


class ScriptedPlatform(MemoryPlatform):
    """A platform that fails selected writes and runs actions before or after them.

    :ivar lost: numbers, from 1, of the writes that take effect but whose response is lost
    :ivar down: numbers of the writes that do not take effect
    :ivar before: actions by number of the write before which they run
    :ivar after: actions by number of the write after which they run
    """

    def __init__(self, *, store):
        super().__init__(store=store)
        self.writes = 0
        self.lost, self.down = set(), set()
        self.before, self.after = {}, {}

    def update(self, key, value, revision, write_id):
        self.writes += 1
        number = self.writes
        self.before.pop(number, lambda: None)()
        if number in self.down:
            return Failure(Unavailable("connection refused"))
        result = super().update(key, value, revision, write_id)
        self.after.pop(number, lambda: None)()
        return Failure(Unavailable("timed out")) if number in self.lost else result


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

    def write_rules(self, text=RULES, name="rules.txt"):
        path = self.directory / name
        path.write_bytes(text.encode())
        return str(path)

    def run_tool(self, *tokens, url="memory:", platform=None, wait=None):
        """Run a command; return its exit code, output and error output.

        :param wait: replaces the waits of the command; by default they advance the clock
        """
        context = Context(
            clock=self.clock,
            out=io.StringIO(),
            err=io.StringIO(),
            wait=wait or self.clock.advance,
            connect=lambda url, clock: platform or self.platform,
        )
        options = ("--platform", url) if url else ()
        code = run((*options, *tokens), context=context)
        return code, context.out.getvalue(), context.err.getvalue()

    def apply(self, text=RULES, author="Livia", *options, platform=None):
        file = self.write_rules(text, f"{author}.txt")
        return self.run_tool("apply", file, "--author", author, *options, platform=platform)

    def report(self, zone, versions, nodes=(), moves=()):
        """Store the status of a zone."""
        status = ZoneStatus(
            zone=zone, at="t", versions=versions, nodes=list(nodes), moves=list(moves)
        )
        key = f"status/{zone}"
        stored = self.store.objects.get(key)
        revision = stored.revision if stored else 0
        self.store.put(key, encode_status(status), revision, f"{zone}{revision}")
