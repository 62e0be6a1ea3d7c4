"""Request evidence: counted at nodes, summed up at relays and at the coordinator."""

from bisect import bisect_left
from collections.abc import Iterable
from datetime import datetime, timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import Evidence, EvidenceRow

WINDOW = timedelta(seconds=1)
# Each bound is about 1.4 times the one before; the last bucket holds everything above.
BUCKET_BOUNDS_MS = (1, 1.4, 2, 2.8, 4, 5.6, 8, 11, 16, 22, 32, 45, 64, 90, 128, 181, 256, 362, 512)
BUCKET_BOUNDS_MS += (724, 1024, 1448, 2048, 4096)
BUCKETS = len(BUCKET_BOUNDS_MS) + 1

MAX_ROWS = 64
# Route of the rows of services without a move; they show what befalls all services alike.
CONTROL_ROUTE = "*"
MAX_CONTROL_SERVICES = 8
OTHER_ROUTES = "other"

# How long an aggregator keeps a window open after its end, for messages still on their way: a
# relay waits for its nodes, the coordinator for the relays.
RELAY_GRACE = timedelta(milliseconds=400)
COORDINATOR_GRACE = timedelta(milliseconds=800)
MAX_OPEN_WINDOWS = 8
MAX_SOURCES = 4096
MAX_SUMMED_ROWS = 4096

RowKey = tuple[str, str, str]


def window_of(at: datetime) -> int:
    """Return the index of the window that contains a time."""
    return int(at.timestamp() // WINDOW.total_seconds())


def bucket_of(latency: timedelta) -> int:
    """Return the index of the histogram bucket of a latency."""
    return bisect_left(BUCKET_BOUNDS_MS, latency.total_seconds() * 1000)


def add_rows(one: EvidenceRow, other: EvidenceRow) -> EvidenceRow:
    """Return the sum of two rows of the same service, version and route."""
    buckets = list(map(int.__add__, one.latency_buckets, other.latency_buckets))
    return one._replace(
        requests=one.requests + other.requests,
        errors=one.errors + other.errors,
        latency_buckets=buckets,
        broken=one.broken + other.broken,
        refused=one.refused + other.refused,
    )


def is_valid(row: EvidenceRow) -> bool:
    """Return whether the counts of a row from another node are consistent."""
    counts = (row.requests, row.errors, row.broken, row.refused, *row.latency_buckets)
    return (
        len(row.latency_buckets) == BUCKETS
        and min(counts) >= 0
        and row.errors + row.broken <= row.requests
        and sum(row.latency_buckets) <= row.requests
    )


def _sum_into(rows: dict[RowKey, EvidenceRow], more: Iterable[EvidenceRow], limit: int) -> None:
    for row in filter(is_valid, more):
        known = rows.get(row[:3])
        if known is not None:
            rows[row[:3]] = add_rows(known, row)
        elif len(rows) < limit:
            rows[row[:3]] = row


def split_by_service(evidence: Evidence, services: Iterable[str]) -> dict[str, Evidence]:
    """Split evidence into what the coordinator of each service needs.

    Each part holds the rows of its service and one control row for each other service.
    """
    controls: dict[RowKey, EvidenceRow] = {}
    for row in evidence.rows:
        _sum_into(controls, [row._replace(version="", route=CONTROL_ROUTE)], MAX_SUMMED_ROWS)
    parts = {}
    for service in services:
        own = [row for row in evidence.rows if row.service == service and row.version]
        others = [row for row in controls.values() if row.service != service]
        if own:
            parts[service] = evidence._replace(rows=own + others[:MAX_CONTROL_SERVICES])
    return parts


class _Counter:
    """Counts of one row while its window is open."""

    __slots__ = ("requests", "errors", "buckets", "broken", "refused")

    def __init__(self) -> None:
        self.requests = self.errors = self.broken = self.refused = 0
        self.buckets = [0] * BUCKETS


class EvidenceRecorder:
    """Counts the results of requests at a node and reports each window once it has ended.

    Counted as an error is a server error (5xx) or a broken response of a target. The caller
    records neither requests that the target's node could not be reached for, since the loss of
    a host or a zone says nothing about a version, nor requests refused as crash requests.
    """

    def __init__(self, *, clock: Clock, max_rows: int = MAX_ROWS):
        self.clock = clock
        self.max_rows = max_rows
        self.services: set[str] = set()
        self.window = window_of(clock.now())
        self.rows: dict[RowKey, _Counter] = {}
        self.ended: list[Evidence] = []

    def set_services(self, services: set[str]) -> None:
        """Set the services whose moves are under way or being watched; none stops recording."""
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
        """Count a request that was handed to a target.

        :param ok: whether a whole response came that is not a server error
        :param latency: from hand-over at the target's node to the end of the response
        :param broken: whether the response broke off or never came
        :param cold: whether the target is in its slow start, when latency says nothing
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
        """Count a request that was refused because of overload."""
        counter = self._counter(service, version, route)
        if counter is not None:
            counter.refused += 1

    def tick(self) -> list[Evidence]:
        """Return the evidence of the windows that have ended."""
        self._roll()
        ended, self.ended = self.ended, []
        return ended

    def _counter(self, service: str, version: str, route: str) -> _Counter | None:
        if not self.services:
            return None
        self._roll()
        key = (service, version, route)
        if service not in self.services:
            key = (service, "", CONTROL_ROUTE)
        counter = self.rows.get(key)
        if counter is not None:
            return counter
        if service not in self.services:
            controls = sum(found[2] == CONTROL_ROUTE for found in self.rows)
            if controls >= MAX_CONTROL_SERVICES:
                return None
        elif len(self.rows) >= self.max_rows:
            key = (service, version, OTHER_ROUTES)
        return self.rows.setdefault(key, _Counter())

    def _roll(self) -> None:
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
            self.ended = [*self.ended, Evidence(self.window, 1, rows)][-MAX_OPEN_WINDOWS:]
        self.rows = {}
        self.window = window


class EvidenceAggregator:
    """Sums up the evidence of many sources by window, each source once for each window.

    A window is closed when its grace has passed. What comes later is dropped and counted: the
    receiver has already acted on the sum, and a second one could not be told from a duplicate.
    """

    def __init__(self, *, clock: Clock, grace: timedelta = RELAY_GRACE):
        self.clock = clock
        self.grace = grace
        self.open: dict[int, dict[RowKey, EvidenceRow]] = {}
        self.seen: dict[int, dict[str, int]] = {}
        self.closed = window_of(clock.now()) - MAX_OPEN_WINDOWS
        self.dropped = 0

    def add(self, evidence: Evidence, sender: str) -> bool:
        """Add a source's evidence; return whether it was counted."""
        newest = window_of(self.clock.now()) + 1
        if not self.closed < evidence.window <= newest:
            self.dropped += 1
            return False
        senders = self.seen.setdefault(evidence.window, {})
        if sender in senders or len(senders) >= MAX_SOURCES:
            self.dropped += 1
            return False
        senders[sender] = evidence.sources
        rows = self.open.setdefault(evidence.window, {})
        _sum_into(rows, evidence.rows, MAX_SUMMED_ROWS)
        return True

    def tick(self) -> list[Evidence]:
        """Return the sums of the windows whose grace has passed, oldest first."""
        last = window_of(self.clock.now() - self.grace) - 1
        ready = sorted(window for window in self.open if window <= last)
        self.closed = max(self.closed, last)
        return [
            Evidence(
                window,
                sum(self.seen.pop(window).values()),
                [row for _, row in sorted(self.open.pop(window).items())],
            )
            for window in ready
        ]
