"""Copies the items of a store's feed to a sink and keeps them up to date."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import Generic, TypeVar

import eventlet
from returns.pipeline import is_successful

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.core.workers import spawn_worker
from almondshore.mesh.store import Feed, HistoryGone, RateLimited, StoreError

T = TypeVar("T")

# Pause between attempts while the store does not respond, doubled after each attempt up to
# MAX_BACKOFF. A change must take effect within 3 s after the store is available again.
MIN_BACKOFF = timedelta(milliseconds=150)
MAX_BACKOFF = timedelta(milliseconds=400)
# Random extension of a pause, as a share of it, so that nodes do not call the store all at once.
BACKOFF_JITTER = 0.5
# While the probe replica gets no response from the store either, other replicas call the store no
# more often than this.
OUTAGE_CALL_INTERVAL = timedelta(seconds=4)
# Changes less than this apart are a burst: a large feed is then read in full after each batch
# delay, until it no longer changes.
BURST_INTERVAL = timedelta(seconds=1)


class Sink(ABC, Generic[T]):
    """Receives the items of a feed."""

    @abstractmethod
    def replace(self, items: Mapping[str, T]) -> bool:
        """Replace all items; returns whether any may have changed."""

    @abstractmethod
    def update(self, items: Mapping[str, T | None]) -> None:
        """Apply changed items; a removed one is None."""

    def begin_era(self) -> None:
        """Prepare for the state of a new era of the store, which may lack what is known."""

    def end_grace(self) -> None:
        """Keep nothing of an earlier era any longer that the present one lacks."""


class KeptItems:
    """Items of an earlier era that no state of the present era has contained.

    Their owners write them again within seconds of a restore; until then they stay in effect.

    :ivar active: whether an era began a short time ago
    :ivar names: names of the items
    """

    def __init__(self) -> None:
        self.active = False
        self.names: set[str] = set()

    def begin(self, names: Iterable[str]) -> None:
        """Keep the items that are known as an era begins."""
        self.active = True
        self.names = set(names)

    def confirm(self, items: Iterable[str]) -> None:
        """Note items that the state of the present era contains, or that were removed in it."""
        self.names.difference_update(items)

    def missing(self, known: Iterable[str], items: Collection[str]) -> list[str]:
        """Return the known items that a full state lacks and that are not kept."""
        return [name for name in known if name not in items and name not in self.names]

    def release(self) -> None:
        """Keep the items no longer."""
        self.active = False
        self.names = set()


class Replica(Generic[T]):
    """Copies a feed to a sink until it is killed or suspended.

    :param wait: longest wait of one call; if the response is lost in transit, the replica is
        outdated for this long
    :param batch_delay: pause after a change, so that one call reads several changes
    :param large: whether changes are so large that only the newest is wanted: after a failure, and
        while changes come in quick succession, the feed is read in full, not change by change
    :param stale_first_read: whether the first full read may be seconds old, which costs less; only
        if no earlier process can have written an item
    :param probe_replica: replica of the feed that is cheapest to call; while its calls fail too,
        this replica makes few calls, since failed calls are also charged
    :ivar on_recovered: called when the store responds again
    :ivar on_read: called after a full read has been applied
    :ivar reads_again: whether an era of the store began whose state has not been read
    :ivar failing_since: monotonic time since which the store has not responded, initially the
        time of creation; None while it responds or the replica is suspended
    :ivar answered_at: monotonic time of the store's last response, None before the first
    :ivar position: position in the feed to wait from, None if it has to be read in full
    :ivar former_position: position before a suspension, used to probe the store
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        feed: Feed[T],
        sink: Sink[T],
        wait: timedelta,
        batch_delay: timedelta,
        large: bool = False,
        stale_first_read: bool = False,
        probe_replica: "Replica | None" = None,
    ):
        self.clock = clock
        self.rng = rng
        self.feed = feed
        self.sink = sink
        self.wait = wait
        self.batch_delay = batch_delay
        self.large = large
        self.stale_read = stale_first_read
        self.probe_replica = probe_replica
        self.changed_at: timedelta | None = None
        self.lost_history = False
        self.last_batch_delay = timedelta()
        self.answered_at: timedelta | None = None
        self.called_at: timedelta | None = None
        self.failing_since: timedelta | None = clock.monotonic()
        self.position: int | None = None
        self.former_position: int | None = None
        self.backoff = MIN_BACKOFF
        self.greenlet: eventlet.greenthread.GreenThread | None = None
        self.on_recovered: Callable[[], None] = lambda: None
        self.on_read: Callable[[], None] = lambda: None
        self.reads_again = False

    def run(self) -> None:
        """Replicate until killed; runs in its own greenlet."""
        while True:
            self.step()

    def start(self) -> None:
        """Start replicating in a new greenlet."""
        self.called_at = None
        self.greenlet = spawn_worker(f"copy of {self.feed.name}", self.run)

    def is_running(self) -> bool:
        """Return whether the replica has been started, and not suspended since."""
        return self.greenlet is not None

    def kill(self) -> None:
        """Kill the greenlet, and with it the pending call."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def restart(self) -> None:
        """Call again immediately, unless suspended: an outage may have lost the pending call."""
        if self.greenlet is not None:
            self.kill()
            self.start()

    def begin_era(self) -> None:
        """Discard the position, so that the feed is read in full: an era of the store began.

        A pending call for changes is to be ended with :meth:`restart`.
        """
        if self.position is not None:
            self.former_position, self.position = self.position, None
        self.stale_read = False
        self.reads_again = True
        self.sink.begin_era()

    def end_grace(self) -> None:
        """Read the feed in full once more, some time after an era of the store began."""
        self.sink.end_grace()
        self.position = None
        self.restart()

    def suspend(self) -> None:
        """Stop replicating.

        State that other nodes send during the suspension may be older than what was replicated,
        so the feed is read in full afterwards.
        """
        self.kill()
        self.greenlet = None
        self.failing_since = None
        if self.position is not None:
            self.former_position, self.position = self.position, None

    def resume(self) -> None:
        """Start replicating, unless already started."""
        if self.greenlet is None:
            self.start()

    def probe(self) -> bool:
        """Return whether the store responds now; for a suspended replica.

        Without a position to ask for, only a full read would show it: the answer is then yes.
        """
        if self.former_position is None:
            return True
        result = self.feed.wait(self.former_position, timedelta())
        return is_successful(result) or isinstance(result.failure(), HistoryGone)

    def step(self) -> None:
        """Make one call and apply its result."""
        now = self.clock.monotonic()
        if self._defers_to_probe_replica(now):
            eventlet.sleep(MIN_BACKOFF.total_seconds())
            return
        self.called_at = now
        position = self.position
        if self.failing_since is not None and self.former_position is not None:
            self._probe_store(self.former_position)
            return
        if self.position is None:
            result = self.feed.read(stale=self.stale_read)
            self.stale_read = False
        else:
            # In an outage, do not wait for changes: an immediate response shows that it is over.
            wait = self.wait - self.last_batch_delay if self.failing_since is None else timedelta()
            self.last_batch_delay = timedelta()
            result = self.feed.wait(self.position, wait)
        if not is_successful(result):
            self._on_error(result.failure())
            return
        self._record_response()
        if position is not None and self.position is None:
            # An era of the store began meanwhile; the changes are those since another position.
            return
        received = result.unwrap()
        if self.position is None:
            self.reads_again = False
            changed = self.sink.replace(received.items)
        else:
            self.lost_history = False
            changed = bool(received.items)
            if changed:
                self.sink.update(received.items)
        full_read, self.position = self.position is None, received.position
        if full_read:
            self.on_read()
        if changed:
            self._after_change(full_read)

    def _probe_store(self, position: int) -> None:
        """Check whether the store responds again, before a full read, which costs more."""
        result = self.feed.wait(position, timedelta())
        if is_successful(result) or isinstance(result.failure(), HistoryGone):
            self.former_position = None
        else:
            self._on_error(result.failure())

    def _after_change(self, full_read: bool) -> None:
        """Pause, so that one call reads further changes; in a burst, read a large feed in full."""
        now = self.clock.monotonic()
        in_burst = self.changed_at is not None and now - self.changed_at < BURST_INTERVAL
        self.changed_at = now
        if self.large and in_burst:
            self.position = None
        if in_burst if self.large else not full_read:
            # Shorten the next wait by the pause, so that the store still responds as often.
            self.last_batch_delay = min(self.batch_delay, self.wait)
            eventlet.sleep(self.last_batch_delay.total_seconds())

    def _defers_to_probe_replica(self, now: timedelta) -> bool:
        """Return whether to wait until the probe replica gets a response from the store."""
        if (
            self.probe_replica is None
            or self.probe_replica.failing_since is None
            or self.failing_since is None
        ):
            return False
        return self.called_at is not None and now - self.called_at < OUTAGE_CALL_INTERVAL

    def _on_error(self, error: StoreError) -> None:
        if isinstance(error, HistoryGone):
            log_event("store_history_gone", feed=self.feed.name, position=error.position)
            self.position = None
            if self.lost_history:
                # The store discards its history faster than it is read.
                self._sleep_backoff()
            self.lost_history = True
            return
        if self.large:
            self.position = None
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            log_event("store_lost", level="WARNING", feed=self.feed.name, error=error)
        self._sleep_backoff(error.retry_after if isinstance(error, RateLimited) else timedelta())

    def _sleep_backoff(self, at_least: timedelta = timedelta()) -> None:
        backoff = max(self.backoff, at_least)
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        eventlet.sleep(backoff.total_seconds() * (1.0 + BACKOFF_JITTER * self.rng.random()))

    def _record_response(self) -> None:
        self.backoff = MIN_BACKOFF
        self.answered_at = self.clock.monotonic()
        if self.failing_since is not None:
            outage = self.clock.monotonic() - self.failing_since
            log_event(
                "store_regained", feed=self.feed.name, away_ms=int(outage.total_seconds() * 1e3)
            )
            self.failing_since = None
            self.on_recovered()
