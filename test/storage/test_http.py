"""Tests of the platform client, with the stand-in's application and with faulty servers."""

import random
import socket
from datetime import timedelta
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from testtools import TestCase

from almondshore.core.clock import ManualClock, SystemClock
from almondshore.storage.budget import CallBudget, Rate
from almondshore.storage.http import MAX_RESPONSE_BYTES, HttpPlatform
from almondshore.storage.port import (
    MAX_VALUE_BYTES,
    BudgetExceeded,
    Conflict,
    NotFound,
    RateLimited,
    StoredObject,
    TooLarge,
    Unavailable,
)
from almondshore.storage.retry import RetryingPlatform
from standins.object_store import Fault, ObjectStore
from standins.platform_server import PlatformApp
from test.storage.servers import FakeResponse, ScriptedServer, WsgiPool

TIMEOUT = timedelta(milliseconds=300)
OBJECT = b'{"object":{"key":"k","value":"dg==","revision":1,"write_id":"w"}}'


def http_response(body, *, length=None, status=b"200 OK"):
    size = len(body) if length is None else length
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (status, size, body)


class StandInTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = ObjectStore(clock=self.clock, writes_per_second=5)
        self.app = PlatformApp(store=self.store, clock=self.clock)
        self.platform = self.client()

    def test_a_refused_connection_is_reported_with_the_url(self):
        """Guards against an error that shows the library's text and omits the URL."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = "http://{}:{}".format(*unused.getsockname())
            platform = HttpPlatform(url=url, clock=self.clock, timeout=timedelta(seconds=1))
            expected = Unavailable(f"connection refused at {url}")
            self.assertEqual(expected, platform.get("k").failure())

    def client(self, **options):
        pool = WsgiPool(self.app)
        return HttpPlatform(url="http://p", clock=self.clock, timeout=TIMEOUT, pool=pool, **options)

    def test_objects_are_written_read_listed_and_watched(self):
        for key in ("a/b ü", "a/../x?%2F#", "b"):
            self.assertTrue(is_successful(self.platform.create(key, b"\x00v", key)))
        stored = StoredObject("a/b ü", b"\x00v", 1, "a/b ü")
        self.assertEqual(stored, self.platform.get("a/b ü").unwrap())
        updated = self.platform.update("b", b"2", 1, "w2").unwrap()
        self.assertEqual(
            ["a/../x?%2F#", "a/b ü"], [o.key for o in self.platform.list("a/").unwrap()]
        )
        changes = self.platform.watch("b", 3, timedelta()).unwrap()
        self.assertEqual((4, [updated]), (changes.position, changes.objects))
        self.assertEqual([], self.platform.watch("b", 4, timedelta()).unwrap().objects)

    def test_refusals_are_typed(self):
        """Guards against a lost update, and against treating every refusal as an outage."""
        self.platform.create("k", b"v", "w")
        self.assertEqual(NotFound("none"), self.platform.get("none").failure())
        conflict = Conflict("k", StoredObject("k", b"v", 1, "w"))
        self.assertEqual(conflict, self.platform.create("k", b"x", "other").failure())
        self.assertEqual(conflict, self.platform.update("k", b"x", 7, "other").failure())
        self.assertEqual(Conflict("n", None), self.platform.update("n", b"x", 7, "o").failure())
        for number in range(3):
            self.platform.create("more", b"v", str(number))
        refused = self.platform.create("more", b"v", "w").failure()
        self.assertEqual(RateLimited(timedelta(seconds=1)), refused)

    def test_an_oversized_value_is_not_sent(self):
        """Guards against platform calls spent on values that the platform must refuse."""
        self.assertEqual(
            TooLarge(MAX_VALUE_BYTES + 1),
            self.platform.create("k", bytes(MAX_VALUE_BYTES + 1), "w").failure(),
        )
        self.assertEqual(0, self.store.counts["write"])
        self.assertTrue(is_successful(self.platform.create("k", bytes(MAX_VALUE_BYTES), "w")))

    def test_a_write_whose_response_was_lost_is_done_once(self):
        """Guards against a retried write that conflicts with its own first attempt."""
        self.store.fault = Fault.LOSE_ANSWERS
        self.assertIsInstance(self.platform.create("k", b"v", "w").failure(), Unavailable)
        self.assertIsInstance(self.platform.update("k", b"v2", 1, "w2").failure(), Unavailable)
        self.store.fault = Fault.NONE
        self.assertEqual(2, self.platform.update("k", b"v2", 1, "w2").unwrap().revision)
        self.assertEqual(2, self.store.position)

    def test_retries_recognise_a_write_whose_response_was_lost(self):
        """Guards against an ``apply`` command that fails because one response was lost."""
        self.store.fault = Fault.LOSE_ANSWERS

        def recover(_):
            self.store.fault = Fault.NONE

        retrying = RetryingPlatform(
            inner=self.platform, clock=self.clock, rng=random.Random(1), sleep=recover
        )
        self.assertEqual(1, retrying.create("k", b"v", "w").unwrap().revision)
        self.assertEqual((1, 2), (self.store.position, self.store.counts["write"]))

    def test_an_outage_is_unavailable_and_ends(self):
        self.store.fault = Fault.DOWN
        for result in (self.platform.get("k"), self.platform.watch("", 0, TIMEOUT)):
            self.assertIsInstance(result.failure(), Unavailable)
        self.store.fault = Fault.NONE
        self.assertEqual(NotFound("k"), self.platform.get("k").failure())

    def test_calls_over_budget_are_not_sent(self):
        """Guards against a node that loads the platform beyond its share."""
        budget = CallBudget(clock=self.clock, reads=Rate(1, 2), writes=Rate(1, 1))
        platform = self.client(budget=budget)
        errors = [type(platform.get("k").failure()) for _ in range(4)]
        self.assertEqual([NotFound] * 2 + [BudgetExceeded] * 2, errors)
        self.assertEqual(2, self.store.counts["read"])

    def test_a_slow_body_is_abandoned_at_the_timeout(self):
        """Guards against a server that keeps a caller waiting by sending a byte at a time."""

        def read_slowly(_):
            self.clock.advance(TIMEOUT / 3)
            return b" "

        response = FakeResponse(200, {}, read_slowly)
        self.platform.pool = SimpleNamespace(request=lambda *_, **__: response)
        self.assertIsInstance(self.platform.get("k").failure(), Unavailable)
        self.assertTrue(response.closed)

    def test_an_endless_body_is_abandoned_at_the_size_limit(self):
        """Guards against running out of memory on a faulty response."""
        sizes = []

        def endless(size):
            sizes.append(size)
            return bytes(size if sum(sizes) < 2 * MAX_RESPONSE_BYTES else 0)

        response = FakeResponse(200, {}, endless)
        self.platform.pool = SimpleNamespace(request=lambda *_, **__: response)
        self.assertIsInstance(self.platform.get("k").failure(), Unavailable)
        self.assertTrue(sum(sizes) < MAX_RESPONSE_BYTES + 2**20, sum(sizes))

    @given(status=st.sampled_from([200, 404, 409, 413, 429, 503, 302]), body=st.binary(max_size=80))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_no_response_raises(self, status, body):
        """Guards against an exception in the caller because of a malformed response."""
        platform = HttpPlatform(url="http://p", clock=ManualClock(), timeout=TIMEOUT)
        for content in (body, b'{"object":null}', OBJECT.replace(b"dg==", b"***"), OBJECT + body):
            parts = [content, b""]
            response = FakeResponse(status, {"retry-after": "soon"}, lambda _, p=parts: p.pop(0))
            platform.pool = SimpleNamespace(request=lambda *_, r=response, **__: r)
            result = platform.get("k")
            self.assertTrue(
                not is_successful(result) or (status, body) == (200, b"") or body.isspace()
            )


class FaultyServerTest(TestCase):
    def call(self, *responses, calls=1, keep_open=False):
        server = ScriptedServer(responses, keep_open=keep_open)
        self.addCleanup(server.close)
        platform = HttpPlatform(url=server.url, clock=SystemClock(), timeout=TIMEOUT)
        self.addCleanup(platform.close)
        results = [platform.get("k") for _ in range(calls)]
        return results, server

    def test_half_closed_truncated_and_garbage_responses_are_unavailable(self):
        """Guards against truncated responses taken as complete, and against exceptions."""
        for response in (
            b"",
            b"\x00\xff garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-le",
            http_response(OBJECT[:20], length=len(OBJECT)),
            http_response(OBJECT, length=len(OBJECT) + 10),
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 200 + b"\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
            http_response(b"", status=b"302 Found\r\nlocation: /v1/objects/k"),
        ):
            results, _ = self.call(response)
            self.assertIsInstance(results[0].failure(), Unavailable, response)

    def test_a_silent_connection_ends_a_watch(self):
        """Guards against a watch that waits forever on a connection that died silently."""
        server = ScriptedServer([None])
        self.addCleanup(server.close)
        platform = HttpPlatform(url=server.url, clock=SystemClock(), timeout=TIMEOUT)
        self.assertIsInstance(platform.watch("", 0, TIMEOUT).failure(), Unavailable)

    def test_a_response_for_another_key_is_not_accepted(self):
        """Guards against the response to another call on the same connection being accepted."""
        other_object = http_response(OBJECT.replace(b'"k"', b'"other"'))
        for first, second in (
            (http_response(OBJECT), other_object),
            (http_response(OBJECT) + other_object, http_response(OBJECT)),
            (http_response(OBJECT) + http_response(b" " * 100_000), http_response(OBJECT)),
        ):
            results, _ = self.call(first, second, calls=2, keep_open=True)
            self.assertEqual(b"v", results[0].unwrap().value)
            if is_successful(results[1]):
                self.assertEqual("k", results[1].unwrap().key)
            else:
                self.assertIsInstance(results[1].failure(), Unavailable)

    def test_a_response_for_another_prefix_is_not_accepted(self):
        """Guards against a lease or configuration read from another call's list or watch."""
        body = b'{"position":3,"objects":[%s]}' % OBJECT.removeprefix(b'{"object":')[:-1]
        server = ScriptedServer([http_response(body)] * 4, keep_open=True)
        self.addCleanup(server.close)
        platform = HttpPlatform(url=server.url, clock=SystemClock(), timeout=TIMEOUT)
        self.assertEqual(["k"], [stored.key for stored in platform.list("").unwrap()])
        self.assertIsInstance(platform.list("lease/").failure(), Unavailable)
        self.assertEqual(3, platform.watch("k", 0, TIMEOUT).unwrap().position)
        self.assertIsInstance(platform.watch("lease/", 0, TIMEOUT).failure(), Unavailable)
