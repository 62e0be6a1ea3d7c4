"""Property tests: parsing never raises, and formatted rules parse back to themselves."""

import unicodedata
from datetime import UTC, datetime, timedelta

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.findings import FindingList
from almondshore.rules.check import check_rules
from almondshore.rules.format import format_rules
from almondshore.rules.grammar import parse
from almondshore.rules.lines import HIDDEN_CATEGORIES
from almondshore.rules.model import (
    AllowRule,
    Columns,
    MoveRule,
    Preference,
    RequestClass,
    RouteRule,
    RuleSet,
    RuleSource,
    ServiceRule,
    TenantRule,
)
from almondshore.rules.values import METHODS

NOW = datetime(2026, 12, 4, tzinfo=UTC)
SETTINGS = settings(deadline=None, derandomize=True, database=None, max_examples=300)
WORDS = (
    *("service", "route", "tenant", "move", "allow", "version", "to", "by", "limit", "burst"),
    *("class", "once", "timeout", "prefer", "a", "v1", "GET,POST", "/x/*", "urgent", "2s", "5/s"),
    *(
        "100",
        "2026-12-08",
        "06:00",
        "Europe/Rome",
        "Europe",
        "..",
        "#",
        "A:",
        "b",
        "\n",
        "\r",
        "\0",
    ),
    *("9" * 20, "0001-01-01", "9999-12-31", "23:59", "Asia/Tokyo", "Pacific/Honolulu"),
)

names = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,62}", fullmatch=True)
comments = st.text(min_size=1, max_size=20).filter(
    lambda text: text.strip()
    and not any(unicodedata.category(char) in HIDDEN_CATEGORIES for char in text)
)
sources = st.builds(
    lambda who, why: RuleSource(0, who.strip(), why.strip()),
    comments.filter(lambda text: ":" not in text),
    comments,
)
rules = st.one_of(
    st.builds(ServiceRule, names, names, sources),
    st.builds(
        RouteRule,
        st.lists(st.sampled_from(METHODS), min_size=1, unique=True).map(tuple),
        st.from_regex(r"/[a-z0-9/_~%]{0,20}\*?", fullmatch=True).filter(lambda p: "%" not in p),
        names,
        st.sampled_from(RequestClass),
        st.booleans(),
        st.integers(1, 300_000).map(lambda count: timedelta(milliseconds=count)),
        sources,
    ),
    st.builds(
        TenantRule, names, st.integers(1, 10**9).map(lambda n: n / 1000), st.integers(1, 9), sources
    ),
    st.builds(
        MoveRule,
        names,
        names,
        st.datetimes(timezones=st.just(UTC)).map(lambda at: at.replace(second=0, microsecond=0)),
        st.sampled_from(Preference),
        sources,
    ),
    st.builds(AllowRule, names, names, sources),
)


def rule_set(items):
    kinds = (ServiceRule, RouteRule, TenantRule, MoveRule, AllowRule)
    placed = [
        rule._replace(source=rule.source._replace(line=number))
        for number, rule in enumerate(items, 1)
    ]
    return RuleSet(*(tuple(rule for rule in placed if type(rule) is kind) for kind in kinds))


def without_columns(rules):
    return RuleSet(
        *(
            tuple(rule._replace(source=rule.source._replace(columns=Columns())) for rule in kind)
            for kind in rules
        )
    )


class PropertyTest(TestCase):
    @SETTINGS
    @given(st.one_of(st.binary(), st.lists(st.sampled_from(WORDS)).map(" ".join).map(str.encode)))
    @example(b"move a to b by 0001-01-01 00:00 Asia/Tokyo # A: b")
    @example(b"move a to b by 9999-12-31 23:59 Pacific/Honolulu # A: b")
    @example(b"move a to b by 2026-12-08 06:00 Europe # A: b")
    def test_checking_never_raises(self, data):
        """Guards against an exception on arbitrary content of a rules file."""
        check_rules(data, now=NOW, findings=FindingList(file="f"))

    @SETTINGS
    @given(st.lists(rules, max_size=5).map(rule_set))
    def test_formatted_rules_parse_to_themselves(self, expected):
        """Guards against formatted rules that parse to different rules."""
        findings = FindingList(file="f")
        parsed = parse(format_rules(expected).encode(), findings=findings)
        self.assertEqual([], findings.items)
        self.assertEqual(expected, without_columns(parsed.rules))
