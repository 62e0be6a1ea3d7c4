"""Tests of the admission of large bodies to a host's link."""

from datetime import timedelta
from heapq import heappop, heappush

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.transfers.queue import Transfer, TransferQueue, TransferTerms

BODY = 60_000
# 60 KB take 125 ms on the part of 5.5 Mbit/s that bodies may use.
LINK_MBPS = 5.5


class FakeTransfer(Transfer):
    def __init__(self, link, name, terms):
        self.link, self.name, self.terms = link, name, terms

    def grant(self):
        now = self.link.clock.monotonic()
        self.link.granted.append((self.name, now))
        if self.link.arrival is not None:
            self.link.schedule(self.link.arrival, lambda: self.link.queue.finish(self))

    def refuse(self, retry_after):
        self.link.refused.append((self.name, retry_after))


class Link:
    """A queue on a manual clock; granted bodies arrive after ``arrival``, never if it is None."""

    def __init__(self, mbps=LINK_MBPS):
        self.clock = ManualClock()
        self.events, self.count = [], 0
        self.granted, self.refused = [], []
        self.arrival = timedelta(milliseconds=90)
        self.queue = TransferQueue(clock=self.clock, link_mbps=mbps, schedule=self.schedule)

    def schedule(self, delay, action):
        self.count += 1
        heappush(self.events, (self.clock.monotonic() + delay, self.count, action))

    def offer(self, name, *, size=BODY, urgency=1, objective_s=2.0):
        at = self.clock.monotonic() + timedelta(seconds=objective_s)
        transfer = FakeTransfer(self, name, TransferTerms(size, urgency, at))
        self.queue.offer(transfer)
        return transfer

    def run(self, seconds):
        ends_at = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.events and self.events[0][0] <= ends_at:
            at, _, action = heappop(self.events)
            self.clock.advance(max(timedelta(), at - self.clock.monotonic()))
            action()
        self.clock.advance(max(timedelta(), ends_at - self.clock.monotonic()))


class TransferQueueTest(TestCase):
    def test_single_body_is_granted_at_once(self):
        """Guards against a delay of bodies on an idle link."""
        link = Link()
        link.offer("a")
        self.assertEqual([("a", timedelta())], [(n, t - t) for n, t in link.granted])

    def test_burst_of_bodies_leaves_room_on_the_link(self):
        """Guards against uploads at 2.6 times their usual rate that hold up small requests."""
        link = Link()
        for number in range(200):
            link.schedule(timedelta(milliseconds=50 * number), lambda n=number: link.offer(n))
        link.run(12)
        sent_bits = len(link.granted) * BODY * 8
        self.assertTrue(sent_bits <= 0.7 * LINK_MBPS * 1e6 * 12 + BODY * 8, sent_bits)
        # What the link can carry is carried, and the rest is refused.
        self.assertTrue(sent_bits >= 0.65 * LINK_MBPS * 1e6 * 10, sent_bits)
        self.assertEqual(200, len(link.granted) + len(link.refused))

    def test_urgent_body_is_granted_first(self):
        """Guards against urgent uploads that wait behind routine ones."""
        link = Link()
        for name, urgency in (("first", 2), ("routine", 2), ("urgent", 0)):
            link.offer(name, urgency=urgency)
        link.run(1)
        self.assertEqual(["first", "urgent", "routine"], [name for name, _ in link.granted])

    def test_body_that_would_be_late_is_refused_with_a_time(self):
        """Guards against bodies that are sent although their request cannot be on time."""
        link = Link()
        for number in range(8):
            link.offer(number)
        link.offer("late", objective_s=0.2)
        self.assertEqual(["late"], [name for name, _ in link.refused])
        self.assertTrue(link.refused[0][1] >= timedelta(milliseconds=800))

    def test_body_that_never_arrives_does_not_hold_its_place(self):
        """Guards against senders that are cut off after a grant and block the link for others."""
        link = Link()
        link.arrival = None
        for number in range(4):
            link.offer(number)
        link.run(2)
        self.assertEqual(4, len(link.granted))

    def test_place_of_a_sender_that_left_is_given_to_the_next(self):
        """Guards against bodies of callers that have left and still occupy the queue."""
        link = Link()
        link.offer("a")
        gone = link.offer("b")
        link.offer("c")
        link.queue.cancel(gone)
        link.run(1)
        self.assertEqual(["a", "c"], [name for name, _ in link.granted])

    def test_link_without_a_known_limit_grants_everything(self):
        """Guards against refusals where the bandwidth is not known."""
        link = Link(mbps=0.0)
        for number in range(100):
            link.offer(number, size=10**7, objective_s=0.01)
        self.assertEqual(100, len(link.granted))
