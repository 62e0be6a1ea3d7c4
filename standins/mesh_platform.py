"""Stand-ins for the users' platform, its store and a target, on almondshore's HTTP server."""

import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import eventlet
import msgspec
from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.http.messages import Headers, Response
from almondshore.http.parsing import RequestLimits
from almondshore.http.server import Exchange, ExchangeHandler, HttpServer, ServerLimits

LIMITS = ServerLimits(
    RequestLimits(64 * 1024, 64 * 1024 * 1024), timedelta(seconds=10), timedelta(seconds=60)
)
JSON: Headers = ((b"Content-Type", b"application/json"),)
OBJECTS = "/objects/"
HEALTH_PATH = b"/health"
# Number of changes that a restore can undo.
MAX_UNDOABLE = 100_000


class _Undo(NamedTuple):
    """How to undo a change: what an object was before, None if there was none."""

    at: float
    revision: int
    kind: str
    name: str
    before: dict[str, Any] | None


class StoreStandIn(ExchangeHandler):
    """Objects by kind and name with revisions, conditional writes and watches.

    :ivar revision: revision of the last change in the store
    :ivar compacted_revision: watches from before this revision are answered with 410
    :ivar history: revision, kind, object and whether it was removed, for each change
    :ivar pending_watches: exchange, kind and start revision of each watch that waits for a change
    :ivar refusal_status: status that all calls are answered with, 0 to serve them
    :ivar drop_write_responses: whether writes are executed but left unanswered
    :ivar calls: number of calls so far
    :ivar era: number of restores, stated in all responses; None to state none
    :ivar away_until: monotonic time in seconds until which all calls are answered with 503
    :ivar held: responses that are kept back, with the era in which they were made; None to send
        responses at once
    """

    def __init__(self, *, era: int | None = None) -> None:
        self.era = era
        self.away_until = 0.0
        self.held: list[tuple[Exchange, Response]] | None = None
        self.undo_log: deque[_Undo] = deque(maxlen=MAX_UNDOABLE)
        self.revision = 1
        self.compacted_revision = 0
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.pending_watches: list[tuple[Exchange, str, int]] = []
        self.refusal_status = 0
        self.drop_write_responses = False
        self.calls = 0

    def handle(self, exchange: Exchange) -> None:
        """Handle a read, a watch or a write."""
        self.calls += 1
        if self.refusal_status or time.monotonic() < self.away_until:
            self._respond(exchange, self.refusal_status or 503)
            return
        path, _, query = exchange.request.target.decode().partition("?")
        parts = [unquote(part) for part in path.removeprefix(OBJECTS).split("/")]
        options = {key: values[0] for key, values in parse_qs(query).items()}
        method = exchange.request.method
        if method == b"GET":
            self._read(exchange, parts, options)
            return
        status, document = self._write(method, parts, options, exchange.request.body)
        if not self.drop_write_responses:
            self._respond(exchange, status, document)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write the specification of an object, as an operator does; its status stays."""
        current = self.objects.get(kind, {}).get(name)
        self._store(kind, name, spec, current["status"] if current else None)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, None if there is none of this name."""
        return self.objects.get(kind, {}).get(name)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object that exists.

        :return: the object as it was
        """
        item = self.objects[kind].pop(name)
        self.revision += 1
        self.undo_log.append(_Undo(time.monotonic(), self.revision, kind, name, item))
        self._append_event(kind, item, removed=True)
        return item

    def compact_history(self) -> None:
        """Drop the history and answer all pending watches with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        pending, self.pending_watches = self.pending_watches, []
        for exchange, _, _ in pending:
            self._respond(exchange, 410)

    def restore(
        self,
        *,
        seconds: float | None = None,
        revision: int | None = None,
        away: timedelta = timedelta(),
    ) -> None:
        """Restore the store from an earlier copy, and begin a new era.

        Revisions after that of the copy are given out again. Watches from such a revision are
        answered with 410.

        :param seconds: age of the copy; None to use the revision
        :param revision: revision of the copy
        :param away: for how long the store is unavailable before
        """
        cutoff = time.monotonic() - (seconds or 0.0)
        while self.undo_log:
            last = self.undo_log[-1]
            if last.revision <= revision if revision is not None else last.at <= cutoff:
                break
            self._undo(self.undo_log.pop())
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.history = [entry for entry in self.history if entry[0] <= self.revision]
        self.era = (self.era or 0) + 1
        self.away_until = time.monotonic() + away.total_seconds()
        pending, self.pending_watches = self.pending_watches, []
        for entry in pending:
            if away:
                self._respond(entry[0], 503)
            elif entry[2] > self.revision:
                self._respond(entry[0], 410)
            else:
                self.pending_watches.append(entry)

    def is_reachable(self) -> bool:
        """Return whether calls are served, and not refused or left unanswered."""
        away = time.monotonic() < self.away_until
        return not (away or self.refusal_status or self.drop_write_responses)

    def hold_responses(self) -> None:
        """Keep back the responses to all calls from now on."""
        self.held = []

    def release_responses(self) -> None:
        """Send the responses that were kept back, as they were made, and all further ones."""
        held, self.held = self.held or [], None
        for exchange, response in held:
            exchange.respond(response)

    def _respond(self, exchange: Exchange, status: int, document: object = None) -> None:
        era = ((b"Store-Era", b"%d" % self.era),) if self.era is not None else ()
        body = msgspec.json.encode(document) if document is not None else b""
        response = Response(status, (*JSON, *era), body)
        if self.held is None:
            exchange.respond(response)
        else:
            self.held.append((exchange, response))

    def _undo(self, change: _Undo) -> None:
        if change.before is None:
            del self.objects[change.kind][change.name]
        else:
            self.objects.setdefault(change.kind, {})[change.name] = change.before
        self.revision = change.revision - 1

    def _read(self, exchange: Exchange, parts: list[str], options: dict[str, str]) -> None:
        kind = parts[0]
        if "watch" in options:
            self._watch(exchange, kind, options)
            return
        if len(parts) > 1:
            item = self.get(kind, parts[1])
            self._respond(exchange, 200 if item else 404, item)
            return
        items = [item for _, item in sorted(self.objects.get(kind, {}).items())]
        document = {"items": items, "has_more": False, "current_rev": self.revision}
        self._respond(exchange, 200, document)

    def _watch(self, exchange: Exchange, kind: str, options: dict[str, str]) -> None:
        since = int(options["watch"])
        if since < self.compacted_revision or since > self.revision:
            self._respond(exchange, 410)
            return
        if self._answer_watch(exchange, kind, since, empty=False):
            return
        entry = (exchange, kind, since)
        self.pending_watches.append(entry)
        wait_s = int(options.get("wait_ms", "0")) / 1000
        hubs.get_hub().schedule_call_global(wait_s, self._end_watch, entry)

    def _end_watch(self, entry: tuple[Exchange, str, int]) -> None:
        if entry in self.pending_watches:
            self.pending_watches.remove(entry)
            self._answer_watch(*entry, empty=True)

    def _answer_watch(self, exchange: Exchange, kind: str, since: int, *, empty: bool) -> bool:
        events = [
            {"object": item, "removed": removed}
            for revision, item_kind, item, removed in self.history
            if revision > since and item_kind == kind
        ]
        if not events and not empty:
            return False
        document = {"events": events, "current_rev": self.revision}
        self._respond(exchange, 200, document)
        return True

    def _write(
        self, method: bytes, parts: list[str], options: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any] | None]:
        kind = parts[0]
        request_body = msgspec.json.decode(body) if body else {}
        metadata = request_body.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        current = self.get(kind, name)
        if method == b"POST":
            if current is not None:
                return 409, current
            return 201, self._store(kind, name, request_body.get("spec"), None)
        if current is None:
            return 404, None
        expected = int(options.get("revision", metadata.get("revision", 0)))
        if expected and expected != current["metadata"]["revision"]:
            return 409, current
        if method == b"DELETE":
            return 200, self.remove(kind, name)
        if parts[-1] == "status" and len(parts) > 2:
            return 200, self._store(kind, name, current["spec"], request_body.get("status"))
        return 200, self._store(kind, name, request_body.get("spec"), current["status"])

    def _store(self, kind: str, name: str, spec: object, status: object) -> dict[str, Any]:
        current = self.get(kind, name)
        if current is not None and (current["spec"], current["status"]) == (spec, status):
            return current
        self.revision += 1
        self.undo_log.append(_Undo(time.monotonic(), self.revision, kind, name, current))
        created = current["metadata"]["create_rev"] if current else self.revision
        metadata = {"name": name, "revision": self.revision, "create_rev": created}
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = item
        self._append_event(kind, item, removed=False)
        return item

    def _append_event(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.history.append((self.revision, kind, item, removed))
        for entry in [entry for entry in self.pending_watches if entry[1] == kind]:
            self.pending_watches.remove(entry)
            self._answer_watch(*entry, empty=True)


class TargetStandIn(ExchangeHandler):
    """A target that answers each request after a fixed time.

    :ivar target: identity of the target; requests that expect another one are answered with 421
    :ivar healthy: whether health checks succeed
    :ivar processing_time: time from the arrival of a request to its response
    :ivar executed: attempt id and caller service of each request, in the order of execution
    :ivar cancelled: number of requests that were cancelled
    :ivar on_run: called with each request that is executed
    :ivar make_response: returns the response to a request, None to leave it unanswered
    """

    def __init__(self, *, target: str, processing_time: timedelta = timedelta(milliseconds=5)):
        self.target = target
        self.processing_time = processing_time
        self.healthy = True
        self.executed: list[tuple[bytes, bytes]] = []
        self.cancelled = 0
        self.make_response: Callable[[Exchange], Response | None] = self._default_response
        self.on_run: Callable[[Exchange], None] = lambda _exchange: None

    def handle(self, exchange: Exchange) -> None:
        """Execute a request, or reject one that expects another instance."""
        request = exchange.request
        if request.header(b"expected-instance") not in (None, self.target.encode()):
            exchange.respond(Response(421))
            return
        if request.target == HEALTH_PATH:
            status = 200 if self.healthy else 503
            exchange.respond(Response(status, ((b"Instance-Id", self.target.encode()),)))
            return
        self.executed.append((request.header(b"attempt-id"), request.header(b"caller-service")))
        self.on_run(exchange)
        exchange.on_cancel = self._on_cancel
        eventlet.spawn_after(self.processing_time.total_seconds(), self._respond, exchange)

    def _respond(self, exchange: Exchange) -> None:
        response = self.make_response(exchange)
        if response is not None:
            exchange.respond(response)

    def _default_response(self, exchange: Exchange) -> Response:
        headers = (
            (b"Attempt-Id", exchange.request.header(b"attempt-id") or b""),
            (b"Response-Signature", self.target.encode()),
        )
        return Response(200, headers, b"from " + self.target.encode())

    def _on_cancel(self) -> None:
        self.cancelled += 1


def serve(clock: Clock, handler: ExchangeHandler, port: int = 0) -> HttpServer:
    """Start an HTTP server for a stand-in on loopback.

    :param port: port to listen on, 0 for a free one
    """
    return HttpServer(
        clock=clock, address=("127.0.0.1", port), handler=handler, limits=lambda: LIMITS
    )
