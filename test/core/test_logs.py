"""Tests of key=value log lines."""

import io
import json
import logging
import re

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.logs import MAX_VALUE_CHARS, log_event, setup_logs

PAIR = re.compile(r'([a-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^ "=]+)(?: |$)')
ANY_TEXT = st.text(st.characters(codec=None), max_size=40)


def parse(line):
    pairs, end = {}, 0
    while end < len(line):
        match = PAIR.match(line, end)
        assert match, line
        key, text = match.groups()
        pairs[key] = json.loads(text) if text.startswith('"') else text
        end = match.end()
    return pairs


class LogsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(setup_logs)
        self.stream = io.StringIO()
        setup_logs(stream=self.stream)

    def lines(self):
        text = self.stream.getvalue()
        self.stream.seek(0)
        self.stream.truncate()
        assert text.endswith("\n")
        return text[:-1].splitlines()

    @given(event=ANY_TEXT, values=st.dictionaries(st.sampled_from("abcdef"), ANY_TEXT))
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_one_event_is_one_line_that_parses_back(self, event, values):
        """Guards against a header or path that forges log lines or fields."""
        log_event(event, **values)
        (line,) = self.lines()
        self.assertTrue(line.isascii() and line.isprintable())
        pairs = parse(line)
        del pairs["time"]
        self.assertEqual({"event": event, "level": "INFO", **values}, pairs)

    def test_markup_and_braces_are_kept(self):
        """Guards against values that loguru interprets as formats or colour markup."""
        log_event("e", a="{x} <red>", b="{extra}", c="</>")
        self.assertEqual("{x} <red>", parse(self.lines()[0])["a"])

    def test_long_values_are_cut(self):
        """Guards against one request that fills the log."""
        log_event("e", a="x" * 100 * MAX_VALUE_CHARS)
        self.assertTrue(len(self.lines()[0]) < MAX_VALUE_CHARS + 200)

    def test_library_logs_are_events(self):
        """Guards against multi-line tracebacks of libraries between the events."""
        try:
            raise ValueError("a\nb")
        except ValueError:
            logging.getLogger("urllib3").exception("failed\n%s", "twice")
        (line,) = self.lines()
        pairs = parse(line)
        self.assertEqual(("library_log", "urllib3"), (pairs["event"], pairs["logger"]))
        self.assertEqual(("failed\ntwice", "ERROR"), (pairs["message"], pairs["level"]))
        self.assertEqual("ValueError: a\nb", pairs["error"])
