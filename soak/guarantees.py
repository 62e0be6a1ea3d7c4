"""Checks of the mesh's guarantees against the observations of callers and targets."""

from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple

from almondshore.core.clock import Clock
from almondshore.http.client import CallResult

# Statuses that guarantee that a request was not executed; after them, callers also retry
# non-idempotent requests.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Memory of the smaller of the users' machines.
MAX_MEMORY_MB = 150
# Written when the handler of a stream raises an exception.
INTERNAL_ERROR_EVENT = "event=stream_handler_failed"
MIN_SERVED_SHARE = 0.9


class SentRequest(NamedTuple):
    """A request sent by a caller.

    :ivar node: name of the node that the request was sent to
    :ivar caller_service: service that the caller belongs to
    :ivar target_service: service that the request is routed to
    :ivar is_denial_checked: whether a check of tenants decides if it may get 404
    """

    request_id: str
    node: str
    caller_service: str
    target_service: str
    idempotent: bool
    is_denial_checked: bool = False


class GuaranteeChecker:
    """Records requests, runs and results, and reports violated guarantees.

    :param drain: time after an acknowledged departure in which a target may still get requests
    :ivar violations: one line for each violation
    :ivar sent: requests by id; a request is added before it is sent
    :ivar refused_ids: requests answered with a status of ``NOT_EXECUTED_STATUSES``
    :ivar statuses: number of results by HTTP status, or by failure if there was no response
    :ivar departures: time at which a node acknowledged the departure of a target, by target
    """

    def __init__(self, *, clock: Clock, drain: timedelta):
        self.clock = clock
        self.drain = drain
        self.violations: list[str] = []
        self.sent: dict[str, SentRequest] = {}
        self.run_counts: Counter[str] = Counter()
        self.refused_ids: set[str] = set()
        self.statuses: Counter[str] = Counter()
        self.departures: dict[str, timedelta] = {}

    def on_run(self, target: str, service: str, request_id: str, caller: str) -> None:
        """Record and check that a target runs a request.

        :param target: identity of the target
        :param service: service of the target
        :param caller: calling service according to the request header
        """
        self.run_counts[request_id] += 1
        sent = self.sent.get(request_id)
        if sent is None:
            self.violations.append(f"{target} ran {request_id}, which no caller sent")
            return
        if sent.target_service != service:
            self.violations.append(
                f"{target} of {service} ran {request_id}, sent to service {sent.target_service}"
            )
        if caller != sent.caller_service:
            self.violations.append(
                f"{request_id} names caller service {caller} instead of {sent.caller_service}"
            )
        if not sent.idempotent and self.run_counts[request_id] > 1:
            self.violations.append(
                f"non-idempotent {request_id} ran more than once, now at {target}"
            )
        if request_id in self.refused_ids and not sent.idempotent:
            self.violations.append(
                f"non-idempotent {request_id} ran at {target} after it was refused"
            )
        departed_at = self.departures.get(target)
        if departed_at is not None and self.clock.monotonic() - departed_at > self.drain:
            delay = self.clock.monotonic() - departed_at
            self.violations.append(f"{request_id} reached {target} {delay} after its departure")

    def on_result(self, sent: SentRequest, result: CallResult) -> None:
        """Record and check the result that a caller got."""
        response = result.response
        if response is None:
            self.statuses[str(result.failure.value)] += 1
            return
        self.statuses[str(response.status)] += 1
        if response.status == 200:
            if response.body != sent.request_id.encode() * 50:
                self.violations.append(
                    f"{sent.request_id} got an unexpected body: {response.body[:60]!r}"
                )
        elif response.status in NOT_EXECUTED_STATUSES:
            self.refused_ids.add(sent.request_id)
            if not sent.idempotent and self.run_counts[sent.request_id]:
                self.violations.append(
                    f"non-idempotent {sent.request_id} was refused with {response.status} but ran"
                )
        elif response.status == 404 and not sent.is_denial_checked:
            self.violations.append(
                f"{sent.request_id} got 404 on a route that is in all configurations"
            )

    def on_departure_acknowledged(self, target: str) -> None:
        """Record that a node acknowledged the drain or deregistration of a target."""
        self.departures.setdefault(target, self.clock.monotonic())

    def check_config_applied(self, node: str, path: str, status: int | None) -> None:
        """Check that a node has applied the configuration that added a route.

        :param path: path on the added route
        :param status: status of a request for the path, None if there was no response
        """
        if status == 404:
            self.violations.append(f"{node} answers 404 for {path}, whose route was added before")

    def check_restored(self, node: str, target: str, entry: dict[str, Any] | None) -> None:
        """Check that a node has written its entry again after the store was restored.

        :param entry: the stored entry, None if there is none
        """
        if entry is None:
            self.violations.append(
                f"{node} has not written the entry of {target} again after a restore of the store"
            )

    def check_exits(self, node: str, statuses: Sequence[int]) -> None:
        """Check that a node process has not ended by itself.

        :param statuses: exit statuses of its processes that did
        """
        if statuses:
            self.violations.append(f"the process of {node} ended by itself, statuses {statuses}")

    def check_log(self, node: str, output: str) -> None:
        """Check that no exception was left to end a connection, which cuts its requests off.

        :param output: what the processes of the node wrote
        """
        lines = [line for line in output.splitlines() if INTERNAL_ERROR_EVENT in line]
        if lines:
            self.violations.append(f"{len(lines)} internal errors of {node}, the first: {lines[0]}")

    def check_memory(self, node: str, peak_mb: float) -> None:
        """Check that no node process has exceeded the memory of a small machine.

        :param peak_mb: largest resident memory in megabytes
        """
        if peak_mb > MAX_MEMORY_MB:
            self.violations.append(f"a process of {node} took {peak_mb:.0f} MB")

    def check_recovery(self, served: int, total: int) -> None:
        """Check that enough requests are served once all faults are over."""
        if served < MIN_SERVED_SHARE * total:
            self.violations.append(
                f"only {served} of {total} requests were served after the faults"
            )
