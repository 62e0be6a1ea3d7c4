"""Request evidence: counted at nodes, aggregated at relays and at the coordinator."""

from bisect import bisect_left
from collections.abc import Iterable
from datetime import datetime, timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import Evidence, EvidenceRow

WINDOW = timedelta(seconds=1)
# Upper bounds, each about 1.4 times the previous one; the last bucket has no upper bound.
BUCKET_BOUNDS_MS = (1, 1.4, 2, 2.8, 4, 5.6, 8, 11, 16, 22, 32, 45, 64, 90, 128, 181, 256, 362, 512)
BUCKET_BOUNDS_MS += (724, 1024, 1448, 2048, 4096)
BUCKET_COUNT = len(BUCKET_BOUNDS_MS) + 1

MAX_ROWS_PER_WINDOW = 64
# Route of the rows of services without a move. They show faults that affect all services alike.
CONTROL_ROUTE = "*"
MAX_CONTROL_SERVICES = 8
# Route of the rows that count all further routes once ``MAX_ROWS_PER_WINDOW`` is reached.
OTHER_ROUTES = "other"

# How long an aggregator keeps a window open after its end for messages in transit: a relay waits
# for its nodes, the coordinator waits for the relays.
RELAY_GRACE = timedelta(milliseconds=400)
COORDINATOR_GRACE = timedelta(milliseconds=800)
MAX_OPEN_WINDOWS = 8
MAX_SENDERS_PER_WINDOW = 4096
MAX_SUMMED_ROWS = 4096

RowKey = tuple[str, str, str]


def window_of(at: datetime) -> int:
    """Return the number of the window that contains a time, counted from the Unix epoch."""
    return int(at.timestamp() // WINDOW.total_seconds())


def bucket_of(latency: timedelta) -> int:
    """Return the index of the histogram bucket of a latency."""
    return bisect_left(BUCKET_BOUNDS_MS, latency.total_seconds() * 1000)


def add_rows(left: EvidenceRow, right: EvidenceRow) -> EvidenceRow:
    """Return the sum of two rows of the same service, version and route."""
    buckets = list(map(int.__add__, left.latency_buckets, right.latency_buckets))
    return left._replace(
        requests=left.requests + right.requests,
        errors=left.errors + right.errors,
        latency_buckets=buckets,
        broken=left.broken + right.broken,
        refused=left.refused + right.refused,
    )


def is_valid(row: EvidenceRow) -> bool:
    """Return whether the counts of a row from another node are complete and consistent."""
    counts = (row.requests, row.errors, row.broken, row.refused, *row.latency_buckets)
    return (
        len(row.latency_buckets) == BUCKET_COUNT
        and min(counts) >= 0
        and row.errors + row.broken <= row.requests
        and sum(row.latency_buckets) <= row.requests
    )


def _add_rows_to(rows: dict[RowKey, EvidenceRow], added: Iterable[EvidenceRow], limit: int) -> None:
    for row in filter(is_valid, added):
        existing = rows.get(row[:3])
        if existing is not None:
            rows[row[:3]] = add_rows(existing, row)
        elif len(rows) < limit:
            rows[row[:3]] = row


def split_by_service(evidence: Evidence, services: Iterable[str]) -> dict[str, Evidence]:
    """Split evidence by service, for the coordinators of the services' moves.

    Each part contains the rows of its service and one control row for each other service, at most
    ``MAX_CONTROL_SERVICES``. Services without rows of their own are left out.
    """
    controls: dict[RowKey, EvidenceRow] = {}
    for row in evidence.rows:
        _add_rows_to(controls, [row._replace(version="", route=CONTROL_ROUTE)], MAX_SUMMED_ROWS)
    parts = {}
    for service in services:
        own_rows = [row for row in evidence.rows if row.service == service and row.version]
        control_rows = [row for row in controls.values() if row.service != service]
        if own_rows:
            parts[service] = evidence._replace(rows=own_rows + control_rows[:MAX_CONTROL_SERVICES])
    return parts


class _RowCounter:
    """Counts of one row while its window is open."""

    __slots__ = ("requests", "errors", "buckets", "broken", "refused")

    def __init__(self) -> None:
        self.requests = self.errors = self.broken = self.refused = 0
        self.buckets = [0] * BUCKET_COUNT


class EvidenceRecorder:
    """Counts the results of requests at a node and reports each window after its end.

    Server errors (5xx) and broken responses of targets are counted as faults of the version. The
    caller does not record requests for which the target's node was unreachable, since the loss of
    a host or a zone says nothing about a version, nor requests refused as crash requests.
    """

    def __init__(self, *, clock: Clock, max_rows: int = MAX_ROWS_PER_WINDOW):
        self.clock = clock
        self.max_rows = max_rows
        self.services: set[str] = set()
        self.window = window_of(clock.now())
        self.rows: dict[RowKey, _RowCounter] = {}
        self.ended_windows: list[Evidence] = []

    def set_services(self, services: set[str]) -> None:
        """Set the services whose moves are active or monitored; an empty set stops recording."""
        self.services = set(services)

    def record(
        self,
        service: str,
        version: str,
        route: str,
        ok: bool,
        latency: timedelta,
        *,
        broken: bool = False,
        cold: bool = False,
    ) -> None:
        """Count a request that was passed to a target.

        :param ok: whether a complete response arrived that is not a server error
        :param latency: time from passing the request to the target at its node until the end of
            the response
        :param broken: whether the response was truncated or never arrived
        :param cold: whether the target is in slow start, when its latency is not counted
        """
        counter = self._counter(service, version, route)
        if counter is None:
            return
        counter.requests += 1
        if broken:
            counter.broken += 1
            return
        counter.errors += not ok
        if not cold:
            counter.buckets[bucket_of(latency)] += 1

    def record_refusal(self, service: str, version: str, route: str) -> None:
        """Count a request that was rejected because of overload."""
        counter = self._counter(service, version, route)
        if counter is not None:
            counter.refused += 1

    def tick(self) -> list[Evidence]:
        """Return the evidence of the windows that have ended."""
        self._close_ended_windows()
        ended_windows, self.ended_windows = self.ended_windows, []
        return ended_windows

    def _counter(self, service: str, version: str, route: str) -> _RowCounter | None:
        if not self.services:
            return None
        self._close_ended_windows()
        key = (service, version, route)
        if service not in self.services:
            key = (service, "", CONTROL_ROUTE)
        counter = self.rows.get(key)
        if counter is not None:
            return counter
        if service not in self.services:
            controls = sum(row_key[2] == CONTROL_ROUTE for row_key in self.rows)
            if controls >= MAX_CONTROL_SERVICES:
                return None
        elif len(self.rows) >= self.max_rows:
            key = (service, version, OTHER_ROUTES)
        return self.rows.setdefault(key, _RowCounter())

    def _close_ended_windows(self) -> None:
        window = window_of(self.clock.now())
        if window <= self.window:
            return
        if self.rows:
            rows = [
                EvidenceRow(
                    *key,
                    counter.requests,
                    counter.errors,
                    counter.buckets,
                    counter.broken,
                    counter.refused,
                )
                for key, counter in self.rows.items()
            ]
            self.ended_windows = [*self.ended_windows, Evidence(self.window, 1, rows)][
                -MAX_OPEN_WINDOWS:
            ]
        self.rows = {}
        self.window = window


class EvidenceAggregator:
    """Sums the evidence of many senders by window; each sender is counted once per window.

    A window is closed after its grace period. Later evidence is dropped, because the receiver has
    already acted on the sum and could not distinguish a second one from a duplicate.

    :ivar dropped: number of messages dropped as late, too early, duplicate or above the limit
    """

    def __init__(self, *, clock: Clock, grace: timedelta = RELAY_GRACE):
        self.clock = clock
        self.grace = grace
        self.open_windows: dict[int, dict[RowKey, EvidenceRow]] = {}
        self.senders_by_window: dict[int, dict[str, int]] = {}
        self.last_closed = window_of(clock.now()) - MAX_OPEN_WINDOWS
        self.dropped = 0

    def add(self, evidence: Evidence, sender: str) -> bool:
        """Add a sender's evidence; return whether it was counted."""
        newest = window_of(self.clock.now()) + 1
        if not self.last_closed < evidence.window <= newest:
            self.dropped += 1
            return False
        senders = self.senders_by_window.setdefault(evidence.window, {})
        if sender in senders or len(senders) >= MAX_SENDERS_PER_WINDOW:
            self.dropped += 1
            return False
        senders[sender] = evidence.sources
        rows = self.open_windows.setdefault(evidence.window, {})
        _add_rows_to(rows, evidence.rows, MAX_SUMMED_ROWS)
        return True

    def tick(self) -> list[Evidence]:
        """Close the windows whose grace period has passed; return their sums, oldest first."""
        last = window_of(self.clock.now() - self.grace) - 1
        ready = sorted(window for window in self.open_windows if window <= last)
        self.last_closed = max(self.last_closed, last)
        return [
            Evidence(
                window,
                sum(self.senders_by_window.pop(window).values()),
                [row for _, row in sorted(self.open_windows.pop(window).items())],
            )
            for window in ready
        ]
