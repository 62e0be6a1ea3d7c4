"""Requests that originate on this host: route, choice of a target, retries, deadline."""

import random
from collections.abc import Callable
from datetime import timedelta

from eventlet import hubs

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import Call, CallResult, ConnectionPool
from almondshore.http.messages import Request, Response, encode_request, end_to_end
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.limits.objective import Refusal
from almondshore.mesh.crashes import request_fingerprint
from almondshore.mesh.dialect import Dialect, Verdict
from almondshore.mesh.directory import Directory
from almondshore.mesh.hop import (
    MILLISECOND,
    REPORT_HEADER,
    TERMS_HEADER,
    HopResult,
    HopTerms,
    Outcome,
    decode_report,
    encode_terms,
)
from almondshore.mesh.inbound import Inbound, Submission
from almondshore.mesh.model import Address, MeshConfig, Route, Target
from almondshore.mesh.room import RoomMemory
from almondshore.mesh.versions import VersionShares
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import CrashGuard
from almondshore.routing.completion import CompletionChooser

ZERO = timedelta()
HOP_HEADERS = frozenset((TERMS_HEADER, REPORT_HEADER))
# A caller that waits until its deadline gets the answer this much earlier, for the way back.
CALLER_MARGIN = timedelta(milliseconds=15)
# Targets that may refuse one request before it is refused to the caller.
MAX_REFUSALS = 3
# A retry is worth sending if this share of the objective is left before the deadline.
MIN_RETRY_SHARE = 0.15
NO_TARGET_RETRY_AFTER = timedelta(milliseconds=250)
MIN_RETRY_AFTER = timedelta(milliseconds=50)
# Callers wait at most a third of the time they have left.
RETRY_AFTER_SHARE = 0.3
# Callers refused at the same moment return spread over this range of the stated time.
RETRY_AFTER_SPREAD = 0.5
# A response is overdue after this multiple of its expected time, and not before the minimum.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE = timedelta(milliseconds=150)
# A target that refused a route for lack of room is not tried again for the same route within
# these times: the first by new requests, the second by requests that another target refused.
# About 10 slots of 200 ms come free each 20 ms, and other nodes send there too.
FULL_PAUSE = timedelta(milliseconds=50)
FULL_RETRY_PAUSE = timedelta(milliseconds=250)
DEFAULT_DEADLINE = timedelta(seconds=30)
# How long a target is passed over after it refused for a reason other than load.
REFUSAL_PAUSE = {
    "draining": timedelta(seconds=10),
    "wrong-target": timedelta(seconds=2),
    "no-target": timedelta(milliseconds=400),
    "target-down": timedelta(milliseconds=300),
    "version-retired": timedelta(seconds=2),
    "shutting-down": timedelta(seconds=1),
}


class Forwarding:
    """One caller's request, from its arrival to its response."""

    def __init__(self, *, outbound: "Outbound", exchange: Exchange, route: Route, service: str):
        self.outbound = outbound
        self.exchange = exchange
        self.route = route
        self.service = service
        left = outbound.dialect.time_left(exchange.request)
        now = exchange.received_at
        caller_left = DEFAULT_DEADLINE if left is None else left
        self.deadline_at = now + min(caller_left - CALLER_MARGIN, route.timeout)
        self.caller_deadline_at = now + caller_left
        self.objective_at = now + route.objective
        self.refused_by: set[str] = set()
        self.runs = 0
        self.refusals = 0
        self.target: Target | None = None
        self.pending: Call | Submission | None = None
        self.failed: Response | None = None
        self.retry_after = ZERO
        self.reason = ""
        self.silence_timer = None
        self.last_target = ""
        self.load_age: timedelta | None = None
        self.done = False
        self.timer = hubs.get_hub().schedule_call_global(
            max(0.0, (self.deadline_at - now).total_seconds()), self._on_deadline
        )
        exchange.on_cancel = self.cancel

    def send(self) -> None:
        """Send the request to the best target that is left, or end it."""
        target = self.outbound.choose(self)
        if target is None:
            self._give_up(self.reason or "no-target")
            return
        self.target = target
        self.last_target = target.target
        self.load_age = self.outbound.chooser.report_age(target.target)
        self.outbound.chooser.started(target.target)
        self.pending = None
        pending = self.outbound.dispatch(self, target)
        # The result may have been delivered already, and another send begun.
        if not self.done and self.target is target and self.pending is None:
            self.pending = pending
            self._watch_silence(target)

    def cancel(self) -> None:
        """Stop: the caller left."""
        if self.done:
            return
        self._end()
        if self.pending is not None:
            self.pending.cancel()
        if self.target is not None:
            self.outbound.chooser.finished(self.target.target, self.route.name, None)
        self._log("cancelled", "caller-left", 0)

    def on_silence(self) -> None:
        """Send the request elsewhere: the node beside its target does not answer.

        One that must not run twice goes on waiting, as the node may have passed it on.
        """
        if self.done or self.pending is None or not self.route.idempotent:
            return
        self.pending.cancel()
        self.on_result(HopResult(Outcome.BROKEN, "silent", None, None, unreachable=True))

    def on_result(self, result: HopResult) -> None:
        """Take the result of a send: answer the caller, or send again."""
        if self.done:
            return
        self._stop_watching()
        target = self.target
        self.target = None
        self.outbound.note_result(self, target, result)
        if result.outcome is Outcome.ANSWERED:
            self._on_answer(result.response, result.reason)
        elif result.outcome is Outcome.BROKEN:
            self.runs += 1
            self.refused_by.add(target.target)
            self._retry_after_failure(result.reason)
        else:
            self._on_refusal(target, result)

    def _on_answer(self, response: Response, reason: str) -> None:
        self.runs += 1
        if self.outbound.dialect.verdict(response) is Verdict.FAILED:
            self.failed = response
            self._retry_after_failure(reason)
            return
        self.outbound.note_completed(self.exchange.request)
        self._answer(response, reason)

    def _on_refusal(self, target: Target, result: HopResult) -> None:
        """Try another target: the request has not run."""
        self.refused_by.add(target.target)
        self.refusals += 1
        self.reason = result.reason
        if result.report is not None:
            self.retry_after = max(self.retry_after, result.report.retry_after_ms * MILLISECOND)
        arrived = result.outcome is Outcome.REJECTED
        if self.refusals > MAX_REFUSALS or not self._has_time():
            self._give_up(result.reason)
        elif arrived and not self.outbound.budget.withdraw(self.service):
            self._give_up("retry-budget")
        else:
            self.send()

    def _retry_after_failure(self, reason: str) -> None:
        """Send the request again if it may run twice and the budget allows it."""
        allowed = (
            self.route.idempotent
            and self.runs < self.route.max_attempts
            and self._has_time()
            and self.outbound.has_other(self)
            and self.outbound.budget.withdraw(self.service)
        )
        if allowed:
            self.send()
        else:
            self._give_up(reason)

    def _watch_silence(self, target: Target) -> None:
        """Have the node asked whether it is there once its response is overdue."""
        if target.node == self.outbound.node:
            return
        expected = self.outbound.chooser.expected_time(target.target, self.route.name)
        overdue = max(MIN_OVERDUE, expected * OVERDUE_FACTOR)
        self.silence_timer = hubs.get_hub().schedule_call_global(
            overdue.total_seconds(), self.outbound.suspect, target.node
        )

    def _stop_watching(self) -> None:
        if self.silence_timer is not None:
            self.silence_timer.cancel()
            self.silence_timer = None

    def _has_time(self) -> bool:
        left = self.deadline_at - self.outbound.clock.monotonic()
        return left > self.route.objective * MIN_RETRY_SHARE

    def _give_up(self, reason: str) -> None:
        if self.failed is not None:
            self._answer(self.failed, reason)
        elif self.runs:
            self._respond(self.outbound.dialect.refusal(502), reason)
        else:
            self._respond(
                self.outbound.dialect.refusal(503, retry_after=self._return_after()), reason
            )

    def _return_after(self) -> timedelta:
        """Return when the caller should come back, spread so that callers do not return at once."""
        wait = max(MIN_RETRY_AFTER, self.retry_after or NO_TARGET_RETRY_AFTER)
        wait *= 1.0 + RETRY_AFTER_SPREAD * self.outbound.rng.random()
        left = self.caller_deadline_at - self.outbound.clock.monotonic()
        return min(wait, max(MIN_RETRY_AFTER, left * RETRY_AFTER_SHARE))

    def _answer(self, response: Response, reason: str) -> None:
        kept = end_to_end(response.headers, without=HOP_HEADERS)
        final = Response(response.status, kept, response.body, response.reason)
        self._respond(
            self.outbound.dialect.to_caller(final, idempotent=self.route.idempotent), reason
        )

    def _on_deadline(self) -> None:
        if self.done:
            return
        pending = self.pending
        if self.target is not None:
            self.outbound.chooser.finished(self.target.target, self.route.name, None)
        response = self.failed or self.outbound.dialect.refusal(504)
        self._respond(response, "deadline")
        if pending is not None:
            pending.cancel()

    def _respond(self, response: Response, reason: str) -> None:
        self._end()
        self.exchange.respond(response)
        self._log("answered", reason, response.status)

    def _end(self) -> None:
        self.done = True
        self.timer.cancel()
        self._stop_watching()
        self.outbound.active.discard(self)

    def _log(self, outcome: str, reason: str, status: int) -> None:
        now = self.outbound.clock.monotonic()
        took = now - self.exchange.received_at
        self.outbound.observe(self.route, status, took)
        log_event(
            "caller_request",
            request=self.outbound.dialect.request_id(self.exchange.request.headers).decode(
                "latin-1"
            ),
            route=self.route.name,
            priority=self.route.priority,
            peer=self.exchange.connection.peer,
            service=self.service,
            config=self.outbound.config_version(),
            outcome=outcome,
            reason=reason,
            status=status,
            took_ms=int(took / MILLISECOND),
            left_ms=int((self.deadline_at - now) / MILLISECOND),
            runs=self.runs,
            refusals=self.refusals,
            target=self.last_target,
            load_age_ms=-1 if self.load_age is None else int(self.load_age / MILLISECOND),
        )


class Outbound(ExchangeHandler):
    """Routes the requests of callers on this host.

    :ivar suspect: told of a node whose response is overdue
    :ivar closed: whether new requests are refused, since the process ends soon
    :param caller: returns the service of the target beside this node
    :param on_version: told the configuration version in force at a node that answered
    :param observe: counts a finished request
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        directory: Directory,
        chooser: CompletionChooser,
        shares: VersionShares,
        budget: RetryBudget,
        guard: CrashGuard,
        pool: ConnectionPool,
        inbound: Inbound,
        node: Address,
        caller: Callable[[], str],
        on_version: Callable[[Address, int], None],
        observe: Callable[[Route, int, timedelta], None],
    ):
        self.clock = clock
        self.rng = rng
        self.dialect = dialect
        self.directory = directory
        self.chooser = chooser
        self.shares = shares
        self.budget = budget
        self.guard = guard
        self.pool = pool
        self.inbound = inbound
        self.node = node
        self.caller = caller
        self.on_version = on_version
        self.observe = observe
        self.config: MeshConfig | None = None
        self.closed = False
        self.room = RoomMemory(clock=clock)
        self.suspect: Callable[[Address], None] = lambda _node: None
        self.active: set[Forwarding] = set()

    def config_version(self) -> int:
        """Return the version in force, 0 if none is known."""
        return self.config.version if self.config is not None else 0

    def handle(self, exchange: Exchange) -> None:
        """Route a request and send it to a target."""
        if self.config is None:
            self._reject(exchange, 503, "no-configuration")
            return
        if self.closed:
            self._reject(exchange, 503, "shutting-down")
            return
        request = exchange.request
        host = request.header(b"host")
        if host is None:
            self._reject(exchange, 400, "no-host")
            return
        path = request.target.partition(b"?")[0].decode("latin-1")
        name = host.decode("latin-1").partition(":")[0]
        route = self.config.routes.match(name, path)
        if route is None:
            self._reject(exchange, 404, "no-route")
            return
        if self._is_quarantined(request):
            self._reject(exchange, 503, "crashes-targets")
            return
        forwarding = Forwarding(
            outbound=self, exchange=exchange, route=route, service=self._pick_service(route)
        )
        self.active.add(forwarding)
        self.budget.deposit(forwarding.service)
        forwarding.send()

    def on_lost(self, node: Address) -> None:
        """Send the requests that wait for a silent node elsewhere."""
        for forwarding in list(self.active):
            if forwarding.target is not None and forwarding.target.node == node:
                forwarding.on_silence()

    def choose(self, forwarding: Forwarding) -> Target | None:
        """Return the best target that has not been tried."""
        route = forwarding.route
        versions = self.directory.versions(forwarding.service)
        usable = {
            version: left
            for version, targets in versions.items()
            if (left := [item for item in targets if item.target not in forwarding.refused_by])
        }
        version = self.shares.pick(forwarding.service, usable)
        if version is None:
            return None
        pause = FULL_RETRY_PAUSE if forwarding.refusals else FULL_PAUSE
        candidates = self.room.with_room(usable[version], route.name, pause)
        if not candidates:
            forwarding.reason = str(Refusal.OVERLOADED)
            forwarding.retry_after = self.room.retry_after(usable[version], route.name)
            return None
        return self.chooser.choose(candidates, route=route.name, objective=route.objective)

    def has_other(self, forwarding: Forwarding) -> bool:
        """Tell whether a target is left that has not been tried."""
        return self.choose(forwarding) is not None

    def dispatch(self, forwarding: Forwarding, target: Target) -> Call | Submission:
        """Send a request to the node beside the target."""
        now = self.clock.monotonic()
        route = forwarding.route
        terms = HopTerms(
            route=route.name,
            target=target.target,
            caller=self.caller(),
            idempotent=route.idempotent,
            urgency=route.priority,
            objective_ms=int((forwarding.objective_at - now) / MILLISECOND),
            deadline_ms=int((forwarding.deadline_at - now) / MILLISECOND),
        )
        request = forwarding.exchange.request
        if target.node == self.node:
            return self.inbound.submit(request, terms, forwarding.on_result)
        headers = (*end_to_end(request.headers, without=HOP_HEADERS), encode_terms(terms))
        return self.pool.call(
            target.node,
            encode_request(request.method, request.target, headers, request.body),
            timeout=forwarding.deadline_at - now + timedelta(seconds=1),
            on_done=lambda result: forwarding.on_result(_to_hop_result(result)),
            head=request.method == b"HEAD",
        )

    def note_result(self, forwarding: Forwarding, target: Target, result: HopResult) -> None:
        """Take in what a result says about the target and the node beside it."""
        report = result.report
        load = report.load() if report is not None else None
        self.chooser.finished(target.target, forwarding.route.name, load)
        if result.unreachable:
            self.directory.unreachable(target.node, result.reason)
        elif target.node != self.node:
            self.directory.reached(target.node)
        if report is not None:
            pause = REFUSAL_PAUSE.get(report.reason)
            if report.reason == Refusal.OVERLOADED:
                after = report.retry_after_ms * MILLISECOND
                self.room.note_full(target.target, forwarding.route.name, after)
            if report.outcome is Outcome.REFUSED and pause is not None:
                self.directory.pause_target(target.target, pause)
            self.on_version(target.node, report.config_version)

    def note_completed(self, request: Request) -> None:
        """Clear a request of the suspicion that it crashes targets: one ran it to its end."""
        if self.guard.suspects:
            self.guard.completed(request_fingerprint(request, self.caller()))

    def _is_quarantined(self, request: Request) -> bool:
        """Tell whether a request crashed the targets that ran it."""
        if not self.guard.suspects:
            return False
        return self.guard.check(request_fingerprint(request, self.caller())) is not None

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        point = self.rng.random() * sum(share.weight for share in route.shares)
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service

    def _reject(self, exchange: Exchange, status: int, reason: str) -> None:
        retry_after = NO_TARGET_RETRY_AFTER if status == 503 else None
        exchange.respond(self.dialect.refusal(status, retry_after=retry_after))
        log_event(
            "caller_request_rejected",
            request=self.dialect.request_id(exchange.request.headers).decode("latin-1"),
            status=status,
            reason=reason,
            config=self.config_version(),
        )


def _to_hop_result(result: CallResult) -> HopResult:
    """Convert the end of a call to another node."""
    if result.response is None:
        reason = str(result.failure.value)
        if not result.sent:
            return HopResult(Outcome.REFUSED, reason, None, None, unreachable=True)
        return HopResult(Outcome.BROKEN, reason, None, None, unreachable=True)
    report = decode_report(result.response.headers)
    if report is None:
        return HopResult(Outcome.BROKEN, "no-report", None, None)
    answered = report.outcome in (Outcome.ANSWERED, Outcome.REJECTED)
    return HopResult(report.outcome, report.reason, result.response if answered else None, report)
