"""Outcomes of requests, and the failures that a caller is told of."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Outcome(StrEnum):
    """Whether the operation that a request asks for was run by a target."""

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


class FailureKind(NamedTuple):
    """What a reason means.

    :ivar status: HTTP status of the response
    :ivar outcome: outcome unless the hop that reports the failure knows better
    :ivar elsewhere: whether another target may succeed
    """

    status: int
    outcome: Outcome
    elsewhere: bool


KINDS: dict[Reason, FailureKind] = {
    Reason.BAD_REQUEST: FailureKind(400, Outcome.NOT_RUN, False),
    Reason.NO_ROUTE: FailureKind(404, Outcome.NOT_RUN, False),
    Reason.NOT_READY: FailureKind(503, Outcome.NOT_RUN, False),
    Reason.NO_TARGET: FailureKind(503, Outcome.NOT_RUN, False),
    Reason.TENANT_LIMITED: FailureKind(429, Outcome.NOT_RUN, False),
    Reason.TENANT_TABLE_FULL: FailureKind(429, Outcome.NOT_RUN, False),
    Reason.CRASH_SUSPECTED: FailureKind(503, Outcome.NOT_RUN, False),
    Reason.DEADLINE_PASSED: FailureKind(504, Outcome.NOT_RUN, False),
    Reason.OVERLOADED: FailureKind(503, Outcome.NOT_RUN, True),
    Reason.DRAINING: FailureKind(503, Outcome.NOT_RUN, True),
    Reason.DUPLICATE_ID: FailureKind(400, Outcome.UNKNOWN, False),
    Reason.HOP_UNREACHABLE: FailureKind(502, Outcome.NOT_RUN, True),
    Reason.HOP_LOST: FailureKind(502, Outcome.UNKNOWN, True),
    Reason.TARGET_UNREACHABLE: FailureKind(502, Outcome.NOT_RUN, True),
    Reason.TARGET_LOST: FailureKind(502, Outcome.UNKNOWN, True),
    Reason.TARGET_TIMEOUT: FailureKind(504, Outcome.UNKNOWN, True),
    Reason.TRUNCATED: FailureKind(502, Outcome.RUN, True),
    Reason.MISMATCHED: FailureKind(502, Outcome.UNKNOWN, True),
    Reason.KEY_REUSED: FailureKind(422, Outcome.NOT_RUN, False),
    Reason.KEY_RUNNING: FailureKind(409, Outcome.UNKNOWN, False),
    Reason.KEY_UNKNOWN: FailureKind(409, Outcome.UNKNOWN, False),
    Reason.KEY_UNPROVEN: FailureKind(503, Outcome.UNKNOWN, False),
    Reason.KEY_TABLE_FULL: FailureKind(503, Outcome.UNKNOWN, False),
    Reason.RESPONSE_NOT_KEPT: FailureKind(409, Outcome.RUN, False),
    Reason.INTERNAL: FailureKind(500, Outcome.UNKNOWN, False),
}


class Failure(NamedTuple):
    """A failed request."""

    reason: Reason
    outcome: Outcome
    detail: str = ""
    retry_after: timedelta | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return KINDS[self.reason].status


class FailureBody(TypedDict):
    """JSON body of an error response; ``retry_after_ms`` is null if there is no advice."""

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
    known = KINDS[reason].outcome if outcome is None else outcome
    return Failure(reason, known, detail, retry_after)


def failure_body(failure: Failure, request_id: str) -> FailureBody:
    """Return the JSON body that tells a caller of a failure."""
    wait = failure.retry_after
    return FailureBody(
        error=failure.reason.value,
        outcome=failure.outcome.value,
        request_id=request_id,
        detail=failure.detail,
        retry_after_ms=None if wait is None else round(wait.total_seconds() * 1000),
    )
