"""The ``nodes`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.ui.context import Context
from almondshore.ui.output import print_json, print_table
from almondshore.ui.zones import read_zones
from almondshore.versions.status import TargetStatus

HEADER = ("zone", "node", "address", "version", "ready", "targets")


def nodes(
    *,
    zone: str | None = None,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """List the nodes with the version in effect on each and the targets beside it.

    :param zone: list only the nodes of this zone
    :param json: print the nodes as JSON
    """
    found = [
        {"zone": status["zone"], **node}
        for status in read_zones(context.platform())
        if zone in (None, status["zone"])
        for node in sorted(status["nodes"], key=lambda node: node["node"])
    ]
    if json:
        print_json(context.out, {"nodes": found})
        return 0
    rows = [
        (
            node["zone"],
            node["node"],
            node["address"],
            node["config_version"],
            "yes" if node["ready"] else "no",
            ", ".join(_target(target) for target in node["targets"]),
        )
        for node in found
    ]
    print_table(context.out, HEADER, rows)
    return 0


def _target(target: TargetStatus) -> str:
    return f"{target['service']} {target['version']} {target['state']} at {target['target']}"
