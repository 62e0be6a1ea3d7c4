"""Parses the values in a rule: methods, paths, rates, durations and deadlines."""

import re
from datetime import datetime, timedelta
from enum import StrEnum
from typing import TypeVar

from almondshore.rules import times
from almondshore.rules.words import Word, WordReader, quoted

PATH_PATTERN = re.compile(r"/(?:[A-Za-z0-9/._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})*\*?\Z")
RATE_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]{1,3})?)/s\Z")
NUMBER_PATTERN = re.compile(r"[0-9]+\Z")
DURATION_PATTERN = re.compile(r"([0-9]+)(ms|s|m)\Z")
DURATION_UNITS_MS = {"ms": 1, "s": 1000, "m": 60_000}
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_PATH_CHARS = 200
# The whole mesh is sized for 1.6 million calls per second; no tenant may exceed that.
MAX_RATE_PER_S = 1_600_000
MAX_BURST_REQUESTS = 1_600_000
# A draining target waits for its running requests, so a longer timeout would delay its replacement.
MAX_TIMEOUT = timedelta(minutes=5)
# Longer numbers exceed every accepted range, and int() rejects strings of more than 4,300 digits.
MAX_DIGITS = 12

Choice = TypeVar("Choice", bound=StrEnum)


def take_methods(words: WordReader) -> tuple[str, ...]:
    """Take the next word, a comma-separated list of HTTP methods."""
    word = words.take("methods such as GET or GET,HEAD")
    methods = tuple(word.text.split(","))
    for index, method in enumerate(methods):
        if method not in METHODS:
            words.report(word, "bad-method", f"{quoted(method)} is not one of {', '.join(METHODS)}")
            break
        if method in methods[:index]:
            words.report(word, "bad-method", f"'{method}' is listed twice")
            break
    return methods


def take_path(words: WordReader) -> Word:
    """Take the next word, an exact path or a prefix that ends in ``*``."""
    word = words.take("a path")
    if not PATH_PATTERN.match(word.text):
        words.report(word, "bad-path", f"{quoted(word.text)} is not a valid path")
    elif len(word.text) > MAX_PATH_CHARS:
        message = f"the path has {len(word.text)} characters; at most {MAX_PATH_CHARS} are accepted"
        words.report(word, "bad-path", message)
    elif {".", ".."} & set(word.text.split("/")):
        # Clients resolve these segments before sending a request, so the route would never match.
        words.report(word, "bad-path", f"{quoted(word.text)} has a '.' or '..' segment")
    return word


def take_rate(words: WordReader) -> float:
    """Take a rate such as ``50/s``; return it in requests per second, 0 if it is malformed."""
    word = words.take("a rate such as 50/s")
    match = RATE_PATTERN.match(word.text)
    if not match:
        words.report(word, "bad-rate", f"{quoted(word.text)} is not a rate such as 50/s")
        return 0.0
    too_long = len(match.group(1)) > MAX_DIGITS
    rate = 0.0 if too_long else float(match.group(1))
    if not 0 < rate <= MAX_RATE_PER_S:
        words.report(
            word, "out-of-range", f"the rate must be above 0 and at most {MAX_RATE_PER_S}/s"
        )
    return rate


def take_burst(words: WordReader) -> int:
    """Take a burst size in requests; return 0 if it is malformed."""
    word = words.take("a number of requests")
    if not NUMBER_PATTERN.match(word.text):
        words.report(word, "bad-number", f"{quoted(word.text)} is not a number of requests")
        return 0
    burst = _integer(word.text)
    if not 1 <= burst <= MAX_BURST_REQUESTS:
        words.report(word, "out-of-range", f"the burst must be from 1 to {MAX_BURST_REQUESTS}")
    return burst


def take_duration(words: WordReader) -> timedelta:
    """Take a duration in ms, s or m; return 0 if it is malformed or out of range."""
    word = words.take("a duration such as 500ms or 2s")
    match = DURATION_PATTERN.match(word.text)
    if not match:
        words.report(word, "bad-duration", f"{quoted(word.text)} is not a duration such as 2s")
        return timedelta()
    milliseconds = _integer(match.group(1)) * DURATION_UNITS_MS[match.group(2)]
    if not 1 <= milliseconds <= MAX_TIMEOUT / timedelta(milliseconds=1):
        longest = int(MAX_TIMEOUT.total_seconds())
        words.report(word, "out-of-range", f"the timeout must be from 1ms to {longest}s")
        return timedelta()
    return timedelta(milliseconds=milliseconds)


def take_choice(words: WordReader, expected: str, enumeration: type[Choice]) -> Choice:
    """Take a value of an enumeration; return its first member if the value is unknown."""
    word = words.take(expected)
    try:
        return enumeration(word.text)
    except ValueError:
        names = ", ".join(enumeration)
        words.report(word, "unknown-value", f"{quoted(word.text)} is not one of {names}")
        return next(iter(enumeration))


def take_deadline(words: WordReader) -> tuple[datetime, int]:
    """Take a local date, time and time zone; return the time in UTC and the column of the date.

    An invalid deadline is reported and replaced by the latest possible time.
    """
    items = [words.take(expected) for expected in ("a date", "a time", "a time zone")]
    try:
        deadline = times.to_utc(*(item.text for item in items))
    except times.LocalTimeError as error:
        words.report(items[error.word], error.code, str(error))
        deadline = datetime.max
    return deadline, items[0].column


def _integer(digits: str) -> int:
    """Convert a digit string; above ``MAX_DIGITS`` significant digits return ``10**MAX_DIGITS``."""
    significant = digits.lstrip("0")
    return 10 ** MAX_DIGITS if len(significant) > MAX_DIGITS else int(significant or "0")
