"""Synchronization of a node's configuration with the versions that peers report."""

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.backoff import full_jitter
from almondshore.core.clock import Clock
from almondshore.core.messages import (
    Busy,
    ConfigDelta,
    ConfigRequest,
    ConfigSnapshot,
    ConfigStatus,
    Heartbeat,
    HeartbeatAck,
    Message,
    RelaySync,
    Send,
)
from almondshore.relay.admission import SnapshotAdmission
from almondshore.versions.history import DeltaHistory
from almondshore.versions.state import (
    Accepted,
    ConfigState,
    OfferResult,
    Refused,
    SnapshotNeeded,
)

PLATFORM = "platform"
STARTUP_TIMEOUT = timedelta(seconds=10)
REQUEST_TIMEOUT = timedelta(seconds=2)
# A relay repeats a lost push after one heartbeat interval, so a ready node waits longer than that.
REQUEST_DELAY = timedelta(seconds=3)
MIN_READY_PEERS = 3
# Longer than the time-out of a watch of the head, which confirms the version each time it returns.
MAX_CONFIRMATION_AGE = timedelta(seconds=45)
MAX_REPORTED_PEERS = 64
MAX_REFUSED_VERSIONS = 64


class ReportedVersion(NamedTuple):
    """The version that a peer or the platform last reported.

    :ivar ready: whether the peer itself has obtained the newest version
    :ivar confirmed: whether the platform recently confirmed the version to the peer
    """

    version: int
    digest: bytes
    ready: bool
    confirmed: bool


class ConfigSync:
    """Keeps a ``ConfigState`` up to date by requesting missing versions from peers.

    At most one request is outstanding. The tables are bounded and evict their oldest entry.

    :ivar reported: last version reported by each peer and by the platform
    :ivar refused: reasons by version and digest of invalid versions, which are not requested again
    :ivar refusals: number of refused versions and damaged copies
    :ivar attempt: number of requests since the last accepted version, for the backoff
    :ivar missing_since: monotonic time since which a ready peer has reported a newer version
    :ivar confirmed_at: monotonic time of the last report by the platform
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        peers: Callable[[], Sequence[str]] = list,
        state: ConfigState | None = None,
        admission: SnapshotAdmission | None = None,
        history: DeltaHistory | None = None,
        startup_timeout: timedelta = STARTUP_TIMEOUT,
        request_timeout: timedelta = REQUEST_TIMEOUT,
        request_delay: timedelta = REQUEST_DELAY,
        min_ready_peers: int = MIN_READY_PEERS,
    ):
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self.state = state or ConfigState()
        self.admission = admission or SnapshotAdmission(clock=clock, rng=rng)
        self.history = history or DeltaHistory()
        self.startup_timeout = startup_timeout
        self.request_timeout = request_timeout
        self.request_delay = request_delay
        self.min_ready_peers = min_ready_peers
        self.started = clock.monotonic()
        self.reported: OrderedDict[str, ReportedVersion] = OrderedDict()
        self.refused: OrderedDict[tuple[int, bytes], str] = OrderedDict()
        self.refusals = 0
        self.last_refusal: Refused | None = None
        self.attempt = 0
        self.next_request = clock.monotonic()
        self.next_query = clock.monotonic()
        self.was_ready = False
        self.missing_since: timedelta | None = None
        self.confirmed_at: timedelta | None = None

    @property
    def ready(self) -> bool:
        """Whether the newest version that peers or the platform report is in effect.

        Once true it remains true.
        """
        if not self.was_ready:
            self.was_ready = self._has_newest()
        return self.was_ready

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Handle a message about configuration; all others are ignored."""
        match message:
            case ConfigDelta() | ConfigSnapshot():
                return self._handle_offer(message, sender)
            case ConfigRequest():
                return [Send(sender, self.reply_to(message))]
            case ConfigStatus():
                return self.observe(ReportedVersion(*message), sender)
            case Heartbeat() | HeartbeatAck() | RelaySync():
                return self._handle_summary(message, sender)
            case Busy(retry_after, "ConfigRequest"):
                delay = timedelta(seconds=retry_after) + full_jitter(self.rng, 0)
                self.next_request = max(self.next_request, self.clock.monotonic() + delay)
        return []

    def offer(self, message: ConfigDelta | ConfigSnapshot) -> OfferResult:
        """Offer a version to the state and record the change or the refusal."""
        previous = self.state.current
        if isinstance(message, ConfigDelta):
            result = self.state.offer_delta(message)
        else:
            result = self.state.offer_snapshot(message)
        if isinstance(result, Accepted):
            self.history.append(previous, result.configuration)
            self.attempt = 0
            self.next_request = self.clock.monotonic()
            self.missing_since = None
        elif isinstance(result, Refused):
            self._record_refusal(message, result)
        return result

    def _record_refusal(self, message: ConfigDelta | ConfigSnapshot, refusal: Refused) -> None:
        """Record a refusal; an invalid version is not requested again, unlike a damaged copy."""
        self.refusals += 1
        self.last_refusal = refusal
        if not refusal.final:
            return
        self.refused[(message.version, message.digest)] = refusal.reason
        while len(self.refused) > MAX_REFUSED_VERSIONS:
            self.refused.popitem(last=False)

    def record_platform_version(self, version: int, digest: bytes) -> None:
        """Record the version that the platform currently reports."""
        self.confirmed_at = self.clock.monotonic()
        self.observe(ReportedVersion(version, digest, True, True), PLATFORM)

    @property
    def confirmed(self) -> bool:
        """Whether the platform has reported its version within ``MAX_CONFIRMATION_AGE``."""
        if self.confirmed_at is None:
            return False
        return self.clock.monotonic() - self.confirmed_at < MAX_CONFIRMATION_AGE

    def observe(self, reported: ReportedVersion, sender: str) -> list[Send]:
        """Record the version that a peer reports and request it if it is newer."""
        self._record_report(reported, sender)
        if sender == PLATFORM or not reported.ready or not self._is_missing(reported):
            return []
        return self._request_from(sender)

    def reply_to(self, request: ConfigRequest) -> Message:
        """Return the reply to a request.

        :return: the status if only that was requested, or if this node is not ready or holds
            nothing newer; else a delta, a snapshot if the history does not reach back far enough,
            or ``Busy`` if the snapshot rate limit is exceeded
        """
        current = self.state.current
        if request.status_only or not self.ready or current.version <= request.version:
            return ConfigStatus(current.version, current.digest, self.ready, self.confirmed)
        delta = self.history.since(request.version, request.digest)
        if delta is not None:
            return delta
        retry_after = self.admission.admit()
        if retry_after is not None:
            return Busy(retry_after.total_seconds(), "ConfigRequest")
        return self.state.snapshot()

    def tick(self) -> list[Send]:
        """Request a missing version; until ready, query peers for the versions they hold."""
        sends = self._request_missing()
        if self.ready or self.clock.monotonic() < self.next_query:
            return sends
        self.next_query = self.clock.monotonic() + self.request_timeout
        peers = list(self.peers())
        queried = self.rng.sample(peers, min(self.min_ready_peers, len(peers)))
        query = self._request()._replace(status_only=True)
        return sends + [Send(peer, query) for peer in queried]

    def _request_missing(self) -> list[Send]:
        sources = [peer for peer, reported in self.reported.items() if self._is_missing(reported)]
        sources = [peer for peer in sources if peer != PLATFORM and self.reported[peer].ready]
        now = self.clock.monotonic()
        if not sources:
            self.missing_since = None
            return []
        if self.missing_since is None:
            self.missing_since = now
        if self.ready and now - self.missing_since < self.request_delay:
            return []
        return self._request_from(self.rng.choice(sources))

    def _handle_offer(self, message: ConfigDelta | ConfigSnapshot, sender: str) -> list[Send]:
        result = self.offer(message)
        sends = self.observe(ReportedVersion(message.version, message.digest, True, False), sender)
        if isinstance(result, SnapshotNeeded) and not sends:
            return self._request_from(sender)
        return sends

    def _record_report(self, reported: ReportedVersion, sender: str) -> None:
        self.reported[sender] = reported
        self.reported.move_to_end(sender)
        while len(self.reported) > MAX_REPORTED_PEERS:
            self.reported.popitem(last=False)

    def _handle_summary(
        self, message: Heartbeat | HeartbeatAck | RelaySync, sender: str
    ) -> list[Send]:
        """Record the version reported in a heartbeat, acknowledgement or relay summary.

        A relay pushes the changes that a subscriber lacks according to its heartbeat, so a ready
        node requests them only in ``tick`` if they do not arrive. A node that is not ready, or that
        receives the summary of another relay, requests them at once.
        """
        confirmed = isinstance(message, HeartbeatAck) and message.confirmed
        reported = ReportedVersion(
            message.config_version, message.config_digest, message.ready, confirmed
        )
        if isinstance(message, RelaySync) or not self.ready:
            return self.observe(reported, sender)
        self._record_report(reported, sender)
        return []

    def _is_missing(self, reported: ReportedVersion) -> bool:
        newer = reported.version > self.state.current.version
        return newer and (reported.version, reported.digest) not in self.refused

    def _request_from(self, peer: str) -> list[Send]:
        if self.clock.monotonic() < self.next_request:
            return []
        delay = self.request_timeout + full_jitter(self.rng, self.attempt)
        self.attempt += 1
        self.next_request = self.clock.monotonic() + delay
        return [Send(peer, self._request())]

    def _request(self) -> ConfigRequest:
        return ConfigRequest(self.state.current.version, self.state.current.digest)

    def _has_newest(self) -> bool:
        reports = {peer: reported for peer, reported in self.reported.items() if reported.ready}
        if not reports or any(self._is_missing(reported) for reported in reports.values()):
            return False
        if any(reported.confirmed for reported in reports.values()):
            return True
        needed = min(self.min_ready_peers, max(1, len(self.peers())))
        timed_out = self.clock.monotonic() - self.started >= self.startup_timeout
        return len(reports) >= needed or timed_out
