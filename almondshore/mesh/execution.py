"""Execution of admitted requests by the local target, and detection of its crashes."""

from collections.abc import Callable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath
from almondshore.http.client import CallFailure, CallResult, ConnectionPool
from almondshore.http.messages import encode_request_head, end_to_end
from almondshore.mesh.crashes import DeathDetector, request_fingerprint
from almondshore.mesh.dialect import Dialect, ResponseClass
from almondshore.mesh.evidence import ResultRecorder
from almondshore.mesh.hop import HOP_HEADERS, MILLISECOND, Outcome, UnavailableReason
from almondshore.mesh.local import LocalTarget
from almondshore.mesh.model import Address
from almondshore.mesh.submission import Submission

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


class TargetExecutor:
    """Sends admitted requests to the local target and classifies their results.

    :param app: address of the local target
    :param on_end: called with a request that has ended, its outcome and reason, the response and
        the service time
    :param on_target_down: called when the target refuses connections
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
        on_end: Callable[..., None],
        on_target_down: Callable[[], None],
    ):
        self.clock = clock
        self.dialect = dialect
        self.pool = pool
        self.app = app
        self.local = local
        self.recorder = recorder
        self.on_end = on_end
        self.on_target_down = on_target_down
        self.death_detector = DeathDetector(clock=clock)
        self.check_scheduled = False

    def send(self, submission: Submission) -> None:
        """Send an admitted request to the target; ``on_end`` is called with its result."""
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

    def record_abandoned(self, submission: Submission) -> None:
        """Record a request that may still run at the target although nobody waits for it."""
        self.recorder.record_abandoned(
            submission,
            expected=submission.queue.times.observed(submission.hop_terms.route),
            warm=self.local.is_warm(),
        )

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
            self.record_abandoned(submission)
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
            self.on_target_down()
        succeeded = ran and ok
        # The slot is free before the report is made, which would count the request otherwise.
        submission.queue.release(submission, observed=succeeded)
        self.on_end(
            submission,
            outcome,
            reason,
            response=response,
            ran=took if succeeded else timedelta(),
        )

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
            self.on_target_down()

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
