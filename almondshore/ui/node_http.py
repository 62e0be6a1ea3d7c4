"""Calls of the tool to a node."""

from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from almondshore.core.errors import UserError
from almondshore.net.failures import describe_failure
from almondshore.ui.context import CALL_TIMEOUT, require_url
from almondshore.ui.output import printable

T = TypeVar("T")

MAX_SHOWN_CHARS = 200


def read_node(node: str, path: bytes, kind: type[T]) -> T:
    """Return what a node of a mesh tells under a path of its metrics address.

    :param node: URL of the metrics address
    :raises UserError: if the node does not answer, refuses, or gives a malformed answer
    """
    body = call_node("GET", node, path.decode())
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise UserError(f"the node at {node} gave a malformed answer: {error}") from error


def call_node(method: str, node: str, path: str) -> bytes:
    """Call a node and return the body of its answer.

    :param node: URL of the node
    :raises UserError: if the node does not answer or refuses
    """
    url = require_url(node)
    timeout = urllib3.Timeout(CALL_TIMEOUT.total_seconds())
    try:
        with urllib3.PoolManager() as pool:
            # Not repeated: the operator sees the failure and may repeat the command, which is safe.
            response = pool.request(method, url + path, timeout=timeout, retries=False)
    except HTTPError as error:
        raise UserError(f"the node at {node} does not answer: {describe_failure(error)}") from error
    if not 200 <= response.status < 300:
        body = printable(response.data.decode(errors="replace")[:MAX_SHOWN_CHARS])
        raise UserError(f"the node at {node} refused with status {response.status}: {body}")
    return response.data
