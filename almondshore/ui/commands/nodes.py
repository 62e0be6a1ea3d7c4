"""The ``nodes`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.mesh.view import TARGETS_PATH, TargetsView, TargetView
from almondshore.ui.context import Context
from almondshore.ui.node_http import read_node
from almondshore.ui.output import print_json, print_table
from almondshore.ui.zones import read_zones
from almondshore.versions.status import TargetStatus

TARGET_HEADER = ("zone", "node", "service", "version", "state", "answers", "target")
HEADER = ("zone", "node", "address", "version", "ready", "targets")


def nodes(
    *,
    zone: str | None = None,
    node: str | None = None,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """List the nodes with the version in effect and the targets of each.

    :param zone: list only the nodes of this zone
    :param node: URL of the metrics address of a node of a mesh; lists the targets that it knows
        and whether their nodes answer it, even while the store is unreachable
    :param json: print the nodes as JSON
    """
    if node is not None:
        return _list_targets(node, zone, json, context)
    selected = [
        {"zone": status["zone"], **node}
        for status in read_zones(context.platform())
        if zone in (None, status["zone"])
        for node in sorted(status["nodes"], key=lambda node: node["node"])
    ]
    if json:
        print_json(context.out, {"nodes": selected})
        return 0
    rows = [
        (
            node["zone"],
            node["node"],
            node["address"],
            node["config_version"],
            "yes" if node["ready"] else "no",
            ", ".join(_format_target(target) for target in node["targets"]),
        )
        for node in selected
    ]
    print_table(context.out, HEADER, rows)
    return 0


def _list_targets(node: str, zone: str | None, json: bool, context: Context) -> int:
    targets = read_node(node, TARGETS_PATH, TargetsView)["targets"]
    selected = [target for target in targets if zone in (None, target["zone"])]
    if json:
        print_json(context.out, {"targets": selected})
        return 0
    print_table(context.out, TARGET_HEADER, [_target_row(target) for target in selected])
    return 0


def _target_row(target: TargetView) -> tuple[object, ...]:
    cells = {**target, "answers": "yes" if target["answers"] else "no"}
    return tuple(cells[key] for key in TARGET_HEADER)


def _format_target(target: TargetStatus) -> str:
    return f"{target['service']} {target['version']} {target['state']} at {target['target']}"
