"""Reads rules files for the commands."""

from pathlib import Path

from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.rules.check import MAX_FINDINGS
from almondshore.rules.grammar import parse
from almondshore.rules.model import RuleSet
from almondshore.ui.context import UsageError


def read_file(path: Path) -> bytes:
    """Read a rules file.

    :raises UsageError: if the file cannot be read
    """
    try:
        return path.read_bytes()
    except (OSError, ValueError) as error:
        raise UsageError(f"cannot read {path}: {error}") from error


def parse_file(path: Path) -> RuleSet:
    """Read and parse a rules file, without the checks across its rules.

    :raises UsageError: if the file cannot be read
    :raises InvalidInputError: if a line cannot be parsed
    """
    findings = FindingList(file=str(path))
    rules = parse(read_file(path), findings=findings, limit=MAX_FINDINGS).rules
    if findings:
        raise InvalidInputError(findings.sorted())
    return rules
