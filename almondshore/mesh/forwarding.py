"""Forwarding of one caller's request: attempts, retries, refusals and deadline."""

from datetime import timedelta
from typing import TYPE_CHECKING

from eventlet import hubs
from eventlet.hubs.timer import Timer

from almondshore.core.logs import log_event
from almondshore.http.client import Call
from almondshore.http.messages import Response, end_to_end
from almondshore.http.server import Exchange
from almondshore.limits.objective import Refusal
from almondshore.mesh.dialect import ResponseClass
from almondshore.mesh.hop import HOP_HEADERS, MILLISECOND, HopResult, Outcome, UnavailableReason
from almondshore.mesh.model import Address, Route, Target
from almondshore.mesh.submission import Submission
from almondshore.placement.cost import Features
from almondshore.retries.retry_after import MIN_RETRY_AFTER, retry_after
from almondshore.tenants.table import Tenant
from almondshore.transfers.sending import TransferSend

if TYPE_CHECKING:
    from almondshore.mesh.outbound import Outbound

ZERO = timedelta()
# Requests end this long before the caller's deadline, so that the response arrives in time.
CALLER_MARGIN = timedelta(milliseconds=15)
# A request that has been refused more than this number of times is refused to the caller.
MAX_REFUSALS = 3
# A request is retried only if this share of the objective is left before the deadline.
MIN_RETRY_SHARE = 0.15
# Reason of a refusal after a target's own one: another target was not tried for want of budget.
RETRY_BUDGET = "retry-budget"
# Reasons for which a request may be served as soon as it returns.
LOAD_REASONS = frozenset((Refusal.OVERLOADED, Refusal.TOO_LATE, Refusal.RATE_LIMITED, RETRY_BUDGET))
# A response is overdue after this multiple of its expected time, but not before MIN_OVERDUE.
# Service times vary by a factor of two around the expected one.
OVERDUE_FACTOR = 2.5
MIN_OVERDUE = timedelta(milliseconds=150)
# Priorities of routes that are told apart within one priority of tenants.
ROUTE_PRIORITIES = 16
DEFAULT_DEADLINE = timedelta(seconds=30)


class Attempt:
    """One attempt to have a request run by a target.

    :ivar pending: call or submission that the attempt waits for, None until it has been sent
    :ivar suspected: whether the target's node has not responded to a probe since it was sent
    :ivar overdue_timer: fires when the response becomes overdue
    """

    def __init__(self, target: Target):
        self.target = target
        self.pending: Call | Submission | TransferSend | None = None
        self.overdue_timer: Timer | None = None
        self.suspected = False

    def is_asking(self) -> bool:
        """Return whether the node was only asked for its consent to a body."""
        return isinstance(self.pending, TransferSend) and self.pending.asking


class ForwardedRequest:
    """A caller's request, from its arrival to its response.

    :ivar excluded_targets: targets that refused the request or whose connection was lost
    :ivar failed_targets: targets that answered with a failure; they are tried again last
    :ivar runs: number of attempts that a target ran or may have run
    :ivar refusals: number of attempts that were refused
    :ivar failed_response: last response with a failure, returned if no attempt succeeds
    :ivar load_age: age of the load report by which the last target was chosen
    :ivar tenant: tenant of the caller's key, None without one
    :ivar taken_at: monotonic time at which a token of its quota was taken
    :ivar features: what predicts the cost of the request
    """

    def __init__(
        self,
        *,
        outbound: "Outbound",
        exchange: Exchange,
        route: Route,
        service: str,
        tenant: Tenant | None = None,
        taken_at: timedelta = ZERO,
    ):
        self.outbound = outbound
        self.exchange = exchange
        self.route = route
        self.features = Features(
            route.name,
            exchange.request.target.partition(b"?")[0],
            tenant.name if tenant is not None else "",
            len(exchange.request.body),
        )
        self.service = service
        self.tenant = tenant
        self.taken_at = taken_at
        time_left = outbound.dialect.time_left(exchange.request)
        now = exchange.received_at
        caller_time_left = DEFAULT_DEADLINE if time_left is None else time_left
        self.deadline_at = now + min(caller_time_left - CALLER_MARGIN, route.timeout)
        self.caller_deadline_at = now + caller_time_left
        self.objective_at = now + route.objective
        if time_left is not None:
            # The objective counts from the caller's first attempt.
            self.objective_at -= outbound.elapsed.observe(route.name, time_left)
        self.excluded_targets: set[str] = set()
        self.failed_targets: set[str] = set()
        self.runs = 0
        self.refusals = 0
        self.attempts: list[Attempt] = []
        self.failed_response: Response | None = None
        self.retry_after = ZERO
        self.reason = ""
        self.last_target = ""
        self.last_zone = ""
        self.load_age: timedelta | None = None
        self.done = False
        self.timer = hubs.get_hub().schedule_call_global(
            max(0.0, (self.deadline_at - now).total_seconds()), self._on_deadline
        )
        exchange.on_cancel = self.cancel

    @property
    def urgency(self) -> int:
        """Return the rank among requests for the same target; 0 is the most urgent.

        It is the route's priority. Where requests have tenants, the tenant's priority goes before
        it, and requests of equally urgent tenants are ranked by their routes.
        """
        priority = self.route.priority
        if self.outbound.config.tenants is None:
            return priority
        first = priority
        if self.tenant is not None and self.tenant.priority is not None:
            first = self.tenant.priority
        return first * ROUTE_PRIORITIES + min(priority, ROUTE_PRIORITIES - 1)

    def send(self) -> None:
        """Send the request to the best remaining target, or fail it if there is none.

        It fails as well while the targets refuse most of these requests.
        """
        if not self.refusals and not self.outbound.allows_attempt(self):
            self._fail(Refusal.OVERLOADED)
            return
        target = self.outbound.choose(self)
        if target is None:
            self._fail(self.reason or UnavailableReason.NO_TARGET)
            return
        self._send_to(target)

    def cancel(self) -> None:
        """Cancel all attempts after the caller has disconnected."""
        if self.done:
            return
        self._finish()
        self._log("cancelled", "caller-left", 0)

    def on_node_unresponsive(self, node: Address) -> None:
        """Send the request to another target if a node that it was sent to does not respond.

        The attempt at that node ends only when the node is reported again: on a busy link, probes
        are late as well. A request that is not idempotent keeps waiting, since the node may have
        forwarded it, unless the node has only been asked for its consent.
        """
        if self.done:
            return
        for attempt in [item for item in self.attempts if item.target.node == node]:
            if attempt.is_asking():
                attempt.pending.cancel()
                self.on_result(
                    attempt, HopResult(Outcome.REFUSED, "silent", None, None, unreachable=True)
                )
                return
            if not self.route.idempotent or attempt.pending.is_receiving():
                continue
            if not attempt.suspected:
                attempt.suspected = True
                self._hedge(attempt, self.outbound.choose(self, untried=True), "silent")
                continue
            attempt.pending.cancel()
            self.on_result(
                attempt, HopResult(Outcome.BROKEN, "silent", None, None, unreachable=True)
            )

    def on_overdue(self, attempt: Attempt) -> None:
        """Hedge an idempotent request: send it to a second target that has a free slot.

        The first successful response is returned. The second attempt uses the retry budget. While
        a response is arriving, the target has done its work, and a second one would only compete
        for the links.
        """
        if self.done or attempt not in self.attempts:
            return
        if attempt.pending.is_receiving():
            self._start_overdue_timer(attempt)
            return
        if attempt.target.node != self.outbound.node:
            self.outbound.suspect(attempt.target.node)
        self._hedge(attempt, self.outbound.choose_idle(self), "overdue")

    def _hedge(self, attempt: Attempt, target: Target | None, reason: str) -> None:
        """Send the request to a second target as well, if the retry budget allows it.

        :param target: the second target, None if there is none
        """
        if target is None or not self._may_retry():
            return
        if not self.outbound.budget.withdraw(self.service):
            return
        now = self.outbound.clock.monotonic()
        log_event(
            "request_repeated",
            request=self._request_id(),
            route=self.route.name,
            reason=reason,
            overdue_target=attempt.target.target,
            target=target.target,
            took_ms=int((now - self.exchange.received_at) / MILLISECOND),
        )
        self._send_to(target)

    def on_result(self, attempt: Attempt, result: HopResult) -> None:
        """Handle the result of an attempt: respond to the caller or retry."""
        if self.done:
            return
        self._cancel_overdue_timer(attempt)
        self.attempts.remove(attempt)
        target = attempt.target
        is_first = not self.refusals and not self.runs
        self.outbound.record_result(self, target, result, is_first=is_first)
        if result.outcome is Outcome.ANSWERED:
            self._on_response(target, result.response, result.reason)
        elif result.outcome is Outcome.BROKEN:
            self.runs += 1
            self.excluded_targets.add(target.target)
            self._retry_after_failure(result.reason)
        else:
            self._on_refusal(target, result)

    def _send_to(self, target: Target) -> None:
        attempt = Attempt(target)
        self.attempts.append(attempt)
        self.last_target = target.target
        self.last_zone = target.zone
        self.load_age = self.outbound.chooser.report_age(target.target)
        self.outbound.chooser.started(target.target, self.features)
        pending = self.outbound.dispatch(
            self, target, lambda result: self.on_result(attempt, result)
        )
        # The result may have been delivered before dispatch() returned.
        if not self.done and attempt in self.attempts:
            attempt.pending = pending
            self._start_overdue_timer(attempt)

    def _on_response(self, target: Target, response: Response, reason: str) -> None:
        self.runs += 1
        if self.outbound.dialect.classify_response(response) is ResponseClass.FAILED:
            self.failed_response = response
            self.failed_targets.add(target.target)
            self._retry_after_failure(reason)
            return
        self.outbound.record_completion(self.exchange.request)
        self.outbound.chooser.record_size(self.route.name, len(response.body))
        self._return_response(response, reason)

    def _on_refusal(self, target: Target, result: HopResult) -> None:
        """Try another target after one has refused the request, or fail the request."""
        self.excluded_targets.add(target.target)
        self.refusals += 1
        self.reason = result.reason
        if result.report is not None:
            self.retry_after = max(self.retry_after, result.report.retry_after_ms * MILLISECOND)
        if self.attempts:
            return
        reached_target = result.outcome is Outcome.REJECTED
        hopeless = result.reason in LOAD_REASONS and not self.outbound.allows_attempt(self)
        if self.refusals > MAX_REFUSALS or hopeless or not self._has_time_to_retry():
            self._fail(result.reason)
        elif reached_target and not self.outbound.budget.withdraw(self.service):
            # The target turned away a part of its requests; the next attempt may well succeed.
            self.retry_after = MIN_RETRY_AFTER
            self._fail(RETRY_BUDGET)
        else:
            self.send()

    def _retry_after_failure(self, reason: str) -> None:
        """Retry the request if it is idempotent and the retry budget allows it."""
        if self.attempts:
            return
        target = self.outbound.choose(self) if self._may_retry() else None
        if target is not None and self.outbound.budget.withdraw(self.service):
            self._send_to(target)
        else:
            self._fail(reason)

    def _may_retry(self) -> bool:
        return (
            self.route.idempotent
            and self.runs + len(self.attempts) < self.route.max_attempts
            and self._has_time_to_retry()
        )

    def _start_overdue_timer(self, attempt: Attempt) -> None:
        expected = self.outbound.chooser.expected_time(
            attempt.target.target, self.route.name, self.features
        )
        overdue = max(MIN_OVERDUE, expected * OVERDUE_FACTOR)
        attempt.overdue_timer = hubs.get_hub().schedule_call_global(
            overdue.total_seconds(), self.on_overdue, attempt
        )

    @staticmethod
    def _cancel_overdue_timer(attempt: Attempt) -> None:
        if attempt.overdue_timer is not None:
            attempt.overdue_timer.cancel()

    def _has_time_to_retry(self) -> bool:
        time_left = self.deadline_at - self.outbound.clock.monotonic()
        return time_left > self.route.objective * MIN_RETRY_SHARE

    def _fail(self, reason: str) -> None:
        if self.failed_response is not None:
            self._return_response(self.failed_response, reason)
        elif self.runs:
            self._respond(self.outbound.dialect.error_response(502), reason)
        else:
            self._return_token()
            self._respond(
                self.outbound.dialect.error_response(
                    503, retry_after=self._retry_after_delay(reason)
                ),
                reason,
            )

    def _return_token(self) -> None:
        """Return the token of a request that has not run to its tenant's quota."""
        if self.tenant is not None and self.tenant.rate_per_s:
            self.outbound.quota.give_back(self.tenant, self.taken_at)

    def _retry_after_delay(self, reason: str) -> timedelta:
        """Return the time, with jitter, after which the caller should retry."""
        now = self.outbound.clock.monotonic()
        expected = self.outbound.chooser.expected_time(
            self.last_target, self.route.name, self.features
        )
        return retry_after(
            rng=self.outbound.rng,
            stated=self.retry_after,
            slack=self.objective_at - now - expected if reason in LOAD_REASONS else None,
            time_left=self.caller_deadline_at - now,
        )

    def _return_response(self, response: Response, reason: str) -> None:
        headers = end_to_end(response.headers, without=HOP_HEADERS)
        final = Response(response.status, headers, response.body, response.reason)
        self._respond(
            self.outbound.dialect.to_caller(final, idempotent=self.route.idempotent), reason
        )

    def _on_deadline(self) -> None:
        if self.done:
            return
        response = self.failed_response or self.outbound.dialect.error_response(504)
        self._respond(response, "deadline")

    def _respond(self, response: Response, reason: str) -> None:
        self._finish()
        self.exchange.respond(response)
        self._log("answered", reason, response.status)

    def _finish(self) -> None:
        """End the request: cancel its deadline timer and the pending attempts."""
        self.done = True
        self.timer.cancel()
        self.outbound.active.discard(self)
        for attempt in self.attempts:
            self._cancel_overdue_timer(attempt)
            attempt.pending.cancel()
            self.outbound.chooser.finished(attempt.target.target, self.route.name, None)
        self.attempts.clear()

    def _request_id(self) -> str:
        headers = self.exchange.request.headers
        return self.outbound.dialect.request_id(headers).decode("latin-1")

    def _log(self, outcome: str, reason: str, status: int) -> None:
        now = self.outbound.clock.monotonic()
        took = now - self.exchange.received_at
        self.outbound.observe(self.route, status, took)
        log_event(
            "caller_request",
            request=self._request_id(),
            route=self.route.name,
            priority=self.urgency,
            **({"tenant": self.tenant.name} if self.tenant is not None else {}),
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
            target_zone=self.last_zone,
            load_age_ms=-1 if self.load_age is None else int(self.load_age / MILLISECOND),
        )
