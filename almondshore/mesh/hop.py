"""What two nodes tell each other with a request and its response."""

from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

import msgspec

from almondshore.http.messages import Headers, Request, Response, find_header
from almondshore.mesh.model import LoadReport

TERMS_HEADER = b"x-almondshore-terms"
REPORT_HEADER = b"x-almondshore-report"
HOP_HEADERS = frozenset((TERMS_HEADER, REPORT_HEADER))
MILLISECOND = timedelta(milliseconds=1)


class Outcome(StrEnum):
    """How a request ended at the node beside its target.

    ``REFUSED``: it has not run and will not. ``REJECTED``: the target itself refused to run it.
    ``ANSWERED``: the target's response is attached. ``BROKEN``: it may have run, no response.
    """

    REFUSED = "refused"
    REJECTED = "rejected"
    ANSWERED = "answered"
    BROKEN = "broken"


class UnavailableReason(StrEnum):
    """Why the node beside a target refuses a request for a reason other than load."""

    NO_TARGET = "no-target"
    WRONG_TARGET = "wrong-target"
    TARGET_DOWN = "target-down"
    VERSION_RETIRED = "version-retired"
    SHUTTING_DOWN = "shutting-down"


class HopTerms(NamedTuple):
    """Terms of a request, sent to the node beside its target.

    Times are durations, since clocks of hosts differ.

    :ivar target: identity of the target that was chosen
    :ivar service: its service; a later target of it beside the same node will do as well
    :ivar version: its version
    :ivar caller: service of the target on the host where the request originated
    :ivar objective_ms: time left in which the response is on time, may be negative
    :ivar deadline_ms: time left after which the response is of no use
    """

    route: str
    target: str
    service: str
    version: str
    caller: str
    idempotent: bool
    urgency: int
    objective_ms: int
    deadline_ms: int


class HopReport(NamedTuple):
    """Outcome of a request and the load of its target, sent with the response.

    :ivar service_ms: expected time in a slot for the route of the request
    :ivar failure_rate: recent share of failed requests, 0 to 1
    :ivar retry_after_ms: when a refused request may fit, 0 if not known
    :ivar config_version: version in force at the reporting node
    """

    outcome: Outcome
    reason: str
    running: int
    waiting: int
    slots: int
    service_ms: int
    failure_rate: float
    leaving: bool
    retry_after_ms: int
    config_version: int

    def load(self) -> LoadReport:
        """Return the part about the target's load."""
        return LoadReport(
            self.running,
            self.waiting,
            self.slots,
            self.service_ms * MILLISECOND,
            self.failure_rate,
            self.leaving,
        )


class HopResult(NamedTuple):
    """End of a request at a target, as the node that sent it sees it.

    :ivar response: the target's own response if the outcome is ``ANSWERED`` or ``REJECTED``
    :ivar report: None if the node beside the target did not answer
    :ivar unreachable: whether the node could not be reached or went away
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
    """Return the terms of a request from another node, or None if it has none."""
    value = find_header(request.headers, TERMS_HEADER)
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=HopTerms)
    except msgspec.MsgspecError:
        return None


def encode_report(report: HopReport) -> tuple[bytes, bytes]:
    """Return the header that carries the report."""
    return REPORT_HEADER, msgspec.json.encode(report)


def decode_report(headers: Headers) -> HopReport | None:
    """Return the report of a response from another node, or None if it has none."""
    value = find_header(headers, REPORT_HEADER)
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=HopReport)
    except msgspec.MsgspecError:
        return None
