"""Load: a large configuration changes several times a second, and the host's link is narrow."""

import random
from datetime import timedelta

from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh import replication
from almondshore.mesh.feeds import CONFIG_BATCH_DELAY, CONFIG_MAX_WAIT
from almondshore.mesh.replication import Replica, Sink
from almondshore.mesh.store import Changes, Feed, Snapshot
from almondshore.storage.port import Unavailable

SIZE_BYTES = 200_000
LINK_BYTES_PER_S = 10e6 / 8
GAP_S = 0.26
IN_FORCE_S = 2.0
CALL_TIMEOUT_S = 0.7
# Requests and their responses need the rest of the link.
MAX_LINK_SHARE = 0.5


class StormFeed(Feed):
    """A feed over a narrow link; each change holds the whole configuration.

    :ivar written: time of each version, in seconds
    """

    name = "config"

    def __init__(self, clock, *, written, outage=(0.0, 0.0)):
        self.clock, self.written, self.outage = clock, written, outage
        self.sent_bytes = 0

    def now(self):
        return self.clock.monotonic().total_seconds()

    def newest(self):
        return sum(at <= self.now() for at in self.written)

    def send(self, versions):
        self.sent_bytes += versions * SIZE_BYTES
        self.clock.advance(timedelta(seconds=versions * SIZE_BYTES / LINK_BYTES_PER_S))

    def is_away(self):
        first, last = self.outage
        if not first <= self.now() < last:
            return False
        self.clock.advance(timedelta(seconds=CALL_TIMEOUT_S))
        return True

    def read(self):
        if self.is_away():
            return Failure(Unavailable("away"))
        version = self.newest()
        self.send(1)
        return Success(Snapshot(version, {"main": version}))

    def wait(self, position, timeout):
        if self.is_away():
            return Failure(Unavailable("away"))
        if self.newest() <= position:
            until = min([at for at in self.written if at > self.now()], default=float("inf"))
            end = min(until, self.now() + timeout.total_seconds())
            self.clock.advance(timedelta(seconds=end - self.now()))
        version = self.newest()
        self.send(version - position)
        return Success(Changes(version, {"main": version} if version > position else {}))


class VersionSink(Sink):
    """Takes note of when each version came into force."""

    def __init__(self, feed):
        self.feed, self.version, self.in_force = feed, 0, {}

    def replace(self, items):
        return self.update(items)

    def update(self, items):
        news = items["main"] > self.version
        for version in range(self.version + 1, items["main"] + 1):
            self.in_force[version] = self.feed.now()
        self.version = max(self.version, items["main"])
        return news


class ConfigurationStormTest(TestCase):
    def play(self, **fields):
        """Copy a storm of 5 s until all is in force; returns the feed and the sink."""
        clock = ManualClock()
        sleep = lambda seconds: clock.advance(timedelta(seconds=seconds))  # noqa: E731
        self.patch(replication.eventlet, "sleep", sleep)
        written = [0.0, *(2.0 + number * GAP_S for number in range(20))]
        feed = StormFeed(clock, written=written, **fields)
        sink = VersionSink(feed)
        replica = Replica(
            clock=clock,
            rng=random.Random(1),
            feed=feed,
            sink=sink,
            wait=CONFIG_MAX_WAIT,
            batch_delay=CONFIG_BATCH_DELAY,
            large=True,
        )
        while sink.version < len(written):
            replica.step()
        return feed, sink

    def test_each_version_is_in_force_in_time(self):
        """Guards against a node that is behind for the time of a storm."""
        feed, sink = self.play()
        late = max(sink.in_force[n + 1] - at for n, at in enumerate(feed.written))
        self.assertTrue(late <= IN_FORCE_S, late)

    def test_the_link_stays_free_for_requests(self):
        """Guards against requests that wait behind versions nobody needs any more."""
        feed, sink = self.play()
        seconds = feed.now() - feed.written[1]
        share = feed.sent_bytes / LINK_BYTES_PER_S / seconds
        self.assertTrue(share <= MAX_LINK_SHARE, share)

    def test_the_newest_version_comes_soon_after_an_outage(self):
        """Guards against an answer with all missed versions that takes longer than its call may.

        Seen on chladlog-mesh-grown, trouble-1: a node asked for them in vain for 18 s.
        """
        feed, sink = self.play(outage=(1.0, 9.0))
        self.assertTrue(feed.now() - 9.0 <= IN_FORCE_S, feed.now())
        self.assertTrue(feed.sent_bytes <= 4 * SIZE_BYTES, feed.sent_bytes)
