"""Admission of requests for the local target."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import Request, Response, end_to_end
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.limits.objective import Refusal, Refused
from almondshore.mesh.dialect import Dialect
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.execution import TargetExecutor
from almondshore.mesh.hop import (
    HOP_HEADERS,
    MILLISECOND,
    HopReport,
    HopResult,
    HopTerms,
    Outcome,
    UnavailableReason,
    decode_terms,
    encode_report,
)
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.model import Address, Death
from almondshore.mesh.submission import Submission, queue_terms
from almondshore.placement.cost import Features
from almondshore.placement.evacuation import ZONE_EVACUATED
from almondshore.transfers.receiver import TransferReceiver

# After a failed connection to the target, requests are refused for this long or until its next
# announcement.
TARGET_DOWN_PAUSE = timedelta(milliseconds=300)


class Inbound(ExchangeHandler):
    """Admits requests to the target's slots and returns their results.

    :param app: address of the local target
    :param config_version: returns the version of the configuration in effect
    :param internal: handles requests of other nodes that are not meant for the target
    :ivar is_retired: returns whether a version of a service must get no more requests
    :ivar on_death: called when the target died while it ran requests
    :ivar leaving: whether other nodes are told to prefer other targets
    :ivar closed: whether new requests are refused because the process is about to exit
    :ivar is_evacuated: returns whether the target's zone is evacuated
    :ivar refusals: refused requests by reason
    :ivar executor: sends admitted requests to the target
    :ivar transfers: answers nodes that ask to send a large body
    """

    def __init__(
        self,
        *,
        clock: Clock,
        dialect: Dialect,
        pool: ConnectionPool,
        app: Address,
        local: LocalTarget,
        recorder: ResultRecorder,
        config_version: Callable[[], int],
        internal: ExchangeHandler,
    ):
        self.clock = clock
        self.dialect = dialect
        self.local = local
        self.recorder = recorder
        self.config_version = config_version
        self.internal = internal
        self.leaving = False
        self.closed = False
        self.is_retired: Callable[[str, str], bool] = lambda _service, _version: False
        self.is_evacuated: Callable[[], bool] = lambda: False
        self.refusals: Counter[str] = Counter()
        self.on_death: Callable[[Death], None] = lambda _death: None
        self.executor = TargetExecutor(
            clock=clock,
            dialect=dialect,
            pool=pool,
            app=app,
            local=local,
            recorder=recorder,
            on_end=self.finish,
            on_target_down=self._on_target_down,
        )
        self.active: set[Submission] = set()
        self.transfers = TransferReceiver(
            clock=clock,
            judge=self._judge_transfer,
            report=self._make_report,
            request_id=dialect.request_id,
        )
        self.transfers.on_refusal = self._count_refusal
        self.target_down_until = timedelta()

    def handle(self, exchange: Exchange) -> None:
        """Handle a request from another node."""
        terms = decode_terms(exchange.request)
        if terms is None:
            self.internal.handle(exchange)
            return
        if self.transfers.handle(exchange, terms):
            return
        self.transfers.arrived(exchange.request)
        submission = self.submit(
            exchange.request, terms, lambda result: exchange.respond(_to_response(result))
        )
        if exchange.response is None:
            exchange.on_cancel = submission.cancel

    def _judge_transfer(self, terms: HopTerms) -> timedelta | Refused:
        """Return the expected time of a request after its arrival, or why it would be refused."""
        reason = self._unavailable_reason(terms)
        if reason is not None:
            return Refused(reason, timedelta())
        queue = self.local.queue
        features = Features(terms.route, tenant=terms.tenant or "")
        offered = queue_terms(terms, self.clock.monotonic(), features)
        wait = queue.judge(offered)
        if isinstance(wait, Refused):
            # The request is not offered to the queue afterwards, which would count it.
            queue.shares.record_offer(offered.share())
            return wait
        return wait + queue.times.expected(Features(terms.route))

    def _count_refusal(self, reason: str) -> None:
        self.refusals[reason] += 1

    def submit(
        self, request: Request, terms: HopTerms, on_result: Callable[[HopResult], None]
    ) -> Submission:
        """Queue or refuse a request.

        :param on_result: called once with the result, possibly before this method returns
        """
        submission = Submission(inbound=self, request=request, terms=terms, on_result=on_result)
        self.active.add(submission)
        reason = self._unavailable_reason(terms)
        if reason is not None:
            self.finish(submission, Outcome.REFUSED, reason)
        else:
            if terms.rate_limit is not None:
                self.local.adopt_rate_limit(terms.target, terms.rate_limit)
            submission.target = self.local.announced.target
            submission.queue = self.local.queue
            submission.queue.offer(submission)
        return submission

    def cancel(self, submission: Submission) -> None:
        """Cancel a request whose caller has disconnected."""
        if submission.done:
            return
        submission.done = True
        submission.on_result = _ignore_result
        self.active.discard(submission)
        if submission.call is not None:
            submission.call.cancel()
            self.executor.record_abandoned(submission)
        queue = submission.queue
        if queue is not None and not queue.cancel(submission):
            queue.release(submission, observed=False)
        self._log(submission, "cancelled", "caller-left", 0, self._work_ms())

    def finish(
        self,
        submission: Submission,
        outcome: Outcome,
        reason: str,
        *,
        response: Response | None = None,
        retry_after: timedelta = timedelta(),
        ran: timedelta = timedelta(),
    ) -> None:
        """Log a request that has ended and deliver its result.

        :param ran: service time of a request that succeeded
        """
        if submission.done:
            return
        submission.done = True
        self.active.discard(submission)
        if outcome is Outcome.REFUSED:
            self.refusals[str(reason)] += 1
        report = self._make_report(submission.hop_terms, outcome, reason, retry_after, ran)
        status = response.status if response else 0
        self._log(submission, outcome, reason, status, report.work_ms)
        on_result, submission.on_result = submission.on_result, _ignore_result
        on_result(HopResult(outcome, reason, response, report))

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the requests that wait for a slot; running ones are completed."""
        for submission in list(self.active):
            if submission.queue is not None and submission.queue.cancel(submission):
                self.finish(submission, Outcome.REFUSED, reason)

    def _unavailable_reason(self, terms: HopTerms) -> str | None:
        """Return why a request cannot be admitted, or None."""
        if self.closed:
            return UnavailableReason.SHUTTING_DOWN
        if self.is_evacuated():
            return ZONE_EVACUATED
        if self.local.announced is None:
            return UnavailableReason.NO_TARGET
        announced = self.local.announced
        same_version = (announced.service, announced.version) == (terms.service, terms.version)
        if announced.target != terms.target and not same_version:
            return UnavailableReason.WRONG_TARGET
        if not self.local.accepts_requests():
            return Refusal.DRAINING
        if self.is_retired(announced.service, announced.version):
            return UnavailableReason.VERSION_RETIRED
        if self.clock.monotonic() < self.target_down_until:
            return UnavailableReason.TARGET_DOWN
        return None

    def report_death(self) -> None:
        """Report that the target died, if requests were running at it just before."""
        death = self.executor.death_detector.detect_death()
        if death is not None:
            self.on_death(death)

    def _on_target_down(self) -> None:
        self.local.warmup.on_refused_connection()
        self.target_down_until = self.clock.monotonic() + TARGET_DOWN_PAUSE
        self.report_death()

    def _make_report(
        self,
        terms: HopTerms,
        outcome: Outcome,
        reason: str,
        retry_after: timedelta,
        ran: timedelta = timedelta(),
    ) -> HopReport:
        queue = self.local.queue
        service_time = queue.times.expected(Features(terms.route)) if queue else timedelta()
        return HopReport(
            outcome=outcome,
            reason=reason,
            running=len(queue.running) if queue else 0,
            waiting=len(queue.waiting) if queue else 0,
            slots=queue.slots if queue else 0,
            service_ms=int(service_time / MILLISECOND),
            failure_rate=round(self.recorder.failure_rate(), 3),
            leaving=self.leaving or self.local.draining_since is not None,
            retry_after_ms=int(retry_after / MILLISECOND),
            config_version=self.config_version(),
            rate_limit=queue.rate_limit.effective_rate() if queue else None,
            rate_wait_ms=(
                int(queue.rate_limit.wait(len(queue.waiting)) / MILLISECOND) if queue else 0
            ),
            target_leaving=self.local.is_leaving(terms.target),
            work_ms=self._work_ms(),
            ran_ms=int(ran / MILLISECOND),
        )

    def _work_ms(self) -> int:
        queue = self.local.queue
        return int(queue.work_left() / MILLISECOND) if queue is not None else 0

    def _log(
        self, submission: Submission, outcome: str, reason: str, status: int, work_ms: int
    ) -> None:
        now = self.clock.monotonic()
        started = submission.started_at
        queue = self.local.queue
        log_event(
            "target_request",
            request=self.dialect.request_id(submission.request.headers).decode("latin-1"),
            route=submission.hop_terms.route,
            target=submission.target,
            outcome=outcome,
            reason=reason,
            status=status,
            waited_ms=int(((started or now) - submission.arrived_at) / MILLISECOND),
            ran_ms=int((now - started) / MILLISECOND) if started is not None else 0,
            cost_ms=(
                int(queue.times.expected(submission.terms.cost_features()) / MILLISECOND)
                if queue
                else 0
            ),
            work_ms=work_ms,
            left_ms=int((submission.terms.deadline_at - now) / MILLISECOND),
            running=len(queue.running) if queue else 0,
            waiting=len(queue.waiting) if queue else 0,
        )


def _ignore_result(_result: HopResult) -> None:
    """Do nothing; replaces a callback that refers to the request and would keep its memory."""


def _to_response(result: HopResult) -> Response:
    """Return the response for the node that sent the request."""
    header = encode_report(result.report)
    if result.response is None:
        return Response(503, (header,))
    headers = end_to_end(result.response.headers, without=HOP_HEADERS)
    return Response(
        result.response.status, (*headers, header), result.response.body, result.response.reason
    )
