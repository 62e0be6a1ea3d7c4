"""Hop 2: admits requests to the targets on the same host and forwards them."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath
from almondshore.limits.admission import RefusalReason, Refused, SlotRequest
from almondshore.proxy import headers as names
from almondshore.proxy.gate import SlotGate
from almondshore.proxy.headers import Headers, Problem, first_value, format_load, forwardable
from almondshore.proxy.once import OPERATION as ONCE_OPERATION
from almondshore.proxy.once import OnceApp
from almondshore.proxy.pool import ExchangeFailure, ExchangeFailureKind, HopPool, Reply
from almondshore.proxy.wsgi import (
    Request,
    StartResponse,
    read_request,
    request_fingerprint,
    respond,
    respond_failure,
)
from almondshore.retries.crash import CrashGuard
from almondshore.retries.outcome import Failure, Outcome, Reason, make_failure
from almondshore.rules.model import RequestClass

REFUSAL_REASONS = {
    RefusalReason.OVERLOADED: Reason.OVERLOADED,
    RefusalReason.DEADLINE: Reason.DEADLINE_PASSED,
    RefusalReason.DRAINING: Reason.DRAINING,
    RefusalReason.DUPLICATE: Reason.DUPLICATE_ID,
}


class Endpoint(NamedTuple):
    """A target on the same host as this node.

    :ivar address: address of the target process, to which only this node connects
    :ivar incarnation: incarnation of the target's record when it was first announced
    """

    target: str
    service: str
    version: str
    address: str
    gate: SlotGate
    incarnation: int = 0


class HopMetadata(NamedTuple):
    """Internal headers of hop 1 for a request.

    :ivar deadline: monotonic time, computed on receipt from the remaining milliseconds
    """

    request_id: str
    target: str
    request_class: RequestClass
    deadline: timedelta
    attempt: str
    route: str


class RunResult(NamedTuple):
    """Result of running a request on a target, as evidence about the target's version.

    :ivar ok: whether the target sent a complete response with a status below 500
    :ivar latency: time from forwarding the request to the end of the response
    :ivar broken: whether the connection was lost before the response was complete
    """

    service: str
    version: str
    route: str
    ok: bool
    latency: timedelta
    broken: bool = False


class ForwardResult(NamedTuple):
    """Result of a request at its target.

    :ivar death: set if the target died while running the request
    """

    result: Reply | Failure
    death: CrashDeath | None = None


class TargetApp:
    """WSGI application of hop 2.

    Only this hop connects to the targets, so only it knows whether a target received a request.
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
        """Handle a request from hop 1."""
        request = read_request(environ, self.max_body_bytes)
        if isinstance(request, Problem):
            failure = make_failure(Reason.BAD_REQUEST, request.message)
            return respond_failure(start_response, failure, "", status=request.status)
        operation = first_value(request.headers, ONCE_OPERATION)
        if operation:
            return self.once_app(operation, request.body, start_response)
        metadata = self._read_hop_metadata(request.headers)
        if metadata is None:
            failure = make_failure(Reason.BAD_REQUEST, "internal headers are missing or malformed")
            return respond_failure(start_response, failure, "")
        endpoint = self.endpoints.get(metadata.target)
        if endpoint is None:
            failure = make_failure(Reason.TARGET_UNREACHABLE, "the target is not on this host")
            return respond_failure(start_response, failure, metadata.request_id)
        result, death = self._run(endpoint, metadata, request)
        report_headers = [
            (names.LOAD, format_load(endpoint.gate.load())),
            (names.VERSION, endpoint.version),
        ]
        if death is not None:
            report_headers.append((names.DEATH, msgspec.json.encode(death).decode()))
        if isinstance(result, Failure):
            return respond_failure(start_response, result, metadata.request_id, report_headers)
        headers = forwardable(result.headers)
        headers += [(names.OUTCOME, Outcome.RUN.value), (names.REQUEST_ID, metadata.request_id)]
        return respond(start_response, result.status, headers + report_headers, result.body)

    def _read_hop_metadata(self, headers: Headers) -> HopMetadata | None:
        request_id, target = (
            first_value(headers, names.REQUEST_ID),
            first_value(headers, names.TARGET),
        )
        deadline_header = first_value(headers, names.DEADLINE_MS)
        try:
            request_class = RequestClass(first_value(headers, names.CLASS))
        except ValueError:
            return None
        if not (
            request_id and target and deadline_header.isascii() and deadline_header.isdecimal()
        ):
            return None
        deadline = self.clock.monotonic() + timedelta(milliseconds=int(deadline_header))
        attempt, route = first_value(headers, names.ATTEMPT), first_value(headers, names.ROUTE)
        return HopMetadata(request_id, target, request_class, deadline, attempt, route)

    def _run(self, endpoint: Endpoint, metadata: HopMetadata, request: Request) -> ForwardResult:
        slot_request = SlotRequest(
            metadata.request_id, metadata.request_class, metadata.deadline, metadata.route
        )
        refused = endpoint.gate.acquire(slot_request)
        if isinstance(refused, Refused):
            failure = make_failure(REFUSAL_REASONS[refused.reason], retry_after=refused.retry_after)
            return ForwardResult(failure)
        try:
            return self._forward(endpoint, metadata, request)
        finally:
            endpoint.gate.release(metadata.request_id)

    def _forward(
        self, endpoint: Endpoint, metadata: HopMetadata, request: Request
    ) -> ForwardResult:
        started = self.clock.monotonic()
        remaining = metadata.deadline - started
        if remaining <= timedelta():
            return ForwardResult(make_failure(Reason.DEADLINE_PASSED))
        result = self.pool.exchange(
            endpoint.address,
            request.method,
            request.raw_path,
            self._headers(metadata, request, remaining),
            request.body,
            remaining,
        )
        if isinstance(result, ExchangeFailure):
            return self._handle_failure(endpoint, metadata, request, started, result)
        self.crash_guard.record_completion(request_fingerprint(request))
        if first_value(result.headers, names.OUTCOME) == Outcome.NOT_RUN.value:
            return ForwardResult(make_failure(Reason.OVERLOADED, "the target refused the request"))
        self._report_run(endpoint, metadata, started, ok=result.status < 500)
        return ForwardResult(result)

    def _handle_failure(
        self,
        endpoint: Endpoint,
        metadata: HopMetadata,
        request: Request,
        started: timedelta,
        result: ExchangeFailure,
    ) -> ForwardResult:
        """Record a failed attempt to run a request.

        A lost connection to a target that no longer listens is reported as the target's death. The
        failure counts against the version unless the target was unreachable or the request was
        quarantined for crashing targets.
        """
        failure = _to_failure(result)
        if failure.reason is Reason.TARGET_UNREACHABLE:
            return ForwardResult(failure)
        broken = result.kind is ExchangeFailureKind.CONNECTION_LOST
        fingerprint = request_fingerprint(request)
        death = None
        if broken and not self.pool.is_listening(endpoint.address):
            death = self._make_death(endpoint, fingerprint, started)
            self.on_death(death)
        if not self.crash_guard.was_quarantined(fingerprint):
            self._report_run(endpoint, metadata, started, ok=False, broken=broken)
        return ForwardResult(failure, death)

    def _make_death(self, endpoint: Endpoint, fingerprint: int, started: timedelta) -> CrashDeath:
        ended_ms = int(self.clock.now().timestamp() * 1000)
        run_ms = int((self.clock.monotonic() - started) / timedelta(milliseconds=1))
        return CrashDeath(
            fingerprint, endpoint.target, endpoint.incarnation, ended_ms - run_ms, ended_ms
        )

    def _headers(self, metadata: HopMetadata, request: Request, remaining: timedelta) -> Headers:
        """Return the headers for the target, which copies the internal ones to its own calls."""
        return forwardable(request.headers) + [
            (names.REQUEST_ID, metadata.request_id),
            (names.DEADLINE_MS, str(int(remaining / timedelta(milliseconds=1)))),
            (names.ATTEMPT, metadata.attempt or "0"),
        ]

    def _report_run(
        self,
        endpoint: Endpoint,
        metadata: HopMetadata,
        started: timedelta,
        *,
        ok: bool,
        broken: bool = False,
    ) -> None:
        latency = self.clock.monotonic() - started
        self.on_run(
            RunResult(endpoint.service, endpoint.version, metadata.route, ok, latency, broken)
        )


def _to_failure(result: ExchangeFailure) -> Failure:
    if result.kind is ExchangeFailureKind.NOT_SENT:
        return make_failure(Reason.TARGET_UNREACHABLE, result.detail)
    if result.responded:
        return make_failure(Reason.TRUNCATED, result.detail)
    if result.kind is ExchangeFailureKind.TIMEOUT:
        return make_failure(Reason.TARGET_TIMEOUT, result.detail)
    return make_failure(Reason.TARGET_LOST, result.detail)
