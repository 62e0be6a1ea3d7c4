"""Reading and checking of rules files for commands."""

from pathlib import Path

from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.rules.check import check_rules
from almondshore.rules.model import RuleSet
from almondshore.ui.context import Context, UsageError


def read_file(path: Path) -> bytes:
    """Read a rules file.

    :raises UsageError: if the file cannot be read
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"cannot read {path}: {error.strerror}") from error


def checked(data: bytes, *, file: str, context: Context) -> RuleSet:
    """Check the content of a rules file.

    :raises InvalidInputError: if there are findings
    """
    findings = FindingList(file=file)
    rules = check_rules(data, now=context.clock.now(), findings=findings)
    if findings:
        raise InvalidInputError(findings.sorted())
    return rules
