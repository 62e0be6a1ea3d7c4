"""The ``drain`` command."""

from typing import Annotated

from cyclopts import Parameter

from almondshore.ui.context import Context
from almondshore.ui.node_http import call_node

DRAIN_PATH = "/almondshore/v1/drain"


def drain(node: str, *, context: Annotated[Context, Parameter(parse=False)]) -> int:
    """Start the drain of a node: its targets get no new work, requests in flight finish.

    :param node: URL of the node's admin address, such as http://10.0.0.1:7403
    """
    call_node("POST", node, DRAIN_PATH)
    context.print_line(f"the node at {node} is draining")
    return 0
