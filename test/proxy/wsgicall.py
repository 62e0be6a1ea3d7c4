"""Test client that calls a WSGI application of a hop as its server does."""

import io
from typing import NamedTuple


class Result(NamedTuple):
    """Response of an application.

    :ivar reason: value of the header ``x-almondshore-reason``, empty if absent
    :ivar outcome: value of the header ``x-almondshore-outcome``, empty if absent
    """

    status: int
    reason: str
    outcome: str
    headers: dict[str, str]
    body: bytes


def call(app, method, path, body=b"", headers=()):
    """Call an application with a request and return its response."""
    started = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "RAW_PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "headers_raw": (("content-length", str(len(body))), *headers),
        "wsgi.input": io.BytesIO(body),
    }
    chunks = app(environ, lambda status, items: started.append((status, items)))
    status, items = started[0]
    response_headers = dict(items)
    return Result(
        int(status.split()[0]),
        response_headers.get("x-almondshore-reason", ""),
        response_headers.get("x-almondshore-outcome", ""),
        response_headers,
        b"".join(chunks),
    )
