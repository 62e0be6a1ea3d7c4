"""Headers that nodes add to requests and responses between them."""

from datetime import timedelta
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from almondshore.core.decoding import decode_json
from almondshore.http.messages import Headers, Request, Response, find_header
from almondshore.mesh.model import LoadReport

TERMS_HEADER = b"x-almondshore-terms"
REPORT_HEADER = b"x-almondshore-report"
# Size in bytes of a body that the sender asks to send.
BODY_SIZE_HEADER = b"x-almondshore-body-size"
# Identity of a transfer that the receiver has granted.
TRANSFER_HEADER = b"x-almondshore-transfer"
HOP_HEADERS = frozenset((TERMS_HEADER, REPORT_HEADER, BODY_SIZE_HEADER, TRANSFER_HEADER))
# Paths of requests between nodes that carry terms but are not passed on.
TRANSFERS_PATH = b"/transfers"
MILLISECOND = timedelta(milliseconds=1)
# Limits of the values that nodes send each other. The products and sums that are formed of them fit
# into a timedelta; a larger value is malformed.
MAX_DURATION_MS = 10**10
MAX_COUNT = 10**6
MAX_RATE = 1e9
DurationMs = Annotated[int, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
# Names are sent to targets in headers, where a control character could begin another header.
NAME_PATTERN = r"\A[^\x00-\x1f\x7f]*\Z"
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]


class Outcome(StrEnum):
    """How a request ended at its target's node.

    ``REFUSED``: the node did not pass it to the target; it has not run. ``REJECTED``: the target
    refused to run it. ``ANSWERED``: the target's response is attached. ``BROKEN``: there is no
    response, though the request may have run. ``GRANTED``: the request may be sent with its body.
    """

    REFUSED = "refused"
    REJECTED = "rejected"
    ANSWERED = "answered"
    BROKEN = "broken"
    GRANTED = "granted"


class UnavailableReason(StrEnum):
    """Reasons other than load for which a target's node refuses requests."""

    NO_TARGET = "no-target"
    WRONG_TARGET = "wrong-target"
    TARGET_DOWN = "target-down"
    VERSION_RETIRED = "version-retired"
    SHUTTING_DOWN = "shutting-down"
    NO_DESCRIPTOR = "no-descriptor"


class HopTerms(NamedTuple):
    """Terms of a request, sent to its target's node.

    Times are durations, since the clocks of hosts differ.

    :ivar target: identity of the chosen target
    :ivar service: service of the target; a newer target of the same service and version at that
        node may run the request instead
    :ivar version: version of the target
    :ivar caller: service of the target on the host where the request originated
    :ivar urgency: priority of the route, 0 is the most urgent
    :ivar objective_ms: time left to meet the latency objective, may be negative
    :ivar deadline_ms: time left until the deadline, after which a response is useless
    :ivar rate_limit: last rate limit that the target's node reported, None for none: a node that
        has started again does not know it
    :ivar tenant: tenant of the caller's key, empty without one; None if the configuration has no
        tenants
    """

    route: Name
    target: Name
    service: Name
    version: Name
    caller: Name
    idempotent: bool
    urgency: int
    objective_ms: DurationMs
    deadline_ms: DurationMs
    rate_limit: Rate | None = None
    tenant: Name | None = None


class HopReport(NamedTuple):
    """Outcome of a request and the load of its target, sent with the response.

    :ivar service_ms: expected service time of the request's route
    :ivar failure_rate: recent share of failed requests, 0 to 1
    :ivar leaving: whether the target is draining or its node shutting down
    :ivar retry_after_ms: time until a refused request may be accepted, 0 if not known
    :ivar config_version: configuration version in effect at the reporting node
    :ivar rate_limit: requests per second that the target takes from all nodes, None for no limit
    :ivar rate_wait_ms: time after which that limit allows another request
    :ivar target_leaving: whether the target has said or announced that it leaves
    :ivar work_ms: sum of the expected service times left of all requests that the target runs and
        that wait
    :ivar ran_ms: service time of the request, 0 if it did not run or failed
    """

    outcome: Outcome
    reason: str
    running: Count
    waiting: Count
    slots: Count
    service_ms: DurationMs
    failure_rate: float
    leaving: bool
    retry_after_ms: DurationMs
    config_version: int
    rate_limit: Rate | None = None
    rate_wait_ms: DurationMs = 0
    target_leaving: bool = False
    work_ms: DurationMs = 0
    ran_ms: DurationMs = 0

    def load(self) -> LoadReport:
        """Return the load of the target."""
        return LoadReport(
            self.running,
            self.waiting,
            self.slots,
            self.service_ms * MILLISECOND,
            self.failure_rate,
            self.leaving,
            self.rate_limit,
            self.rate_wait_ms * MILLISECOND,
            self.work_ms * MILLISECOND,
            self.ran_ms * MILLISECOND,
        )


class HopResult(NamedTuple):
    """Result of an attempt, as seen by the node that sent it.

    :ivar response: the target's own response if the outcome is ``ANSWERED`` or ``REJECTED``
    :ivar report: None if the target's node sent none
    :ivar unreachable: whether the target's node could not be reached or the connection was lost
    """

    outcome: Outcome
    reason: str
    response: Response | None
    report: HopReport | None
    unreachable: bool = False


def encode_terms(terms: HopTerms) -> tuple[bytes, bytes]:
    """Return the header that carries the terms."""
    return TERMS_HEADER, msgspec.json.encode(terms)


def decode_terms(request: Request) -> HopTerms | None:
    """Return the terms of a request, or None if they are missing or malformed."""
    value = find_header(request.headers, TERMS_HEADER)
    if value is None:
        return None
    try:
        return decode_json(value, HopTerms)
    except msgspec.MsgspecError:
        return None


def encode_report(report: HopReport) -> tuple[bytes, bytes]:
    """Return the header that carries the report."""
    return REPORT_HEADER, msgspec.json.encode(report)


def decode_report(headers: Headers) -> HopReport | None:
    """Return the report of a response, or None if it is missing or malformed."""
    value = find_header(headers, REPORT_HEADER)
    if value is None:
        return None
    try:
        return decode_json(value, HopReport)
    except msgspec.MsgspecError:
        return None
