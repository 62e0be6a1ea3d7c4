"""Servers and pools for tests of the platform client."""

import io
import socket
import threading
from types import SimpleNamespace
from urllib.parse import unquote, urlsplit

import urllib3


class ScriptedServer:
    """A TCP server on loopback that answers each request with the next scripted bytes.

    None keeps the connection open without an answer; the connection closes after other answers
    unless ``keep_open`` is set.
    """

    def __init__(self, answers, *, keep_open=False):
        self.answers = list(answers)
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
            threading.Thread(target=self._answer, args=[connection], daemon=True).start()

    def _answer(self, connection):
        try:
            while self.answers and b"\r\n\r\n" in connection.recv(65536):
                answer = self.answers.pop(0)
                if answer is None:
                    return
                connection.sendall(answer)
                if not self.keep_open:
                    break
            connection.close()
        except OSError:
            connection.close()

    def close(self):
        for item in (self.listener, *self.connections):
            item.close()


class WsgiPool:
    """Stands for a urllib3 pool and calls a WSGI application instead of a server."""

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
        status, answer_headers = started[0]
        content = io.BytesIO(b"".join(chunks))
        return FakeResponse(int(status.split()[0]), dict(answer_headers), content.read1)


class FakeResponse:
    """A urllib3 response whose body comes from a function."""

    def __init__(self, status, headers, read1):
        self.status = status
        self.headers = headers
        self.read1 = read1
        self.closed = False

    def release_conn(self):
        pass

    def close(self):
        self.closed = True
