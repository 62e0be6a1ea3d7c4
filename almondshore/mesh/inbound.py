"""Admission and forwarding of requests for the local target."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.logs import log_event
from almondshore.core.messages import CrashDeath
from almondshore.http.client import Call, CallFailure, CallResult, ConnectionPool
from almondshore.http.messages import Request, Response, encode_request_head, end_to_end
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.limits.objective import Job, ObjectiveQueue, Refusal, Refused, Terms
from almondshore.mesh.crashes import DeathDetector, request_fingerprint
from almondshore.mesh.dialect import Dialect, ResponseClass
from almondshore.mesh.evidence import ResultRecorder
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
from almondshore.placement.cost import Features
from almondshore.placement.evacuation import ZONE_EVACUATED
from almondshore.transfers.receiver import TransferReceiver

# Targets respond by the deadline they are given; the connection is closed this much later.
DEADLINE_SLACK = timedelta(milliseconds=100)
# A target may close an idle connection just as a request is sent on it. Requests that are not
# idempotent therefore use only connections that were in use within this time, or new ones.
FRESH_CONNECTION_MAX_IDLE = timedelta(milliseconds=300)
# A request on a connection that the target had already closed fails within this time.
STALE_CONNECTION_MAX_TIME = timedelta(milliseconds=30)
# Reason of a result whose response may belong to another request.
UNIDENTIFIED = "unidentified"
# A target that crashes closes its connections a little before it refuses new ones.
CRASH_CHECK_DELAY = timedelta(milliseconds=50)
# Ways in which a run ends when its target crashes.
CRASH_FAILURES = frozenset((CallFailure.CLOSED, CallFailure.TRUNCATED))
# After a failed connection to the target, requests are refused for this long or until its next
# announcement.
TARGET_DOWN_PAUSE = timedelta(milliseconds=300)


class Submission(Job):
    """A request for the local target, from its arrival to its result.

    :ivar target: identity of the target that runs it
    :ivar queue: queue of that target, None if the request was refused before it was queued
    :ivar resent: whether it was sent again after the target had closed an idle connection
    """

    def __init__(
        self,
        *,
        inbound: "Inbound",
        request: Request,
        terms: HopTerms,
        on_result: Callable[[HopResult], None],
    ):
        now = inbound.clock.monotonic()
        self.inbound = inbound
        self.request = request
        self.hop_terms = terms
        self.on_result = on_result
        features = Features(
            terms.route, request.target.partition(b"?")[0], terms.tenant or "", len(request.body)
        )
        self.terms = _queue_terms(terms, now, features)
        self.target = terms.target
        self.queue: ObjectiveQueue | None = None
        self.arrived_at = now
        self.started_at: timedelta | None = None
        self.call: Call | None = None
        self.done = False
        self.resent = False

    def start(self) -> None:
        """Send the request to the target."""
        self.started_at = self.inbound.clock.monotonic()
        self.inbound.send(self)

    def refuse(self, reason: Refusal, retry_after: timedelta) -> None:
        """Deliver a refusal: the queue will not start the request."""
        self.inbound.finish(self, Outcome.REFUSED, str(reason), retry_after=retry_after)

    def is_receiving(self) -> bool:
        """Return whether the target's response has been received in part."""
        return self.call is not None and self.call.is_receiving()

    def cancel(self) -> None:
        """Cancel the request after its caller has disconnected."""
        self.inbound.cancel(self)


class Inbound(ExchangeHandler):
    """Admits requests to the target's slots and forwards them to the target.

    :param app: address of the local target
    :param config_version: returns the version of the configuration in effect
    :param internal: handles requests of other nodes that are not meant for the target
    :ivar is_retired: returns whether a version of a service must get no more requests
    :ivar on_death: called when the target died while it ran requests
    :ivar leaving: whether other nodes are told to prefer other targets
    :ivar closed: whether new requests are refused because the process is about to exit
    :ivar is_evacuated: returns whether the target's zone is evacuated
    :ivar refusals: refused requests by reason
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
        self.pool = pool
        self.app = app
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
        self.death_detector = DeathDetector(clock=clock)
        self.active: set[Submission] = set()
        self.transfers = TransferReceiver(
            clock=clock,
            judge=self._judge_transfer,
            report=self._make_report,
            request_id=dialect.request_id,
        )
        self.transfers.on_refusal = self._count_refusal
        self.target_down_until = timedelta()
        self.check_scheduled = False

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
        queue_terms = _queue_terms(terms, self.clock.monotonic(), features)
        wait = queue.judge(queue_terms)
        if isinstance(wait, Refused):
            # The request is not offered to the queue afterwards, which would count it.
            queue.shares.record_offer(queue_terms.share())
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

    def send(self, submission: Submission) -> None:
        """Send an admitted request to the target."""
        self.recorder.record_sent(submission, submission.hop_terms.route)
        hop_terms = submission.hop_terms
        time_left = submission.terms.deadline_at - self.clock.monotonic()
        request = submission.request
        headers = self.dialect.to_target(
            end_to_end(request.headers, without=HOP_HEADERS),
            time_left=time_left,
            target=submission.target,
            caller=hop_terms.caller,
            tenant=hop_terms.tenant,
        )
        request_id = self.dialect.request_id(headers)
        needs_fresh_connection = not hop_terms.idempotent or submission.resent
        submission.call = self.pool.call(
            self.app,
            encode_request_head(
                request.method, request.target, headers, body_bytes=len(request.body)
            ),
            body=request.body,
            timeout=time_left + DEADLINE_SLACK,
            on_done=lambda result: self._on_done(submission, result),
            match=lambda response: self.dialect.match_response(response, request_id),
            max_idle_time=(
                (timedelta() if submission.resent else FRESH_CONNECTION_MAX_IDLE)
                if needs_fresh_connection
                else None
            ),
            head=request.method == b"HEAD",
        )

    def cancel(self, submission: Submission) -> None:
        """Cancel a request whose caller has disconnected."""
        if submission.done:
            return
        submission.done = True
        submission.on_result = _ignore_result
        self.active.discard(submission)
        if submission.call is not None:
            submission.call.cancel()
            self._record_abandoned(submission)
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

    def _on_done(self, submission: Submission, result: CallResult) -> None:
        if submission.done:
            return
        took = self.clock.monotonic() - submission.started_at
        if result.failure in CRASH_FAILURES:
            self.death_detector.record_broken_run(self._crash_record(submission, took))
            self._schedule_crash_check()
            self.local.warmup.on_broken_run(others=len(submission.queue.running) - 1)
        if self._is_stale_connection(submission, result, took):
            submission.resent = True
            submission.queue.rate_limit.record_start()
            self.send(submission)
            return
        outcome, reason, ok = self._classify_result(submission, result)
        response = result.response
        if response is not None:
            statement = self.dialect.read_statement(response)
            self.local.observe_statement(
                submission.target, statement, sent_at=submission.started_at
            )
        ran = outcome in (Outcome.ANSWERED, Outcome.BROKEN)
        if result.failure is CallFailure.TIMED_OUT:
            self._record_abandoned(submission)
        elif ran:
            self.recorder.record(
                submission,
                ok=ok,
                warm=self.local.is_warm(),
                broken=outcome is Outcome.BROKEN,
            )
        else:
            self.recorder.record_rejected(submission)
        if submission.resent and response is not None:
            self.death_detector.discard(self._fingerprint(submission))
        if reason == UnavailableReason.TARGET_DOWN:
            self._on_target_down()
        succeeded = ran and ok
        # The slot is free before the report is made, which would count the request otherwise.
        submission.queue.release(submission, observed=succeeded)
        self.finish(
            submission,
            outcome,
            reason,
            response=response,
            ran=took if succeeded else timedelta(),
        )

    def report_death(self) -> None:
        """Report that the target died, if requests were running at it just before."""
        death = self.death_detector.detect_death()
        if death is not None:
            self.on_death(death)

    def _on_target_down(self) -> None:
        self.local.warmup.on_refused_connection()
        self.target_down_until = self.clock.monotonic() + TARGET_DOWN_PAUSE
        self.report_death()

    def _schedule_crash_check(self) -> None:
        """Check soon whether the target refuses connections, even if no request follows."""
        if not self.check_scheduled:
            self.check_scheduled = True
            self.local.schedule(CRASH_CHECK_DELAY, self._check_for_crash)

    def _check_for_crash(self) -> None:
        self.check_scheduled = False
        if self.death_detector.suspects:
            self.pool.check(self.app, self._on_crash_check)

    def _on_crash_check(self, refused: bool) -> None:
        if refused:
            self._on_target_down()

    def _fingerprint(self, submission: Submission) -> int:
        return request_fingerprint(submission.request, submission.hop_terms.caller)

    def _crash_record(self, submission: Submission, took: timedelta) -> CrashDeath:
        ended_ms = int(self.clock.now().timestamp() * 1000)
        announced = self.local.announced
        return CrashDeath(
            fingerprint=self._fingerprint(submission),
            target=submission.target,
            incarnation=announced.born_ms if announced is not None else 0,
            started_ms=ended_ms - int(took / MILLISECOND),
            ended_ms=ended_ms,
        )

    def _is_stale_connection(
        self, submission: Submission, result: CallResult, took: timedelta
    ) -> bool:
        """Return whether the target may have closed an idle connection before the request arrived.

        It may as well have crashed when it began to run the request.
        """
        return (
            result.failure is CallFailure.CLOSED
            and result.reused
            and submission.hop_terms.idempotent
            and not submission.resent
            and took < STALE_CONNECTION_MAX_TIME
        )

    def _classify_result(
        self, submission: Submission, result: CallResult
    ) -> tuple[Outcome, str, bool]:
        """Return the outcome, the reason and whether the request succeeded."""
        if result.response is None:
            if not result.sent:
                # A request that was sent before on another connection may have run.
                outcome = Outcome.BROKEN if submission.resent else Outcome.REFUSED
                if result.failure is CallFailure.NO_DESCRIPTOR:
                    return outcome, UnavailableReason.NO_DESCRIPTOR, False
                return outcome, UnavailableReason.TARGET_DOWN, False
            return Outcome.BROKEN, str(result.failure.value), False
        if result.reused and not result.identified and not submission.hop_terms.idempotent:
            # It may be a copy of the response to an earlier request on the connection.
            return Outcome.BROKEN, UNIDENTIFIED, False
        response_class = self.dialect.classify_response(result.response)
        if response_class in (ResponseClass.NOT_RUN, ResponseClass.WRONG_TARGET):
            return Outcome.REJECTED, response_class.value, False
        return Outcome.ANSWERED, response_class.value, response_class is ResponseClass.SUCCEEDED

    def _record_abandoned(self, submission: Submission) -> None:
        self.recorder.record_abandoned(
            submission,
            expected=submission.queue.times.observed(submission.hop_terms.route),
            warm=self.local.is_warm(),
        )

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


def _queue_terms(terms: HopTerms, now: timedelta, features: Features | None = None) -> Terms:
    """Return the terms of a request for the queue of the target.

    :param now: monotonic time at which the request arrived
    """
    return Terms(
        terms.route,
        terms.urgency,
        now + terms.objective_ms * MILLISECOND,
        now + terms.deadline_ms * MILLISECOND,
        features,
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
