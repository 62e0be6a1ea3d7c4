"""Checks a complete rules file, including references between its rules."""

import codecs
import re
from collections.abc import Callable, Collection, Hashable, Iterable
from datetime import datetime
from urllib.parse import unquote

from almondshore.core.findings import Finding, FindingList
from almondshore.rules.compile import move_id
from almondshore.rules.grammar import ParseResult, parse
from almondshore.rules.model import MoveRule, RouteRule, Rule, RuleSet
from almondshore.storage.port import MAX_VALUE_BYTES

# More findings do not help an operator; a file that is not a rules file has one on every line.
MAX_FINDINGS = 100
PERCENT_ESCAPE_PATTERN = re.compile(r"%[0-9A-Fa-f]{2}")
UNRESERVED_PATTERN = re.compile(r"[A-Za-z0-9._~-]\Z")


def check_rules(
    data: bytes, *, now: datetime, findings: FindingList, existing_move_ids: Collection[str] = ()
) -> RuleSet:
    """Decode, parse and check the content of a rules file.

    :param data: content of the file, UTF-8, at most ``MAX_VALUE_BYTES``
    :param now: current time; the deadline of a new move must lie after it
    :param findings: receives at most ``MAX_FINDINGS`` findings, and one that says so if there are
        more; if there are any, the result must not be used
    :param existing_move_ids: identities of the moves in the current configuration; their deadlines
        may have passed
    """
    if len(data) > MAX_VALUE_BYTES:
        message = f"the file has {len(data)} bytes; at most {MAX_VALUE_BYTES} are accepted"
        findings.add(line=0, column=0, code="file-too-large", message=message)
        return RuleSet()
    if data.startswith((codecs.BOM_UTF16_LE, codecs.BOM_UTF16_BE)):
        message = "the file is UTF-16; save it as UTF-8"
        findings.add(line=1, column=1, code="bad-encoding", message=message)
        return RuleSet()
    collected = FindingList(file=findings.file)
    parsed = parse(data, findings=collected, limit=MAX_FINDINGS)
    if parsed.complete:
        _check_whole_file(parsed, now, existing_move_ids, collected)
    if parsed.complete and not collected and not any(parsed.rules):
        message = "the file has no rules; applying it would remove every service"
        collected.add(line=0, column=0, code="no-rules", message=message)
    for finding in _limit_findings(collected.sorted(), parsed.complete):
        findings.add(**{key: value for key, value in finding._asdict().items() if key != "file"})
    return parsed.rules


def _limit_findings(items: list[Finding], complete: bool) -> list[Finding]:
    if len(items) <= MAX_FINDINGS and complete:
        return items
    last = items[min(len(items), MAX_FINDINGS) - 1]
    message = f"only the first {MAX_FINDINGS} findings are reported"
    return [*items[:MAX_FINDINGS], last._replace(code="too-many-findings", message=message)]


def _check_whole_file(
    parsed: ParseResult, now: datetime, existing_move_ids: Collection[str], findings: FindingList
) -> None:
    rules = parsed.rules
    _check_services(parsed, findings)
    _check_unique(rules.services, lambda rule: rule.name, "service", findings)
    _check_unique(rules.tenants, lambda rule: rule.name, "tenant", findings)
    _check_unique(rules.moves, lambda rule: rule.service, "move", findings)
    _check_unique(rules.allows, lambda rule: (rule.service, rule.version), "allow", findings)
    _check_routes(rules.routes, findings)
    _check_moves(rules, now, existing_move_ids, findings)


def _check_services(parsed: ParseResult, findings: FindingList) -> None:
    rules, skipped = parsed.rules, parsed.skipped
    defined = {rule.name for rule in rules.services} | skipped["service"]
    for rule in (*rules.routes, *rules.moves, *rules.allows):
        if rule.service not in defined:
            message = f"service '{rule.service}' is not defined"
            _add_finding(findings, rule, rule.source.columns.name, "unknown-service", message)
    with_routes = {rule.service for rule in rules.routes} | skipped["route"]
    for rule in rules.services:
        if rule.name not in with_routes:
            message = f"no route leads to service '{rule.name}'"
            _add_finding(findings, rule, rule.source.columns.name, "service-without-route", message)


def _check_unique(
    rules: Iterable[Rule], key: Callable[[Rule], Hashable], kind: str, findings: FindingList
) -> None:
    first_by_key: dict[Hashable, Rule] = {}
    for rule in rules:
        first = first_by_key.setdefault(key(rule), rule)
        if first is not rule:
            message = f"line {first.source.line} has the same {kind}"
            _add_finding(findings, rule, rule.source.columns.name, f"duplicate-{kind}", message)


def _check_routes(routes: Iterable[RouteRule], findings: FindingList) -> None:
    first_by_key: dict[tuple[str, str], RouteRule] = {}
    for rule in routes:
        keys = [(method, canonical_path(rule.path)) for method in rule.methods]
        earlier = next((first_by_key[key] for key in keys if key in first_by_key), None)
        for key in keys:
            first_by_key.setdefault(key, rule)
        if earlier is None:
            continue
        if _normalized(earlier) == _normalized(rule):
            code, message = "duplicate-route", f"line {earlier.source.line} has the same route"
        else:
            code = "conflicting-route"
            message = f"line {earlier.source.line} routes the same path and method "
            message += (
                f"to '{earlier.service}'"
                if earlier.service != rule.service
                else "with other methods or options"
            )
        _add_finding(findings, rule, rule.source.columns.path, code, message)


def _check_moves(
    rules: RuleSet, now: datetime, existing_move_ids: Collection[str], findings: FindingList
) -> None:
    serving_versions = {rule.name: rule.version for rule in rules.services}
    for rule in rules.moves:
        if serving_versions.get(rule.service) == rule.version:
            message = f"version '{rule.version}' already serves '{rule.service}'"
            _add_finding(
                findings, rule, rule.source.columns.version, "move-to-serving-version", message
            )
        if rule.deadline <= now and move_id(rule) not in existing_move_ids:
            message = f"the deadline {_format_deadline(rule)} has passed"
            _add_finding(findings, rule, rule.source.columns.deadline, "deadline-past", message)


def _normalized(route: RouteRule) -> tuple:
    """Return the methods, path and options of a route; equal for routes with equal effect."""
    return (set(route.methods), canonical_path(route.path), *route[2:-1])


def canonical_path(path: str) -> str:
    """Normalize the percent escapes of a path (RFC 3986, section 6.2.2)."""

    def replace(match: re.Match) -> str:
        char = unquote(match.group(), errors="replace")
        return char if UNRESERVED_PATTERN.match(char) else match.group().upper()

    return PERCENT_ESCAPE_PATTERN.sub(replace, path)


def _format_deadline(rule: MoveRule) -> str:
    return rule.deadline.strftime("%Y-%m-%d %H:%M UTC")


def _add_finding(findings: FindingList, rule: Rule, column: int, code: str, message: str) -> None:
    findings.add(line=rule.source.line, column=column, code=code, message=message)
