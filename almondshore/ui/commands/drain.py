"""The ``drain`` command."""

from typing import Annotated

import urllib3
from cyclopts import Parameter
from urllib3.exceptions import HTTPError

from almondshore.core.errors import UserError
from almondshore.net.failures import describe_failure
from almondshore.ui.context import CALL_TIMEOUT, Context, require_url
from almondshore.ui.output import printable

DRAIN_PATH = "/almondshore/v1/drain"
MAX_SHOWN_CHARS = 200


def drain(node: str, *, context: Annotated[Context, Parameter(parse=False)]) -> int:
    """Start the drain of a node: its targets get no new work, requests in flight finish.

    :param node: URL of the node's admin address, such as http://10.0.0.1:7403
    """
    url = require_url(node)
    timeout = urllib3.Timeout(CALL_TIMEOUT.total_seconds())
    try:
        with urllib3.PoolManager() as pool:
            # Not repeated: the operator sees the failure and may repeat the command, which is safe.
            response = pool.request("POST", url + DRAIN_PATH, timeout=timeout, retries=False)
    except HTTPError as error:
        raise UserError(f"the node at {node} does not answer: {describe_failure(error)}") from error
    if not 200 <= response.status < 300:
        body = printable(response.data.decode(errors="replace")[:MAX_SHOWN_CHARS])
        raise UserError(f"the node at {node} refused with status {response.status}: {body}")
    context.line(f"the node at {node} is draining")
    return 0
