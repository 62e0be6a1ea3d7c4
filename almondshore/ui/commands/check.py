"""The ``check`` command."""

import warnings
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from almondshore.core.findings import FindingList
from almondshore.rules.check import check_rules
from almondshore.ui.context import Context, UsageError
from almondshore.ui.files import read_file
from almondshore.ui.output import print_json

EXIT_FINDINGS = 1


def check(
    file: Path,
    *,
    json: bool = False,
    against: Path | None = None,
    strict: bool = False,
    slots: Annotated[tuple[str, ...], Parameter(negative=())] = (),
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """Check a rules file, or a configuration of the platform, and report all findings together.

    :param file: rules file, or configuration in JSON
    :param json: print the findings as JSON
    :param against: configuration in force, of which the differences are printed
    :param strict: exit with status 1 if there are warnings only
    :param slots: SERVICE=NUMBER of all slots of a service, to check quotas; may be repeated
    """
    raw = read_file(file)
    if file.suffix == ".json" or raw.lstrip().startswith(b"{"):
        with warnings.catch_warnings():
            # The decoder's modules import eventlet, which warns that it is deprecated. The other
            # commands do not need them.
            warnings.simplefilter("ignore")
            from almondshore.ui.config_report import report_config
        return report_config(
            file, raw, against, slots=slots, json=json, strict=strict, context=context
        )
    if against is not None or strict or slots:
        raise UsageError("--against, --strict and --slots are for configurations in JSON")
    findings = FindingList(file=str(file))
    rules = check_rules(raw, now=context.clock.now(), findings=findings)
    if json:
        print_json(context.out, {"findings": [item._asdict() for item in findings.sorted()]})
    elif findings:
        for finding in findings.sorted():
            context.print_line(str(finding))
    else:
        context.print_line(f"{file}: {sum(len(kind) for kind in rules)} rules, no findings")
    return EXIT_FINDINGS if findings else 0
