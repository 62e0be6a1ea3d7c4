"""Parse the lines of a rules file into typed rules, collecting findings with their place."""

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
from almondshore.rules.words import Fault, LineError, Words, quoted

DEFAULT_TIMEOUT = timedelta(seconds=2)


class Parsed(NamedTuple):
    """The rules of a file.

    :ivar skipped: by keyword, all words of the lines left out of the rules because of findings;
        checks of references use them to not report consequences of those findings
    :ivar complete: whether all lines were read
    """

    rules: RuleSet
    skipped: Mapping[str, frozenset[str]]
    complete: bool


def _service(words: Words, source: RuleSource) -> ServiceRule:
    name = words.name("service name")
    if not words.more() or words.next_is("version") and words.index + 1 == len(words.items):
        raise LineError(
            words.end_column, "missing-version", "expected 'version NAME': a service needs one"
        )
    words.expect("version")
    version = words.name("version name")
    columns = Columns(name=name.column, version=version.column)
    return ServiceRule(name.text, version.text, source._replace(columns=columns))


def _route(words: Words, source: RuleSource) -> RouteRule:
    methods, path = take_methods(words), take_path(words)
    if not words.next_is("to") or words.index + 1 == len(words.items):
        raise LineError(
            words.column(), "missing-service", "expected 'to SERVICE': a route needs a service"
        )
    words.expect("to")
    service = words.name("service name")
    options = {"class": RequestClass.ROUTINE, "once": False, "timeout": DEFAULT_TIMEOUT}
    seen: set[str] = set()
    while words.more():
        option = words.take("an option")
        if option.text not in options:
            message = f"{quoted(option.text)} is not one of {', '.join(options)}"
            raise LineError(option.column, "unknown-option", message)
        if option.text in seen:
            words.report(option, "duplicate-option", f"'{option.text}' is given twice")
        seen.add(option.text)
        options[option.text] = _OPTIONS[option.text](words)
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


_OPTIONS: dict[str, Callable] = {
    "class": lambda words: take_choice(words, "a class", RequestClass),
    "once": lambda words: True,
    "timeout": take_duration,
}


def _tenant(words: Words, source: RuleSource) -> TenantRule:
    name = words.name("tenant name")
    words.expect("limit")
    rate = take_rate(words)
    words.expect("burst")
    burst = take_burst(words)
    return TenantRule(name.text, rate, burst, source._replace(columns=Columns(name=name.column)))


def _move(words: Words, source: RuleSource) -> MoveRule:
    service = words.name("service name")
    words.expect("to")
    version = words.name("version name")
    words.expect("by")
    deadline, column = take_deadline(words)
    prefer = Preference.DEADLINE
    if words.more():
        words.expect("prefer")
        prefer = take_choice(words, "a preference", Preference)
    columns = Columns(name=service.column, version=version.column, deadline=column)
    return MoveRule(service.text, version.text, deadline, prefer, source._replace(columns=columns))


def _allow(words: Words, source: RuleSource) -> AllowRule:
    service, version = words.name("service name"), words.name("version name")
    columns = Columns(name=service.column, version=version.column)
    return AllowRule(service.text, version.text, source._replace(columns=columns))


PARSERS: dict[str, Callable[[Words, RuleSource], Rule]] = {
    "service": _service,
    "route": _route,
    "tenant": _tenant,
    "move": _move,
    "allow": _allow,
}


def parse(data: bytes, *, findings: FindingList, limit: int | None = None) -> Parsed:
    """Parse the content of a rules file.

    Lines with findings are left out of the rules, except for lines that lack only the requester.

    :param findings: receives the findings of all lines
    :param limit: number of findings after which reading stops; None for no limit
    """
    rules: dict[str, list[Rule]] = {keyword: [] for keyword in PARSERS}
    skipped: dict[str, set[str]] = {keyword: set() for keyword in PARSERS}
    complete = True
    for line in read_lines(data, findings=findings):
        if limit is not None and len(findings.items) >= limit:
            complete = False
            break
        body, mark, comment = line.text.partition("#")
        words = Words(body)
        if not words.items:
            continue
        source, faults = _place(line.number, words.end_column, comment if mark else "")
        keyword, rule, rule_faults = _rule(words, source)
        if line.valid:
            for fault in (*rule_faults, *faults):
                findings.add(line=line.number, **fault._asdict())
        if rule is not None and line.valid and not rule_faults:
            rules[keyword].append(rule)
        elif keyword in skipped:
            skipped[keyword].update(word.text for word in words.items)
    return Parsed(
        RuleSet(*(tuple(items) for items in rules.values())),
        {keyword: frozenset(items) for keyword, items in skipped.items()},
        complete,
    )


def _place(number: int, column: int, comment: str) -> tuple[RuleSource, list[Fault]]:
    requester, colon, reason = (item.strip() for item in comment.partition(":"))
    faults = []
    if not requester or not colon:
        faults.append(Fault(column, "missing-requester", "expected '# requester: reason'"))
    elif not reason:
        faults.append(Fault(column, "missing-reason", f"expected a reason after '{requester}:'"))
    return RuleSource(number, requester, reason), faults


def _rule(words: Words, source: RuleSource) -> tuple[str, Rule | None, list[Fault]]:
    """Parse a rule; return its keyword, or the one most likely meant, the rule and the faults."""
    word = words.take("a rule")
    if word.text not in PARSERS:
        meant = get_close_matches(word.text.lower()[:20], PARSERS, 1)
        hint = f"; did you mean '{meant[0]}'?" if meant else ""
        message = f"{quoted(word.text)} is not one of {', '.join(PARSERS)}{hint}"
        return (meant or [""])[0], None, [Fault(word.column, "unknown-rule", message)]
    try:
        rule = PARSERS[word.text](words, source)
        words.finish()
    except LineError as error:
        return word.text, None, [*words.faults, error.fault]
    return word.text, rule, words.faults
