"""The admin address: health, readiness, metrics, status, announcements and drain."""

from collections.abc import Callable, Iterable

import msgspec

from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_json
from almondshore.daemon.metrics import Metrics
from almondshore.daemon.node import Node
from almondshore.daemon.status import move_statuses, node_status
from almondshore.proxy.headers import Problem
from almondshore.proxy.wsgi import StartResponse, read_request, respond, respond_json

PREFIX = "/almondshore/v1/"
MAX_BODY_BYTES = 64 * 1024
MAX_SLOTS = 10_000


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body with which a target announces itself.

    :ivar address: ``ip:port`` of the target
    :ivar slots: number of requests that the target runs at the same time
    :ivar state: ``up`` or ``leaving``
    """

    target: str
    service: str
    version: str
    address: str
    slots: int
    state: str = "up"


class AdminError(Exception):
    """A request is refused with an HTTP status; the message is part of the JSON response."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class AdminApp:
    """WSGI application of the admin address.

    :param announce: registers a target or updates it; returns False if there is no room for it
    :param withdraw: removes the target of this name
    :param drain: starts the drain of the node without waiting for its end
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: Node,
        metrics: Metrics,
        announce: Callable[[Announcement], bool],
        withdraw: Callable[[str], None],
        drain: Callable[[], None],
        is_draining: Callable[[], bool],
    ):
        self.clock = clock
        self.node = node
        self.metrics = metrics
        self.announce = announce
        self.withdraw = withdraw
        self.drain = drain
        self.is_draining = is_draining
        self.handlers = {
            ("GET", "health"): self._health,
            ("GET", "ready"): self._ready,
            ("GET", "status"): self._status,
            ("POST", "announce"): self._announce,
            ("DELETE", "announce"): self._withdraw,
            ("POST", "drain"): self._drain,
        }

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        """Handle a request; all responses but the metrics are JSON."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if (method, path) == ("GET", PREFIX + "metrics"):
            content, content_type = self.metrics.render()
            return respond(start_response, 200, [("content-type", content_type)], content)
        handler = self.handlers.get((method, path.removeprefix(PREFIX)))
        if handler is None or not path.startswith(PREFIX):
            return respond_json(start_response, 404, {"error": "no such resource"})
        request = read_request(environ, MAX_BODY_BYTES)
        if isinstance(request, Problem):
            return respond_json(start_response, request.status, {"error": request.message})
        try:
            status, document = handler(request.body)
        except AdminError as error:
            return respond_json(start_response, error.status, {"error": str(error)})
        return respond_json(start_response, status, document)

    def _health(self, body: bytes) -> tuple[int, dict]:
        return 200, {"status": "ok"}

    def _ready(self, body: bytes) -> tuple[int, dict]:
        ready = self.node.ready and not self.is_draining()
        return (200 if ready else 503), {"ready": ready, "draining": self.is_draining()}

    def _status(self, body: bytes) -> tuple[int, dict]:
        control = self.node.control
        relay = control.relay
        return 200, {
            **node_status(self.node),
            "zone": self.node.identity.zone,
            "draining": self.is_draining(),
            "is_relay": relay is not None,
            "relay": control.selection.relay,
            "subscribers": len(relay.subscribers) if relay is not None else 0,
            "directory_targets": len(control.directory.records),
            "refused_versions": [
                {"version": version, "reason": reason}
                for (version, _), reason in control.config.refused.items()
            ],
            "moves": move_statuses(self.node, self.clock.now()),
        }

    def _announce(self, body: bytes) -> tuple[int, dict]:
        try:
            announcement = decode_json(body, Announcement)
        except msgspec.MsgspecError as error:
            raise AdminError(400, f"malformed announcement: {error}") from error
        if announcement.state not in ("up", "leaving"):
            raise AdminError(400, "state is neither 'up' nor 'leaving'")
        if not 1 <= announcement.slots <= MAX_SLOTS:
            raise AdminError(400, f"slots is not between 1 and {MAX_SLOTS}")
        host, separator, port = announcement.address.rpartition(":")
        if not (host and separator and port.isascii() and port.isdecimal()):
            raise AdminError(400, "address is not of the form ip:port")
        if not self.announce(announcement):
            raise AdminError(503, "the node has no room for another target")
        return 200, {"node": self.node.identity.node}

    def _withdraw(self, body: bytes) -> tuple[int, dict]:
        try:
            target = decode_json(body, dict[str, str])["target"]
        except (msgspec.MsgspecError, KeyError) as error:
            raise AdminError(400, "expected a JSON object with the key 'target'") from error
        self.withdraw(target)
        return 200, {"target": target}

    def _drain(self, body: bytes) -> tuple[int, dict]:
        self.drain()
        return 202, {"draining": True}
