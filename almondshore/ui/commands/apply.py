"""The ``apply`` command."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from cyclopts.validators import Number

from almondshore.core.errors import InvalidInputError
from almondshore.core.findings import FindingList
from almondshore.rules.check import check_rules
from almondshore.ui.applying import Applier, ApplyRequest
from almondshore.ui.changes import describe_changes
from almondshore.ui.context import Context, UsageError
from almondshore.ui.files import read_file
from almondshore.ui.output import print_json
from almondshore.ui.waiting import Waiter

MAX_SHOWN_CHANGES = 40
MAX_AUTHOR_CHARS = 100
MAX_REASON_CHARS = 1000


def apply(
    file: Path,
    *,
    author: str,
    reason: str = "",
    base: Annotated[int | None, Parameter(validator=Number(gte=0))] = None,
    wait: Annotated[float | None, Parameter(validator=Number(gte=0, lte=86_400))] = None,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """Publish a rules file as the next configuration version.

    :param file: rules file
    :param author: name of the operator
    :param reason: reason for the change, shown by ``history``
    :param base: version that the file was edited from; refuse if others changed the rules since
    :param wait: seconds to wait until the version is in effect in every zone
    :param json: print the result as JSON
    """
    _check_text("author", author, MAX_AUTHOR_CHARS)
    if not author.strip():
        raise UsageError("the author must not be empty")
    _check_text("reason", reason, MAX_REASON_CHARS)
    data = read_file(file)
    _check_offline(str(file), data, context)
    applier = Applier(platform=context.platform(), clock=context.clock, wait=context.wait)
    outcome = applier.apply(ApplyRequest(str(file), data, author.strip(), reason, base))
    lines = [f"version {outcome.version} already holds these rules"]
    if outcome.created:
        lines = [f"published version {outcome.version}"]
        lines += describe_changes(outcome.changes[:MAX_SHOWN_CHANGES])
        if len(outcome.changes) > MAX_SHOWN_CHANGES:
            lines.append(f"  and {len(outcome.changes) - MAX_SHOWN_CHANGES} more changes")
    in_effect = None
    if not json:
        context.print_line("\n".join(lines))
    if wait is not None:
        waiter = Waiter(context=context, show=(lambda line: None) if json else context.print_line)
        in_effect = waiter.wait_for(outcome.version, timeout=timedelta(seconds=wait))
    if json:
        print_json(
            context.out,
            {"version": outcome.version, "created": outcome.created, "in_effect": in_effect},
        )
    return 1 if in_effect is False else 0


def _check_text(name: str, text: str, limit: int) -> None:
    if not text.isprintable() or len(text) > limit:
        raise UsageError(f"the {name} must be one line of at most {limit} printable characters")


def _check_offline(file: str, data: bytes, context: Context) -> None:
    """Check the rules without the platform, so that findings are reported even in an outage.

    A past deadline alone is no reason to refuse the file here: it is allowed for a move of the
    current configuration, against which the deadlines are checked later.

    :raises InvalidInputError: if there are findings other than past deadlines
    """
    findings = FindingList(file=file)
    check_rules(data, now=context.clock.now(), findings=findings)
    if any(finding.code != "deadline-past" for finding in findings.items):
        raise InvalidInputError(findings.sorted())
