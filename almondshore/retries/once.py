"""Records of idempotency keys at their owner node, by which each key runs at most once.

Before hop 1 sends a request of a ``once`` route with a key, it asks the owner for a grant, and it
reports how the request ended. The owner grants a key again only after the holder of the grant has
reported that nothing was run.
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
from almondshore.retries.ownership import Departure, KeyHistory, Ownership

KEY_HASH_BYTES = 16
# Room for a day of claims at one per second, which is 86,400.
MAX_RECORDS = 90_000
MAX_BODY_BYTES = 64 * 1024
MAX_KEPT_BYTES = 8 * 1024 * 1024
# Added to the size of body and headers for each kept response, so that empty responses are bounded
# too.
RESPONSE_OVERHEAD_BYTES = 200
# Time after the deadline of a request in which the holder of the grant may still report its end.
REPORT_GRACE = timedelta(seconds=5)
UNPROVEN_RETRY_AFTER = timedelta(seconds=5)
# Time after which the marker of a departed node is read again if it was set.
MARKER_RECHECK_INTERVAL = timedelta(seconds=60)


class KeyState(StrEnum):
    """State of an idempotency key at its owner."""

    CLAIMED = "claimed"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    # The holder of the grant reported that nothing was run; the key may be granted again.
    RELEASED = "released"


class StoredResponse(NamedTuple):
    """The first response to a key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Granted(NamedTuple):
    """The request may be run, and its end must be reported.

    :ivar token: identifies the grant in the reports
    """

    token: int


class Replay(NamedTuple):
    """The key has run; the response of that run is to be returned."""

    response: StoredResponse


class Denied(NamedTuple):
    """The request must not be run."""

    failure: Failure


class HandoverRecord(NamedTuple):
    """A record that a new owner takes over, without the response.

    :ivar ran: whether the key is known to have run; otherwise that is unknown
    :ivar expires_s: seconds until the retention ends
    """

    key: str
    fingerprint: int
    ran: bool
    expires_s: float


class Handover(NamedTuple):
    """Records and departures that a live node sends to a node that starts.

    :ivar age_s: seconds for which the sender has kept records
    """

    sender: str
    age_s: float
    records: list[HandoverRecord]
    departures: list[Departure]


class _Record:
    __slots__ = ("state", "fingerprint", "token", "grant_expires", "expires", "response")

    def __init__(self, fingerprint: int):
        self.fingerprint = fingerprint
        self.state = KeyState.CLAIMED
        self.token = 0
        self.grant_expires = timedelta()
        self.expires = timedelta()
        self.response: StoredResponse | None = None


def key_hash(service: str, tenant: str, key: str) -> str:
    """Return the hash that identifies an idempotency key of a service and a tenant."""
    encoded_key = f"{service}\0{tenant}\0{key}".encode(errors="replace")
    return hashlib.blake2b(encoded_key, digest_size=KEY_HASH_BYTES).hexdigest()


def _kept_size(response: StoredResponse) -> int:
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers + RESPONSE_OVERHEAD_BYTES


class OnceRecords:
    """The owner's records of one service's keys, backed by claims in the platform.

    A record is lost when the process ends, and dropped after the retention; after a restart only
    the claim protects its key. If neither proves that a key has not run, its outcome is
    ``unknown``.
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

        :param max_records: maximum number of records; when it is reached, new keys are refused
        :param max_body_bytes: maximum size of a response body that is kept for replays
        :param max_kept_bytes: maximum size of all kept responses; the oldest are dropped first,
            while the records of their keys stay
        :param report_grace: time after the deadline in which a report is still accepted
        """
        self.clock = clock
        self.claims = claims
        self.ownership = ownership
        self.max_records = max_records
        self.max_body_bytes = max_body_bytes
        self.max_kept_bytes = max_kept_bytes
        self.report_grace = report_grace
        self.records: OrderedDict[str, _Record] = OrderedDict()
        self.kept_keys: deque[str] = deque()
        self.kept_bytes = 0
        self.unclaimed: OrderedDict[str, None] = OrderedDict()
        # Whether this node's marker, which warns later owners of runs without a claim, is set in
        # the platform; None if that is not known, because the response to a write was lost.
        self.marker: bool | None = False
        # Departures whose marker was read and is not set, and when to read the marker of other
        # nodes again.
        self.unmarked_departures: set[tuple[str, timedelta]] = set()
        self.recheck_at: dict[str, timedelta] = {}
        self.next_token = 1

    def claim(self, key: str, fingerprint: int, deadline: timedelta) -> Granted | Replay | Denied:
        """Decide whether a request with a key may be run.

        :param key: as returned by ``key_hash``
        :param fingerprint: hash of the request; a key is refused if it was used for another one
        :param deadline: monotonic time after which the request is no longer run
        """
        now = self.clock.monotonic()
        self._expire(now)
        record = self.records.get(key)
        if record is not None:
            return self._decide_by_record(record, fingerprint, deadline, now)
        history = self.ownership.history_of(key)
        denied = self._deny_without_record(history)
        if denied is not None:
            return denied
        # The record is added before the call to the platform, so that a second claim of the key
        # that arrives during the call finds it.
        record = self.records[key] = _Record(fingerprint)
        self._grant(record, deadline, now)
        failure = self._prove_not_run(key, record, history)
        if failure is None:
            return Granted(record.token)
        if failure.reason is Reason.KEY_UNKNOWN:
            record.state = KeyState.UNKNOWN
        else:
            del self.records[key]
        return Denied(failure)

    def mark_running(self, key: str, token: int) -> bool:
        """Note that the request is about to be sent to a target.

        :return: whether the grant is still valid; if not, the request must not be run
        """
        record = self._granted_record(key, token)
        if record is None or record.state not in (KeyState.CLAIMED, KeyState.RUNNING):
            return False
        record.state = KeyState.RUNNING
        return True

    def record_response(self, key: str, token: int, response: StoredResponse) -> None:
        """Record that a request has run, and keep its response if it is not too large."""
        record = self._granted_record(key, token)
        if record is None or record.state in (KeyState.DONE, KeyState.RELEASED):
            return
        record.state = KeyState.DONE
        if len(response.body) <= self.max_body_bytes:
            record.response = response
            self._keep_response(key, response)

    def record_outcome(self, key: str, token: int, outcome: Outcome) -> None:
        """Record the outcome of a request that ended without a response to keep."""
        record = self._granted_record(key, token)
        if record is None or record.state not in (KeyState.CLAIMED, KeyState.RUNNING):
            return
        end_states = {Outcome.NOT_RUN: KeyState.RELEASED, Outcome.RUN: KeyState.DONE}
        record.state = end_states.get(outcome, KeyState.UNKNOWN)

    def tick(self) -> None:
        """Drop expired records, and write deferred claims and the marker.

        Call this about once a second. It stops at the first claim that cannot be written.
        """
        self._expire(self.clock.monotonic())
        if not self._sync_marker():
            return
        while self.unclaimed:
            key = next(iter(self.unclaimed))
            result = self.claims.claim(key)
            if result in (ClaimResult.OVER_BUDGET, ClaimResult.UNAVAILABLE):
                return
            # A lost claim means that a later owner holds it, which has refused to run the key or
            # will refuse to.
            del self.unclaimed[key]
        self._sync_marker()

    def hand_over(self, node: str) -> Handover | None:
        """Return the records of a node's keys, or None if this node does not know it as a member.

        Once this node knows the other one as a member, it grants none of that node's keys, so that
        the handover is complete.
        """
        ownership = self.ownership
        if node not in ownership.members:
            return None
        candidates = (ownership.node, node)
        now = self.clock.monotonic()
        records = [
            HandoverRecord(
                key,
                record.fingerprint,
                record.state is KeyState.DONE,
                (record.expires - now).total_seconds(),
            )
            for key, record in self.records.items()
            # The first comparison is cheaper and excludes most records.
            if rendezvous.choose(key, candidates) == node and ownership.owner(key) == node
        ]
        age_s = ownership.age().total_seconds()
        return Handover(ownership.node, age_s, records, ownership.departures())

    def take_over(self, handover: Handover) -> None:
        """Add the records and departures of a handover; existing records are kept."""
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

    def all_runs_claimed(self) -> bool:
        """Return whether all runs are claimed, so that this node can leave gracefully."""
        return not self.unclaimed

    def _decide_by_record(
        self, record: _Record, fingerprint: int, deadline: timedelta, now: timedelta
    ) -> Granted | Replay | Denied:
        if record.fingerprint != fingerprint:
            return Denied(make_failure(Reason.KEY_REUSED, "the key belongs to another request"))
        if record.state in (KeyState.CLAIMED, KeyState.RUNNING):
            if now < record.grant_expires:
                wait = record.grant_expires - now
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

    def _deny_without_record(self, history: KeyHistory) -> Denied | None:
        if history is KeyHistory.DOUBTFUL:
            return Denied(make_failure(Reason.KEY_UNKNOWN, "an earlier owner died in an outage"))
        if history in (KeyHistory.NOT_OWNER, KeyHistory.INCOMPLETE):
            return Denied(make_failure(Reason.KEY_UNPROVEN, retry_after=UNPROVEN_RETRY_AFTER))
        if len(self.records) >= self.max_records:
            return Denied(make_failure(Reason.KEY_TABLE_FULL, retry_after=UNPROVEN_RETRY_AFTER))
        return None

    def _prove_not_run(self, key: str, record: _Record, history: KeyHistory) -> Failure | None:
        """Claim the key to prove that it has not run.

        :return: None if the key may be granted, otherwise why not
        """
        result = self.claims.claim(key)
        if result is ClaimResult.LOST:
            return make_failure(Reason.KEY_UNKNOWN, "an earlier owner claimed the key")
        if result is ClaimResult.WON:
            if history is KeyHistory.COMPLETE or self._are_former_owners_unmarked(key):
                return None
        elif self._may_run_unclaimed(key, result):
            self.unclaimed[key] = None
            return None
        return make_failure(Reason.KEY_UNPROVEN, retry_after=UNPROVEN_RETRY_AFTER)

    def _may_run_unclaimed(self, key: str, result: ClaimResult) -> bool:
        """Return whether the key may run on the record alone, without a claim.

        The history is looked up again, because the call to the platform may have taken so long
        that other nodes have declared this one dead.
        While the platform is up, the marker must be set first to warn later owners. In an outage no
        marker is needed, because later owners observe the outage too; a platform that only this
        node cannot reach is not an outage.
        """
        if self.ownership.history_of(key) is not KeyHistory.COMPLETE:
            return False
        if result is ClaimResult.OVER_BUDGET and self.ownership.platform_up_since is not None:
            return self.marker is True or self._write_marker(True)
        return self.ownership.platform_up_since is None

    def _are_former_owners_unmarked(self, key: str) -> bool:
        return all(self._is_unmarked(node) for node in self.ownership.former_owners(key))

    def _is_unmarked(self, node: str) -> bool:
        departure = (node, self.ownership.departed.get(node, timedelta()))
        if departure in self.unmarked_departures:
            return True
        now = self.clock.monotonic()
        if now < self.recheck_at.get(node, now):
            return False
        marked = self.claims.is_marker_set(node)
        if marked is False:
            self._remember_unmarked(departure)
            return True
        if marked:
            self.recheck_at[node] = now + MARKER_RECHECK_INTERVAL
        return False

    def _remember_unmarked(self, departure: tuple[str, timedelta]) -> None:
        departed = self.ownership.departed
        self.unmarked_departures = {
            item for item in self.unmarked_departures if departed.get(item[0]) == item[1]
        }
        self.recheck_at = {node: at for node, at in self.recheck_at.items() if node in departed}
        self.unmarked_departures.add(departure)

    def _sync_marker(self) -> bool:
        has_unclaimed = bool(self.unclaimed)
        return has_unclaimed is self.marker or self._write_marker(has_unclaimed)

    def _write_marker(self, unclaimed: bool) -> bool:
        self.marker = None
        if self.claims.write_marker(unclaimed) is not ClaimResult.WON:
            return False
        self.marker = unclaimed
        return True

    def _grant(self, record: _Record, deadline: timedelta, now: timedelta) -> None:
        record.token = self.next_token
        self.next_token += 1
        record.state = KeyState.CLAIMED
        record.grant_expires = deadline + self.report_grace
        record.expires = max(now, deadline) + self.ownership.retention

    def _granted_record(self, key: str, token: int) -> _Record | None:
        record = self.records.get(key)
        return record if record is not None and record.token == token else None

    def _keep_response(self, key: str, response: StoredResponse) -> None:
        self.kept_keys.append(key)
        self.kept_bytes += _kept_size(response)
        while self.kept_bytes > self.max_kept_bytes:
            self._drop_response(self.records.get(self.kept_keys.popleft()))

    def _drop_response(self, record: _Record | None) -> None:
        if record is not None and record.response is not None:
            self.kept_bytes -= _kept_size(record.response)
            record.response = None

    def _expire(self, now: timedelta) -> None:
        """Drop the oldest records whose retention has passed.

        It stops at the first record that has not expired.
        """
        while self.records:
            key, record = next(iter(self.records.items()))
            if now < record.expires:
                return
            del self.records[key]
            self._drop_response(record)
            self.unclaimed.pop(key, None)
            while self.kept_keys and self.kept_keys[0] not in self.records:
                self.kept_keys.popleft()
