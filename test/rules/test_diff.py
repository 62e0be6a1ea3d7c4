"""Tests of the semantic diff of rules and of the check against the current configuration."""

from datetime import UTC, datetime

from testtools import TestCase

from almondshore.core.findings import FindingList
from almondshore.rules.compile import compile_rules, decode_service, encode_part
from almondshore.rules.diff import describe_change, diff_rules
from almondshore.rules.grammar import parse
from almondshore.rules.transition import check_transition, existing_move_ids

NOW = datetime(2026, 12, 4, tzinfo=UTC)
RULES = """\
service desk version v1 # Anna: base
route GET,POST /a to desk # Anna: base
route GET /b to desk # Anna: base
tenant t limit 5/s burst 1 # Anna: base
move desk to v2 by 2026-12-08 06:00 UTC # Livia: market
allow desk v0 # Livia: override
"""


def rules(text):
    findings = FindingList(file="f")
    parsed = parse(text.encode(), findings=findings)
    assert not findings, findings.items
    return parsed.rules


def changes(old, new):
    return [
        (change.kind.value, *(rule and rule.source.line for rule in change[1:]))
        for change in diff_rules(rules(old), rules(new))
    ]


class DiffTest(TestCase):
    def test_same_meaning_is_no_difference(self):
        """Guards against reporting rules of which only the line or the spacing changed."""
        lines = RULES.replace(" to desk", "\tto   desk class routine timeout 2000ms").splitlines()
        self.assertEqual([], changes(RULES, "\n\n".join(reversed(lines)) + "\n# end"))

    def test_each_kind_of_change(self):
        """Guards against a change that is reported at the wrong line or not at all."""
        cases = (
            ("service desk version v1", "service desk version v3", ("changed", 1, 1)),
            ("service desk", "service shop", ("removed", 1, None), ("added", None, 1)),
            ("route GET /b", "route GET,HEAD /b", ("changed", 3, 3)),
            ("route GET /b", "route GET /c", ("removed", 3, None), ("added", None, 3)),
            ("burst 1", "burst 2", ("changed", 4, 4)),
            ("06:00", "07:00", ("changed", 5, 5)),
            ("allow desk v0", "allow desk v2", ("removed", 6, None), ("added", None, 6)),
            ("Livia: market", "Marco: market", ("changed", 5, 5)),
            ("service", "\n# comment\nallow desk v9 # A: b\nservice", ("added", None, 3)),
        )
        for old, new, *expected in cases:
            self.assertEqual(expected, changes(RULES, RULES.replace(old, new, 1)), new)

    def test_description_names_line_and_requester(self):
        new = RULES.replace("burst 1 # Anna: base", "burst 2 # Ugo: more")
        (change,) = diff_rules(rules(RULES), rules(new))
        expected = [
            "- line 4: tenant t limit 5/s burst 1  # Anna: base",
            "+ line 4: tenant t limit 5/s burst 2  # Ugo: more",
        ]
        self.assertEqual(expected, describe_change(change))


class TransitionTest(TestCase):
    def previous(self, state):
        parts = compile_rules(rules(RULES), version=3, now=NOW, previous={})
        part = decode_service(parts["service/desk"])
        part["move"]["state"] = state
        return {"desk": part}

    def found(self, text, state):
        findings = FindingList(file="f")
        check_transition(rules(text), previous=self.previous(state), findings=findings)
        return [(item.line, item.column, item.code) for item in findings.items]

    def test_finished_move_is_not_undone(self):
        """Guards against reverting all traffic when the rule of a completed move is removed."""
        removed = RULES.replace("move", "# move")
        replaced = RULES.replace("to v2", "to v3")
        for text in (removed, replaced):
            self.assertEqual([(1, 22, "serving-version")], self.found(text, "done"))
            self.assertEqual([], self.found(text.replace("version v1", "version v2"), "done"))
            self.assertEqual([], self.found(text, "active"))
        self.assertEqual([], self.found(RULES, "done"))

    def test_unrelated_change_keeps_move_and_allow_rule(self):
        """Guards against an unrelated change that restarts a move or renews an allow rule."""
        previous = self.previous("done")
        later = rules(RULES.replace("burst 1", "burst 2"))
        parts = compile_rules(later, version=9, now=NOW.replace(day=5), previous=previous)
        part = decode_service(parts["service/desk"])
        self.assertEqual((previous["desk"]["move"], "v2"), (part["move"], part["version"]))
        self.assertEqual({"v0": 3}, part["allowed"])
        self.assertEqual({part["move"]["move_id"]}, existing_move_ids(previous))
        self.assertEqual(encode_part(part), parts["service/desk"])
