"""Hop 1: routes the requests of callers to the nodes of targets."""

import uuid
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from datetime import timedelta
from typing import NamedTuple

import eventlet
import msgspec

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath, TargetRecord
from almondshore.limits.tenants import Limited, TenantLimits
from almondshore.proxy import headers as names
from almondshore.proxy.headers import Headers, Problem, first_value, forwardable, parse_load
from almondshore.proxy.once import Grant, OnceClient
from almondshore.proxy.pool import ExchangeFailure, ExchangeFailureKind, HopPool, Reply
from almondshore.proxy.wsgi import (
    NO_TENANT,
    Request,
    StartResponse,
    read_request,
    request_fingerprint,
    respond,
    respond_failure,
)
from almondshore.retries.crash import CrashGuard
from almondshore.retries.outcome import Failure, Outcome, Reason, make_failure
from almondshore.retries.policy import Attempt, Retry, RetryPolicy
from almondshore.routing.choice import ResultKind, TargetChooser, TargetResult
from almondshore.routing.table import Match, RouteTable
from almondshore.rules.model import RequestClass

# Hop 2 enforces the deadline; its response needs this much longer to reach hop 1.
HOP_MARGIN = timedelta(milliseconds=50)


class Routes(NamedTuple):
    """Routing configuration of a node; replaced as a whole on each change.

    :ivar ready: whether a configuration is in effect
    :ivar weights: share of each version, by service
    """

    ready: bool
    table: RouteTable
    weights: Mapping[str, Mapping[str, float]]


class Call(NamedTuple):
    """An admitted request with its route and limits.

    :ivar deadline: monotonic time by which the caller needs the response
    :ivar outermost: whether no other hop 1 has handled the call before this one
    :ivar fingerprint: identifies the request for idempotency keys and crash quarantine
    """

    request_id: str
    request: Request
    match: Match
    tenant: str
    request_class: RequestClass
    deadline: timedelta
    outermost: bool
    fingerprint: int


class FinishedCall(NamedTuple):
    """Summary of a call that has ended, for metrics and logs.

    :ivar latency: time since hop 1 received the request
    """

    service: str
    tenant: str
    request_class: str
    outcome: str
    status: int
    latency: timedelta


class CallerApp:
    """WSGI application of hop 1.

    :ivar trusted: whether to accept the deadline and attempt headers of callers, and not to apply
        the limits of tenants; set only for the listener for targets on the same host
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routes: Callable[[], Routes],
        chooser: TargetChooser,
        tenants: TenantLimits,
        policy: RetryPolicy,
        crash_guard: CrashGuard,
        once_client: OnceClient,
        pool: HopPool,
        max_body_bytes: int,
        trusted: bool = False,
        on_finished: Callable[[FinishedCall], None] = lambda finished: None,
    ):
        self.clock = clock
        self.routes = routes
        self.chooser = chooser
        self.tenants = tenants
        self.policy = policy
        self.crash_guard = crash_guard
        self.once_client = once_client
        self.pool = pool
        self.max_body_bytes = max_body_bytes
        self.trusted = trusted
        self.on_finished = on_finished

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        """Handle a request of a caller."""
        started = self.clock.monotonic()
        request_id = uuid.uuid4().hex
        request = read_request(environ, self.max_body_bytes)
        if isinstance(request, Problem):
            failure = make_failure(Reason.BAD_REQUEST, request.message)
            return respond_failure(start_response, failure, request_id, status=request.status)
        call = self._admit(request_id, request, started)
        result = call if isinstance(call, Failure) else self._send_once(call)
        self._report_finished(call, request, result, started)
        if isinstance(result, Failure):
            return respond_failure(start_response, result, request_id)
        headers = forwardable(result.headers)
        headers += [
            (name, value)
            for name in (names.OUTCOME, names.VERSION, names.REPLAYED)
            if (value := first_value(result.headers, name))
        ]
        headers.append((names.REQUEST_ID, request_id))
        return respond(start_response, result.status, headers, result.body)

    def _admit(self, request_id: str, request: Request, started: timedelta) -> Call | Failure:
        """Apply the checks that need no target, and find the route."""
        routes = self.routes()
        if not routes.ready:
            return make_failure(Reason.NOT_READY, "no configuration is in effect yet")
        match = routes.table.match(request.method, request.path)
        if match is None:
            return make_failure(Reason.NO_ROUTE, "no route matches the method and path")
        tenant = first_value(request.headers, names.TENANT) or NO_TENANT
        if not self.trusted:
            limited = self.tenants.take(tenant)
            if isinstance(limited, Limited):
                reason = Reason(limited.reason.value)
                return make_failure(reason, retry_after=limited.retry_after)
        fingerprint = request_fingerprint(request)
        suspected = self.crash_guard.check(fingerprint)
        if suspected is not None:
            return make_failure(Reason.CRASH_SUSPECTED, retry_after=suspected.retry_after)
        return Call(
            request_id,
            request,
            match,
            tenant,
            self._request_class(match),
            self._deadline(request, match, started),
            not (self.trusted and first_value(request.headers, names.ATTEMPT)),
            fingerprint,
        )

    def _request_class(self, match: Match) -> RequestClass:
        """Return the class of a request; calls between services are at least ``INTERNAL``."""
        request_class = RequestClass(match.route["request_class"])
        if self.trusted and request_class is RequestClass.ROUTINE:
            return RequestClass.INTERNAL
        return request_class

    def _deadline(self, request: Request, match: Match, started: timedelta) -> timedelta:
        remaining = timedelta(milliseconds=match.route["timeout_ms"])
        deadline_header = first_value(request.headers, names.DEADLINE_MS)
        if self.trusted and deadline_header.isascii() and deadline_header.isdecimal():
            remaining = min(remaining, timedelta(milliseconds=int(deadline_header)))
        return started + remaining

    def _send_once(self, call: Call) -> Reply | Failure:
        """Send a call; one with an idempotency key needs a grant from the key's owner first."""
        key = first_value(call.request.headers, names.IDEMPOTENCY_KEY)
        if not (key and call.match.route["once"]):
            return self._send(call)
        grant = self.once_client.claim(
            call.match.service, call.tenant, key, call.fingerprint, call.deadline
        )
        if not isinstance(grant, Grant):
            return grant
        result: Reply | Failure = make_failure(Reason.INTERNAL)
        try:
            result = self._send(call)
        finally:
            self.once_client.report(grant, result)
        return result

    def _send(self, call: Call) -> Reply | Failure:
        """Try targets until one responds or no further retry is allowed."""
        if call.outermost:
            self.policy.record_first_attempt(call.match.service)
        tried_targets: list[str] = []
        failure: Failure | None = None
        while True:
            target = self._choose(call, tried_targets)
            if target is None:
                return failure or make_failure(Reason.NO_TARGET, "no target takes the request")
            tried_targets.append(target.target)
            result = self._attempt(call, target, len(tried_targets) - 1)
            if isinstance(result, Reply):
                return result
            failure = _combine_outcomes(failure, result)
            delay = self._retry_delay(call, result, len(tried_targets) - 1)
            if delay is None:
                return failure
            eventlet.sleep(delay.total_seconds())
            suspected = self.crash_guard.check(call.fingerprint)
            if suspected is not None:
                # An earlier attempt may have run, so the refusal keeps the outcome of the attempts.
                refusal = make_failure(Reason.CRASH_SUSPECTED, retry_after=suspected.retry_after)
                return _combine_outcomes(failure, refusal)

    def _retry_delay(self, call: Call, failure: Failure, retries: int) -> timedelta | None:
        """Return the delay before the next attempt, or None if no retry is allowed."""
        idempotent = not call.match.route["once"]
        attempt = Attempt(
            call.match.service, failure, retries, idempotent, call.outermost, call.deadline
        )
        decision = self.policy.decide(attempt)
        return decision.delay if isinstance(decision, Retry) else None

    def _choose(self, call: Call, tried_targets: list[str]) -> TargetRecord | None:
        service = call.match.service
        return self.chooser.choose(service, self.routes().weights.get(service, {}), tried_targets)

    def _attempt(self, call: Call, target: TargetRecord, attempt: int) -> Reply | Failure:
        """Send a call to one target and report the result to the target chooser."""
        remaining = call.deadline - self.clock.monotonic()
        if remaining <= timedelta():
            return make_failure(Reason.DEADLINE_PASSED)
        self.chooser.started(target.target)
        exchange_result = self.pool.exchange(
            target.address,
            call.request.method,
            call.request.raw_path,
            self._headers(call, target, remaining, attempt),
            call.request.body,
            remaining + HOP_MARGIN,
            f"{call.request_id}-{attempt}",
        )
        result = self._interpret(exchange_result)
        self.chooser.finished(target.target, _target_result(exchange_result, result))
        return result

    def _headers(
        self, call: Call, target: TargetRecord, remaining: timedelta, attempt: int
    ) -> Headers:
        route = call.match.route
        return forwardable(call.request.headers) + names.internal_headers(
            {
                names.REQUEST_ID: f"{call.request_id}-{attempt}",
                names.TARGET: target.target,
                names.CLASS: call.request_class.value,
                names.DEADLINE_MS: int(remaining / timedelta(milliseconds=1)),
                names.ATTEMPT: attempt,
                names.ROUTE: f"{','.join(route['methods'])} {route['path']}",
                names.ONCE: 1 if route["once"] else None,
            }
        )

    def _interpret(self, exchange_result: Reply | ExchangeFailure) -> Reply | Failure:
        """Return the response, or a failure that says whether the request may have run."""
        if isinstance(exchange_result, ExchangeFailure):
            if exchange_result.kind is ExchangeFailureKind.NOT_SENT:
                return make_failure(Reason.HOP_UNREACHABLE, exchange_result.detail)
            if (
                exchange_result.kind is ExchangeFailureKind.TIMEOUT
                and not exchange_result.responded
            ):
                return make_failure(Reason.TARGET_TIMEOUT, exchange_result.detail)
            if exchange_result.kind is ExchangeFailureKind.MISMATCHED:
                return make_failure(Reason.MISMATCHED, exchange_result.detail)
            if exchange_result.responded:
                return make_failure(
                    Reason.TRUNCATED, exchange_result.detail, outcome=Outcome.UNKNOWN
                )
            return make_failure(Reason.HOP_LOST, exchange_result.detail)
        self._record_reported_death(exchange_result)
        reason = first_value(exchange_result.headers, names.REASON)
        if not reason:
            return exchange_result
        try:
            outcome = Outcome(first_value(exchange_result.headers, names.OUTCOME))
            return make_failure(Reason(reason), outcome=outcome)
        except ValueError:
            return make_failure(Reason.MISMATCHED, "the response of hop 2 is malformed")

    def _record_reported_death(self, exchange_result: Reply) -> None:
        """Record a crash that hop 2 reports, before the request is retried on another target."""
        death = first_value(exchange_result.headers, names.DEATH)
        if death:
            with suppress(msgspec.MsgspecError):
                self.crash_guard.record_death(msgspec.json.decode(death, type=CrashDeath))

    def _report_finished(
        self,
        call: Call | Failure,
        request: Request,
        result: Reply | Failure,
        started: timedelta,
    ) -> None:
        admitted = isinstance(call, Call)
        outcome = result.outcome.value if isinstance(result, Failure) else Outcome.RUN.value
        self.on_finished(
            FinishedCall(
                call.match.service if admitted else "-",
                (
                    call.tenant
                    if admitted
                    else first_value(request.headers, names.TENANT) or NO_TENANT
                ),
                call.request_class.value if admitted else RequestClass.ROUTINE.value,
                outcome,
                result.status,
                self.clock.monotonic() - started,
            )
        )


def _target_result(
    exchange_result: Reply | ExchangeFailure, result: Reply | Failure
) -> TargetResult:
    if isinstance(exchange_result, ExchangeFailure):
        return TargetResult(ResultKind.FAILED)
    load = parse_load(first_value(exchange_result.headers, names.LOAD))
    busy, queued = (load.running, load.queued) if load else (None, None)
    if isinstance(result, Reply):
        kind = ResultKind.OK if result.status < 500 else ResultKind.FAILED
    elif result.outcome is Outcome.NOT_RUN and result.reason is not Reason.TARGET_UNREACHABLE:
        kind = ResultKind.REFUSED
    else:
        kind = ResultKind.FAILED
    return TargetResult(kind, busy, queued)


def _combine_outcomes(earlier: Failure | None, latest: Failure) -> Failure:
    """Return the latest failure with the combined outcome of all attempts.

    If an earlier attempt may have run, the outcome is not ``not-run`` even if the latest attempt
    did not run.
    """
    if earlier is None or latest.outcome is not Outcome.NOT_RUN:
        return latest
    return latest._replace(outcome=earlier.outcome)
