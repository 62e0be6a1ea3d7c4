"""One caller's request on its way: sends, retries, refusal and deadline."""

from datetime import timedelta
from typing import TYPE_CHECKING

from eventlet import hubs

from almondshore.core.logs import log_event
from almondshore.http.client import Call
from almondshore.http.messages import Response, end_to_end
from almondshore.http.server import Exchange
from almondshore.mesh.dialect import Verdict
from almondshore.mesh.hop import HOP_HEADERS, MILLISECOND, HopResult, Obstacle, Outcome
from almondshore.mesh.inbound import Submission
from almondshore.mesh.model import Route, Target

if TYPE_CHECKING:
    from almondshore.mesh.outbound import Outbound

ZERO = timedelta()
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
DEFAULT_DEADLINE = timedelta(seconds=30)


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
            self._give_up(self.reason or Obstacle.NO_TARGET)
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
