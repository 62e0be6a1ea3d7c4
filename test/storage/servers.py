"""Servers and pools for tests of the platform client."""

import io
import socket
import threading
from types import SimpleNamespace
from urllib.parse import unquote, urlsplit

import urllib3


class ScriptedServer:
    """A TCP server on loopback that responds to each request with the next scripted bytes.

    None keeps the connection open without a response; after any other response the connection is
    closed, unless ``keep_open`` is set.
    """

    def __init__(self, responses, *, keep_open=False):
        self.responses = list(responses)
        self.keep_open = keep_open
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._respond, args=[connection], daemon=True).start()

    def _respond(self, connection):
        try:
            while self.responses and b"\r\n\r\n" in connection.recv(65536):
                response = self.responses.pop(0)
                if response is None:
                    return
                connection.sendall(response)
                if not self.keep_open:
                    break
            connection.close()
        except OSError:
            connection.close()

    def close(self):
        for item in (self.listener, *self.connections):
            item.close()


class WsgiPool:
    """Replaces a urllib3 pool and calls a WSGI application instead of a server."""

    def __init__(self, app):
        self.app = app

    def request(self, method, url, *, body=None, headers=None, **_):
        parts = urlsplit(url)
        dropped = []
        connection = SimpleNamespace(shutdown=dropped.append)
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": unquote(parts.path, encoding="latin-1"),
            "QUERY_STRING": parts.query,
            "CONTENT_LENGTH": str(len(body or b"")),
            "wsgi.input": io.BytesIO(body or b""),
            "eventlet.input": SimpleNamespace(get_socket=lambda: connection),
        }
        started = []
        chunks = self.app(environ, lambda status, headers: started.append((status, headers)))
        if dropped:
            raise urllib3.exceptions.ProtocolError("connection dropped")
        status, response_headers = started[0]
        content = io.BytesIO(b"".join(chunks))
        return FakeResponse(int(status.split()[0]), dict(response_headers), content.read1)


class FakeResponse:
    """A urllib3 response whose body is returned by a function.

    :param read1: takes a size in bytes and returns the next part of the body
    """

    def __init__(self, status, headers, read1):
        self.status = status
        self.headers = headers
        self.read1 = read1
        self.closed = False

    def release_conn(self):
        pass

    def close(self):
        self.closed = True
