"""Read the words of one line of a rules file."""

import re
from typing import NamedTuple

SEPARATED = re.compile(r"[^ \t]+")
NAME = re.compile(r"[a-z0-9][a-z0-9._-]*\Z")
# A name becomes part of a platform key and of a metric label; 63 is the limit of a DNS label.
MAX_NAME_CHARS = 63
MAX_QUOTED_CHARS = 40


class Word(NamedTuple):
    """A word of a line and its column, counted in characters from 1."""

    text: str
    column: int


class Fault(NamedTuple):
    """A problem at a column of a line."""

    column: int
    code: str
    message: str


class LineError(Exception):
    """The rest of a line cannot be read.

    :ivar fault: the problem
    """

    def __init__(self, column: int, code: str, message: str):
        super().__init__(message)
        self.fault = Fault(column, code, message)


class Words:
    """Reads the words of one line from left to right.

    :ivar faults: problems of single words, after which reading went on
    """

    def __init__(self, text: str):
        self.items = [Word(m.group(), m.start() + 1) for m in SEPARATED.finditer(text)]
        self.end_column = len(text.rstrip(" \t")) + 1
        self.index = 0
        self.faults: list[Fault] = []

    def more(self) -> bool:
        """Return whether words are left."""
        return self.index < len(self.items)

    def column(self) -> int:
        """Return the column of the next word, or that after the end of the line."""
        return self.items[self.index].column if self.more() else self.end_column

    def next_is(self, keyword: str) -> bool:
        """Return whether the next word is the keyword."""
        return self.more() and self.items[self.index].text == keyword

    def report(self, word: Word, code: str, message: str) -> None:
        """Record a problem of one word that does not stop the reading of the line."""
        self.faults.append(Fault(word.column, code, message))

    def take(self, what: str) -> Word:
        """Return the next word.

        :param what: what is expected, for the error message
        :raises LineError: if no word is left
        """
        if not self.more():
            raise LineError(self.end_column, "missing-word", f"expected {what}")
        self.index += 1
        return self.items[self.index - 1]

    def expect(self, keyword: str) -> None:
        """Take the next word, which must be the keyword.

        :raises LineError: if it is another word
        """
        word = self.take(f"'{keyword}'")
        if word.text != keyword:
            message = f"expected '{keyword}', found {quoted(word.text)}"
            raise LineError(word.column, "unexpected-word", message)

    def name(self, what: str) -> Word:
        """Take the next word, which must be a name."""
        word = self.take(f"a {what}")
        if len(word.text) > MAX_NAME_CHARS:
            message = f"the {what} has {len(word.text)} characters; at most {MAX_NAME_CHARS} fit"
            self.report(word, "name-too-long", message)
        elif not NAME.match(word.text):
            message = f"{quoted(word.text)} is not a valid {what}; use a-z, 0-9, '.', '_' and '-'"
            self.report(word, "bad-name", message)
        return word

    def finish(self) -> None:
        """Check that no word is left.

        :raises LineError: if a word is left
        """
        if self.more():
            word = self.items[self.index]
            raise LineError(word.column, "unexpected-word", f"unexpected {quoted(word.text)}")


def quoted(text: str) -> str:
    """Quote a word for a message, cut to a bounded length."""
    cut = text if len(text) <= MAX_QUOTED_CHARS else text[: MAX_QUOTED_CHARS - 3] + "..."
    return f"'{cut}'"
