"""The platform stand-in as an HTTP server: ``python -m standins.platform_server``."""

import socket
import sys
from datetime import timedelta
from typing import NamedTuple, TypedDict
from urllib.parse import parse_qs

import cyclopts
import eventlet
import eventlet.event
import eventlet.wsgi
import msgspec

from almondshore.core.clock import Clock, SystemClock
from almondshore.storage.port import MAX_VALUE_BYTES
from almondshore.storage.wire import (
    ListResponse,
    ObjectResponse,
    PutRequest,
    WatchResponse,
    to_document,
)
from standins.object_store import Fault, ObjectStore, Status

MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
MAX_WATCH = timedelta(minutes=10)
SLOW_DELAY = timedelta(milliseconds=1500)
RETRY_AFTER_SECONDS = 1
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Answer(NamedTuple):
    """Status and JSON document of a response.

    :ivar lost: shut the connection down instead of sending the response
    """

    status: int
    document: object
    lost: bool = False


class FaultRequest(TypedDict):
    """Body of ``POST /v1/fault``."""

    fault: Fault


class PlatformApp:
    """WSGI application that serves an object store and applies its rate limits and faults.

    :param slow_delay: delay of each call under ``Fault.SLOW``
    :ivar changed: event that wakes the waiting watches; replaced each time it is sent
    """

    def __init__(self, *, store: ObjectStore, clock: Clock, slow_delay: timedelta = SLOW_DELAY):
        self.store = store
        self.clock = clock
        self.slow_delay = slow_delay
        self.changed = eventlet.event.Event()

    def __call__(self, environ, start_response):
        """Handle a request; a malformed one is answered with 400."""
        try:
            answer = self._route(environ)
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            answer = Answer(400, {"error": str(error)})
        if answer.lost:
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        headers = [("content-type", "application/json")]
        if answer.status == 429:
            headers.append(("retry-after", str(RETRY_AFTER_SECONDS)))
        start_response(STATUS_LINES[answer.status], headers)
        return [msgspec.json.encode(answer.document)]

    def _route(self, environ) -> Answer:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].encode("latin-1").decode()
        if (method, path) == ("POST", "/v1/fault"):
            return self._set_fault(environ)
        if (method, path) == ("GET", "/v1/counts"):
            return Answer(200, self.store.counts)
        if self.store.fault is Fault.DOWN:
            return Answer(503, {"error": "the platform is down"})
        if not self.store.admit("write" if method == "PUT" else "read"):
            return Answer(429, {"error": "rate limit"})
        if self.store.fault is Fault.SLOW:
            eventlet.sleep(self.slow_delay.total_seconds())
        return self._handle_call(method, path, environ)

    def _handle_call(self, method: str, path: str, environ) -> Answer:
        query = {
            name: values[0] for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        if path.startswith("/v1/objects/"):
            key = path.removeprefix("/v1/objects/")
            if method == "GET":
                return _object_answer(self.store.get(key))
            if method == "PUT":
                return self._put(key, query, environ)
        if (method, path) == ("GET", "/v1/list"):
            objects = [to_document(item) for item in self.store.list(query.get("prefix", ""))]
            return Answer(200, ListResponse(objects=objects))
        if (method, path) == ("GET", "/v1/watch"):
            wait = timedelta(milliseconds=int(query["timeout_ms"]))
            return self._watch(query.get("prefix", ""), int(query["after"]), min(wait, MAX_WATCH))
        return Answer(404, {"error": "no such resource"})

    def _put(self, key: str, query: dict[str, str], environ) -> Answer:
        body = _read_body(environ)
        if body is None:
            return Answer(413, ObjectResponse(object=None))
        value = msgspec.json.decode(body, type=PutRequest)["value"]
        previous_position = self.store.position
        status = self.store.put(key, value, int(query["revision"]), query["write_id"])
        if self.store.position != previous_position:
            self._wake_watches()
        return _object_answer(status)._replace(lost=self.store.fault is Fault.LOSE_ANSWERS)

    def _watch(self, prefix: str, after: int, wait: timedelta) -> Answer:
        """Wait for a change of an object under the prefix, the time-out or ``Fault.DOWN``."""
        deadline = self.clock.monotonic() + wait
        while not (objects := self.store.changes(prefix, after)):
            remaining = deadline - self.clock.monotonic()
            if remaining <= timedelta():
                break
            with eventlet.Timeout(remaining.total_seconds(), False):
                self.changed.wait()
            if self.store.fault is Fault.DOWN:
                return Answer(503, {"error": "the platform is down"})
        documents = [to_document(item) for item in objects]
        return Answer(200, WatchResponse(position=self.store.position, objects=documents))

    def _set_fault(self, environ) -> Answer:
        body = _read_body(environ) or b""
        self.store.fault = msgspec.json.decode(body, type=FaultRequest)["fault"]
        self._wake_watches()
        return Answer(200, {"fault": self.store.fault})

    def _wake_watches(self) -> None:
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send(None)


def _read_body(environ) -> bytes | None:
    """Read the request body; None if it exceeds ``MAX_BODY_BYTES``."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return None
    return environ["wsgi.input"].read(length)


def _object_answer(status: Status) -> Answer:
    document = to_document(status.object) if status.object else None
    return Answer(status.code, ObjectResponse(object=document))


def serve(listener, app, *, log_output: bool = False) -> None:
    """Serve a WSGI application on a listening eventlet socket; does not return."""
    eventlet.wsgi.server(listener, app, log_output=log_output, max_size=4096)


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port; brackets of an IPv6 host are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def print_address(event: str, listener: socket.socket) -> None:
    """Print the address of a listener; the kernel chose the port if 0 was requested."""
    host, port = listener.getsockname()[:2]
    sys.stdout.write(f"event={event} address={host}:{port}\n")
    sys.stdout.flush()


def main(*, listen: str = "127.0.0.1:7300", slow_ms: int = 1500) -> None:
    """Serve the platform stand-in.

    :param listen: address ``ip:port`` to listen on
    :param slow_ms: delay of each call under the fault ``slow``
    """
    clock = SystemClock()
    app = PlatformApp(
        store=ObjectStore(clock=clock),
        clock=clock,
        slow_delay=timedelta(milliseconds=slow_ms),
    )
    listener = eventlet.listen(split_address(listen))
    print_address("platform_listening", listener)
    serve(listener, app)


if __name__ == "__main__":
    cyclopts.run(main)
