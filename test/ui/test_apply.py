"""Tests of the ``apply`` command."""

from standins.object_store import Fault
from test.ui.tooltest import RULES, ToolTest


class ApplyTest(ToolTest):
    def test_names_the_version_it_published(self):
        code, out, _ = self.run_tool("apply", self.file(), "--author", "Livia")
        self.assertEqual((0, "published version 1\n"), (code, out))

    def test_repeat_publishes_nothing(self):
        """Guards against a second version for an apply that was repeated."""
        self.run_tool("apply", self.file(), "--author", "Livia")
        code, out, _ = self.run_tool("apply", self.file(), "--author", "Livia")
        self.assertEqual((0, "version 1 already holds these rules\n"), (code, out))
        self.assertNotIn("config/version/000000000002", self.store.objects)

    def test_findings_refuse_the_file(self):
        """Guards against publishing a file with findings in part."""
        code, _, err = self.run_tool("apply", self.file(RULES + "rout x\n"), "--author", "Livia")
        self.assertEqual(1, code)
        self.assertIn("missing-requester", err)
        self.assertEqual({}, self.store.objects)

    def test_outage_is_one_line(self):
        """Guards against a traceback when the platform is down."""
        self.store.fault = Fault.DOWN
        code, _, err = self.run_tool("apply", self.file(), "--author", "Livia")
        self.assertEqual(1, code)
        self.assertEqual("almondshore: the platform does not answer: the platform is down\n", err)
