"""Tests of the findings in a rules file: code, line and column of each mistake."""

from datetime import UTC, datetime

from testtools import TestCase

from almondshore.core.findings import FindingList
from almondshore.rules.check import MAX_FINDINGS, check_rules
from almondshore.rules.compile import move_id
from almondshore.rules.lines import MAX_LINE_CHARS

NOW = datetime(2026, 12, 4, 9, 0, tzinfo=UTC)
BASE = "service desk version v1 # A: b\nroute GET /* to desk # A: b\n"
REQUESTER_COMMENT = " # A: b"


def check(data, existing_move_ids=()):
    findings = FindingList(file="f")
    data = data if isinstance(data, bytes) else data.encode()
    rules = check_rules(data, now=NOW, findings=findings, existing_move_ids=existing_move_ids)
    return rules, [(item.line, item.column, item.code) for item in findings.items]


class CheckRulesTest(TestCase):
    def assert_third_line(self, line, column, code, **kwargs):
        """Check that a line appended to the two lines of BASE gives exactly one finding."""
        _, found = check(BASE + line, **kwargs)
        self.assertEqual([(3, column, code)], found, line)

    def test_example_rules_file_has_no_findings(self):
        """Guards against findings in the documented example of a rules file."""
        rules, found = check(
            "service counter-app version v1  # Anna: base\n"
            "route GET /schedule/* to counter-app class urgent timeout 2s  # Marco: reads\n"
            "tenant bakery-12 limit 50/s burst 100  # Anna: contract\n"
            "move counter-app to v2 by 2026-12-08 06:00 Europe/Rome prefer deadline  # L: day\n"
            "allow counter-app v2  # Livia: override of a veto\n"
        )
        self.assertEqual([], found)
        self.assertEqual(datetime(2026, 12, 8, 5, 0, tzinfo=UTC), rules.moves[0].deadline)
        self.assertEqual([1] * 5, [len(kind) for kind in rules])

    def test_malformed_lines(self):
        """Guards against a finding at the wrong column or with the wrong code."""
        move = "move desk to v2 by "
        cases = (
            ("rout GET /x to desk", 1, "unknown-rule"),
            ("service Big version v1", 9, "bad-name"),
            ("service " + "x" * 64 + " version v1", 9, "name-too-long"),
            ("service other", 14, "missing-version"),
            ("service other version", 22, "missing-version"),
            ("service other verzion v1", 15, "unexpected-word"),
            ("service desk version v1 now", 25, "unexpected-word"),
            ("route GET /x", 13, "missing-service"),
            ("route GET /x to", 14, "missing-service"),
            ("route GET /x class urgent", 14, "missing-service"),
            ("route GETS /x to desk", 7, "bad-method"),
            ("route GET,GET /x to desk", 7, "bad-method"),
            ("route GET x to desk", 11, "bad-path"),
            ("route GET /a*b to desk", 11, "bad-path"),
            ("route GET /a%4 to desk", 11, "bad-path"),
            ("route GET /a/../b to desk", 11, "bad-path"),
            ("route GET /" + "x" * 200 + " to desk", 11, "bad-path"),
            ("route GET /x to desk fast", 22, "unknown-option"),
            ("route GET /x to desk once once", 27, "duplicate-option"),
            ("route GET /x to desk class low", 28, "unknown-value"),
            ("route GET /x to desk timeout 2", 30, "bad-duration"),
            ("route GET /x to desk timeout 0s", 30, "out-of-range"),
            ("route GET /x to desk timeout 301s", 30, "out-of-range"),
            ("route GET /x to desk timeout " + "9" * 900 + "s", 30, "out-of-range"),
            ("tenant t limit 5 burst 1", 16, "bad-rate"),
            ("tenant t limit 0/s burst 1", 16, "out-of-range"),
            ("tenant t limit 9999999/s burst 1", 16, "out-of-range"),
            ("tenant t limit 5/s burst x", 26, "bad-number"),
            ("tenant t limit 5/s burst 0", 26, "out-of-range"),
            ("tenant t limit 5/s", 19, "missing-word"),
            (move + "2026-12-03 06:00 Europe/Rome", 20, "deadline-past"),
            (move + "2026-3-1 06:00 Europe/Rome", 20, "bad-time"),
            (move + "2027-03-01 25:00 Europe/Rome", 31, "bad-time"),
            (move + "2027-03-01 06:00 Europe/Roma", 37, "unknown-time-zone"),
            (move + "2027-03-01 06:00 localtime", 37, "unknown-time-zone"),
            (move + "2027-03-28 02:30 Europe/Rome", 20, "time-in-gap"),
            (move + "2027-10-31 02:30 Europe/Rome", 20, "time-in-overlap"),
            (move + "0001-01-01 00:00 Asia/Tokyo", 20, "bad-time"),
            (move + "2027-03-01 06:00 UTC prefer speed", 48, "unknown-value"),
        )
        for line, column, code in cases:
            self.assert_third_line(line + REQUESTER_COMMENT, column, code)

    def test_missing_requester_or_reason(self):
        """Guards against accepting a rule without a requester or a reason."""
        rule = "tenant t limit 5/s burst 1"
        for comment in ("", " #", " # Anna", " # : why"):
            self.assert_third_line(rule + comment, 27, "missing-requester")
        self.assert_third_line(rule + " # Anna: ", 27, "missing-reason")

    def test_references_and_duplicates(self):
        """Guards against duplicate or conflicting rules and references to unknown services."""
        cases = (
            ("route GET /x to dask", 17, "unknown-service"),
            ("move dask to v2 by 2027-03-01 06:00 UTC", 6, "unknown-service"),
            ("allow dask v2", 7, "unknown-service"),
            ("service desk version v2", 9, "duplicate-service"),
            ("service other version v2", 9, "service-without-route"),
            ("route GET /* to desk", 11, "duplicate-route"),
            ("route POST,GET /* to desk", 16, "conflicting-route"),
            ("route GET /* to desk once", 11, "conflicting-route"),
            ("move desk to v1 by 2027-03-01 06:00 UTC", 14, "move-to-serving-version"),
        )
        for line, column, code in cases:
            self.assert_third_line(line + REQUESTER_COMMENT, column, code)

    def test_second_rule_of_a_kind(self):
        cases = (
            ("tenant t limit 5/s burst 1", 8, "duplicate-tenant"),
            ("move desk to v2 by 2027-03-01 06:00 UTC", 6, "duplicate-move"),
            ("allow desk v2", 7, "duplicate-allow"),
        )
        for line, column, code in cases:
            _, found = check(f"{BASE}{line}{REQUESTER_COMMENT}\n{line}{REQUESTER_COMMENT}\n")
            self.assertEqual([(4, column, code)], found)

    def test_paths_that_differ_only_in_escapes_are_equal(self):
        """Guards against two routes for one path, with an arbitrary choice between them."""
        lines = "route GET /a%7e%2f to desk # A: b\nroute GET /a~%2F to desk # A: b\n"
        self.assertEqual([(4, 11, "duplicate-route")], check(BASE + lines)[1])

    def test_deadline_of_a_move_in_force_may_have_passed(self):
        """Guards against rejecting unrelated changes after the deadline of an existing move."""
        data = BASE + "move desk to v2 by 2026-12-03 06:00 UTC # A: b"
        rules, found = check(data)
        self.assertEqual([(3, 20, "deadline-past")], found)
        self.assertEqual([], check(data, existing_move_ids={move_id(rules.moves[0])})[1])

    def test_six_mistakes_give_six_findings(self):
        """Guards against reporting only the first mistake, or findings that follow from others."""
        _, found = check(
            "service desk version v1\n"  # no requester
            "servce shop version v1 # A: b\n"  # misspelled keyword; shop counts as defined
            "route GET /desk to desk timeout 2x # A: b\n"
            "route GET /shop to shop # A: b\n"
            "route GET /none to none # A: b\n"
            "move desk to v2 by 2026-12-01 06:00 UTC # A: b\n"
            "tenant t limit x/s burst 5 # A: b\n"
        )
        expected = [
            (1, 24, "missing-requester"),
            (2, 1, "unknown-rule"),
            (3, 33, "bad-duration"),
            (5, 20, "unknown-service"),
            (6, 20, "deadline-past"),
            (7, 16, "bad-rate"),
        ]
        self.assertEqual(expected, found)

    def test_several_mistakes_on_one_line(self):
        line = "route GOT x to desk class low timeout 2"
        _, found = check(BASE + line)
        self.assertEqual([7, 11, 27, 39, 40], [column for _, column, _ in found])

    def test_findings_are_bounded(self):
        """Guards against flooding the terminal when a file is not a rules file."""
        for data in (b"x\n" * 500_000, BASE.encode() * 300):
            _, found = check(data)
            self.assertEqual(MAX_FINDINGS + 1, len(found))
            self.assertEqual("too-many-findings", found[-1][2])


class CharactersTest(TestCase):
    def test_line_ends_tabs_and_byte_order_mark(self):
        """Guards against rejecting the line endings, tabs and byte order marks of other editors."""
        for data in (BASE, BASE.rstrip("\n"), BASE.replace(" ", "\t"), BASE.replace("\n", "\r\n")):
            for mark in (b"", b"\xef\xbb\xbf"):
                rules, found = check(mark + data.encode())
                self.assertEqual(([], 1, "desk"), (found, len(rules.routes), rules[0][0].name))

    def test_bad_characters(self):
        """Guards against characters that hide a rule or that a terminal interprets."""
        cases = (
            (b"tenant t\0 limit 1/s burst 1 # A: b", 9, "control-character"),
            (b"tenant t limit 1/s burst 1 # A: \x1b[2J", 33, "control-character"),
            ("tenant\u00a0t limit 1/s burst 1 # A: b".encode(), 7, "control-character"),
            ("tenant t limit 1/s burst 1 # A\u202e: b".encode(), 31, "control-character"),
            (b"tenant t limit 1/s\rburst 1 # A: b", 19, "control-character"),
            (b"tenant t limit 1/s burst 1 # \xc3\xa9\xe9: b", 31, "bad-encoding"),
            (b"# " + b"x" * MAX_LINE_CHARS, MAX_LINE_CHARS + 1, "line-too-long"),
        )
        for line, column, code in cases:
            _, found = check(BASE.encode() + line)
            self.assertEqual([(3, column, code)], found, line)

    def test_wide_space_in_a_comment_is_accepted(self):
        self.assertEqual([], check(BASE + "tenant t limit 1/s burst 1 # Zoë\u00a0: a\u3000b")[1])

    def test_bad_encoding_causes_no_further_findings(self):
        """Guards against an unknown-service finding caused by a service line in Latin-1."""
        data = BASE.replace("A", "Zo\u00eb", 1).encode("latin-1")
        self.assertEqual([(1, 29, "bad-encoding")], check(data)[1])

    def test_findings_about_the_whole_file(self):
        self.assertEqual([(0, 0, "file-too-large")], check(b"#" * (1024 * 1024 + 1))[1])
        self.assertEqual([(1, 1, "bad-encoding")], check(BASE.encode("utf-16"))[1])
        self.assertEqual([(0, 0, "no-rules")], check(b"# Anna: later\n")[1])
