"""Fakes and a harness for tests of the request path."""

import random
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.http.client import CallFailure, CallResult
from almondshore.http.messages import Request, Response, find_header
from almondshore.http.parsing import RequestLimits, RequestParser
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.directory import Directory
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.hop import HopReport, Outcome, decode_terms, encode_report
from almondshore.mesh.inbound import Inbound
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.outbound import Outbound
from almondshore.mesh.versions import VersionShares
from almondshore.platform.dialect import PlatformDialect
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import CrashGuard
from almondshore.routing.completion import CompletionChooser
from test.mesh.samples import config, route

OWN_NODE = ("10.0.0.9", 1)
APP = ("10.0.0.9", 2)
SIGNED = (b"Response-Signature", b"s")


class FakeCall:
    """A call whose result the test delivers."""

    def __init__(self, address, data, timeout, on_done, options):
        self.address, self.timeout, self.on_done, self.options = address, timeout, on_done, options
        parser = RequestParser(limits=RequestLimits(65536, 1 << 20))
        parser.feed(data + options.pop("body", b""))
        self.request = parser.complete.popleft()
        self.cancelled = False
        self.receiving = False

    @property
    def terms(self):
        return decode_terms(self.request)

    def header(self, name):
        return find_header(self.request.headers, name)

    def cancel(self):
        self.cancelled = True

    def is_receiving(self):
        return self.receiving

    def answer(self, response, reused=False, identified=True):
        self.on_done(CallResult(response, None, True, reused, identified))

    def fail(self, failure=CallFailure.CLOSED, sent=True, reused=False):
        self.on_done(CallResult(None, failure, sent, reused))

    def report(
        self, outcome=Outcome.ANSWERED, reason="", status=200, body=b"", headers=(), **fields
    ):
        """Respond as the node of a target does."""
        values = {
            "running": 1,
            "waiting": 0,
            "slots": 4,
            "service_ms": 50,
            "failure_rate": 0.0,
            "leaving": False,
            "retry_after_ms": 0,
            "config_version": 1,
        }
        report = HopReport(outcome=outcome, reason=reason, **(values | fields))
        signed = (SIGNED,) if outcome is Outcome.ANSWERED else ()
        self.answer(Response(status, (*signed, *headers, encode_report(report)), body))


class FakePool:
    """A connection pool that records its calls, whose results the test delivers."""

    def __init__(self):
        self.calls = []
        self.checks = []
        self.closed_idle = []

    def call(self, address, data, *, timeout, on_done, **options):
        call = FakeCall(address, data, timeout, on_done, options)
        self.calls.append(call)
        return call

    def check(self, address, on_result):
        self.checks.append(on_result)

    def close_idle(self, address):
        self.closed_idle.append(address)


class FakeConnection:
    """The server connection of an exchange."""

    peer = "10.0.0.9:5555"

    def flush(self):
        return


class NotFoundHandler(ExchangeHandler):
    """Responds to every request with status 404."""

    def handle(self, exchange):
        exchange.respond(Response(404))


class RequestPathHarness:
    """Inbound and outbound side of a node with fake connections and a manual clock."""

    def __init__(self, routes=None, clock=None, **budget):
        self.clock = clock or ManualClock()
        self.pool = FakePool()
        self.rng = random.Random(1)
        self.directory = Directory(clock=self.clock)
        self.versions_seen = []
        self.finished = []
        self.dialect = PlatformDialect()
        self.local = LocalTarget(clock=self.clock, node=OWN_NODE, drain=timedelta(seconds=2))
        self.local.store_read = True
        self.recorder = ResultRecorder(clock=self.clock)
        self.shares = VersionShares(rng=self.rng)
        self.directory.on_change = lambda: self.shares.infer_stable_versions(
            self.directory.targets.values()
        )
        self.inbound = Inbound(
            clock=self.clock,
            dialect=self.dialect,
            pool=self.pool,
            app=APP,
            local=self.local,
            recorder=self.recorder,
            config_version=lambda: 1,
            internal=NotFoundHandler(),
        )
        self.budget = RetryBudget(clock=self.clock, **budget)
        self.guard = CrashGuard(clock=self.clock)
        self.outbound = Outbound(
            clock=self.clock,
            rng=self.rng,
            dialect=self.dialect,
            directory=self.directory,
            chooser=CompletionChooser(clock=self.clock, rng=self.rng, zone="a"),
            shares=self.shares,
            budget=self.budget,
            guard=self.guard,
            pool=self.pool,
            inbound=self.inbound,
            node=OWN_NODE,
            caller=lambda: "own-service",
            on_version=lambda node, version: self.versions_seen.append(version),
            observe=lambda observed_route, status, took: self.finished.append(status),
        )
        self.outbound.config = config(routes=routes if routes is not None else [route()])

    def request(self, path=b"/a/x", method=b"GET", body=b"", headers=(), left_ms=2000):
        """Pass a request to the outbound side and return its exchange."""
        fixed = (
            (b"Host", b"h.example"),
            (b"Attempt-Id", b"a1"),
            (b"Deadline-Ms", b"%d" % left_ms),
        )
        exchange = Exchange(
            request=Request(method, path, (*fixed, *headers), body),
            received_at=self.clock.monotonic(),
            connection=FakeConnection(),
        )
        self.outbound.handle(exchange)
        return exchange
