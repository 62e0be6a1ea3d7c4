"""Tests of the token bucket."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from almondshore.core.token_bucket import TokenBucket


class TokenBucketTest(TestCase):
    def taken(self, bucket, now_s, tries=100):
        return sum(bucket.take(now_s) == 0.0 for _ in range(tries))

    @given(
        steps_s=st.lists(st.floats(0.0, 5.0), min_size=1, max_size=100),
        rate=st.sampled_from([1 / 60, 0.5, 3.0, 70.0]),
        burst=st.floats(1.0, 20.0),
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_no_window_has_more_than_its_rate_and_burst(self, steps_s, rate, burst):
        """Guards against a limit that admits more than it states, in any window."""
        now_s = 1e6
        bucket = TokenBucket(rate=rate, burst=burst, now_s=now_s)
        taken = []
        for step_s in steps_s:
            now_s += step_s
            taken.append((now_s, self.taken(bucket, now_s, tries=25)))
        for first, (start_s, _) in enumerate(taken):
            total = 0
            for end_s, count in taken[first:]:
                total += count
                self.assertTrue(total <= burst + (end_s - start_s) * rate + 1e-6)

    def test_taking_refills_as_refill_does(self):
        """Guards against a difference between the refill in ``take`` and ``refill`` itself."""
        rng = random.Random(1)
        one = TokenBucket(rate=7.3, burst=4.5, now_s=100.0)
        other = TokenBucket(rate=7.3, burst=4.5, now_s=100.0)
        now_s, results = 100.0, set()
        for _ in range(2000):
            now_s += rng.choice((-0.1, 0.0, 0.01, 0.1, 1.0))
            other.refill(now_s)
            wait_s = one.take(now_s)
            self.assertEqual(other.take(now_s), wait_s)
            self.assertEqual((other.tokens, other.updated_s), (one.tokens, one.updated_s))
            results.add(wait_s == 0.0)
        self.assertEqual({True, False}, results)

    def test_the_stated_wait_is_enough(self):
        """Guards against callers that wait for the returned time and are refused again."""
        bucket = TokenBucket(rate=0.7, burst=3.0, now_s=0.0)
        self.assertEqual(3, self.taken(bucket, 0.0))
        wait_s = bucket.take(0.5)
        self.assertEqual(wait_s, bucket.wait_s())
        self.assertNotEqual(0.0, bucket.take(0.5 + wait_s - 1e-6))
        self.assertEqual(0.0, bucket.take(0.5 + wait_s + 1e-6))

    def test_wait_for_several_tokens(self):
        """Guards against a wait that ignores the requests ahead, or is negative."""
        bucket = TokenBucket(rate=2.0, burst=4.0, now_s=0.0, tokens=1.0)
        self.assertEqual([0.0, 0.5, 2.0], [bucket.wait_s(count) for count in (1, 2, 5)])
        bucket.refill(1.0)
        self.assertEqual(0.0, bucket.wait_s())

    def test_negative_tokens_are_earned_back_first(self):
        """Guards against starts that could not be held back and then count for nothing."""
        bucket = TokenBucket(rate=2.0, burst=4.0, now_s=0.0, tokens=0.0)
        bucket.tokens -= 3.0
        self.assertEqual(2.0, bucket.take(0.0))
        self.assertEqual(0.5, bucket.take(1.5))
        self.assertEqual(0.0, bucket.take(2.0))

    def test_first_tokens_are_at_most_the_burst(self):
        """Guards against a bucket that starts with more than it can hold."""
        starts = [None, 0.0, 2.0, 100.0]
        buckets = [TokenBucket(rate=1.0, burst=5.0, now_s=0.0, tokens=start) for start in starts]
        self.assertEqual([5.0, 0.0, 2.0, 5.0], [bucket.tokens for bucket in buckets])

    def test_earlier_time_changes_nothing(self):
        """Guards against tokens that are lost, or earned twice, by a time from before."""
        bucket = TokenBucket(rate=1.0, burst=5.0, now_s=10.0, tokens=2.0)
        bucket.refill(7.0)
        self.assertEqual((2.0, 10.0), (bucket.tokens, bucket.updated_s))
        self.assertEqual(0.0, bucket.take(7.0))
        self.assertEqual((1.0, 10.0), (bucket.tokens, bucket.updated_s))

    def test_changed_limits_keep_tokens_up_to_the_burst(self):
        """Guards against a change of limits that grants a burst or keeps more than the new one."""
        bucket = TokenBucket(rate=1.0, burst=5.0, now_s=0.0)
        bucket.change_limits(1.0, 3.0)
        bucket.change_limits(2.0, 10.0)
        self.assertEqual(3.0, bucket.tokens)
        bucket.refill(1.0)
        self.assertEqual(5.0, bucket.tokens)

    def test_returned_tokens_do_not_exceed_the_burst(self):
        """Guards against returned tokens that raise the burst."""
        bucket = TokenBucket(rate=1.0, burst=5.0, now_s=0.0, tokens=1.0)
        bucket.put_back(2.5)
        self.assertEqual(3.5, bucket.tokens)
        bucket.put_back(100.0)
        self.assertEqual(5.0, bucket.tokens)

    def test_time_at_which_it_is_full(self):
        """Guards against eviction of a bucket that is not yet equal to a new one."""
        bucket = TokenBucket(rate=2.0, burst=5.0, now_s=10.0, tokens=1.0)
        self.assertEqual(12.0, bucket.full_at())
        bucket.refill(11.9)
        self.assertTrue(bucket.tokens < 5.0)
        bucket.refill(12.0)
        self.assertEqual(5.0, bucket.tokens)
