"""Heartbeats and deregistrations that the local target sends to its node."""

import re
from collections.abc import Callable
from urllib.parse import unquote

import msgspec

from almondshore.core.decoding import decode_json
from almondshore.core.logs import log_event
from almondshore.http.messages import Response
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.hop import NAME_PATTERN, Name
from almondshore.mesh.model import Announcement, TargetState
from almondshore.platform import names
from almondshore.platform.documents import Sequence, Slots, UnixMs, decode_address
from almondshore.platform.durations import from_seconds


class InfoDocument(msgspec.Struct):
    """The properties of a target that do not change while it runs."""

    service: Name
    version: Name
    zone: Name
    slots: Slots


class StatusDocument(msgspec.Struct):
    """The properties of a target that change while it runs.

    :ivar warmup_left_s: remaining warm-up time in seconds
    """

    state: str
    sequence: Sequence
    warmup_left_s: float = 0.0


class HeartbeatDocument(msgspec.Struct):
    """Body of a heartbeat."""

    # Address of the target itself, ip:port.
    address: str
    info: InfoDocument
    status: StatusDocument
    # Unix time of the target's start, in milliseconds.
    born: UnixMs


class DepartureDocument(msgspec.Struct):
    """Body of a deregistration.

    :ivar born: Unix time of the target's start in milliseconds, None if not stated
    """

    born: UnixMs | None = None


class AnnouncementHandler(ExchangeHandler):
    """Handles the heartbeats and deregistrations of the target.

    :param on_announcement: called with each valid heartbeat
    :param on_deregistration: called with the target's name and its start in Unix milliseconds, or
        None if that is not stated
    """

    def __init__(
        self,
        *,
        on_announcement: Callable[[Announcement], None],
        on_deregistration: Callable[[str, int | None], None],
    ):
        self.on_announcement = on_announcement
        self.on_deregistration = on_deregistration

    def handle(self, exchange: Exchange) -> None:
        """Handle an announcement and acknowledge it with status 200."""
        request = exchange.request
        path = unquote(request.target.partition(b"?")[0].decode("latin-1"))
        if request.method != b"POST":
            exchange.respond(Response(405))
        elif path.startswith(names.DEREGISTER_PATH):
            name = path.removeprefix(names.DEREGISTER_PATH)
            self.on_deregistration(name, _decode_born_ms(name, request.body))
            exchange.respond(_acknowledgement())
        elif path.startswith(names.HEARTBEAT_PATH):
            name = path.removeprefix(names.HEARTBEAT_PATH)
            exchange.respond(self._on_heartbeat(name, request.body))
        else:
            exchange.respond(Response(404))

    def _on_heartbeat(self, name: str, body: bytes) -> Response:
        try:
            announcement = decode_heartbeat(name, body)
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("announcement_malformed", level="WARNING", target=name, error=error)
            return Response(400)
        self.on_announcement(announcement)
        return _acknowledgement()


def decode_heartbeat(name: str, body: bytes) -> Announcement:
    """Decode a heartbeat.

    :param name: name of the target, from the path of the request
    :raises msgspec.MsgspecError: if a field is missing or of another type
    :raises ValueError: if a value is out of range or not known
    """
    document = decode_json(body, HeartbeatDocument)
    host, _, port = document.address.rpartition(":")
    state = TargetState(document.status.state)
    if not re.match(NAME_PATTERN, name):
        raise ValueError("the name of the target has control characters")
    if state is TargetState.GONE or not name or not document.info.service:
        raise ValueError("heartbeat must name a target, a service and a state other than 'gone'")
    return Announcement(
        target=name,
        service=document.info.service,
        version=document.info.version,
        zone=document.info.zone,
        slots=document.info.slots,
        state=state,
        address=decode_address(host, int(port)),
        born_ms=document.born,
        sequence=document.status.sequence,
        warmup=from_seconds(max(0.0, document.status.warmup_left_s)),
    )


def _decode_born_ms(name: str, body: bytes) -> int | None:
    """Return the start of a deregistering target, None if it is not stated or malformed."""
    if not body:
        return None
    try:
        return decode_json(body, DepartureDocument).born
    except msgspec.MsgspecError as error:
        log_event("departure_malformed", level="WARNING", target=name, error=error)
        return None


def _acknowledgement() -> Response:
    return Response(200, ((b"Content-Type", b"application/json"),), b"{}")
