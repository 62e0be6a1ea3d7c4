"""Tests of the throttling of requests at their sender."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.limits.throttle import SendThrottle, ThrottleKey

UPLOADS = ThrottleKey("intake", "upload", 1)
READS = ThrottleKey("intake", "read", 1)


class SendThrottleTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.throttle = SendThrottle(clock=self.clock, rng=random.Random(1))

    def play(self, accepted_share, *, per_s=20, seconds=10, key=UPLOADS):
        """Offer requests and return the share of them that was sent."""
        rng = random.Random(2)
        sent = 0
        for _ in range(per_s * seconds):
            self.clock.advance(timedelta(seconds=1 / per_s))
            if self.throttle.allows(key):
                sent += 1
                self.throttle.record(key, accepted=rng.random() < accepted_share)
        return sent / (per_s * seconds)

    def test_accepted_requests_are_all_sent(self):
        """Guards against refusals by a sender whose targets have room."""
        self.assertEqual(1.0, self.play(0.95))
        self.assertTrue(self.throttle.allows_further_attempt(UPLOADS))

    def test_most_requests_are_held_back_while_targets_refuse_them(self):
        """Guards against senders that load hosts with requests which are refused, as uploads at
        2.6 times their usual rate.
        """
        sent = self.play(0.05)
        self.assertTrue(0.1 < sent < 0.6, sent)
        self.assertFalse(self.throttle.allows_further_attempt(UPLOADS))

    def test_rare_requests_are_always_sent(self):
        """Guards against a sender that never tries again."""
        self.assertEqual(1.0, self.play(0.0, per_s=1))

    def test_throttling_ends_when_targets_have_room_again(self):
        """Guards against refusals that outlast the overload."""
        self.play(0.0, seconds=5)
        self.play(1.0, seconds=5)
        self.assertEqual(1.0, self.play(1.0))

    def test_other_requests_are_not_held_back(self):
        """Guards against reads that are refused because uploads are."""
        self.play(0.0)
        self.assertTrue(self.throttle.allows(READS))
        self.assertTrue(self.throttle.allows_further_attempt(READS))
