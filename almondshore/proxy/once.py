"""At-most-once execution across nodes: hop 1 requests grants from the owner of a key."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from almondshore.core import rendezvous
from almondshore.core.clock import Clock
from almondshore.core.messages import TargetRecord
from almondshore.membership.directory import Directory
from almondshore.proxy import headers as names
from almondshore.proxy.pool import ExchangeFailure, ExchangeFailureKind, HopPool, Reply
from almondshore.proxy.wsgi import StartResponse, respond
from almondshore.retries.claims import ClaimBudget, ClaimStore
from almondshore.retries.once import (
    Denied,
    Granted,
    Handover,
    OnceRecords,
    Replay,
    StoredResponse,
    key_hash,
)
from almondshore.retries.outcome import Failure, Outcome, Reason, make_failure
from almondshore.retries.ownership import Departure, Ownership
from almondshore.storage.port import Platform

OPERATION = names.INTERNAL_PREFIX + "once-operation"
REPORT_ATTEMPTS = 2
REPORT_TIMEOUT = timedelta(seconds=1)
# The owner may wait for the platform once or twice before it responds to a claim, and the request
# is sent only afterwards.
CLAIM_TIMEOUT = timedelta(seconds=5)
# Maximum number of services for which a node keeps records.
MAX_SERVICES = 256


class ClaimRequest(NamedTuple):
    """Asks the owner of a key for a grant to run a request.

    :ivar left_ms: time until the deadline of the request, in milliseconds
    """

    service: str
    key: str
    fingerprint: int
    left_ms: int


class HandoverRequest(NamedTuple):
    """Asks a node for its records of the keys that the sender now owns.

    :ivar node: process identity of the sender
    """

    service: str
    node: str


class ClaimReply(NamedTuple):
    """The owner's reply to a claim; exactly one field is set.

    :ivar token: token of the grant
    :ivar replay: stored response of the first run
    :ivar denied: why the request must not run
    """

    token: int | None = None
    replay: StoredResponse | None = None
    denied: Failure | None = None


class Report(NamedTuple):
    """Tells the owner how a granted request ended.

    :ivar response: None if the request has no response
    """

    service: str
    key: str
    token: int
    outcome: Outcome
    response: StoredResponse | None


class Grant(NamedTuple):
    """Permission for hop 1 to run a request with an idempotency key."""

    owner: TargetRecord
    service: str
    key: str
    token: int


class OnceOwner:
    """Keeps the records of the keys that this node owns, for each service with targets here.

    :ivar revision: revision of the directory at the last update of the ownership, or -1 to force
        an update
    :ivar pending_marker_reads: services for which the markers of ended processes are still to be
        read from the platform
    :ivar undecided: by service, earlier processes of this node that cannot be added as departures
        before the state of the platform is known
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        process: int,
        platform: Platform,
        directory: Directory,
    ):
        """Create an owner without records.

        :param process: incarnation of the node
        :param platform: platform client for claims, which have a separate call budget
        """
        self.clock = clock
        self.node = node
        self.process = process
        self.identity = process_identity(node, process)
        self.claims = ClaimStore(
            platform=platform,
            clock=clock,
            node=self.identity,
            instance=self.identity,
            budget=ClaimBudget(clock=clock),
        )
        self.directory = directory
        self.services: dict[str, OnceRecords] = {}
        self.revision = -1
        self.pending_marker_reads: set[str] = set()
        self.undecided: dict[str, set[str]] = {}

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grant, replay or deny a request; may block on the platform."""
        records = self.services.get(request.service)
        if records is None:
            detail = "this node has no target of the service"
            return ClaimReply(denied=make_failure(Reason.KEY_UNPROVEN, detail))
        if (
            request.service in self.pending_marker_reads
            and not records.ownership.received_handovers
        ):
            detail = "the records of earlier owners are not known yet"
            return ClaimReply(denied=make_failure(Reason.KEY_UNPROVEN, detail))
        if self.undecided.get(request.service):
            detail = "it is not known yet whether an earlier process died in an outage"
            return ClaimReply(denied=make_failure(Reason.KEY_UNPROVEN, detail))
        deadline = self.clock.monotonic() + timedelta(milliseconds=request.left_ms)
        result = records.claim(request.key, request.fingerprint, deadline)
        match result:
            case Granted(token):
                return ClaimReply(token=token)
            case Replay(response):
                return ClaimReply(replay=response)
            case Denied(failure):
                return ClaimReply(denied=failure)

    def report(self, report: Report) -> None:
        """Record how a granted request ended."""
        records = self.services.get(report.service)
        if records is None:
            return
        if report.response is not None:
            records.record_response(report.key, report.token, report.response)
        else:
            records.record_outcome(report.key, report.token, report.outcome)

    def hand_over(self, request: HandoverRequest) -> Handover | None:
        """Return the records of keys that another node now owns; None if it is no member yet."""
        records = self.services.get(request.service)
        return records.hand_over(request.node) if records is not None else None

    def refresh(self, *, platform_up: bool | None, in_contact: bool) -> None:
        """Update the ownership of keys from the directory and the state of the platform.

        :param platform_up: whether the platform responds, or None if not known yet. Unknown must
            not count as an outage, which would make the keys of the previous process doubtful.
        :param in_contact: whether a relay has responded to this node since the last call
        """
        for service in self.directory.services_of(self.node):
            if service not in self.services and len(self.services) < MAX_SERVICES:
                self.services[service] = self._new_records()
                self.pending_marker_reads.add(service)
                self.revision = -1
        changed = self.revision != self.directory.revision
        self.revision = self.directory.revision
        for service, records in self.services.items():
            if platform_up is not None:
                records.ownership.note_platform_state(platform_up)
            if in_contact:
                records.ownership.note_contact()
            if changed:
                members = member_identities(self.directory, service)
                earlier = self.earlier_processes(members)
                records.ownership.update(members - earlier)
                # Those already known as departed stay as they are: an outage that begins while a
                # relay still lists one says nothing about its end.
                undecided = earlier - records.ownership.departed.keys()
                self.undecided[service] = undecided | self.undecided.get(service, set())
            if platform_up is not None:
                for name in self.undecided.pop(service, ()):
                    # Its marker tells whether it ran keys without a claim while the platform was
                    # up. This process started too late to know how long that has been the case.
                    records.ownership.note_departure(Departure(name, 0.0, not platform_up))

    def earlier_processes(self, members: set[str]) -> set[str]:
        """Return those members that are earlier processes of this node, which have ended.

        A relay may list a target under the process that was killed until the node announces the
        target again. A later process is a member: it may run keys while this one is still there.
        """
        records = self.directory.of_node(self.node)
        return members & {member_identity(item) for item in records if item.process < self.process}

    def note_rejoin(self) -> None:
        """Record that other nodes had declared this node dead."""
        for records in self.services.values():
            records.ownership.note_rejoin()

    def tick(self) -> None:
        """Write deferred claims and read pending markers; blocks on the platform."""
        if self.pending_marker_reads:
            self._read_markers()
        for records in list(self.services.values()):
            records.tick()

    def _read_markers(self) -> None:
        """Read which processes died while requests ran without a claim on the platform.

        Otherwise a node that is the only owner of a service would, after a restart, run requests
        with their keys a second time.
        """
        marked = self.claims.marked_nodes()
        if marked is None:
            return
        for service in list(self.pending_marker_reads):
            live = member_identities(self.directory, service) | {self.identity}
            for name in set(marked) - live:
                self.services[service].ownership.note_departure(Departure(name, 0, True))
            self.pending_marker_reads.discard(service)

    def _new_records(self) -> OnceRecords:
        return OnceRecords(
            clock=self.clock,
            claims=self.claims,
            ownership=Ownership(clock=self.clock, node=self.identity),
        )


class OnceApp:
    """Serves the owner's operations on the listener of hop 2."""

    def __init__(self, *, owner: OnceOwner):
        self.owner = owner

    def __call__(
        self, operation: str, body: bytes, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one operation: ``claim``, ``report`` or ``handover``."""
        try:
            if operation == "claim":
                reply = self.owner.claim(msgspec.msgpack.decode(body, type=ClaimRequest))
                return respond(start_response, 200, [], msgspec.msgpack.encode(reply))
            if operation == "report":
                self.owner.report(msgspec.msgpack.decode(body, type=Report))
                return respond(start_response, 204, [], b"")
            if operation == "handover":
                handover = self.owner.hand_over(msgspec.msgpack.decode(body, type=HandoverRequest))
                return respond(start_response, 200, [], msgspec.msgpack.encode(handover))
        except msgspec.MsgspecError:
            pass
        return respond(start_response, 400, [], b"")


class OnceClient:
    """Requests grants from the owners of keys and reports how the requests ended."""

    def __init__(
        self, *, clock: Clock, identity: str, directory: Directory, owner: OnceOwner, pool: HopPool
    ):
        self.clock = clock
        self.identity = identity
        self.directory = directory
        self.owner = owner
        self.pool = pool

    def claim(
        self, service: str, tenant: str, key: str, fingerprint: int, deadline: timedelta
    ) -> Grant | Reply | Failure:
        """Request a grant from the owner of a key.

        :param key: the caller's idempotency key
        :return: the grant; the stored response if the request has already run; or the reason why
            it must not run
        """
        hashed_key = key_hash(service, tenant, key)
        record = self._owner_of(service, hashed_key)
        if record is None:
            return make_failure(Reason.NO_TARGET, "no node keeps records of the service")
        left_ms = int((deadline - self.clock.monotonic()) / timedelta(milliseconds=1))
        if left_ms <= 0:
            return make_failure(Reason.DEADLINE_PASSED)
        reply = self._send_claim(record, ClaimRequest(service, hashed_key, fingerprint, left_ms))
        if isinstance(reply, Failure):
            return reply
        if reply.denied is not None:
            return reply.denied
        if reply.replay is not None:
            return _make_replay(reply.replay)
        return Grant(record, service, hashed_key, reply.token or 0)

    def report(self, grant: Grant, result: Reply | Failure) -> None:
        """Report to the owner how the request ended.

        If the report is lost, the record becomes ``unknown`` and the key never runs again.
        """
        report = _make_report(grant, result)
        if member_identity(grant.owner) == self.identity:
            self.owner.report(report)
            return
        for _ in range(REPORT_ATTEMPTS):
            reply = self._exchange(grant.owner, "report", report, REPORT_TIMEOUT)
            if isinstance(reply, Reply):
                return

    def fetch_handovers(self) -> None:
        """Fetch the records of this node's keys from the nodes that owned the keys before."""
        for service, records in list(self.owner.services.items()):
            live = {
                member_identity(record): record for record in self.directory.of_service(service)
            }
            for node in sorted(records.ownership.awaiting_handover & live.keys()):
                request = HandoverRequest(service, self.identity)
                reply = self._exchange(live[node], "handover", request, CLAIM_TIMEOUT)
                if not isinstance(reply, Reply):
                    continue
                handover = msgspec.msgpack.decode(reply.body, type=Handover | None)
                # After a restart, another process may respond at the same address.
                if handover is not None and handover.sender == node:
                    records.take_over(handover)

    def _owner_of(self, service: str, key: str) -> TargetRecord | None:
        members = {member_identity(record): record for record in self.directory.of_service(service)}
        owner = rendezvous.choose(key, members)
        return members[owner] if owner is not None else None

    def _send_claim(self, record: TargetRecord, request: ClaimRequest) -> ClaimReply | Failure:
        if member_identity(record) == self.identity:
            return self.owner.claim(request)
        reply = self._exchange(record, "claim", request, CLAIM_TIMEOUT)
        if isinstance(reply, ExchangeFailure):
            # Without the owner's reply it is unknown whether an earlier attempt has run.
            outcome = Outcome.UNKNOWN
            reason = Reason.HOP_LOST
            if reply.kind is ExchangeFailureKind.NOT_SENT:
                reason = Reason.KEY_UNPROVEN
            return make_failure(reason, reply.detail, outcome=outcome)
        try:
            return msgspec.msgpack.decode(reply.body, type=ClaimReply)
        except msgspec.MsgspecError as error:
            return make_failure(Reason.KEY_UNPROVEN, f"malformed answer of the owner: {error}")

    def _exchange(
        self, record: TargetRecord, operation: str, message: NamedTuple, timeout: timedelta
    ) -> Reply | ExchangeFailure:
        return self.pool.exchange(
            record.address,
            "POST",
            "/",
            [(OPERATION, operation), ("content-type", "application/msgpack")],
            msgspec.msgpack.encode(message),
            timeout,
        )


def process_identity(node: str, process: int) -> str:
    """Return the identity under which a process keeps records.

    It differs from that of the node's previous process, whose records are lost.
    """
    return f"{node}/{process}"


def member_identity(record: TargetRecord) -> str:
    """Return the identity of the node process that keeps records for a target."""
    return process_identity(record.node, record.process)


def member_identities(directory: Directory, service: str) -> set[str]:
    """Return the identities of the processes that keep records of a service's keys."""
    return {member_identity(record) for record in directory.of_service(service)}


def _make_replay(response: StoredResponse) -> Reply:
    headers = [*response.headers, (names.OUTCOME, Outcome.RUN.value), (names.REPLAYED, "1")]
    return Reply(response.status, headers, response.body)


def _make_report(grant: Grant, result: Reply | Failure) -> Report:
    if isinstance(result, Failure):
        return Report(grant.service, grant.key, grant.token, result.outcome, None)
    response = StoredResponse(result.status, tuple(names.forwardable(result.headers)), result.body)
    return Report(grant.service, grant.key, grant.token, Outcome.RUN, response)
