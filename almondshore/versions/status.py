"""The status of a zone, written to the platform by a relay and read by the command-line tool."""

from typing import TypedDict

import msgspec

from almondshore.core.decoding import decode_msgpack

STATUS_PREFIX = "status/"


class TargetStatus(TypedDict):
    """A target of a node; ``state`` is the state of its announcement."""

    target: str
    service: str
    version: str
    state: str


class NodeStatus(TypedDict):
    """A node, the configuration version it has in effect (0 for none) and its targets."""

    node: str
    address: str
    config_version: int
    ready: bool
    targets: list[TargetStatus]


class MoveStatus(TypedDict):
    """A move as known in the zone; ``deadline`` in ISO 8601, ``step_percent`` from 0 to 100."""

    service: str
    move_id: str
    from_version: str
    to_version: str
    step_percent: int
    state: str
    reason: str
    deadline: str
    at_risk: bool


class ZoneStatus(TypedDict):
    """Content of ``status/<zone>``.

    ``at`` is the time of writing in ISO 8601. ``versions`` maps each configuration version in
    effect, as a decimal string, to the number of nodes that have it in effect.
    """

    zone: str
    at: str
    versions: dict[str, int]
    nodes: list[NodeStatus]
    moves: list[MoveStatus]


_encoder = msgspec.msgpack.Encoder()


def status_key(zone: str) -> str:
    """Return the key of a zone's status object."""
    return STATUS_PREFIX + zone


def encode_status(status: ZoneStatus) -> bytes:
    """Encode the status of a zone."""
    return _encoder.encode(status)


def decode_status(data: bytes) -> ZoneStatus:
    """Decode the status of a zone.

    :raises msgspec.MsgspecError: if the data does not have the shape of a zone status
    """
    return decode_msgpack(data, ZoneStatus)
