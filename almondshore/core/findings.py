"""Findings: problems in operator input, with their position in the file."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One problem at one position in an input file.

    Lines and columns count from 1; 0 means that the finding concerns the whole file or line.
    """

    file: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.code}: {self.message}"


class FindingList:
    """Collects the findings of one input file so that they are reported together."""

    def __init__(self, *, file: str):
        self.file = file
        self.items: list[Finding] = []

    def add(self, *, line: int, column: int, code: str, message: str) -> None:
        """Record a finding.

        :param line: line number from 1, or 0 for the whole file
        :param column: column number from 1, or 0 for the whole line
        :param code: stable identifier of the kind of finding, such as ``unknown-service``
        :param message: explanation for the operator
        """
        self.items.append(Finding(self.file, line, column, code, message))

    def sorted(self) -> list[Finding]:
        """Return the findings in file order."""
        return sorted(self.items)

    def __bool__(self) -> bool:
        return bool(self.items)
