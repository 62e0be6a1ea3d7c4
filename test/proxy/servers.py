"""Server that sends scripted raw responses, with one script for each connection."""

import socket
import threading


class ScriptedServer:
    """Answers each request on a connection with the next item of the connection's script.

    The item None closes the connection without a response. ``{id}`` in a response is replaced by
    the request id.

    :ivar close_after: whether to close a connection at the end of its script
    :ivar requests: number of the connection and request head (request line and headers) of each
        request
    """

    def __init__(self, *scripts: list[bytes | None], close_after: bool = False):
        self.close_after = close_after
        self.scripts = list(scripts)
        self.requests: list[tuple[int, bytes]] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def close(self):
        if self.listener.fileno() >= 0:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.thread.join()

    def _serve(self):
        threads = []
        for number, script in enumerate(self.scripts):
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._run_script, args=(connection, number, script), daemon=True
            )
            thread.start()
            threads.append(thread)

    def _run_script(self, connection, number, script):
        with connection:
            for response in script:
                head = self._read(connection)
                if not head:
                    return
                self.requests.append((number, head))
                if response is None:
                    return
                connection.sendall(response.replace(b"{id}", request_id(head)))
            if self.close_after:
                return
            # Keeps the connection open until the client closes it.
            self._read(connection)

    def _read(self, connection):
        head = b""
        while b"\r\n\r\n" not in head:
            try:
                chunk = connection.recv(65536)
            except OSError:
                return b""
            if not chunk:
                return b""
            head += chunk
        return head


def request_id(head: bytes) -> bytes:
    """Return the request id in the head of a request."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-almondshore-request-id":
            return value.strip()
    return b""


def build_response(
    body: bytes, *lines: str, length: int | None = None, status: str = "200 OK"
) -> bytes:
    """Encode a response.

    :param lines: header lines
    :param length: Content-Length to send instead of the actual one
    """
    size = len(body) if length is None else length
    head = [f"HTTP/1.1 {status}", f"content-length: {size}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body
