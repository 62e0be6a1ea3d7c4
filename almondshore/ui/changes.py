"""Rule changes of the published versions, with their authors."""

from collections.abc import Callable

from returns.result import Result

from almondshore.core.findings import FindingList
from almondshore.rules.diff import RuleChange, describe_change, diff_rules
from almondshore.rules.grammar import parse
from almondshore.rules.model import RuleSet
from almondshore.ui.output import printable
from almondshore.ui.platform_errors import require
from almondshore.versions.publish import Publisher, VersionRecord

# Each version costs four reads; operators with an older base can compare with the newest rules.
MAX_VERSIONS = 20


class ChangeLog:
    """Reads published versions and describes the changes between them.

    :param retry: calls the platform again after a transient failure
    """

    def __init__(self, *, publisher: Publisher, retry: Callable[[Callable[[], Result]], Result]):
        self.publisher = publisher
        self.retry = retry

    def record(self, version: int) -> VersionRecord:
        """Read the record of a version.

        :raises UserError: if the platform fails
        """
        return require(self.retry(lambda: self.publisher.record(version)))

    def text(self, version: int) -> bytes:
        """Read the rules file of a version; version 0 has none.

        :raises UserError: if the platform fails
        """
        if version == 0:
            return b""
        return require(self.retry(lambda: self.publisher.rules_text(version)))

    def describe(self, base: int, newest: int) -> str:
        """Describe the rule changes since a base version, in the order of the published versions.

        At most the last ``MAX_VERSIONS`` versions are described.

        :raises UserError: if the platform fails
        """
        start = max(base, newest - MAX_VERSIONS)
        lines = [] if start == base else [f"(versions {base + 1} to {start} are not shown)"]
        rules_before = published_rules(self.text(start))
        for version in range(start + 1, newest + 1):
            record, rules_after = self.record(version), published_rules(self.text(version))
            changes = diff_rules(rules_before, rules_after)
            if changes:
                at = record.at.isoformat(timespec="seconds")
                lines.append(f"version {version} by {printable(record.author)} at {at}:")
                lines += describe_changes(changes)
            rules_before = rules_after
        return "\n".join(lines)


def published_rules(data: bytes) -> RuleSet:
    """Parse the rules of a published version.

    Lines that the rules language no longer accepts are omitted.
    """
    return parse(data, findings=FindingList(file="")).rules


def describe_changes(changes: list[RuleChange]) -> list[str]:
    """Return the changes as indented lines of printable text."""
    return [f"  {printable(line)}" for change in changes for line in describe_change(change)]
