"""Prints the result of the check of a configuration."""

from collections.abc import Sequence
from pathlib import Path

from almondshore.core.findings import Finding
from almondshore.platform.config_check import CheckedConfig, check_config, compare
from almondshore.preflight.findings import ConfigFinding, Level, format_path
from almondshore.ui.context import Context, UsageError
from almondshore.ui.files import read_file
from almondshore.ui.output import print_json

EXIT_WARNINGS = 1
EXIT_ERRORS = 2


def report_config(
    file: Path,
    raw: bytes,
    against: Path | None,
    *,
    slots: Sequence[str],
    json: bool,
    strict: bool,
    context: Context,
) -> int:
    """Check a configuration and print the result; returns the exit status.

    :param against: file with the configuration in force
    :param slots: number of slots of services, each as SERVICE=NUMBER
    :raises UsageError: if a file cannot be read or a number of slots is malformed
    """
    checked = check_config(raw, _parse_slots(slots))
    differences: list[str] = []
    items = list(checked.findings)
    if against is not None:
        in_force = check_config(read_file(against))
        if in_force.document is None:
            raise UsageError(f"{against} is not a configuration that nodes can use")
        differences, found = compare(in_force, checked)
        items += found
    findings = sorted((_to_finding(file, checked, item), item.level) for item in items)
    if json:
        listed = [{**finding._asdict(), "level": level} for finding, level in findings]
        print_json(context.out, {"findings": listed, "differences": differences})
    else:
        for finding, level in findings:
            mark = "warning: " if level is Level.WARNING else ""
            context.print_line(str(finding._replace(message=mark + finding.message)))
        for line in differences:
            context.print_line(line)
        if not findings:
            context.print_line(f"{file}: version {checked.version:08x}, no findings")
    levels = {level for _, level in findings}
    if Level.ERROR in levels:
        return EXIT_ERRORS
    return EXIT_WARNINGS if levels and strict else 0


def _to_finding(file: Path, checked: CheckedConfig, item: ConfigFinding) -> Finding:
    line, column = checked.position(item)
    return Finding(str(file), line, column, item.code, f"{format_path(item.path)}: {item.message}")


def _parse_slots(values: Sequence[str]) -> dict[str, int]:
    """Return the number of slots by service.

    :raises UsageError: if a value is not of the form SERVICE=NUMBER
    """
    slots = {}
    for value in values:
        service, _, number = value.rpartition("=")
        if not service or not number.isascii() or not number.isdigit():
            raise UsageError(f"--slots {value}: expected SERVICE=NUMBER")
        slots[service] = int(number)
    return slots
