"""Reads new configuration versions from the platform."""

import random
from datetime import timedelta

from returns.pipeline import is_successful

from almondshore.core.backoff import full_jitter
from almondshore.core.clock import Clock
from almondshore.core.decoding import decode_msgpack
from almondshore.core.messages import ConfigDelta, ConfigSnapshot
from almondshore.storage.port import BudgetExceeded, PlatformError, RateLimited, StoredObject
from almondshore.versions.config import EMPTY
from almondshore.versions.publish import HEAD_KEY, Head, Publisher
from almondshore.versions.sync import ConfigSync

WATCH_TIMEOUT = timedelta(seconds=30)
# Minimum delay between two watches; limits the platform calls while versions change rapidly.
WATCH_INTERVAL = timedelta(seconds=1)


class ConfigSource:
    """Watches ``config/head`` and offers new versions to a ``ConfigSync``.

    :ivar position: position of the watch, from which the next one resumes; 0 reads the head
    :ivar delay: time to wait before the next ``poll``
    :ivar head: head as last read; None if nothing was published yet
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        publisher: Publisher,
        sync: ConfigSync,
        watch_timeout: timedelta = WATCH_TIMEOUT,
        watch_interval: timedelta = WATCH_INTERVAL,
    ):
        self.clock = clock
        self.rng = rng
        self.publisher = publisher
        self.sync = sync
        self.watch_timeout = watch_timeout
        self.watch_interval = watch_interval
        self.position = 0
        self.failures = 0
        self.delay = timedelta()
        self.head: Head | None = None

    def poll(self) -> None:
        """Watch the head once and offer a new version; blocks for up to ``watch_timeout``.

        Makes one platform call, and a second one if the head has no delta on the held version. If
        several versions were published between two watches, only the newest is read.
        """
        result = self.publisher.platform.watch(HEAD_KEY, self.position, self.watch_timeout)
        if not is_successful(result):
            self._on_failure(result.failure())
            return
        watched = result.unwrap()
        self.position = watched.position
        self.failures = 0
        self.delay = self.watch_interval
        heads = [stored for stored in watched.objects if stored.key == HEAD_KEY]
        if heads:
            self._offer_head(_decode_head(heads[-1]))
        elif self.head is None:
            self.sync.record_platform_version(0, EMPTY.digest)
        else:
            self.sync.record_platform_version(self.head.version, self.head.digest)

    def _offer_head(self, head: Head) -> None:
        """Offer the version of a head; if its parts cannot be read, the next watch returns it."""
        self.head = head
        self.sync.record_platform_version(head.version, head.digest)
        current = self.sync.state.current
        if head.version <= current.version:
            return
        if head.changes is not None and head.base_digest == current.digest:
            self.sync.offer(_delta(head))
            return
        parts = self.publisher.parts_of(head)
        if not is_successful(parts):
            self._on_failure(parts.failure())
            return
        self.sync.offer(ConfigSnapshot(head.version, head.digest, parts.unwrap()))

    def _on_failure(self, error: PlatformError) -> None:
        """Restart the watch from the head and back off, so that no version is missed."""
        self.position = 0
        self.delay = full_jitter(self.rng, self.failures)
        self.failures += 1
        if isinstance(error, RateLimited | BudgetExceeded):
            self.delay += error.retry_after


def _decode_head(stored: StoredObject) -> Head:
    return decode_msgpack(stored.value, Head)


def _delta(head: Head) -> ConfigDelta:
    return ConfigDelta(head.version, head.digest, head.base_version, head.base_digest, head.changes)
