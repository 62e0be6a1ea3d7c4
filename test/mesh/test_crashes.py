"""Tests of the detection of target deaths and of the quarantine of requests that cause them."""

from datetime import timedelta

from returns.result import Failure, Success
from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallFailure
from almondshore.http.messages import Request, Response
from almondshore.mesh.crashes import CrashSink, DeathReporter, request_fingerprint
from almondshore.mesh.hop import HopTerms, Outcome
from almondshore.mesh.model import Death
from almondshore.mesh.store import StoreEra
from almondshore.storage.port import Unavailable
from test.mesh.fakes import APP, SIGNED, RequestPathHarness
from test.mesh.samples import announcement, target

REQUEST = Request(b"GET", b"/a/x", ((b"Attempt-Id", b"a1"),), b"")


class CrashTest(TestCase):
    def crash(self, name="t1", born_ms=1000, refuses=True):
        """Crash a target while it runs the request; returns the reported death, or None.

        :param refuses: whether the target refuses connections afterwards
        """
        harness = RequestPathHarness()
        deaths = []
        harness.inbound.on_death = deaths.append
        harness.clock.advance(timedelta(milliseconds=born_ms))
        harness.local.announce(announcement(name, address=APP, born_ms=born_ms))
        terms = HopTerms("r", name, "s", "v1", "own-service", True, 1, 600, 1200)
        for _ in range(2):
            harness.inbound.submit(REQUEST, terms, lambda result: None)
        harness.pool.calls[0].fail(CallFailure.CLOSED)
        if refuses:
            harness.pool.calls[1].fail(CallFailure.NOT_CONNECTED, sent=False)
        return deaths[0] if deaths else None

    def test_closed_connection_alone_is_no_death(self):
        """Guards against a quarantine of requests whose connection closed without a crash."""
        self.assertIs(None, self.crash(refuses=False))

    def submit(self, harness):
        """Pass the request to the inbound side; returns the outcomes of its result so far."""
        terms = HopTerms("r", "t1", "s", "v1", "own-service", True, 1, 600, 1200)
        outcomes = []
        harness.inbound.submit(REQUEST, terms, lambda result: outcomes.append(result.outcome))
        return outcomes

    def new_harness(self):
        harness, deaths = RequestPathHarness(), []
        harness.inbound.on_death = deaths.append
        harness.local.schedule = lambda _delay, function: function()
        harness.local.announce(announcement("t1", address=APP))
        return harness, deaths

    def test_crash_on_a_used_connection_is_a_death(self):
        """Guards against a request that crashes one target after another on used connections.

        The close was taken for that of an idle connection, and the request for one that never ran.
        """
        harness, deaths = self.new_harness()
        outcomes = self.submit(harness)
        harness.pool.calls[0].fail(CallFailure.CLOSED, reused=True)
        harness.pool.calls[1].fail(CallFailure.NOT_CONNECTED, sent=False)
        self.assertEqual([Outcome.BROKEN], outcomes)
        fingerprints = [run.fingerprint for death in deaths for run in death.runs]
        self.assertEqual([request_fingerprint(REQUEST, "own-service")], fingerprints)

    def test_crash_is_a_death_without_further_requests(self):
        """Guards against a crash that no later request finds before the target is back."""
        for failure in (CallFailure.CLOSED, CallFailure.TRUNCATED):
            harness, deaths = self.new_harness()
            self.submit(harness)
            harness.pool.calls[0].fail(failure)
            harness.pool.checks[0](True)
            self.assertEqual(1, len(deaths), failure)
            self.assertTrue(harness.inbound.target_down_until > harness.clock.monotonic())

    def test_connection_that_closes_at_a_target_that_is_up_is_no_death(self):
        """Guards against a quarantine of requests after a reset of connections."""
        harness, deaths = self.new_harness()
        self.submit(harness)
        harness.pool.calls[0].fail(CallFailure.CLOSED)
        harness.pool.checks[0](False)
        self.assertEqual([], deaths)

    def test_answered_request_is_not_blamed_for_its_stale_connection(self):
        """Guards against a quarantine of a request that the target has answered."""
        harness, deaths = self.new_harness()
        self.submit(harness)
        harness.pool.calls[0].fail(CallFailure.CLOSED, reused=True)
        harness.pool.calls[1].answer(Response(200, (SIGNED,)))
        self.submit(harness)
        harness.pool.calls[2].fail(CallFailure.NOT_CONNECTED, sent=False)
        self.assertEqual([], deaths)

    def test_request_is_refused_everywhere_after_two_deaths(self):
        """Guards against a request that crashes one target after another."""
        harness = RequestPathHarness()
        harness.directory.put(target())
        sink = CrashSink(guard=harness.guard)
        first, second = self.crash("t1"), self.crash("t2", born_ms=9000)
        self.assertIsNot(None, first)
        for _ in range(3):
            sink.update({first.name: first})
        harness.request(b"/a/x")
        self.assertEqual(1, len(harness.pool.calls))
        sink.update({second.name: second, "gone": None})
        self.assertEqual(503, harness.request(b"/a/x").response.status)
        self.assertEqual(1, len(harness.pool.calls))
        harness.request(b"/a/other")
        self.assertEqual(2, len(harness.pool.calls))

    def test_request_that_completes_between_deaths_is_cleared(self):
        """Guards against refusing a request that ran together with one that crashes targets."""
        harness = RequestPathHarness()
        harness.directory.put(target())
        sink = CrashSink(guard=harness.guard)
        first, second = self.crash("t1"), self.crash("t2", born_ms=9000)
        sink.update({first.name: first})
        harness.request(b"/a/x")
        harness.pool.calls[0].report()
        sink.update({second.name: second})
        self.assertIs(None, harness.request(b"/a/x").response)
        self.assertEqual(2, len(harness.pool.calls))

    def test_identity_covers_body_and_caller(self):
        """Guards against a quarantine of requests that differ from the one that crashes targets."""
        fingerprints = {
            request_fingerprint(REQUEST, "s1"),
            request_fingerprint(REQUEST, "s2"),
            request_fingerprint(REQUEST._replace(body=b"x"), "s1"),
            request_fingerprint(REQUEST._replace(target=b"/a/y"), "s1"),
        }
        self.assertEqual(4, len(fingerprints))

    def test_report_is_written_when_the_store_returns_and_removed_later(self):
        """Guards against reports that are lost in an outage of the store or never removed."""

        class Store:
            results = [Failure(Unavailable("away")), Success(4)]
            away = False
            deleted = []
            era = StoreEra()

            def save_death(self, death):
                return self.results.pop(0)

            def delete_death(self, name, revision):
                if self.away:
                    return Failure(Unavailable("away"))
                self.deleted.append((name, revision))
                return Success(revision)

        clock, store = ManualClock(), Store()
        reporter = DeathReporter(clock=clock, store=store, retention=timedelta(seconds=60))
        reporter.report(Death("d1", ()))
        for _ in range(3):
            reporter.step()
        self.assertEqual([], store.deleted)
        clock.advance(timedelta(seconds=61))
        store.away = True
        reporter.step()
        store.away = False
        reporter.step()
        self.assertEqual([("d1", 4)], store.deleted)
