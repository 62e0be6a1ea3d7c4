"""Outcomes of requests, and the failures reported to callers."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Outcome(StrEnum):
    """Whether a target has run the operation of a request."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request failed."""

    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    NO_TARGET = "no-target"
    TENANT_LIMITED = "tenant-limited"
    TENANT_TABLE_FULL = "tenant-table-full"
    CRASH_SUSPECTED = "crash-suspected"
    DEADLINE_PASSED = "deadline-passed"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    DUPLICATE_ID = "duplicate-request-id"
    HOP_UNREACHABLE = "hop-unreachable"
    HOP_LOST = "hop-lost"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_LOST = "target-lost"
    TARGET_TIMEOUT = "target-timeout"
    TRUNCATED = "response-truncated"
    MISMATCHED = "response-mismatched"
    KEY_REUSED = "key-reused"
    KEY_RUNNING = "key-running"
    KEY_UNKNOWN = "key-unknown"
    KEY_UNPROVEN = "key-unproven"
    KEY_TABLE_FULL = "key-table-full"
    RESPONSE_NOT_KEPT = "response-not-kept"
    INTERNAL = "internal-error"


class FailureProperties(NamedTuple):
    """Properties of all failures with the same reason.

    :ivar status: HTTP status of the response
    :ivar outcome: default outcome, used unless the hop that reports the failure sets another one
    :ivar retryable_elsewhere: whether the request may succeed at another target
    """

    status: int
    outcome: Outcome
    retryable_elsewhere: bool


FAILURE_PROPERTIES: dict[Reason, FailureProperties] = {
    Reason.BAD_REQUEST: FailureProperties(400, Outcome.NOT_RUN, False),
    Reason.NO_ROUTE: FailureProperties(404, Outcome.NOT_RUN, False),
    Reason.NOT_READY: FailureProperties(503, Outcome.NOT_RUN, False),
    Reason.NO_TARGET: FailureProperties(503, Outcome.NOT_RUN, False),
    Reason.TENANT_LIMITED: FailureProperties(429, Outcome.NOT_RUN, False),
    Reason.TENANT_TABLE_FULL: FailureProperties(429, Outcome.NOT_RUN, False),
    Reason.CRASH_SUSPECTED: FailureProperties(503, Outcome.NOT_RUN, False),
    Reason.DEADLINE_PASSED: FailureProperties(504, Outcome.NOT_RUN, False),
    Reason.OVERLOADED: FailureProperties(503, Outcome.NOT_RUN, True),
    Reason.DRAINING: FailureProperties(503, Outcome.NOT_RUN, True),
    Reason.DUPLICATE_ID: FailureProperties(400, Outcome.UNKNOWN, False),
    Reason.HOP_UNREACHABLE: FailureProperties(502, Outcome.NOT_RUN, True),
    Reason.HOP_LOST: FailureProperties(502, Outcome.UNKNOWN, True),
    Reason.TARGET_UNREACHABLE: FailureProperties(502, Outcome.NOT_RUN, True),
    Reason.TARGET_LOST: FailureProperties(502, Outcome.UNKNOWN, True),
    Reason.TARGET_TIMEOUT: FailureProperties(504, Outcome.UNKNOWN, True),
    Reason.TRUNCATED: FailureProperties(502, Outcome.RUN, True),
    Reason.MISMATCHED: FailureProperties(502, Outcome.UNKNOWN, True),
    Reason.KEY_REUSED: FailureProperties(422, Outcome.NOT_RUN, False),
    Reason.KEY_RUNNING: FailureProperties(409, Outcome.UNKNOWN, False),
    Reason.KEY_UNKNOWN: FailureProperties(409, Outcome.UNKNOWN, False),
    Reason.KEY_UNPROVEN: FailureProperties(503, Outcome.UNKNOWN, False),
    Reason.KEY_TABLE_FULL: FailureProperties(503, Outcome.UNKNOWN, False),
    Reason.RESPONSE_NOT_KEPT: FailureProperties(409, Outcome.RUN, False),
    Reason.INTERNAL: FailureProperties(500, Outcome.UNKNOWN, False),
}


class Failure(NamedTuple):
    """A failed request, with its outcome and the time after which a retry may succeed."""

    reason: Reason
    outcome: Outcome
    detail: str = ""
    retry_after: timedelta | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return FAILURE_PROPERTIES[self.reason].status


class FailureBody(TypedDict):
    """JSON body of an error response; ``retry_after_ms`` is null if the time is not known."""

    error: str
    outcome: str
    request_id: str
    detail: str
    retry_after_ms: int | None


def make_failure(
    reason: Reason,
    detail: str = "",
    *,
    outcome: Outcome | None = None,
    retry_after: timedelta | None = None,
) -> Failure:
    """Return a failure; its outcome is that of the reason unless one is given."""
    effective_outcome = FAILURE_PROPERTIES[reason].outcome if outcome is None else outcome
    return Failure(reason, effective_outcome, detail, retry_after)


def failure_body(failure: Failure, request_id: str) -> FailureBody:
    """Return the JSON body of the error response for a failure."""
    wait = failure.retry_after
    return FailureBody(
        error=failure.reason.value,
        outcome=failure.outcome.value,
        request_id=request_id,
        detail=failure.detail,
        retry_after_ms=None if wait is None else round(wait.total_seconds() * 1000),
    )
