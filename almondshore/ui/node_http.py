"""HTTP calls of the tool to a node."""

from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from almondshore.core.decoding import decode_json
from almondshore.core.errors import UserError
from almondshore.net.failures import describe_failure
from almondshore.ui.context import CALL_TIMEOUT, require_url
from almondshore.ui.output import printable

Document = TypeVar("Document")

MAX_SHOWN_CHARS = 200


def read_node(node: str, path: bytes, document_type: type[Document]) -> Document:
    """Read a JSON document from the metrics address of a node of a mesh.

    :param node: URL of the metrics address
    :param document_type: type that the document is decoded to
    :raises UserError: if the node does not respond, refuses the request, or sends a malformed
        response
    """
    body = call_node("GET", node, path.decode())
    try:
        return decode_json(body, document_type)
    except msgspec.MsgspecError as error:
        raise UserError(f"the node at {node} sent a malformed response: {error}") from error


def call_node(method: str, node: str, path: str) -> bytes:
    """Send a request without a body to a node and return the body of the response.

    :param node: URL of an address of the node
    :raises UserError: if the node does not respond within ``CALL_TIMEOUT``, or refuses the request
    """
    url = require_url(node)
    timeout = urllib3.Timeout(CALL_TIMEOUT.total_seconds())
    try:
        with urllib3.PoolManager() as pool:
            # Not retried: the operator sees the failure and can safely repeat the command.
            response = pool.request(method, url + path, timeout=timeout, retries=False)
    except HTTPError as error:
        raise UserError(f"the node at {node} does not answer: {describe_failure(error)}") from error
    if not 200 <= response.status < 300:
        body = printable(response.data.decode(errors="replace")[:MAX_SHOWN_CHARS])
        raise UserError(f"the node at {node} refused with status {response.status}: {body}")
    return response.data
