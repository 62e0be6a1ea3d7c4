"""The ``diff`` command."""

from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from almondshore.rules.diff import RuleChange, diff_rules
from almondshore.rules.format import format_body
from almondshore.rules.model import Rule
from almondshore.ui.changes import ChangeLog, describe_changes, published_rules
from almondshore.ui.context import Context
from almondshore.ui.files import parse_file
from almondshore.ui.output import print_json
from almondshore.ui.platform_errors import require
from almondshore.ui.retrying import Retrier
from almondshore.versions.publish import Publisher


def diff(
    old: Path,
    new: Path | None = None,
    *,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """Show which rules differ between two files, or between the published rules and a file.

    :param old: rules file; compared with the published rules if it is the only one
    :param new: rules file to compare the first with
    :param json: print the differences as JSON
    """
    if new is None:
        after, before = parse_file(old), _read_published_rules(context)
    else:
        before, after = parse_file(old), parse_file(new)
    changes = diff_rules(before, after)
    if json:
        print_json(context.out, {"changes": [_change_document(change) for change in changes]})
    else:
        context.print_line("\n".join(describe_changes(changes)) or "no differences")
    return 0


def _read_published_rules(context: Context):
    publisher = Publisher(platform=context.platform())
    retry = Retrier(wait=context.wait)
    version = require(retry(publisher.current)).head.version
    return published_rules(ChangeLog(publisher=publisher, retry=retry).text(version))


def _change_document(change: RuleChange) -> dict[str, Any]:
    return {
        "kind": change.kind,
        "old": _rule_document(change.old),
        "new": _rule_document(change.new),
    }


def _rule_document(rule: Rule | None) -> dict[str, Any] | None:
    if rule is None:
        return None
    source = rule.source
    return {
        "line": source.line,
        "rule": format_body(rule),
        "requester": source.requester,
        "reason": source.reason,
    }
