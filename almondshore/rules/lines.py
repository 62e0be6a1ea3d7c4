"""Splits the content of a rules file into lines and reports invalid characters."""

import unicodedata
from collections.abc import Iterator
from typing import NamedTuple

from almondshore.core.findings import FindingList

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Long enough for any rule with its reason; a longer line means that this is not a rules file.
MAX_LINE_CHARS = 1000
# Unicode categories that a terminal or editor may interpret or hide: control, format, line and
# paragraph separator, surrogate.
HIDDEN_CATEGORIES = frozenset(("Cc", "Cf", "Zl", "Zp", "Cs"))


class Line(NamedTuple):
    """A line of a file, without its line terminator.

    :ivar number: line number from 1
    :ivar valid: whether the line is valid UTF-8, short enough and free of hidden characters
    """

    number: int
    text: str
    valid: bool


def read_lines(data: bytes, *, findings: FindingList) -> Iterator[Line]:
    """Yield the lines of a file, which end with LF or CRLF; a leading byte order mark is skipped.

    :param findings: receives at most one finding per line
    """
    for number, raw in enumerate(data.removeprefix(BYTE_ORDER_MARK).split(b"\n"), 1):
        text, finding = _decode(raw.removesuffix(b"\r"))
        if finding is not None:
            column, code, message = finding
            findings.add(line=number, column=column, code=code, message=message)
        yield Line(number, text[:MAX_LINE_CHARS], finding is None)


def _decode(raw: bytes) -> tuple[str, tuple[int, str, str] | None]:
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        column = len(raw[: error.start].decode()) + 1
        return raw.decode(errors="replace"), (
            column,
            "bad-encoding",
            f"the byte 0x{raw[error.start]:02x} is not valid UTF-8",
        )
    if len(text) > MAX_LINE_CHARS:
        message = f"the line has {len(text)} characters; at most {MAX_LINE_CHARS} are accepted"
        return text, (MAX_LINE_CHARS + 1, "line-too-long", message)
    return text, _hidden_character(text)


def _hidden_character(text: str) -> tuple[int, str, str] | None:
    if text.isprintable():
        return None
    rule_end = text.find("#") if "#" in text else len(text)
    for index, char in enumerate(text):
        # Wide and no-break spaces are accepted in comments, but do not separate words of a rule.
        hidden = unicodedata.category(char) in HIDDEN_CATEGORIES
        if char != "\t" and (hidden or (index < rule_end and not char.isprintable())):
            return index + 1, "control-character", f"unexpected character U+{ord(char):04X}"
    return None
