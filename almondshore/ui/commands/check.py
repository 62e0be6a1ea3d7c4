"""The ``check`` command."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from almondshore.core.findings import FindingList
from almondshore.rules.check import check_rules
from almondshore.ui.context import Context
from almondshore.ui.files import read_file
from almondshore.ui.output import print_json


def check(
    file: Path, *, json: bool = False, context: Annotated[Context, Parameter(parse=False)]
) -> int:
    """Check a rules file and report all findings together.

    :param file: rules file
    :param json: print the findings as JSON
    """
    findings = FindingList(file=str(file))
    rules = check_rules(read_file(file), now=context.clock.now(), findings=findings)
    if json:
        print_json(context.out, {"findings": [item._asdict() for item in findings.sorted()]})
    elif findings:
        for finding in findings.sorted():
            context.print_line(str(finding))
    else:
        context.print_line(f"{file}: {sum(len(kind) for kind in rules)} rules, no findings")
    return 1 if findings else 0
