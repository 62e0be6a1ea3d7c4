"""The ``moves`` command."""

from typing import Annotated, Any

from cyclopts import Parameter

from almondshore.mesh.view import STATUS_PATH, NodeView
from almondshore.ui.context import Context
from almondshore.ui.node_http import read_node
from almondshore.ui.output import format_ready_targets, print_json, print_table
from almondshore.ui.zones import read_zones
from almondshore.versions.status import ZoneStatus

ROLLOUT_HEADER = ("service", "to", "state", "share", "ready targets by version")
HEADER = ("service", "from", "to", "state", "step", "deadline", "at risk", "zones", "reason")


def moves(
    *,
    node: str | None = None,
    json: bool = False,
    context: Annotated[Context, Parameter(parse=False)],
) -> int:
    """List the moves with their step, deadline and state.

    :param node: URL of the metrics address of a node of a mesh; lists the rollouts that it knows,
        even while the store is unreachable
    :param json: print the moves as JSON
    """
    if node is not None:
        return _list_rollouts(node, json, context)
    merged = merge_moves(read_zones(context.platform()))
    if json:
        print_json(context.out, {"moves": merged})
        return 0
    rows = [
        (
            move["service"],
            move["from_version"],
            move["to_version"],
            ", ".join(move["states"]),
            _format_steps(move["steps_percent"]),
            move["deadline"],
            "yes" if move["at_risk"] else "no",
            len(move["zones"]),
            move["reason"],
        )
        for move in merged
    ]
    print_table(context.out, HEADER, rows)
    return 0


def _list_rollouts(node: str, json: bool, context: Context) -> int:
    services = read_node(node, STATUS_PATH, NodeView)["services"]
    rollouts = [
        {
            "service": service["service"],
            "to_version": service["rollout_version"],
            "state": service["rollout"],
            "share": service["rollout_share"],
            "ready": service["ready"],
        }
        for service in services
        if service["rollout"]
    ]
    if json:
        print_json(context.out, {"moves": rollouts})
        return 0
    rows = [
        (
            rollout["service"],
            rollout["to_version"],
            rollout["state"],
            f"{rollout['share']:.0%}",
            format_ready_targets(rollout["ready"]),
        )
        for rollout in rollouts
    ]
    print_table(context.out, ROLLOUT_HEADER, rows)
    return 0


def merge_moves(zones: list[ZoneStatus]) -> list[dict[str, Any]]:
    """Merge the moves that the zones report into one entry per move.

    Zones learn of steps at different times, so an entry lists all reported states and steps.
    """
    merged: dict[tuple[str, str], dict[str, Any]] = {}
    for zone in zones:
        for move in zone["moves"]:
            entry = merged.setdefault(
                (move["service"], move["move_id"]),
                {
                    **{key: move[key] for key in ("service", "move_id")},
                    **{key: move[key] for key in ("from_version", "to_version", "deadline")},
                    "states": [],
                    "steps_percent": [],
                    "at_risk": False,
                    "reason": "",
                    "zones": [],
                },
            )
            entry["states"] = sorted({*entry["states"], move["state"]})
            entry["steps_percent"] = sorted({*entry["steps_percent"], move["step_percent"]})
            entry["at_risk"] = entry["at_risk"] or move["at_risk"]
            entry["reason"] = entry["reason"] or move["reason"]
            entry["zones"].append(zone["zone"])
    return [merged[key] for key in sorted(merged)]


def _format_steps(steps: list[int]) -> str:
    return f"{steps[0]}%" if len(steps) == 1 else f"{steps[0]}% to {steps[-1]}%"
