"""The ``apply`` command."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from almondshore.ui.applying import Applier
from almondshore.ui.context import Context
from almondshore.ui.files import checked, read_file
from almondshore.ui.waiting import wait_until_in_effect


def apply(
    file: Path,
    *,
    author: str,
    reason: str = "",
    base: int | None = None,
    wait: float | None = None,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """Publish a rules file as the next configuration version.

    :param file: rules file
    :param author: name of the operator
    :param reason: reason for the change, shown by ``history``
    :param base: version that the file was edited from; refuse if another one changed the rules
    :param wait: seconds to wait until the version is in effect in every zone
    """
    data = read_file(file)
    rules = checked(data, file=str(file), context=context)
    applier = Applier(platform=context.platform(), clock=context.clock, wait=context.wait)
    outcome = applier.apply(data=data, rules=rules, author=author, reason=reason, base=base)
    if outcome.created:
        context.line(f"published version {outcome.version}")
    else:
        context.line(f"version {outcome.version} already holds these rules")
    if wait is None:
        return 0
    done = wait_until_in_effect(outcome.version, timeout=timedelta(seconds=wait), context=context)
    return 0 if done else 1
