"""Nodes that heartbeat to a relay, and the configuration version each of them holds."""

from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple

import msgspec
import xxhash

from almondshore.core.clock import Clock
from almondshore.core.messages import Heartbeat

# Twice the share of one relay, so that a zone that lost half of its relays can still be served.
MAX_SUBSCRIBERS = 512
SUBSCRIBER_TIMEOUT = timedelta(seconds=10)
RESEND_BASE_DELAY = timedelta(seconds=2)
MAX_RESEND_DELAY = timedelta(seconds=60)


def heartbeat_digest(heartbeat: Heartbeat) -> int:
    """Return the digest that a ``Keepalive`` carries instead of a heartbeat."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(heartbeat))


class Subscriber(NamedTuple):
    """A node that heartbeats to this relay.

    :ivar version: configuration version that the node reported
    :ivar digest: digest of that version
    :ivar last_heartbeat_at: monotonic time of its last heartbeat
    :ivar heartbeat: its last heartbeat
    :ivar sent_version: configuration version last sent to it
    :ivar resends: number of times that this version was sent again
    :ivar resend_at: monotonic time from which the same version may be sent again
    """

    address: str
    node: str
    zone: str
    version: int
    digest: bytes
    ready: bool
    last_heartbeat_at: timedelta
    heartbeat: Heartbeat | None = None
    sent_version: int = 0
    resends: int = 0
    resend_at: timedelta = timedelta()


class Subscribers:
    """Bounded table of subscribers; at ``max_subscribers`` a new one is refused."""

    def __init__(
        self,
        *,
        clock: Clock,
        max_subscribers: int = MAX_SUBSCRIBERS,
        timeout: timedelta = SUBSCRIBER_TIMEOUT,
    ):
        self.clock = clock
        self.max_subscribers = max_subscribers
        self.timeout = timeout
        self.items: dict[str, Subscriber] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[Subscriber]:
        return iter(list(self.items.values()))

    def record_heartbeat(self, address: str, heartbeat: Heartbeat) -> Subscriber | None:
        """Record a heartbeat.

        :return: the subscriber, or None if the table is full
        """
        existing = self.items.get(address)
        if existing is None and len(self.items) >= self.max_subscribers:
            return None
        base = existing or Subscriber(
            address, heartbeat.node, heartbeat.zone, 0, b"", False, timedelta()
        )
        subscriber = base._replace(
            node=heartbeat.node,
            version=heartbeat.config_version,
            digest=heartbeat.config_digest,
            ready=heartbeat.ready,
            last_heartbeat_at=self.clock.monotonic(),
            heartbeat=heartbeat,
        )
        self.items[address] = subscriber
        return subscriber

    def is_due(self, subscriber: Subscriber, version: int) -> bool:
        """Return whether a subscriber is behind a version and that version may be sent now."""
        if subscriber.version >= version:
            return False
        return subscriber.sent_version < version or self.clock.monotonic() >= subscriber.resend_at

    def mark_sent(self, address: str, version: int) -> None:
        """Record that a version was sent.

        Each resend doubles the delay until the next one, up to ``MAX_RESEND_DELAY``.
        """
        subscriber = self.items[address]
        resends = subscriber.resends + 1 if subscriber.sent_version == version else 0
        delay = min(MAX_RESEND_DELAY, RESEND_BASE_DELAY * 2 ** min(resends, 8))
        self.items[address] = subscriber._replace(
            sent_version=version, resends=resends, resend_at=self.clock.monotonic() + delay
        )

    def expire(self) -> None:
        """Remove the subscribers that sent no heartbeat within the timeout."""
        limit = self.clock.monotonic() - self.timeout
        for address in [a for a, s in self.items.items() if s.last_heartbeat_at < limit]:
            del self.items[address]
