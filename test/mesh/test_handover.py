"""Tests of the notices about rollouts that nodes send each other."""

import random
from datetime import timedelta

import eventlet
import msgspec
from returns.result import Failure, Success
from testtools import TestCase

from almondshore.http.messages import Request
from almondshore.http.server import Exchange
from almondshore.mesh.handover import HANDOVER_PATH, RolloutHandover, RolloutNotice
from almondshore.mesh.model import Rollout, RolloutState
from almondshore.mesh.store import Changed, StoreEra, Unavailable
from test.mesh.fakes import FakeConnection

ROLLOUT = Rollout("s", "v2", timedelta(seconds=16), RolloutState.ROLLED_BACK, 0.0, 7)
HELPERS = [("10.0.0.2", 1), ("10.0.0.3", 1)]


class FakeStore:
    """A store that gives one result."""

    def __init__(self, result):
        self.result = result
        self.saved = []
        self.era = StoreEra()

    def save_progress(self, rollout):
        self.saved.append(rollout)
        return self.result


class HandlerClient:
    """A client whose requests are handled by another handover."""

    def __init__(self, handover=None):
        self.handover = handover
        self.asked = []

    def post(self, node, path, body):
        self.asked.append(node)
        if self.handover is None:
            return None
        exchange = notify(self.handover, body)
        return exchange.response.body if exchange.response.status == 200 else None


def notify(handover, body):
    """Pass a notice to a handover and return its exchange."""
    exchange = Exchange(
        request=Request(b"POST", HANDOVER_PATH, (), body),
        received_at=timedelta(),
        connection=FakeConnection(),
    )
    handover.handle(exchange)
    while exchange.response is None:
        eventlet.sleep(0)
    return exchange


def handover(result, client=None):
    return RolloutHandover(
        rng=random.Random(1), client=client or HandlerClient(), store=FakeStore(result)
    )


class HandoverTest(TestCase):
    def test_progress_is_stored_by_another_node(self):
        """Guards against a rollback that is not stored while its node cannot reach the store."""
        helper = handover(Success(8))
        own = handover(Failure(Unavailable("timeout")), HandlerClient(helper))
        self.assertEqual(Success(8), own.save(ROLLOUT, "bad", HELPERS))
        self.assertEqual([ROLLOUT] * 2, helper.store.saved)

    def test_changed_rollout_is_not_handed_over(self):
        """Guards against nodes that ask each other to store what has changed since."""
        own = handover(Failure(Changed(9)), HandlerClient(handover(Success(8))))
        self.assertEqual(Failure(Changed(9)), own.save(ROLLOUT, "", HELPERS))
        self.assertEqual([], own.client.asked)
        helper = handover(Failure(Changed(9)))
        own = handover(Failure(Unavailable("timeout")), HandlerClient(helper))
        self.assertEqual(Failure(Changed(0)), own.save(ROLLOUT, "", HELPERS))

    def test_error_of_the_store_is_returned_if_no_node_can_help(self):
        """Guards against progress that counts as stored although no node has stored it."""
        error = Failure(Unavailable("timeout"))
        for client in (HandlerClient(), HandlerClient(handover(error))):
            self.assertEqual(error, handover(error, client).save(ROLLOUT, "", HELPERS))

    def test_fault_reaches_the_node(self):
        """Guards against a node that serves a faulty version until the store tells it."""
        notices = []
        own = handover(Success(8))
        own.on_notice = notices.append
        exchange = notify(own, msgspec.json.encode(RolloutNotice(ROLLOUT, "bad")))
        self.assertEqual(
            (200, [RolloutNotice(ROLLOUT, "bad")]), (exchange.response.status, notices)
        )
        self.assertEqual([], own.store.saved)

    def test_malformed_notices_are_refused(self):
        """Guards against a worker that ends, or a rollout that is stored, by a malformed notice."""
        own = handover(Success(8))
        valid = msgspec.json.encode(RolloutNotice(ROLLOUT, "bad", store=True))
        for body in (b"", b"{", b"[" * 10_000, valid.replace(b'"rolled-back"', b'"other"')):
            self.assertEqual(400, notify(own, body).response.status)
        self.assertEqual([], own.store.saved)
