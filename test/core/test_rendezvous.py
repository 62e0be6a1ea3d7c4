"""Tests of rendezvous hashing."""

from testtools import TestCase

from almondshore.core.rendezvous import choose, rank

MEMBERS = [f"node-{n}" for n in range(8)]


class RendezvousTest(TestCase):
    def test_removing_a_member_moves_only_its_keys(self):
        """Guards against the loss of one member moving the keys of all others."""
        for key in (f"key-{n}" for n in range(200)):
            order = rank(key, MEMBERS)
            self.assertEqual(order[0], choose(key, MEMBERS))
            self.assertEqual(order[1:], rank(key, order[1:][::-1]))
