"""Read the values of a rule: methods, paths, rates, durations, deadlines."""

import re
from datetime import datetime, timedelta
from enum import StrEnum
from typing import TypeVar

from almondshore.rules import times
from almondshore.rules.words import Word, Words, quoted

PATH = re.compile(r"/(?:[A-Za-z0-9/._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})*\*?\Z")
RATE = re.compile(r"([0-9]+(?:\.[0-9]{1,3})?)/s\Z")
NUMBER = re.compile(r"[0-9]+\Z")
DURATION = re.compile(r"([0-9]+)(ms|s|m)\Z")
DURATION_UNITS_MS = {"ms": 1, "s": 1000, "m": 60_000}
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_PATH_CHARS = 200
# No tenant may exceed the call rate that the whole mesh is sized for (1.6 million calls/s).
MAX_RATE = 1_600_000
MAX_BURST = 1_600_000
# A draining target waits for its requests, so a longer timeout would delay its replacement.
MAX_TIMEOUT = timedelta(minutes=5)
# Longer digit strings are out of every range; int() refuses strings of over 4,300 digits.
MAX_DIGITS = 12

Choice = TypeVar("Choice", bound=StrEnum)


def take_methods(words: Words) -> tuple[str, ...]:
    """Take methods separated by commas."""
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


def take_path(words: Words) -> Word:
    """Take an exact path, or a prefix that ends in ``*``."""
    word = words.take("a path")
    if not PATH.match(word.text):
        words.report(word, "bad-path", f"{quoted(word.text)} is not a valid path")
    elif len(word.text) > MAX_PATH_CHARS:
        message = f"the path has {len(word.text)} characters; at most {MAX_PATH_CHARS} fit"
        words.report(word, "bad-path", message)
    elif {".", ".."} & set(word.text.split("/")):
        # Clients resolve these segments before they send a request, so the route would never match.
        words.report(word, "bad-path", f"{quoted(word.text)} has a '.' or '..' segment")
    return word


def take_rate(words: Words) -> float:
    """Take a rate in requests a second."""
    word = words.take("a rate such as 50/s")
    match = RATE.match(word.text)
    if not match:
        words.report(word, "bad-rate", f"{quoted(word.text)} is not a rate such as 50/s")
        return 0.0
    too_long = len(match.group(1)) > MAX_DIGITS
    rate = 0.0 if too_long else float(match.group(1))
    if not 0 < rate <= MAX_RATE:
        words.report(word, "out-of-range", f"the rate must be above 0 and at most {MAX_RATE}/s")
    return rate


def take_burst(words: Words) -> int:
    """Take a number of requests."""
    word = words.take("a number of requests")
    if not NUMBER.match(word.text):
        words.report(word, "bad-number", f"{quoted(word.text)} is not a number of requests")
        return 0
    burst = _integer(word.text)
    if not 1 <= burst <= MAX_BURST:
        words.report(word, "out-of-range", f"the burst must be from 1 to {MAX_BURST}")
    return burst


def take_duration(words: Words) -> timedelta:
    """Take a duration in milliseconds, seconds or minutes."""
    word = words.take("a duration such as 500ms or 2s")
    match = DURATION.match(word.text)
    if not match:
        words.report(word, "bad-duration", f"{quoted(word.text)} is not a duration such as 2s")
        return timedelta()
    milliseconds = _integer(match.group(1)) * DURATION_UNITS_MS[match.group(2)]
    if not 1 <= milliseconds <= MAX_TIMEOUT / timedelta(milliseconds=1):
        longest = int(MAX_TIMEOUT.total_seconds())
        words.report(word, "out-of-range", f"the timeout must be from 1ms to {longest}s")
        return timedelta()
    return timedelta(milliseconds=milliseconds)


def take_choice(words: Words, what: str, kind: type[Choice]) -> Choice:
    """Take one of the values of an enumeration."""
    word = words.take(what)
    try:
        return kind(word.text)
    except ValueError:
        names = ", ".join(kind)
        words.report(word, "unknown-value", f"{quoted(word.text)} is not one of {names}")
        return next(iter(kind))


def take_deadline(words: Words) -> tuple[datetime, int]:
    """Take a local date, a time and a time zone; return the time in UTC and the column."""
    items = [words.take(what) for what in ("a date", "a time", "a time zone")]
    try:
        deadline = times.to_utc(*(item.text for item in items))
    except times.LocalTimeError as error:
        words.report(items[error.word], error.code, str(error))
        deadline = datetime.max
    return deadline, items[0].column


def _integer(digits: str) -> int:
    """Return the value of a digit string; one of too many digits stands for a value too large."""
    significant = digits.lstrip("0")
    return 10 ** MAX_DIGITS if len(significant) > MAX_DIGITS else int(significant or "0")
