"""Raw requests that HTTP client libraries would not send."""

import socket
from typing import NamedTuple

TIMEOUT_SECONDS = 20


class RawResponse(NamedTuple):
    """Status line and headers of a response; status 0 if none was received.

    :ivar head: status line and headers in lower case
    :ivar closed: whether the server closed the connection before the end of the headers
    """

    status: int
    head: str
    closed: bool


def send_raw(address: str, data: bytes, *, end: bool = False) -> RawResponse:
    """Send bytes on a new connection and read the head of one response.

    :param end: whether to close the sending side after the bytes
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS) as connection:
        connection.sendall(data)
        if end:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        closed = False
        while b"\r\n\r\n" not in received:
            chunk = connection.recv(65536)
            if not chunk:
                closed = True
                break
            received += chunk
    head = received.partition(b"\r\n\r\n")[0].decode("latin-1")
    status = int(head.split()[1]) if head.startswith("HTTP/") else 0
    return RawResponse(status, head.lower(), closed)


def read_all(address: str, data: bytes) -> bytes:
    """Send bytes on a new connection; read until the server closes it or is silent for 2 s."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        connection.sendall(data)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except TimeoutError:
            pass
        return received
