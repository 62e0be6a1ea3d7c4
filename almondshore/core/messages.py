"""Messages between nodes.

Delivery is at most once and unordered. Later heartbeats make up for lost messages, so a receiver
never relies on having seen an earlier message.
"""

from datetime import datetime
from enum import IntEnum
from typing import NamedTuple

ALL_ZONES = "*"


class TargetState(IntEnum):
    """State of a target; within one incarnation, a higher value replaces a lower one."""

    UP = 0
    LEAVING = 1
    DEAD = 2


class TargetRecord(NamedTuple):
    """State of a target as published by the node on its host.

    :ivar target: identity of the target, unique in the fleet
    :ivar node: identity of the node on the target's host, which owns the record
    :ivar incarnation: raised by the owner on each change; the higher one is newer
    :ivar address: ``ip:port`` of the owner's listener for requests of other nodes (hop 2)
    :ivar slots: requests the target runs at the same time
    :ivar control: ``ip:port`` of the owner's listener for control messages, used for probes
    :ivar process: incarnation of the owning node, which distinguishes its successive processes
    """

    target: str
    node: str
    service: str
    version: str
    address: str
    zone: str
    slots: int
    incarnation: int
    state: TargetState
    control: str = ""
    process: int = 0


class RelayEntry(NamedTuple):
    """A relay of an availability zone and the epoch of its lease.

    An empty address means that the holder of this epoch is gone and the slot is vacant.
    """

    zone: str
    slot: int
    address: str
    epoch: int


class Heartbeat(NamedTuple):
    """Sent by a node to its relay, and by relays to each other.

    :ivar config_version: version in effect, 0 if none
    :ivar config_digest: digest of the version in effect
    :ivar directory_digests: digest of the sender's whole directory under ``ALL_ZONES``; digests
        by zone are sent only in ``DirectoryRequest``, since 41 of them would fill the heartbeat
    :ivar moves_digest: digest of the vetoes and move steps the sender knows
    :ivar relays_digest: digest of the relays the sender knows
    :ivar zone: availability zone of the sender, which may be served by a relay of another zone
    """

    node: str
    incarnation: int
    config_version: int
    config_digest: bytes
    directory_digests: dict[str, int]
    moves_digest: int
    ready: bool
    relays_digest: int = 0
    zone: str = ""


class HeartbeatAck(NamedTuple):
    """Reply of a relay to a heartbeat; its digests show the node which updates it has missed.

    :ivar relays: relays of the node's zone; empty if the node's ``relays_digest`` is current
    :ivar ready: whether the relay itself has received the newest configuration
    :ivar confirmed: whether the platform recently showed the relay no newer configuration
    :ivar platform_up: whether the platform responded to the relay's last lease renewal
    """

    relays: list[RelayEntry]
    config_version: int
    config_digest: bytes
    directory_digests: dict[str, int]
    moves_digest: int
    ready: bool = True
    confirmed: bool = False
    platform_up: bool = False


class Keepalive(NamedTuple):
    """A short heartbeat, for a relay that has acknowledged a full one of this process.

    :ivar state: ``heartbeat_digest`` of the full heartbeat that the node would send; the relay
        compares it with that of the node's last full heartbeat, updated to the relay's own state
    """

    state: int


class KeepaliveAck(NamedTuple):
    """Reply to a ``Keepalive``.

    :ivar known: True if the relay holds the same state as the node; False requests a full
        ``Heartbeat``
    :ivar platform_up: whether the platform responded to the relay's last lease renewal
    """

    known: bool
    platform_up: bool = False


class Busy(NamedTuple):
    """Reply of an overloaded node.

    :ivar retry_after: seconds to wait before the next attempt
    :ivar refused: kind of the message that was refused
    """

    retry_after: float
    refused: str = "Heartbeat"


class ConfigDelta(NamedTuple):
    """The difference between two configuration versions.

    :ivar base_version: version that the delta applies to
    :ivar base_digest: digest of that version
    :ivar parts: changed parts by name; None removes a part
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    parts: dict[str, bytes | None]


class ConfigRequest(NamedTuple):
    """Asks a peer for a newer configuration than the one held.

    :ivar status_only: request only a ``ConfigStatus``, to compare several peers at low cost
    """

    version: int
    digest: bytes
    status_only: bool = False


class ConfigSnapshot(NamedTuple):
    """A complete configuration version."""

    version: int
    digest: bytes
    parts: dict[str, bytes]


class ConfigStatus(NamedTuple):
    """Reply to a ``ConfigRequest`` when the sender holds nothing newer.

    :ivar ready: whether the sender itself has received the newest configuration
    :ivar confirmed: whether the platform recently showed the sender no newer configuration
    """

    version: int
    digest: bytes
    ready: bool
    confirmed: bool = False


class Announce(NamedTuple):
    """The records of the targets on the sender's host."""

    records: list[TargetRecord]


class DirectoryDelta(NamedTuple):
    """Target records that have changed."""

    records: list[TargetRecord]


class DirectoryRequest(NamedTuple):
    """Asks a peer for the records of availability zones whose digest differs.

    :ivar digests: digest of the sender's records by zone
    """

    digests: dict[str, int]


class DirectorySnapshot(NamedTuple):
    """All records of some availability zones."""

    records: list[TargetRecord]


class PeerProbe(NamedTuple):
    """A relay's request to probe a suspect on its behalf, or the probe itself.

    :ivar suspect: identity of the node that missed heartbeats
    :ivar address: address of the suspect
    :ivar asker: address of the relay that receives the result
    """

    probe_id: int
    suspect: str
    address: str
    asker: str


class PeerProbeReply(NamedTuple):
    """Result of a probe.

    :ivar reachable: whether the suspect responded to the prober
    :ivar incarnation: the suspect's incarnation if it responded, else 0
    """

    probe_id: int
    suspect: str
    reachable: bool
    incarnation: int


class RelayQuery(NamedTuple):
    """Asks a peer for the relays of an availability zone."""

    zone: str


class RelayList(NamedTuple):
    """The relays that the sender knows."""

    relays: list[RelayEntry]


class RelaySync(NamedTuple):
    """Digests of a relay's state, sent to another relay for anti-entropy.

    :ivar relays_digest: digest of all relays that the sender knows
    :ivar wants_answer: whether the receiver sends its own ``RelaySync`` back
    """

    config_version: int
    config_digest: bytes
    directory_digest: int
    moves_digest: int
    relays_digest: int
    ready: bool
    wants_answer: bool


class RelayInvite(NamedTuple):
    """A relay's request that the receiver take a vacant relay slot of its zone."""

    zone: str
    slot: int


class EvidenceRow(NamedTuple):
    """Request counts of one service, version and route over one window.

    :ivar errors: complete responses with a server error
    :ivar latency_buckets: counts by bucket of ``moves.evidence.BUCKET_BOUNDS_MS``; the sum is
        below ``requests`` when some came from a target in its slow start
    :ivar broken: responses left incomplete because the target closed the connection or died
    :ivar refused: requests refused because of overload; they are not part of ``requests``
    """

    service: str
    version: str
    route: str
    requests: int
    errors: int
    latency_buckets: list[int]
    broken: int = 0
    refused: int = 0


class Evidence(NamedTuple):
    """Request evidence of one reporting window.

    :ivar window: index of the reporting window, counted in seconds since the Unix epoch
    :ivar sources: number of nodes whose counts the rows add up
    """

    window: int
    sources: int
    rows: list[EvidenceRow]


class Veto(NamedTuple):
    """Bars a version of a service from use; no message revokes a veto.

    :ivar config_version: configuration version in effect at the origin; an ``allow`` rule that
        came with a later configuration version overrides the veto
    """

    service: str
    version: str
    config_version: int
    reason: str
    origin: str
    at: datetime


class MoveStep(NamedTuple):
    """A step of a move, ordered by epoch and then by step."""

    service: str
    move_id: str
    epoch: int
    step: int


class CrashDeath(NamedTuple):
    """Notice that a target died while it ran a request.

    :ivar fingerprint: identity of the request, see ``retries.crash.fingerprint``
    :ivar target: the target that died
    :ivar incarnation: incarnation of the target that died
    :ivar started_ms: start of the run, milliseconds since the epoch, UTC
    :ivar ended_ms: time of the death, milliseconds since the epoch, UTC
    """

    fingerprint: int
    target: str
    incarnation: int
    started_ms: int
    ended_ms: int


class MovesRequest(NamedTuple):
    """Asks a peer for its vetoes and move steps."""

    digest: int


class MovesSnapshot(NamedTuple):
    """All vetoes and the newest step of each move that the sender knows."""

    vetoes: list[Veto]
    steps: list[MoveStep]


Message = (
    Heartbeat
    | HeartbeatAck
    | Keepalive
    | KeepaliveAck
    | Busy
    | ConfigDelta
    | ConfigRequest
    | ConfigSnapshot
    | ConfigStatus
    | Announce
    | DirectoryDelta
    | DirectoryRequest
    | DirectorySnapshot
    | PeerProbe
    | PeerProbeReply
    | RelayQuery
    | RelayList
    | RelayInvite
    | RelaySync
    | Evidence
    | Veto
    | MoveStep
    | CrashDeath
    | MovesRequest
    | MovesSnapshot
)


class Send(NamedTuple):
    """An outgoing message produced by a state machine.

    :ivar to: address of the receiving node, ``ip:port``
    """

    to: str
    message: Message


class Envelope(NamedTuple):
    """A message with its sender, as it is encoded.

    :ivar sender: address of the sending node, ``ip:port``
    :ivar zone: availability zone of the sender
    """

    sender: str
    zone: str
    message: Message
