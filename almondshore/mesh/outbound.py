"""Requests that originate on this host: routing, choice of a target and sending."""

import random
from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import Call, CallFailure, CallResult, ConnectionPool
from almondshore.http.messages import Headers, Request, encode_request_head, end_to_end
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.limits.elapsed import ElapsedEstimator
from almondshore.limits.objective import Refusal
from almondshore.limits.throttle import SendThrottle, ThrottleKey
from almondshore.mesh.crashes import request_fingerprint
from almondshore.mesh.dialect import Dialect
from almondshore.mesh.directory import Directory
from almondshore.mesh.forwarding import ForwardedRequest
from almondshore.mesh.hop import (
    BODY_SIZE_HEADER,
    HOP_HEADERS,
    MILLISECOND,
    REPORT_HEADER,
    TRANSFER_HEADER,
    TRANSFERS_PATH,
    HopResult,
    HopTerms,
    Outcome,
    UnavailableReason,
    decode_report,
    encode_terms,
)
from almondshore.mesh.inbound import Inbound
from almondshore.mesh.model import Address, MeshConfig, Route, RouteKind, Target
from almondshore.mesh.overload import OverloadRefusals
from almondshore.mesh.submission import Submission
from almondshore.mesh.versions import VersionShares
from almondshore.placement.evacuation import ZONE_EVACUATED
from almondshore.quotas.port import Granted, Limited, QuotaClient, UnlimitedQuota
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import CrashGuard
from almondshore.retries.retry_after import NO_TARGET_RETRY_AFTER
from almondshore.routing.completion import CompletionChooser
from almondshore.routing.weights import pick_weighted
from almondshore.tenants.access import Denied, decide_access
from almondshore.tenants.table import Tenant
from almondshore.transfers.sending import TransferSend

# A target that refused a route as overloaded gets no requests of that route for this long: the
# first time applies to new requests, the second to requests that were already refused once. With
# about 10 slots and 200 ms per request a slot becomes free every 20 ms, and other nodes compete.
OVERLOAD_PAUSE = timedelta(milliseconds=50)
OVERLOAD_RETRY_PAUSE = timedelta(milliseconds=250)
# How long a target gets no requests after it refused one for a reason other than load.
REFUSAL_PAUSES = {
    Refusal.DRAINING: timedelta(seconds=10),
    UnavailableReason.WRONG_TARGET: timedelta(seconds=2),
    UnavailableReason.NO_TARGET: timedelta(milliseconds=400),
    UnavailableReason.TARGET_DOWN: timedelta(milliseconds=300),
    UnavailableReason.VERSION_RETIRED: timedelta(seconds=2),
    UnavailableReason.SHUTTING_DOWN: timedelta(seconds=1),
    ZONE_EVACUATED: timedelta(seconds=1),
}


# Refusals that show that targets have no room for more of the same requests.
THROTTLING_REASONS = frozenset((Refusal.OVERLOADED, Refusal.TOO_LATE))
# Larger bodies are sent only with the consent of the receiving host: on a link of 5.5 Mbit/s, this
# size takes 24 ms.
LARGE_BODY_BYTES = 16 * 1024
# Statuses with which a node's HTTP server refuses a request that it has not handed on, for want of
# memory or connections or because the request is too large or arrives too slowly.
SERVER_REFUSALS = frozenset((408, 413, 431, 503))


class Outbound(ExchangeHandler):
    """Routes the requests of callers on this host.

    :param node: address of this node
    :param caller: returns the service of the local target
    :param on_version: called with the address of a node that responded and its configuration
        version
    :param observe: records the route, status and duration of a finished request
    :ivar suspect: called with the address of a node whose response is overdue
    :ivar closed: whether new requests are refused because the process is about to exit
    :ivar config_age: returns how long ago the configuration was known to be the newest
    :ivar quota: grants the requests of tenants
    :ivar is_evacuated: returns whether a zone's targets must get no more requests
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
        self.elapsed = ElapsedEstimator(clock=clock)
        self.overload_refusals = OverloadRefusals(clock=clock)
        self.throttle = SendThrottle(clock=clock, rng=rng)
        self.config_age: Callable[[], timedelta] = timedelta
        self.quota: QuotaClient = UnlimitedQuota()
        self.is_evacuated: Callable[[str], bool] = lambda _zone: False
        self.suspect: Callable[[Address], None] = lambda _node: None
        self.active: set[ForwardedRequest] = set()

    def config_version(self) -> int:
        """Return the configuration version in effect, 0 if none is known."""
        return self.config.version if self.config is not None else 0

    def handle(self, exchange: Exchange) -> None:
        """Route a request and send it to a target."""
        if self.config is None:
            self._reject(exchange, 503, "no-configuration")
            return
        if self.closed:
            self._reject(exchange, 503, UnavailableReason.SHUTTING_DOWN)
            return
        request = exchange.request
        host = request.header(b"host")
        if host is None:
            self._reject(exchange, 400, "no-host")
            return
        path = request.target.partition(b"?")[0].decode("latin-1")
        hostname = host.decode("latin-1").partition(":")[0]
        route = self.config.routes.match(hostname, path)
        if route is None:
            self._reject(exchange, 404, "no-route")
            return
        if self._is_quarantined(request):
            self._reject(exchange, 503, "crashes-targets")
            return
        if self.config.tenants is None:
            self._forward(exchange, route, None)
            return
        access = decide_access(
            self.config.tenants,
            self.dialect.keys(request.headers),
            public=route.public,
            config_age=self.config_age(),
        )
        if isinstance(access, Denied):
            self._reject(exchange, access.status, access.reason)
            return
        tenant = access.tenant
        if tenant is None or not tenant.rate_per_s:
            self._forward(exchange, route, tenant)
            return
        self.quota.take(tenant, lambda decision: self._on_quota(exchange, route, tenant, decision))

    def _on_quota(
        self, exchange: Exchange, route: Route, tenant: Tenant, decision: Granted | Limited
    ) -> None:
        if exchange.cancelled:
            if isinstance(decision, Granted):
                self.quota.give_back(tenant, self.clock.monotonic())
        elif isinstance(decision, Limited):
            self._reject(
                exchange, 429, "over-quota", tenant=tenant.name, retry_after=decision.retry_after
            )
        else:
            self._forward(exchange, route, tenant)

    def _forward(self, exchange: Exchange, route: Route, tenant: Tenant | None) -> None:
        forwarded = ForwardedRequest(
            outbound=self,
            exchange=exchange,
            route=route,
            service=pick_weighted(self.rng, route.shares),
            tenant=tenant,
            taken_at=self.clock.monotonic(),
        )
        self.active.add(forwarded)
        self.budget.deposit(forwarded.service)
        forwarded.send()

    def on_unresponsive(self, node: Address) -> None:
        """Retry the requests that wait for a node which does not respond."""
        for forwarded in list(self.active):
            forwarded.on_node_unresponsive(node)

    def choose(self, forwarded: ForwardedRequest, *, untried: bool = False) -> Target | None:
        """Return the best target that the request may be sent to, or None.

        :param untried: whether to leave out targets at which an attempt is pending
        """
        candidates = self._candidates(forwarded)
        if untried:
            candidates = self._without_pending(forwarded, candidates)
        others = [item for item in candidates if item.target not in forwarded.failed_targets]
        candidates = others or candidates
        route = forwarded.route
        return self.chooser.choose(
            candidates, route=route.name, objective=route.objective, features=forwarded.features
        )

    def choose_idle(self, forwarded: ForwardedRequest) -> Target | None:
        """Return the best target with a free slot to which no attempt is pending, or None."""
        candidates = self._without_pending(forwarded, self._candidates(forwarded))
        idle = [target for target in candidates if self.chooser.has_free_slot(target)]
        route = forwarded.route
        return self.chooser.choose(
            idle, route=route.name, objective=route.objective, features=forwarded.features
        )

    @staticmethod
    def _without_pending(forwarded: ForwardedRequest, targets: list[Target]) -> list[Target]:
        pending = {attempt.target.target for attempt in forwarded.attempts}
        return [target for target in targets if target.target not in pending]

    def _candidates(self, forwarded: ForwardedRequest) -> list[Target]:
        """Return the targets of one version that the request may be sent to.

        If they are all overloaded, the reason and retry time are set in the request.
        """
        route = forwarded.route
        versions = self.directory.versions(forwarded.service)
        usable = {
            version: remaining
            for version, targets in versions.items()
            if (
                remaining := [
                    item for item in targets if item.target not in forwarded.excluded_targets
                ]
            )
        }
        version = self.shares.pick(forwarded.service, usable)
        if version is None:
            if self._has_only_evacuated(forwarded.service):
                forwarded.reason = ZONE_EVACUATED
            return []
        # A refusal because of an evacuation says nothing about the load of the other zones.
        is_overload_retry = forwarded.refusals and forwarded.reason != ZONE_EVACUATED
        pause = OVERLOAD_RETRY_PAUSE if is_overload_retry else OVERLOAD_PAUSE
        candidates = self.overload_refusals.without_recent_refusal(
            usable[version], route.name, pause, forwarded.objective_at
        )
        if not candidates:
            forwarded.reason = str(self.overload_refusals.reason(usable[version]))
            forwarded.retry_after = self.overload_refusals.retry_after(usable[version], route.name)
        return candidates

    def _has_only_evacuated(self, service: str) -> bool:
        """Return whether a service has targets, but only in evacuated zones."""
        targets = self.directory.services.get(service, [])
        return bool(targets) and all(self.is_evacuated(target.zone) for target in targets)

    def _leave_out_zone(self, forwarded: ForwardedRequest, zone: str) -> None:
        """Send a request to other zones, if they have targets.

        The refusal came before the order to evacuate the zone; each of its targets would refuse.
        Only this request is concerned: a node that is cut off may keep to an order that has ended.
        """
        targets = self.directory.ready(forwarded.service)
        in_zone = {target.target for target in targets if target.zone == zone}
        if len(in_zone) < len(targets):
            forwarded.excluded_targets |= in_zone

    def dispatch(
        self, forwarded: ForwardedRequest, target: Target, on_result: Callable[[HopResult], None]
    ) -> Call | Submission | TransferSend:
        """Send a request to the target's node, or queue it if that is this node.

        A large body is sent once that node has agreed to it.
        """
        route = forwarded.route
        terms = self._terms(forwarded, target)
        request = forwarded.exchange.request
        if target.node == self.node:
            return self.inbound.submit(request, terms, on_result)
        headers = end_to_end(request.headers, without=HOP_HEADERS)
        if terms.tenant is not None:
            headers = self.dialect.without_keys(headers)

        def send(terms: HopTerms, *transfer: tuple[bytes, bytes]) -> Call:
            return self.pool.call(
                target.node,
                encode_request_head(
                    request.method,
                    request.target,
                    (*headers, encode_terms(terms), *transfer),
                    body_bytes=len(request.body),
                ),
                body=request.body,
                timeout=forwarded.deadline_at - self.clock.monotonic() + timedelta(seconds=1),
                on_done=lambda result: on_result(_to_hop_result(result)),
                head=request.method == b"HEAD",
            )

        if route.kind is not RouteKind.UPLOAD or len(request.body) < LARGE_BODY_BYTES:
            return send(terms)
        return self._ask_to_send(
            target,
            forwarded,
            (*headers, encode_terms(terms)),
            # The transfer may have waited for its turn, so that less time is left.
            lambda name: send(self._terms(forwarded, target), (TRANSFER_HEADER, name)),
            on_result,
        )

    def _terms(self, forwarded: ForwardedRequest, target: Target) -> HopTerms:
        """Return the terms of a request that is sent now."""
        now = self.clock.monotonic()
        route = forwarded.route
        return HopTerms(
            route=route.name,
            target=target.target,
            service=target.service,
            version=target.version,
            caller=self.caller(),
            idempotent=route.idempotent,
            urgency=forwarded.urgency,
            objective_ms=int((forwarded.objective_at - now) / MILLISECOND),
            deadline_ms=int((forwarded.deadline_at - now) / MILLISECOND),
            rate_limit=self.chooser.rate_limit(target.target),
            tenant=self._tenant_term(forwarded),
        )

    def _ask_to_send(
        self,
        target: Target,
        forwarded: ForwardedRequest,
        headers: Headers,
        send: Callable[[bytes], Call],
        on_result: Callable[[HopResult], None],
    ) -> TransferSend:
        """Ask a node whether a request may be sent to it with its body, and send it then."""
        pending = TransferSend(send=send, on_result=on_result)
        size = b"%d" % len(forwarded.exchange.request.body)

        def on_done(result: CallResult) -> None:
            response = result.response
            if response is not None and response.status == 200:
                pending.on_answer(response.header(TRANSFER_HEADER), _not_sent(result))
            else:
                pending.on_answer(None, _not_sent(result))

        pending.pending = self.pool.call(
            target.node,
            encode_request_head(
                b"GET", TRANSFERS_PATH, (*headers, (BODY_SIZE_HEADER, size)), body_bytes=0
            ),
            timeout=forwarded.deadline_at - self.clock.monotonic(),
            on_done=on_done,
        )
        return pending

    def _tenant_term(self, forwarded: ForwardedRequest) -> str | None:
        if forwarded.tenant is not None:
            return forwarded.tenant.name
        return None if self.config.tenants is None else ""

    def allows_attempt(self, forwarded: ForwardedRequest) -> bool:
        """Return whether a request may be sent to a target, or to a further one after a refusal.

        Only where large bodies are sent: their links and hosts suffer from attempts in vain.
        """
        if not self.config.has_uploads:
            return True
        key = self._throttle_key(forwarded)
        if forwarded.refusals:
            return self.throttle.allows_further_attempt(key)
        return self.throttle.allows(key)

    @staticmethod
    def _throttle_key(forwarded: ForwardedRequest) -> ThrottleKey:
        return ThrottleKey(forwarded.service, forwarded.route.name, forwarded.urgency)

    def record_result(
        self,
        forwarded: ForwardedRequest,
        target: Target,
        result: HopResult,
        *,
        is_first: bool = False,
    ) -> None:
        """Update the state of the target and its node from the result of an attempt.

        :param is_first: whether it is the first attempt of the request
        """
        report = result.report
        if is_first and self.config.has_uploads:
            refused = result.outcome is Outcome.REFUSED and result.reason in THROTTLING_REASONS
            self.throttle.record(self._throttle_key(forwarded), accepted=not refused)
        load = report.load() if report is not None else None
        self.chooser.finished(target.target, forwarded.route.name, load, forwarded.features)
        if result.unreachable:
            self.directory.mark_unreachable(target.node, result.reason)
        elif target.node != self.node:
            self.directory.mark_reachable(target.node)
        if report is not None:
            pause = REFUSAL_PAUSES.get(report.reason)
            retry_after = report.retry_after_ms * MILLISECOND
            if report.reason == Refusal.OVERLOADED:
                self.overload_refusals.record(
                    target.target, forwarded.route.name, retry_after, forwarded.objective_at
                )
            elif report.reason == Refusal.RATE_LIMITED:
                self.overload_refusals.record_rate_limit(target.target, retry_after)
            elif report.reason == ZONE_EVACUATED:
                self._leave_out_zone(forwarded, target.zone)
            if report.target_leaving:
                self.directory.mark_leaving(target)
            not_served = report.outcome in (Outcome.REFUSED, Outcome.BROKEN)
            if not_served and pause is not None:
                self.directory.pause_target(target.target, pause)
            self.on_version(target.node, report.config_version)

    def record_completion(self, request: Request) -> None:
        """Record in the crash guard that a target ran the request to completion."""
        self.guard.record_completion(request_fingerprint(request, self.caller()))

    def _is_quarantined(self, request: Request) -> bool:
        """Return whether a request is quarantined for crashing targets."""
        if not self.guard.suspects:
            return False
        return self.guard.check(request_fingerprint(request, self.caller())) is not None

    def _reject(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        *,
        tenant: str = "",
        retry_after: timedelta | None = None,
    ) -> None:
        if status == 503:
            retry_after = NO_TARGET_RETRY_AFTER
        exchange.respond(self.dialect.error_response(status, retry_after=retry_after))
        log_event(
            "caller_request_rejected",
            request=self.dialect.request_id(exchange.request.headers).decode("latin-1"),
            status=status,
            reason=reason,
            config=self.config_version(),
            **({"tenant": tenant} if tenant else {}),
        )


def _not_sent(result: CallResult) -> HopResult:
    """Convert the result of a question whether a request may be sent; the request has not run."""
    asked = _to_hop_result(result)
    return asked._replace(outcome=Outcome.REFUSED, response=None)


def _to_hop_result(result: CallResult) -> HopResult:
    """Convert the result of a call to another node."""
    if result.response is None:
        reason = str(result.failure.value)
        if not result.sent:
            unreachable = result.failure is not CallFailure.NO_DESCRIPTOR
            return HopResult(Outcome.REFUSED, reason, None, None, unreachable=unreachable)
        return HopResult(Outcome.BROKEN, reason, None, None, unreachable=True)
    report = decode_report(result.response.headers)
    if report is None:
        # A malformed report shows that the request was handled; it may be that of a broken run,
        # which has status 503.
        handled = result.response.header(REPORT_HEADER) is not None
        refused = result.response.status in SERVER_REFUSALS and not handled
        return HopResult(Outcome.REFUSED if refused else Outcome.BROKEN, "no-report", None, None)
    has_response = report.outcome in (Outcome.ANSWERED, Outcome.REJECTED)
    return HopResult(
        report.outcome, report.reason, result.response if has_response else None, report
    )
