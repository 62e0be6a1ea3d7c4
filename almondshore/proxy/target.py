"""Hop 2: admits requests to the targets beside this node and hands them over."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath
from almondshore.limits.admission import RefusalReason, Refused, SlotRequest
from almondshore.proxy import headers as names
from almondshore.proxy.gate import SlotGate
from almondshore.proxy.headers import Headers, Problem, first, format_load, forwardable
from almondshore.proxy.once import OPERATION as ONCE_OPERATION
from almondshore.proxy.once import OnceApp
from almondshore.proxy.pool import ExchangeFailure, FailureKind, HopPool, Reply
from almondshore.proxy.wsgi import (
    Request,
    StartResponse,
    identify,
    read_request,
    respond,
    respond_failure,
)
from almondshore.retries.crash import CrashGuard
from almondshore.retries.outcome import Failure, Outcome, Reason, make_failure
from almondshore.rules.model import RequestClass

REFUSALS = {
    RefusalReason.OVERLOADED: Reason.OVERLOADED,
    RefusalReason.DEADLINE: Reason.DEADLINE_PASSED,
    RefusalReason.DRAINING: Reason.DRAINING,
    RefusalReason.DUPLICATE: Reason.DUPLICATE_ID,
}


class Endpoint(NamedTuple):
    """A target beside this node.

    :ivar address: address of the target itself, which only this node uses
    :ivar incarnation: incarnation of its record when it was first announced
    """

    target: str
    service: str
    version: str
    address: str
    gate: SlotGate
    incarnation: int = 0


class Hop(NamedTuple):
    """What hop 1 says about a request."""

    request_id: str
    target: str
    request_class: RequestClass
    deadline: timedelta
    attempt: str
    route: str


class RunResult(NamedTuple):
    """What a hand-over to a target says about its version.

    :ivar ok: whether the target responded with a whole response below status 500
    :ivar latency: time from the hand-over to the end of the response
    :ivar broken: whether the target closed the connection before a whole response
    """

    service: str
    version: str
    route: str
    ok: bool
    latency: timedelta
    broken: bool = False


class Ended(NamedTuple):
    """How a request ended at its target.

    :ivar death: set if the target died while it ran the request
    """

    result: Reply | Failure
    death: CrashDeath | None = None


class TargetApp:
    """WSGI application of hop 2.

    Only this hop hands requests to a target, so it alone knows whether one was handed over.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        endpoints: Mapping[str, Endpoint],
        pool: HopPool,
        max_body_bytes: int,
        once_app: OnceApp,
        crash_guard: CrashGuard,
        on_run: Callable[[RunResult], None] = lambda result: None,
        on_death: Callable[[CrashDeath], None] = lambda death: None,
    ):
        self.clock = clock
        self.endpoints = endpoints
        self.pool = pool
        self.max_body_bytes = max_body_bytes
        self.once_app = once_app
        self.crash_guard = crash_guard
        self.on_run = on_run
        self.on_death = on_death

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a request of hop 1."""
        request = read_request(environ, self.max_body_bytes)
        if isinstance(request, Problem):
            failure = make_failure(Reason.BAD_REQUEST, request.message)
            return respond_failure(start_response, failure, "", status=request.status)
        operation = first(request.headers, ONCE_OPERATION)
        if operation:
            return self.once_app(operation, request.body, start_response)
        hop = self._read_hop(request.headers)
        if hop is None:
            failure = make_failure(Reason.BAD_REQUEST, "internal headers are missing or malformed")
            return respond_failure(start_response, failure, "")
        endpoint = self.endpoints.get(hop.target)
        if endpoint is None:
            failure = make_failure(Reason.TARGET_UNREACHABLE, "the target is not on this host")
            return respond_failure(start_response, failure, hop.request_id)
        result, death = self._run(endpoint, hop, request)
        reported = [
            (names.LOAD, format_load(endpoint.gate.load())),
            (names.VERSION, endpoint.version),
        ]
        if death is not None:
            reported.append((names.DEATH, msgspec.json.encode(death).decode()))
        if isinstance(result, Failure):
            return respond_failure(start_response, result, hop.request_id, reported)
        headers = forwardable(result.headers)
        headers += [(names.OUTCOME, Outcome.RUN.value), (names.REQUEST_ID, hop.request_id)]
        return respond(start_response, result.status, headers + reported, result.body)

    def _read_hop(self, headers: Headers) -> Hop | None:
        request_id, target = first(headers, names.REQUEST_ID), first(headers, names.TARGET)
        left = first(headers, names.DEADLINE_MS)
        try:
            request_class = RequestClass(first(headers, names.CLASS))
        except ValueError:
            return None
        if not (request_id and target and left.isascii() and left.isdecimal()):
            return None
        deadline = self.clock.monotonic() + timedelta(milliseconds=int(left))
        attempt, route = first(headers, names.ATTEMPT), first(headers, names.ROUTE)
        return Hop(request_id, target, request_class, deadline, attempt, route)

    def _run(self, endpoint: Endpoint, hop: Hop, request: Request) -> Ended:
        slot = SlotRequest(hop.request_id, hop.request_class, hop.deadline, hop.route)
        refused = endpoint.gate.enter(slot)
        if isinstance(refused, Refused):
            failure = make_failure(REFUSALS[refused.reason], retry_after=refused.retry_after)
            return Ended(failure)
        try:
            return self._hand_over(endpoint, hop, request)
        finally:
            endpoint.gate.leave(hop.request_id)

    def _hand_over(self, endpoint: Endpoint, hop: Hop, request: Request) -> Ended:
        started = self.clock.monotonic()
        left = hop.deadline - started
        if left <= timedelta():
            return Ended(make_failure(Reason.DEADLINE_PASSED))
        result = self.pool.exchange(
            endpoint.address,
            request.method,
            request.raw_path,
            self._headers(hop, request, left),
            request.body,
            left,
        )
        if isinstance(result, ExchangeFailure):
            return self._failed(endpoint, hop, request, started, result)
        self.crash_guard.record_completion(identify(request))
        if first(result.headers, names.OUTCOME) == Outcome.NOT_RUN.value:
            return Ended(make_failure(Reason.OVERLOADED, "the target refused the request"))
        self._report(endpoint, hop, started, ok=result.status < 500)
        return Ended(result)

    def _failed(
        self,
        endpoint: Endpoint,
        hop: Hop,
        request: Request,
        started: timedelta,
        result: ExchangeFailure,
    ) -> Ended:
        """Account a failed hand-over to the version, or to a request that crashes its targets."""
        failure = _exchange_failure(result)
        if failure.reason is Reason.TARGET_UNREACHABLE:
            return Ended(failure)
        broken = result.kind is FailureKind.CUT
        identity = identify(request)
        death = None
        if broken and not self.pool.is_listening(endpoint.address):
            death = self._death(endpoint, identity, started)
            self.on_death(death)
        if not self.crash_guard.was_quarantined(identity):
            self._report(endpoint, hop, started, ok=False, broken=broken)
        return Ended(failure, death)

    def _death(self, endpoint: Endpoint, identity: int, started: timedelta) -> CrashDeath:
        ended_ms = int(self.clock.now().timestamp() * 1000)
        run_ms = int((self.clock.monotonic() - started) / timedelta(milliseconds=1))
        return CrashDeath(
            identity, endpoint.target, endpoint.incarnation, ended_ms - run_ms, ended_ms
        )

    def _headers(self, hop: Hop, request: Request, left: timedelta) -> Headers:
        """Return the headers for the target, which passes the internal ones on to inner calls."""
        return forwardable(request.headers) + [
            (names.REQUEST_ID, hop.request_id),
            (names.DEADLINE_MS, str(int(left / timedelta(milliseconds=1)))),
            (names.ATTEMPT, hop.attempt or "0"),
        ]

    def _report(
        self, endpoint: Endpoint, hop: Hop, started: timedelta, *, ok: bool, broken: bool = False
    ) -> None:
        latency = self.clock.monotonic() - started
        self.on_run(RunResult(endpoint.service, endpoint.version, hop.route, ok, latency, broken))


def _exchange_failure(result: ExchangeFailure) -> Failure:
    if result.kind is FailureKind.NOT_SENT:
        return make_failure(Reason.TARGET_UNREACHABLE, result.detail)
    if result.responded:
        return make_failure(Reason.TRUNCATED, result.detail)
    if result.kind is FailureKind.TIMEOUT:
        return make_failure(Reason.TARGET_TIMEOUT, result.detail)
    return make_failure(Reason.TARGET_LOST, result.detail)
