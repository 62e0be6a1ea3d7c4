"""Tests of the quotas of a few nodes when owners, links or processes fail."""

import random
from datetime import timedelta

import msgspec
from testtools import TestCase

from almondshore.mesh.settings import QuotaBound
from almondshore.quotas.messages import (
    MAX_QUESTIONS,
    MAX_TOKENS,
    Ask,
    Hello,
    Question,
    decode,
    encode,
    tenant_key,
)
from almondshore.quotas.owner import ShardOwner, grant_lifetime_s
from almondshore.quotas.port import Granted, Limited
from almondshore.tenants.table import Tenant
from test.quotas.world import World, address, nodes_in_zones

TENANT = Tenant("print", None, 30.0, 30.0)


class QuotaTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.world = World(zones=nodes_in_zones(6, 2))
        for node in self.world.zones:
            self.world.start(node, [TENANT])
        self.world.run(4.0)

    def owner_of(self, asker, index=0):
        """Return the owner of a shard, that of the asker's zone first."""
        membership = self.world.quotas[asker].membership
        key = tenant_key(TENANT.name)
        return membership.owner(key, membership.shards(key)[index])

    def asker(self):
        """Return a node that owns no shard."""
        owners = {self.owner_of(address(0), 0), self.owner_of(address(0), 1)}
        return next(node for node in self.world.zones if node not in owners)

    def take(self, node, count=1):
        """Return the decisions on requests, and the time until the last one."""
        decisions = []
        began_s = self.world.now_s
        ended_s = [began_s]

        def decide(decision):
            decisions.append(decision)
            ended_s[0] = self.world.now_s

        for _ in range(count):
            self.world.quotas[node].take(TENANT, decide)
        self.world.run(0.3)
        return decisions, ended_s[0] - began_s


class OwnerFailureTest(QuotaTestCase):
    def test_one_round_trip_suffices(self):
        # Guards against a wait for anything but the owner in the own zone.
        decisions, took_s = self.take(self.asker())
        self.assertEqual([Granted()], decisions)
        self.assertAlmostEqual(0.0004, took_s, 6)

    def test_own_shard_needs_no_datagram(self):
        # Guards against datagrams to the node itself.
        quota = self.world.quotas[self.owner_of(address(0))]
        before = self.world.datagrams
        decisions = []
        quota.take(TENANT, decisions.append)
        self.assertEqual([Granted()], decisions)
        self.assertEqual((before, {}), (self.world.datagrams, quota.batches))

    def test_silent_owner_is_replaced_after_two_attempts(self):
        # Guards against requests that wait for an owner that is gone.
        asker = self.asker()
        self.world.frozen[self.owner_of(asker)] = self.world.now_s + 60
        decisions, took_s = self.take(asker)
        self.assertEqual([Granted()], decisions)
        self.assertAlmostEqual(0.062, took_s, 3)
        decisions, took_s = self.take(asker, 2)
        self.assertEqual([Granted()] * 2, decisions)
        self.assertLess(took_s, 0.005)

    def test_owner_is_asked_again_after_a_second(self):
        # Guards against an owner that stays excluded after it has recovered.
        asker = self.asker()
        owner = self.owner_of(asker)
        self.world.frozen[owner] = self.world.now_s + 0.5
        self.take(asker)
        self.world.run(2.0)
        _, took_s = self.take(asker)
        self.assertAlmostEqual(0.0004, took_s, 6)
        self.assertEqual({}, self.world.quotas[asker].silent)

    def test_no_reachable_owner_refuses(self):
        # Guards against requests that wait without end, or are granted without tokens.
        asker = self.asker()
        self.world.blocked = lambda _sender, _receiver: True
        decisions, took_s = self.take(asker)
        self.assertIsInstance(decisions[0], Limited)
        self.assertGreater(decisions[0].retry_after, timedelta())
        self.assertLess(took_s, 0.15)

    def test_refusals_are_cached(self):
        # Guards against a datagram for each request beyond the quota.
        asker = self.asker()
        quota = self.world.quotas[asker]
        decisions = []
        for _ in range(200):
            quota.take(TENANT, decisions.append)
        self.world.run(0.01)
        before = self.world.datagrams
        for _ in range(50):
            quota.take(TENANT, decisions.append)
        self.assertEqual(250, len(decisions))
        self.assertEqual([True] * 50, [isinstance(item, Limited) for item in decisions[-50:]])
        self.assertEqual(before, self.world.datagrams)

    def test_restarted_owner_starts_empty(self):
        # Guards against a second burst after a restart.
        owner = self.owner_of(address(0))
        self.world.start(owner, [TENANT])
        self.world.run(0.6)
        quota = self.world.quotas[owner].owner
        question = Question(tenant_key(TENANT.name), 0, 1000, 1000)
        granted = quota.answer(question, self.world.now_s).granted
        self.assertLessEqual(granted, 0.6 * TENANT.rate_per_s / 2)

    def test_lost_reply_is_repeated_without_a_second_grant(self):
        # Guards against tokens that are lost to the tenant with each repeated datagram.
        owner, asker = self.owner_of(address(0)), self.asker()
        data = encode(Ask(7, (Question(tenant_key(TENANT.name), 0, 3, 3),)))
        buckets = self.world.quotas[owner].owner.buckets
        self.world.quotas[owner].on_datagram(asker, data)
        (held,) = buckets.values()
        tokens = held.bucket.tokens
        self.world.quotas[owner].on_datagram(asker, data)
        self.assertEqual(tokens, held.bucket.tokens)

    def test_malformed_datagrams_are_ignored(self):
        # Guards against an error, or a changed state, through what any program may send.
        quota = self.world.quotas[address(0)]
        rng = random.Random(1)
        valid = encode(Ask(7, (Question(1, 0, 3, 3),)))
        for _ in range(500):
            data = bytearray(valid)
            data[rng.randrange(len(data))] = rng.randrange(256)
            quota.on_datagram(("10.9.9.9", 1), bytes(data))
            quota.on_datagram(("10.9.9.9", 1), rng.randbytes(rng.randrange(2000)))
        quota.on_datagram(("10.9.9.9", 1), b"\x91" * 1300)
        quota.on_datagram(("10.9.9.9", 1), msgspec.msgpack.encode([3, 1, "z0", False, False, [1]]))
        self.assertGreater(quota.malformed, 500)
        self.assertEqual([Granted()], self.take(address(0))[0])


class StockTest(QuotaTestCase):
    def test_tokens_expire(self):
        # Guards against tokens of an earlier window that are used in a later one.
        asker = self.asker()
        for _ in range(20):
            self.take(asker)
        stock = self.world.quotas[asker].stocks[TENANT.name]
        stock.add(5, self.world.now_s + 0.5, self.world.now_s)
        self.assertFalse(stock.use(self.world.now_s + 0.5))
        stock.drop_expired(self.world.now_s + 0.5)
        self.assertEqual(0, stock.tokens)
        self.assertGreaterEqual(stock.returned, 5)

    def test_late_grant_is_not_used(self):
        # Guards against a process that was suspended while the grant was on its way.
        asker = self.asker()
        quota = self.world.quotas[asker]
        decisions = []
        quota.take(TENANT, decisions.append)
        self.world.run(0.0003)
        self.world.frozen[asker] = self.world.now_s + 5
        used = quota.stocks[TENANT.name].counts
        self.world.run(4.9)
        self.assertEqual((0, []), (used.used, decisions))

    def test_only_fresh_tokens_are_used_again(self):
        # Guards against tokens that are lost to refusals by targets, or count in a later window.
        asker = self.asker()
        self.take(asker)
        quota = self.world.quotas[asker]
        stock = quota.stocks[TENANT.name]
        stock.add(1, self.world.now_s + 0.5, self.world.now_s)
        quota.take(TENANT, lambda _decision: None)
        taken_at = quota.clock.monotonic()
        quota.give_back(TENANT, taken_at)
        self.assertEqual((1, 0), (stock.tokens, stock.returned))
        self.world.run(0.1)
        quota.take(TENANT, lambda _decision: None)
        stock.add(1, self.world.now_s + 0.5, self.world.now_s)
        quota.give_back(TENANT, taken_at)
        self.assertEqual((1, 1), (stock.tokens, stock.returned))

    def test_returned_tokens_are_bounded(self):
        # Guards against returned tokens of earlier windows that exceed the bound of this one.
        owner = self.owner_of(address(0))
        quota = self.world.quotas[owner].owner
        key = tenant_key(TENANT.name)
        quota.answer(Question(key, 0, 1000, 1000), self.world.now_s)
        answer = quota.answer(Question(key, 0, 1000, 1000, 900), self.world.now_s)
        self.assertEqual(0, answer.granted)
        self.world.run(5.0)
        quota.answer(Question(key, 0, 1000, 1000), self.world.now_s)
        answer = quota.answer(Question(key, 0, 1000, 1000, 900), self.world.now_s)
        self.assertIn(answer.granted, (1, 2))

    def test_lifetime_follows_the_bound(self):
        # Guards against grants that live longer than the overage covers.
        self.assertEqual(0.5, grant_lifetime_s(QuotaBound()))
        self.assertAlmostEqual(0.1, grant_lifetime_s(QuotaBound(overage=0.02)))

    def test_lowered_rate_applies_at_once(self):
        # Guards against a burst that was earned under the earlier limit.
        owner: ShardOwner = self.world.quotas[self.owner_of(address(0))].owner
        question = Question(tenant_key(TENANT.name), 0, 1, 1)
        owner.answer(question, self.world.now_s)
        owner.apply_tenants([TENANT._replace(rate_per_s=2.0, burst=0.0)], self.world.now_s)
        answer = owner.answer(Question(question.tenant, 0, 100, 100), self.world.now_s)
        self.assertLessEqual(answer.granted, 5)

    def test_idle_tenants_are_dropped(self):
        # Guards against memory for tenants that send no more requests.
        asker = self.asker()
        self.take(asker)
        self.world.run(75.0)
        self.assertEqual({}, self.world.quotas[asker].stocks)
        self.assertFalse(any(quota.owner.buckets for quota in self.world.quotas.values()))


class HandoverTest(QuotaTestCase):
    def joining_owner(self):
        """Return a new node that owns the tenant's shard of zone z0."""
        for number in range(100, 400):
            node = address(number)
            self.world.zones[node] = "z0"
            quota = self.world.start(node, [TENANT])
            self.world.run(0.01)
            if self.owner_of(node) == node:
                return node, quota
            self.world.networks[node].ended = True
            quota.leave()
            self.world.run(0.01)
            del self.world.zones[node]
        raise AssertionError("no node ranks first")

    def test_new_owner_waits_for_the_earlier_one(self):
        # Guards against two owners: the earlier one does not know of the new one.
        earlier = self.owner_of(address(0))
        key = tenant_key(TENANT.name)
        self.world.blocked = lambda sender, receiver: earlier in (sender, receiver)
        node, quota = self.joining_owner()
        shard = quota.membership.shards(key)[0]
        self.world.run(3.0)
        self.assertFalse(quota.membership.may_grant(key, shard, self.world.now_s))
        earlier_members = self.world.quotas[earlier].membership
        self.assertTrue(earlier_members.may_grant(key, shard, self.world.now_s))
        self.world.blocked = lambda _sender, _receiver: False
        self.world.run(2.5)
        self.assertTrue(quota.membership.may_grant(key, shard, self.world.now_s))
        self.assertFalse(earlier_members.may_grant(key, shard, self.world.now_s))

    def test_leaving_node_gives_up_its_shards(self):
        # Guards against tokens that nobody grants until the entry of the node is removed.
        owner = self.owner_of(address(0))
        self.world.quotas[owner].leave()
        self.world.run(0.01)
        others = [node for node in self.world.zones if node != owner]
        key = tenant_key(TENANT.name)
        shard = self.world.quotas[owner].membership.shards(key)[0]
        able = [
            node
            for node in others
            if self.world.quotas[node].membership.may_grant(key, shard, self.world.now_s)
        ]
        self.assertEqual(1, len(able))

    def test_late_departure_of_an_earlier_process_is_corrected(self):
        # Guards against a second owner after a restart whose earlier farewell arrives late.
        owner = self.owner_of(address(0))
        farewell = encode(Hello(99, "z0", leaving=True))
        zones = self.world.zones
        others = [node for node in zones if node != owner and zones[node] == "z0"]
        for node in others:
            self.world.quotas[node].on_datagram(owner, farewell)
        self.world.run(0.01)
        self.assertEqual({owner}, {self.owner_of(node) for node in others})

    def test_node_without_entry_owns_nothing(self):
        # Guards against shards whose owner the nodes of other zones do not know.
        node = address(50)
        listed = list(self.world.zones.items())
        self.world.zones[node] = "z0"
        quota = self.world.start(node, [TENANT], listed)
        self.world.run(3.0)
        self.assertNotIn(node, self.world.quotas[address(0)].membership.members)
        keys = range(200)
        owners = {quota.membership.owner(key, quota.membership.shards(key)[0]) for key in keys}
        self.assertNotIn(node, owners)
        quota.apply_nodes(self.world.zones.items())
        owners = {quota.membership.owner(key, quota.membership.shards(key)[0]) for key in keys}
        self.assertIn(node, owners)

    def test_resumed_owner_asks_the_others_first(self):
        # Guards against an owner whose shards others took over while it was suspended.
        owner = self.owner_of(address(0))
        self.world.frozen[owner] = self.world.now_s + 15
        for node in self.world.zones:
            if node != owner:
                self.world.quotas[node].apply_nodes(
                    [item for item in self.world.zones.items() if item[0] != owner]
                )
        self.world.run(14.99)
        key = tenant_key(TENANT.name)
        shard = self.world.quotas[owner].membership.shards(key)[0]
        members = {node: self.world.quotas[node].membership for node in self.world.zones}
        self.assertFalse(members[owner].may_grant(key, shard, self.world.now_s))
        self.world.run(0.5)
        able = [node for node in members if members[node].may_grant(key, shard, self.world.now_s)]
        self.assertEqual([owner], able)

    def test_fewer_zones_raise_the_share_later(self):
        # Guards against shares that add up to more than the quota while views differ.
        world = World(zones=nodes_in_zones(9, 3))
        quota = world.start(address(0), [TENANT])
        quota.apply_nodes([item for item in world.zones.items() if item[1] != "z2"])
        self.assertEqual(3, quota.membership.shares)
        world.run(5.5)
        self.assertEqual(3, quota.membership.shares)
        world.run(1.0)
        self.assertEqual(2, quota.membership.shares)
        quota.apply_nodes(world.zones.items())
        self.assertEqual(3, quota.membership.shares)

    def test_largest_messages_fit_into_a_datagram(self):
        # Guards against messages that every receiver refuses as too large.
        node = ("255.255.255.255", 65_535)
        hello = Hello(2**32 - 1, "z" * 64, True, True, (node,) * 30, ("z" * 64,) * 8, True)
        question = Question(2**48 - 1, 1, MAX_TOKENS, MAX_TOKENS, MAX_TOKENS)
        for message in (hello, Ask(2**32 - 1, (question,) * MAX_QUESTIONS)):
            self.assertEqual(message, decode(encode(message)))

    def test_greetings_of_other_zones_change_nothing(self):
        # Guards against owners of another zone among those of this one.
        quota = self.world.quotas[address(0)]
        before = set(quota.membership.members)
        quota.on_datagram(("10.9.9.9", 1), encode(Hello(1, "z9")))
        self.assertEqual(before, set(quota.membership.members))
