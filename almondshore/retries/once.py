"""Records of idempotency keys at their owner node: each key runs at most once.

Hop 1 asks the owner for a grant before it sends a keyed request of a ``once`` route, and reports
how the request ended. A grant is given once for each key, again only after its holder reported
that nothing was run.
"""

import hashlib
from collections import OrderedDict, deque
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.core import rendezvous
from almondshore.core.clock import Clock
from almondshore.retries.claims import ClaimResult, ClaimStore
from almondshore.retries.outcome import Failure, Outcome, Reason, make_failure
from almondshore.retries.ownership import Departure, Ownership, Standing

KEY_BYTES = 16
# A day of claims at one a second, 86,400, must fit.
MAX_RECORDS = 90_000
MAX_BODY_BYTES = 64 * 1024
MAX_KEPT_BYTES = 8 * 1024 * 1024
# Counted for each kept response beside its body and headers, so that empty ones are bounded too.
RESPONSE_OVERHEAD_BYTES = 200
# Time after a request's deadline in which its holder may still report how it ended.
REPORT_GRACE = timedelta(seconds=5)
UNPROVEN_RETRY_AFTER = timedelta(seconds=5)
MARKER_RECHECK = timedelta(seconds=60)


class KeyState(StrEnum):
    """State of an idempotency key at its owner."""

    CLAIMED = "claimed"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # The holder reported that nothing was run; the key may be granted again.
    RELEASED = "released"


class StoredResponse(NamedTuple):
    """The first response to a key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Granted(NamedTuple):
    """The asker may run the request, and must report how it ended.

    :ivar token: names the grant in the reports
    """

    token: int


class Replay(NamedTuple):
    """The key has run; this is its first response."""

    response: StoredResponse


class Denied(NamedTuple):
    """The request must not be run."""

    failure: Failure


class HandedRecord(NamedTuple):
    """A record that a new owner takes over; responses stay behind.

    :ivar ran: whether the key is known to have run; otherwise that is unknown
    :ivar expires_s: seconds until the retention ends
    """

    key: str
    fingerprint: int
    ran: bool
    expires_s: float


class Handover(NamedTuple):
    """What a node that starts needs to know from a live one.

    :ivar age_s: seconds for which the sender has kept records
    """

    sender: str
    age_s: float
    records: list[HandedRecord]
    departures: list[Departure]


class _Record:
    __slots__ = ("state", "fingerprint", "token", "lapses", "expires", "response")

    def __init__(self, fingerprint: int):
        self.fingerprint = fingerprint
        self.state = KeyState.CLAIMED
        self.token = 0
        self.lapses = timedelta()
        self.expires = timedelta()
        self.response: StoredResponse | None = None


def key_hash(service: str, tenant: str, key: str) -> str:
    """Return the name of an idempotency key, which is scoped to a service and a tenant."""
    text = f"{service}\0{tenant}\0{key}".encode(errors="replace")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).hexdigest()


def _size(response: StoredResponse) -> int:
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers + RESPONSE_OVERHEAD_BYTES


class OnceRecords:
    """The owner's records of one service, backed by claims in the platform.

    A record outlives neither the process nor the retention; what protects a key beyond that is
    its claim. Where neither proves that the key has not run, the answer is ``unknown``.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        claims: ClaimStore,
        ownership: Ownership,
        max_records: int = MAX_RECORDS,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_kept_bytes: int = MAX_KEPT_BYTES,
        report_grace: timedelta = REPORT_GRACE,
    ):
        """Create an empty table.

        :param max_records: keys that are tracked; when full, new keys are refused
        :param max_body_bytes: longest response body that is kept for replays
        :param max_kept_bytes: size of all kept responses; the oldest go first, their keys stay
        """
        self.clock = clock
        self.claims = claims
        self.ownership = ownership
        self.max_records = max_records
        self.max_body_bytes = max_body_bytes
        self.max_kept_bytes = max_kept_bytes
        self.report_grace = report_grace
        self.records: OrderedDict[str, _Record] = OrderedDict()
        self.kept: deque[str] = deque()
        self.kept_bytes = 0
        self.unclaimed: OrderedDict[str, None] = OrderedDict()
        # Whether the marker is set in the platform; None if an answer was lost.
        self.marker: bool | None = False
        # Departures whose marker was read and is not set, and when to read the others again.
        self.cleared: set[tuple[str, timedelta]] = set()
        self.recheck: dict[str, timedelta] = {}
        self.next_token = 1

    def claim(self, key: str, fingerprint: int, deadline: timedelta) -> Granted | Replay | Denied:
        """Ask to run a request.

        :param key: see ``key_hash``
        :param fingerprint: identity of the request; a key must not be used for another one
        :param deadline: monotonic time after which the request is not run any more
        """
        now = self.clock.monotonic()
        self._expire(now)
        record = self.records.get(key)
        if record is not None:
            return self._again(record, fingerprint, deadline, now)
        standing = self.ownership.standing(key)
        denied = self._deny_unheld(standing)
        if denied is not None:
            return denied
        # The record stands before the platform is asked, so that a second claim of the key that
        # comes in meanwhile finds it.
        record = self.records[key] = _Record(fingerprint)
        self._grant(record, deadline, now)
        failure = self._prove(key, record, standing)
        if failure is None:
            return Granted(record.token)
        if failure.reason is Reason.KEY_UNKNOWN:
            record.state = KeyState.UNKNOWN
        else:
            del self.records[key]
        return Denied(failure)

    def mark_running(self, key: str, token: int) -> bool:
        """Note that the request is about to be handed to a target.

        :returns: whether the grant still holds; if not, the request must not be run
        """
        record = self._held(key, token)
        if record is None or record.state not in (KeyState.CLAIMED, KeyState.RUNNING):
            return False
        record.state = KeyState.RUNNING
        return True

    def record_response(self, key: str, token: int, response: StoredResponse) -> None:
        """Note the response of a request that has run."""
        record = self._held(key, token)
        if record is None or record.state in (KeyState.DONE, KeyState.RELEASED):
            return
        record.state = KeyState.DONE
        if len(response.body) <= self.max_body_bytes:
            record.response = response
            self._keep(key, response)

    def record_outcome(self, key: str, token: int, outcome: Outcome) -> None:
        """Note the end of a request without a response to keep."""
        record = self._held(key, token)
        if record is None or record.state not in (KeyState.CLAIMED, KeyState.RUNNING):
            return
        ends = {Outcome.NOT_RUN: KeyState.RELEASED, Outcome.RUN: KeyState.DONE}
        record.state = ends.get(outcome, KeyState.UNKNOWN)

    def tick(self) -> None:
        """Write deferred claims and the marker, one at a time; call this about once a second."""
        self._expire(self.clock.monotonic())
        if not self._sync_marker():
            return
        while self.unclaimed:
            key = next(iter(self.unclaimed))
            result = self.claims.claim(key)
            if result in (ClaimResult.OVER_BUDGET, ClaimResult.UNAVAILABLE):
                return
            # A claim lost here means that a later owner has refused the key or will do so.
            del self.unclaimed[key]
        self._sync_marker()

    def hand_over(self, node: str) -> Handover | None:
        """Return the records of a node's keys, or None if that node is not a member here yet.

        From the time at which this node counts the other one as a member it grants none of its
        keys, so that the handover is complete.
        """
        ownership = self.ownership
        if node not in ownership.members:
            return None
        pair = (ownership.node, node)
        now = self.clock.monotonic()
        records = [
            HandedRecord(
                key,
                record.fingerprint,
                record.state is KeyState.DONE,
                (record.expires - now).total_seconds(),
            )
            for key, record in self.records.items()
            # Most records fail the first, cheaper comparison.
            if rendezvous.choose(key, pair) == node and ownership.owner(key) == node
        ]
        age_s = ownership.age().total_seconds()
        return Handover(ownership.node, age_s, records, ownership.departures())

    def take_over(self, handover: Handover) -> None:
        """Add the records of a handover; a record that is there already stays."""
        now = self.clock.monotonic()
        for item in handover.records:
            if item.key not in self.records:
                record = self.records[item.key] = _Record(item.fingerprint)
                record.state = KeyState.DONE if item.ran else KeyState.UNKNOWN
                record.expires = now + timedelta(seconds=item.expires_s)
        for departure in handover.departures:
            if departure.node not in self.ownership.members:
                self.ownership.note_departure(departure)
        self.ownership.note_handover(handover.sender, timedelta(seconds=handover.age_s))

    def is_settled(self) -> bool:
        """Tell whether all runs are claimed, so that this node may leave in order."""
        return not self.unclaimed

    def _again(
        self, record: _Record, fingerprint: int, deadline: timedelta, now: timedelta
    ) -> Granted | Replay | Denied:
        if record.fingerprint != fingerprint:
            return Denied(make_failure(Reason.KEY_REUSED, "the key belongs to another request"))
        if record.state in (KeyState.CLAIMED, KeyState.RUNNING):
            if now < record.lapses:
                wait = record.lapses - now
                return Denied(make_failure(Reason.KEY_RUNNING, retry_after=wait))
            record.state = KeyState.UNKNOWN
        if record.state is KeyState.RELEASED:
            self._grant(record, deadline, now)
            return Granted(record.token)
        if record.state is KeyState.UNKNOWN:
            return Denied(make_failure(Reason.KEY_UNKNOWN, "the first attempt did not report"))
        if record.response is None:
            return Denied(make_failure(Reason.RESPONSE_NOT_KEPT))
        return Replay(record.response)

    def _deny_unheld(self, standing: Standing) -> Denied | None:
        if standing is Standing.DOUBTFUL:
            return Denied(make_failure(Reason.KEY_UNKNOWN, "an earlier owner died in an outage"))
        if standing in (Standing.NOT_OWNER, Standing.UNSETTLED):
            return Denied(make_failure(Reason.KEY_UNPROVEN, retry_after=UNPROVEN_RETRY_AFTER))
        if len(self.records) >= self.max_records:
            return Denied(make_failure(Reason.KEY_TABLE_FULL, retry_after=UNPROVEN_RETRY_AFTER))
        return None

    def _prove(self, key: str, record: _Record, standing: Standing) -> Failure | None:
        """Prove that the key has not run; return why it may not be granted, or None."""
        result = self.claims.claim(key)
        if result is ClaimResult.LOST:
            return make_failure(Reason.KEY_UNKNOWN, "an earlier owner claimed the key")
        if result is ClaimResult.WON:
            if standing is Standing.CERTAIN or self._former_owners_clear(key):
                return None
        elif self._may_run_unclaimed(key, result):
            self.unclaimed[key] = None
            return None
        return make_failure(Reason.KEY_UNPROVEN, retry_after=UNPROVEN_RETRY_AFTER)

    def _may_run_unclaimed(self, key: str, result: ClaimResult) -> bool:
        """Tell whether the record alone is enough to run.

        The standing is looked up again, since waiting for the platform may have taken so long
        that other nodes have declared this one dead.
        With the platform up, the marker has to warn later owners first. In an outage they know
        of the outage themselves; a platform that only this node cannot reach is not an outage.
        """
        if self.ownership.standing(key) is not Standing.CERTAIN:
            return False
        if result is ClaimResult.OVER_BUDGET and self.ownership.up_since is not None:
            return self.marker is True or self._mark(True)
        return self.ownership.up_since is None

    def _former_owners_clear(self, key: str) -> bool:
        return all(self._is_clear(node) for node in self.ownership.former_owners(key))

    def _is_clear(self, node: str) -> bool:
        departure = (node, self.ownership.departed.get(node, timedelta()))
        if departure in self.cleared:
            return True
        now = self.clock.monotonic()
        if now < self.recheck.get(node, now):
            return False
        marked = self.claims.is_marked(node)
        if marked is False:
            self._remember_clear(departure)
            return True
        if marked:
            self.recheck[node] = now + MARKER_RECHECK
        return False

    def _remember_clear(self, departure: tuple[str, timedelta]) -> None:
        departed = self.ownership.departed
        self.cleared = {item for item in self.cleared if departed.get(item[0]) == item[1]}
        self.recheck = {node: at for node, at in self.recheck.items() if node in departed}
        self.cleared.add(departure)

    def _sync_marker(self) -> bool:
        wanted = bool(self.unclaimed)
        return wanted is self.marker or self._mark(wanted)

    def _mark(self, unclaimed: bool) -> bool:
        self.marker = None
        if self.claims.mark(unclaimed) is not ClaimResult.WON:
            return False
        self.marker = unclaimed
        return True

    def _grant(self, record: _Record, deadline: timedelta, now: timedelta) -> None:
        record.token = self.next_token
        self.next_token += 1
        record.state = KeyState.CLAIMED
        record.lapses = deadline + self.report_grace
        record.expires = max(now, deadline) + self.ownership.retention

    def _held(self, key: str, token: int) -> _Record | None:
        record = self.records.get(key)
        return record if record is not None and record.token == token else None

    def _keep(self, key: str, response: StoredResponse) -> None:
        self.kept.append(key)
        self.kept_bytes += _size(response)
        while self.kept_bytes > self.max_kept_bytes:
            self._drop_response(self.records.get(self.kept.popleft()))

    def _drop_response(self, record: _Record | None) -> None:
        if record is not None and record.response is not None:
            self.kept_bytes -= _size(record.response)
            record.response = None

    def _expire(self, now: timedelta) -> None:
        """Drop the records at the old end whose retention has passed."""
        while self.records:
            key, record = next(iter(self.records.items()))
            if now < record.expires:
                return
            del self.records[key]
            self._drop_response(record)
            self.unclaimed.pop(key, None)
            while self.kept and self.kept[0] not in self.records:
                self.kept.popleft()
