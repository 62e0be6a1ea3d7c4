"""Reads the words of one line of a rules file."""

import re
from typing import NamedTuple

WORD_PATTERN = re.compile(r"[^ \t]+")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]*\Z")
# Names become part of platform keys and metric labels; 63 is the length limit of a DNS label.
MAX_NAME_CHARS = 63
MAX_QUOTED_CHARS = 40


class Word(NamedTuple):
    """A word of a line and its column, counted in characters from 1."""

    text: str
    column: int


class LineFinding(NamedTuple):
    """A finding in one line, without the line number; ``column`` in characters from 1."""

    column: int
    code: str
    message: str


class LineError(Exception):
    """A syntax error after which the rest of a line cannot be parsed.

    :ivar finding: the finding to report
    """

    def __init__(self, column: int, code: str, message: str):
        super().__init__(message)
        self.finding = LineFinding(column, code, message)


class WordReader:
    """Reads the words of one line from left to right.

    :ivar findings: findings in single words, after which reading continued
    """

    def __init__(self, text: str):
        self.items = [Word(m.group(), m.start() + 1) for m in WORD_PATTERN.finditer(text)]
        self.end_column = len(text.rstrip(" \t")) + 1
        self.index = 0
        self.findings: list[LineFinding] = []

    def has_more(self) -> bool:
        """Return whether words are left."""
        return self.index < len(self.items)

    def column(self) -> int:
        """Return the column of the next word, or the column after the last word."""
        return self.items[self.index].column if self.has_more() else self.end_column

    def next_is(self, keyword: str) -> bool:
        """Return whether the next word is the keyword."""
        return self.has_more() and self.items[self.index].text == keyword

    def report(self, word: Word, code: str, message: str) -> None:
        """Record a finding in a word; reading continues with the next word."""
        self.findings.append(LineFinding(word.column, code, message))

    def take(self, expected: str) -> Word:
        """Consume the next word and return it.

        :param expected: description of the expected word, for the error message
        :raises LineError: if no word is left
        """
        if not self.has_more():
            raise LineError(self.end_column, "missing-word", f"expected {expected}")
        self.index += 1
        return self.items[self.index - 1]

    def expect(self, keyword: str) -> None:
        """Consume the next word, which must be the keyword.

        :raises LineError: if it is a different word, or no word is left
        """
        word = self.take(f"'{keyword}'")
        if word.text != keyword:
            message = f"expected '{keyword}', found {quoted(word.text)}"
            raise LineError(word.column, "unexpected-word", message)

    def name(self, kind: str) -> Word:
        """Consume the next word, which should be a name; an invalid one is reported.

        :param kind: kind of name for messages, such as ``service name``
        :raises LineError: if no word is left
        """
        word = self.take(f"a {kind}")
        if len(word.text) > MAX_NAME_CHARS:
            message = (
                f"the {kind} has {len(word.text)} characters; at most {MAX_NAME_CHARS} are accepted"
            )
            self.report(word, "name-too-long", message)
        elif not NAME_PATTERN.match(word.text):
            message = f"{quoted(word.text)} is not a valid {kind}; use a-z, 0-9, '.', '_' and '-'"
            self.report(word, "bad-name", message)
        return word

    def expect_end(self) -> None:
        """Check that no word is left.

        :raises LineError: if a word is left
        """
        if self.has_more():
            word = self.items[self.index]
            raise LineError(word.column, "unexpected-word", f"unexpected {quoted(word.text)}")


def quoted(text: str) -> str:
    """Quote a word for a message, shortened to ``MAX_QUOTED_CHARS`` characters."""
    shortened = text if len(text) <= MAX_QUOTED_CHARS else text[: MAX_QUOTED_CHARS - 3] + "..."
    return f"'{shortened}'"
