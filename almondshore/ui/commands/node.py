"""The ``node`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.mesh.view import STATUS_PATH, NodeView, ServiceView
from almondshore.ui.context import Context
from almondshore.ui.node_http import read_node
from almondshore.ui.output import format_ready_targets, print_json, print_table, printable

HEADER = ("service", "ready targets by version", "known", "rollout")


def node(
    node: str, *, json: bool = False, context: Annotated[Context, Parameter(parse=False)]
) -> int:
    """Show the status of a node of a mesh, even while the store is unreachable.

    :param node: URL of the node's metrics address, such as http://10.0.0.1:7620
    :param json: print the status as JSON
    """
    status = read_node(node, STATUS_PATH, NodeView)
    if json:
        print_json(context.out, status)
        return 0
    for text in _summary_lines(status):
        context.print_line(printable(text))
    print_table(context.out, HEADER, [_service_row(service) for service in status["services"]])
    return 0


def _summary_lines(status: NodeView) -> list[str]:
    """Return the lines that describe the node itself, without its view of the services."""
    state = "stopping" if status["stopping"] else "ready" if status["ready"] else "not ready"
    age = "never read" if status["state_age_ms"] < 0 else f"{status['state_age_ms']} ms old"
    away = f", store away for {status['store_away_ms']} ms" if status["store_away_ms"] else ""
    target = f"{status['target']} {status['target_state']}" if status["target"] else "none yet"
    unreachable = ", ".join(status["unreachable"]) or "none"
    return [
        f"node {status['node']} in {status['zone']}: {state}",
        f"configuration {status['config_version']} from {status['source']}, {age}{away}",
        f"target of {status['service']}: {target}, {status['running']} requests running, "
        f"{status['waiting']} waiting",
        f"nodes that do not answer: {unreachable}",
    ]


def _service_row(service: ServiceView) -> tuple[object, ...]:
    ready = format_ready_targets(service["ready"])
    rollout = ""
    if service["rollout"]:
        share = f"{service['rollout_share']:.0%}"
        rollout = f"{service['rollout_version']} {service['rollout']} at {share}"
    return service["service"], ready or "none", service["known"], rollout
