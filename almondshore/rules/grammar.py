"""Parse the text of a rules file into typed rules, collecting findings with their place."""

import re
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from almondshore.core.findings import FindingList
from almondshore.rules import times
from almondshore.rules.model import (
    AllowRule,
    MoveRule,
    Place,
    Preference,
    RequestClass,
    RouteRule,
    RuleSet,
    ServiceRule,
    TenantRule,
)

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
PATH = re.compile(r"/[A-Za-z0-9/._~%-]*\*?\Z")
RATE = re.compile(r"(\d+(?:\.\d+)?)/s\Z")
DURATION = re.compile(r"(\d+)(ms|s|m)\Z")
DURATION_UNITS = {"ms": "milliseconds", "s": "seconds", "m": "minutes"}
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
DEFAULT_TIMEOUT = timedelta(seconds=2)


class Word(NamedTuple):
    """A word of a line and its column, counted from 1."""

    text: str
    column: int


class LineError(Exception):
    """A line could not be parsed; carries the column, code and message of the finding."""

    def __init__(self, column: int, code: str, message: str):
        super().__init__(message)
        self.column = column
        self.code = code


class Words:
    """Reads the words of one line from left to right."""

    def __init__(self, text: str):
        self.items = [Word(m.group(), m.start() + 1) for m in re.finditer(r"\S+", text)]
        self.end_column = len(text.rstrip()) + 1
        self.index = 0

    def more(self) -> bool:
        """Return whether words are left."""
        return self.index < len(self.items)

    def take(self, what: str) -> Word:
        """Return the next word.

        :param what: what is expected, for the error message
        """
        if not self.more():
            raise LineError(self.end_column, "missing-word", f"expected {what}")
        self.index += 1
        return self.items[self.index - 1]

    def expect(self, keyword: str) -> None:
        """Take the next word, which must be the keyword."""
        word = self.take(f"'{keyword}'")
        if word.text != keyword:
            raise LineError(
                word.column, "unexpected-word", f"expected '{keyword}', found '{word.text}'"
            )

    def name(self, what: str) -> str:
        """Take the next word, which must be a name."""
        word = self.take(what)
        if not NAME.match(word.text):
            raise LineError(word.column, "bad-name", f"'{word.text}' is not a valid {what}")
        return word.text

    def finish(self) -> None:
        """Check that no word is left."""
        if self.more():
            word = self.items[self.index]
            raise LineError(word.column, "unexpected-word", f"unexpected '{word.text}'")


def _service(words: Words, place: Place, now: datetime) -> ServiceRule:
    name = words.name("service name")
    words.expect("version")
    return ServiceRule(name, words.name("version name"), place)


def _route(words: Words, place: Place, now: datetime) -> RouteRule:
    methods = _methods(words.take("methods such as GET or GET,HEAD"))
    path = words.take("a path")
    if not PATH.match(path.text):
        raise LineError(path.column, "bad-path", f"'{path.text}' is not a valid path")
    words.expect("to")
    service = words.name("service name")
    request_class, once, timeout = RequestClass.ROUTINE, False, DEFAULT_TIMEOUT
    while words.more():
        option = words.take("an option")
        if option.text == "class":
            request_class = _choice(words.take("a class"), RequestClass)
        elif option.text == "once":
            once = True
        elif option.text == "timeout":
            timeout = _duration(words.take("a duration such as 500ms or 2s"))
        else:
            raise LineError(option.column, "unknown-option", f"unknown option '{option.text}'")
    return RouteRule(methods, path.text, service, request_class, once, timeout, place)


def _tenant(words: Words, place: Place, now: datetime) -> TenantRule:
    name = words.name("tenant name")
    words.expect("limit")
    rate = words.take("a rate such as 50/s")
    match = RATE.match(rate.text)
    if not match or float(match.group(1)) <= 0:
        raise LineError(rate.column, "bad-rate", f"'{rate.text}' is not a rate such as 50/s")
    words.expect("burst")
    burst = words.take("a number of requests")
    if not burst.text.isdecimal() or int(burst.text) < 1:
        raise LineError(burst.column, "bad-number", f"'{burst.text}' is not a positive number")
    return TenantRule(name, float(match.group(1)), int(burst.text), place)


def _move(words: Words, place: Place, now: datetime) -> MoveRule:
    service = words.name("service name")
    words.expect("to")
    version = words.name("version name")
    words.expect("by")
    day, time, zone = (words.take(what) for what in ("a date", "a time", "a time zone"))
    try:
        deadline = times.to_utc(day.text, time.text, zone.text)
    except times.LocalTimeError as error:
        raise LineError(day.column, error.code, str(error)) from error
    prefer = Preference.DEADLINE
    if words.more():
        words.expect("prefer")
        prefer = _choice(words.take("a preference"), Preference)
    if deadline <= now:
        raise LineError(day.column, "deadline-past", f"the deadline {deadline} has passed")
    return MoveRule(service, version, deadline, prefer, place)


def _allow(words: Words, place: Place, now: datetime) -> AllowRule:
    return AllowRule(words.name("service name"), words.name("version name"), place)


def _methods(word: Word) -> tuple[str, ...]:
    methods = tuple(word.text.split(","))
    for method in methods:
        if method not in METHODS:
            raise LineError(word.column, "bad-method", f"'{method}' is not a known method")
    return methods


def _duration(word: Word) -> timedelta:
    match = DURATION.match(word.text)
    if not match or int(match.group(1)) == 0:
        raise LineError(word.column, "bad-duration", f"'{word.text}' is not a duration")
    return timedelta(**{DURATION_UNITS[match.group(2)]: int(match.group(1))})


def _choice(word: Word, kind: type):
    try:
        return kind(word.text)
    except ValueError:
        names = ", ".join(item.value for item in kind)
        raise LineError(
            word.column, "unknown-value", f"'{word.text}' is not one of {names}"
        ) from None


PARSERS: dict[str, Callable] = {
    "service": _service,
    "route": _route,
    "tenant": _tenant,
    "move": _move,
    "allow": _allow,
}


def parse(text: str, *, now: datetime, findings: FindingList) -> RuleSet:
    """Parse the text of a rules file.

    Lines with findings are left out of the result, which must not be used if there are any.

    :param now: current time; a deadline must lie after it
    :param findings: receives the findings of all lines
    """
    rules: dict[str, list] = {keyword: [] for keyword in PARSERS}
    for number, line in enumerate(text.splitlines(), 1):
        body, mark, comment = line.partition("#")
        if not body.strip():
            continue
        try:
            place = _place(number, len(body.rstrip()) + 1, comment if mark else "")
            keyword, rule = _rule(Words(body), place, now)
        except LineError as error:
            findings.add(line=number, column=error.column, code=error.code, message=str(error))
        else:
            rules[keyword].append(rule)
    return RuleSet(
        services=tuple(rules["service"]),
        routes=tuple(rules["route"]),
        tenants=tuple(rules["tenant"]),
        moves=tuple(rules["move"]),
        allows=tuple(rules["allow"]),
    )


def _place(number: int, column: int, comment: str) -> Place:
    requester, _, reason = comment.partition(":")
    if not requester.strip():
        raise LineError(column, "missing-requester", "expected '# requester: reason'")
    return Place(number, requester.strip(), reason.strip())


def _rule(words: Words, place: Place, now: datetime) -> tuple[str, NamedTuple]:
    keyword = words.take("a rule")
    if keyword.text not in PARSERS:
        raise LineError(keyword.column, "unknown-rule", f"unknown rule '{keyword.text}'")
    rule = PARSERS[keyword.text](words, place, now)
    words.finish()
    return keyword.text, rule
