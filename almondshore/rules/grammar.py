"""Parses the lines of a rules file into typed rules and collects findings with their positions."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from difflib import get_close_matches
from typing import NamedTuple

from almondshore.core.findings import FindingList
from almondshore.rules.lines import read_lines
from almondshore.rules.model import (
    AllowRule,
    Columns,
    MoveRule,
    Preference,
    RequestClass,
    RouteRule,
    Rule,
    RuleSet,
    RuleSource,
    ServiceRule,
    TenantRule,
)
from almondshore.rules.values import (
    take_burst,
    take_choice,
    take_deadline,
    take_duration,
    take_methods,
    take_path,
    take_rate,
)
from almondshore.rules.words import LineError, LineFinding, WordReader, quoted

DEFAULT_TIMEOUT = timedelta(seconds=2)


class ParseResult(NamedTuple):
    """The rules parsed from a file.

    :ivar skipped: by keyword, all words of the lines that were left out because of findings; the
        reference checks accept these words as names, so that a mistake causes no further findings
    :ivar complete: whether all lines were read
    """

    rules: RuleSet
    skipped: Mapping[str, frozenset[str]]
    complete: bool


def _parse_service(words: WordReader, source: RuleSource) -> ServiceRule:
    name = words.name("service name")
    if not words.has_more() or words.next_is("version") and words.index + 1 == len(words.items):
        raise LineError(
            words.end_column, "missing-version", "expected 'version NAME': a service needs one"
        )
    words.expect("version")
    version = words.name("version name")
    columns = Columns(name=name.column, version=version.column)
    return ServiceRule(name.text, version.text, source._replace(columns=columns))


def _parse_route(words: WordReader, source: RuleSource) -> RouteRule:
    methods, path = take_methods(words), take_path(words)
    if not words.next_is("to") or words.index + 1 == len(words.items):
        raise LineError(
            words.column(), "missing-service", "expected 'to SERVICE': a route needs a service"
        )
    words.expect("to")
    service = words.name("service name")
    options = {"class": RequestClass.ROUTINE, "once": False, "timeout": DEFAULT_TIMEOUT}
    seen: set[str] = set()
    while words.has_more():
        option = words.take("an option")
        if option.text not in options:
            message = f"{quoted(option.text)} is not one of {', '.join(options)}"
            raise LineError(option.column, "unknown-option", message)
        if option.text in seen:
            words.report(option, "duplicate-option", f"'{option.text}' is given twice")
        seen.add(option.text)
        options[option.text] = OPTION_PARSERS[option.text](words)
    source = source._replace(columns=Columns(name=service.column, path=path.column))
    return RouteRule(
        methods,
        path.text,
        service.text,
        options["class"],
        options["once"],
        options["timeout"],
        source,
    )


OPTION_PARSERS: dict[str, Callable] = {
    "class": lambda words: take_choice(words, "a class", RequestClass),
    "once": lambda words: True,
    "timeout": take_duration,
}


def _parse_tenant(words: WordReader, source: RuleSource) -> TenantRule:
    name = words.name("tenant name")
    words.expect("limit")
    rate = take_rate(words)
    words.expect("burst")
    burst = take_burst(words)
    return TenantRule(name.text, rate, burst, source._replace(columns=Columns(name=name.column)))


def _parse_move(words: WordReader, source: RuleSource) -> MoveRule:
    service = words.name("service name")
    words.expect("to")
    version = words.name("version name")
    words.expect("by")
    deadline, column = take_deadline(words)
    prefer = Preference.DEADLINE
    if words.has_more():
        words.expect("prefer")
        prefer = take_choice(words, "a preference", Preference)
    columns = Columns(name=service.column, version=version.column, deadline=column)
    return MoveRule(service.text, version.text, deadline, prefer, source._replace(columns=columns))


def _parse_allow(words: WordReader, source: RuleSource) -> AllowRule:
    service, version = words.name("service name"), words.name("version name")
    columns = Columns(name=service.column, version=version.column)
    return AllowRule(service.text, version.text, source._replace(columns=columns))


PARSERS: dict[str, Callable[[WordReader, RuleSource], Rule]] = {
    "service": _parse_service,
    "route": _parse_route,
    "tenant": _parse_tenant,
    "move": _parse_move,
    "allow": _parse_allow,
}


def parse(data: bytes, *, findings: FindingList, limit: int | None = None) -> ParseResult:
    """Parse the content of a rules file.

    Lines with findings are left out of the rules, unless the only finding is a missing requester
    or reason.

    :param findings: receives the findings of all lines that were read
    :param limit: number of findings after which parsing stops; None for no limit
    """
    rules: dict[str, list[Rule]] = {keyword: [] for keyword in PARSERS}
    skipped: dict[str, set[str]] = {keyword: set() for keyword in PARSERS}
    complete = True
    for line in read_lines(data, findings=findings):
        if limit is not None and len(findings.items) >= limit:
            complete = False
            break
        body, hash_sign, comment = line.text.partition("#")
        words = WordReader(body)
        if not words.items:
            continue
        source, comment_findings = _parse_comment(
            line.number, words.end_column, comment if hash_sign else ""
        )
        keyword, rule, rule_findings = _parse_rule(words, source)
        if line.valid:
            for finding in (*rule_findings, *comment_findings):
                findings.add(line=line.number, **finding._asdict())
        if rule is not None and line.valid and not rule_findings:
            rules[keyword].append(rule)
        elif keyword in skipped:
            skipped[keyword].update(word.text for word in words.items)
    return ParseResult(
        RuleSet(*(tuple(items) for items in rules.values())),
        {keyword: frozenset(items) for keyword, items in skipped.items()},
        complete,
    )


def _parse_comment(number: int, column: int, comment: str) -> tuple[RuleSource, list[LineFinding]]:
    requester, colon, reason = (item.strip() for item in comment.partition(":"))
    comment_findings = []
    if not requester or not colon:
        comment_findings.append(
            LineFinding(column, "missing-requester", "expected '# requester: reason'")
        )
    elif not reason:
        comment_findings.append(
            LineFinding(column, "missing-reason", f"expected a reason after '{requester}:'")
        )
    return RuleSource(number, requester, reason), comment_findings


def _parse_rule(
    words: WordReader, source: RuleSource
) -> tuple[str, Rule | None, list[LineFinding]]:
    """Parse a rule.

    :return: the keyword, or the closest one if it is unknown; the rule, or None if it could not be
        parsed; the findings of the line
    """
    word = words.take("a rule")
    if word.text not in PARSERS:
        suggestions = get_close_matches(word.text.lower()[:20], PARSERS, 1)
        hint = f"; did you mean '{suggestions[0]}'?" if suggestions else ""
        message = f"{quoted(word.text)} is not one of {', '.join(PARSERS)}{hint}"
        return (suggestions or [""])[0], None, [LineFinding(word.column, "unknown-rule", message)]
    try:
        rule = PARSERS[word.text](words, source)
        words.expect_end()
    except LineError as error:
        return word.text, None, [*words.findings, error.finding]
    return word.text, rule, words.findings
