"""Messages between nodes.

Delivery is at most once and unordered. Every exchange is repaired by a later heartbeat, so a
receiver never relies on having seen an earlier message.
"""

from datetime import datetime
from enum import IntEnum
from typing import NamedTuple

ALL_ZONES = "*"


class TargetState(IntEnum):
    """State of a target; at one incarnation a higher value replaces a lower one."""

    UP = 0
    LEAVING = 1
    DEAD = 2


class TargetRecord(NamedTuple):
    """What the node beside a target says about it.

    :ivar target: identity of the target, unique in the fleet
    :ivar node: identity of the node beside it, which owns the record
    :ivar incarnation: raised by the owner on each change; the higher one is newer
    :ivar address: ``ip:port`` of the owner's hop 2 listener, which other nodes send requests to
    :ivar slots: requests the target runs at the same time
    :ivar control: ``ip:port`` at which the owner takes control messages, for probes
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


class RelayEntry(NamedTuple):
    """A relay of an availability zone and the epoch of its lease.

    An empty address says that the holder of this epoch is gone and the slot is vacant.
    """

    zone: str
    slot: int
    address: str
    epoch: int


class Heartbeat(NamedTuple):
    """Sent by a node to its relay, and by relays to each other.

    :ivar config_version: version in force, 0 if none
    :ivar config_digest: digest of the version in force
    :ivar directory_digests: digest of the sender's whole directory under ``ALL_ZONES``; digests
        by zone travel only in ``DirectoryRequest``, since 41 of them would fill the heartbeat
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
    """Answer of a relay to a heartbeat; carries what the node needs to notice missed pushes.

    :ivar relays: relays of the node's zone; empty if the node's ``relays_digest`` is current
    :ivar ready: whether the relay itself has learnt the newest configuration
    :ivar confirmed: whether the platform lately showed the relay nothing newer
    :ivar platform_up: whether the platform answered the relay's last lease renewal
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
    """A short heartbeat, for a relay that has acknowledged a whole one of this process.

    :ivar state: ``heartbeat_digest`` of the whole heartbeat; the relay compares it with the
        digest that follows if the node holds the same as the relay
    """

    state: int


class KeepaliveAck(NamedTuple):
    """Answer to a ``Keepalive`` if the relay holds the same as the node.

    :ivar known: False asks for a whole ``Heartbeat``
    :ivar platform_up: whether the platform answered the relay's last lease renewal
    """

    known: bool
    platform_up: bool = False


class Busy(NamedTuple):
    """Answer of an overloaded node: try again after the delay in seconds.

    :ivar refused: kind of the message that was refused
    """

    retry_after: float
    refused: str = "Heartbeat"


class ConfigDelta(NamedTuple):
    """The difference between two configuration versions.

    :ivar parts: changed parts by name; None removes a part
    """

    version: int
    digest: bytes
    base_version: int
    base_digest: bytes
    parts: dict[str, bytes | None]


class ConfigRequest(NamedTuple):
    """Asks a peer for a newer configuration than the one held.

    :ivar status_only: ask only for a ``ConfigStatus``, to compare several peers cheaply
    """

    version: int
    digest: bytes
    status_only: bool = False


class ConfigSnapshot(NamedTuple):
    """A whole configuration version."""

    version: int
    digest: bytes
    parts: dict[str, bytes]


class ConfigStatus(NamedTuple):
    """Answer to a ``ConfigRequest`` when the sender holds nothing newer.

    :ivar ready: whether the sender itself has learnt the newest configuration
    :ivar confirmed: whether the platform lately showed the sender nothing newer
    """

    version: int
    digest: bytes
    ready: bool
    confirmed: bool = False


class Announce(NamedTuple):
    """The records of the sender's own targets."""

    records: list[TargetRecord]


class DirectoryDelta(NamedTuple):
    """Changed target records."""

    records: list[TargetRecord]


class DirectoryRequest(NamedTuple):
    """Asks a peer for the records of availability zones whose digest differs."""

    digests: dict[str, int]


class DirectorySnapshot(NamedTuple):
    """All records of some availability zones."""

    records: list[TargetRecord]


class PeerProbe(NamedTuple):
    """A relay's request that the receiver probe a suspect, or the probe itself.

    :ivar suspect: identity of the node that missed heartbeats
    :ivar address: address of the suspect
    :ivar asker: address of the relay that wants the answer
    """

    probe_id: int
    suspect: str
    address: str
    asker: str


class PeerProbeReply(NamedTuple):
    """Result of a probe.

    :ivar reachable: whether the suspect answered the prober
    :ivar incarnation: the suspect's incarnation if it answered, else 0
    """

    probe_id: int
    suspect: str
    reachable: bool
    incarnation: int


class RelayQuery(NamedTuple):
    """Asks a peer for the relays of an availability zone."""

    zone: str


class RelayList(NamedTuple):
    """Known relays."""

    relays: list[RelayEntry]


class RelaySync(NamedTuple):
    """What a relay holds, sent to another relay for anti-entropy.

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
    :ivar broken: responses that broke off because the target closed the connection or died
    :ivar refused: requests refused by overload; they are not part of ``requests``
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

    :ivar window: index of the reporting window since the epoch, one second each
    :ivar sources: nodes summed up in the rows
    """

    window: int
    sources: int
    rows: list[EvidenceRow]


class Veto(NamedTuple):
    """Bars a version of a service; once added it is never removed by another message.

    :ivar config_version: configuration version in force at the origin; an ``allow`` rule that
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
    """A target died while it ran a request; nodes tell each other of it.

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
    """A message that a state machine wants sent.

    :ivar to: address of the receiving node, ``ip:port``
    """

    to: str
    message: Message


class Envelope(NamedTuple):
    """A message as it travels.

    :ivar sender: address of the sending node, ``ip:port``
    :ivar zone: availability zone of the sender
    """

    sender: str
    zone: str
    message: Message
