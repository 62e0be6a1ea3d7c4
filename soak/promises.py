"""Promises that are checked from what callers and upstreams see."""

from collections import Counter
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.http.client import CallResult

# Statuses after which callers of a non-idempotent request repeat it.
PROMISE_NOT_RUN = frozenset((408, 421, 429, 503))
SERVED_SHARE_AT_END = 0.9


class Sent(NamedTuple):
    """A request of a caller."""

    request_id: str
    node: str
    service: str
    route: str
    idempotent: bool


class Promises:
    """Collects what was seen, and the promises that were broken.

    :ivar broken: one line for each broken promise
    """

    def __init__(self, *, clock: Clock, drain: timedelta):
        self.clock = clock
        self.drain = drain
        self.broken: list[str] = []
        self.sent: dict[str, Sent] = {}
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.statuses: Counter[str] = Counter()
        self.leaving: dict[str, timedelta] = {}

    def on_run(self, target: str, service: str, request_id: str, caller: str) -> None:
        """Take note that an upstream runs a request."""
        self.runs[request_id] += 1
        sent = self.sent.get(request_id)
        if sent is None:
            self.broken.append(f"{target} ran {request_id}, which no caller sent")
            return
        if sent.route != service:
            self.broken.append(f"{target} of {service} ran {request_id} of route {sent.route}")
        if caller != sent.service:
            self.broken.append(f"{request_id} came with caller {caller}, not {sent.service}")
        if not sent.idempotent and self.runs[request_id] > 1:
            self.broken.append(f"{request_id} is not idempotent and ran twice, now at {target}")
        if request_id in self.refused and not sent.idempotent:
            self.broken.append(f"{request_id} ran at {target} after it was refused")
        left_at = self.leaving.get(target)
        if left_at is not None and self.clock.monotonic() - left_at > self.drain:
            late = self.clock.monotonic() - left_at
            self.broken.append(f"{request_id} reached {target} {late} after its leaving")

    def on_result(self, sent: Sent, result: CallResult) -> None:
        """Take note of what a caller got."""
        response = result.response
        if response is None:
            self.statuses[str(result.failure.value)] += 1
            return
        self.statuses[str(response.status)] += 1
        if response.status == 200:
            if response.body != sent.request_id.encode() * 50:
                self.broken.append(f"{sent.request_id} got another body: {response.body[:60]!r}")
        elif response.status in PROMISE_NOT_RUN:
            self.refused.add(sent.request_id)
            if not sent.idempotent and self.runs[sent.request_id]:
                self.broken.append(f"{sent.request_id} was refused with {response.status} but ran")
        elif response.status == 404:
            self.broken.append(f"{sent.request_id} got 404 on a route of all configurations")

    def on_acknowledged(self, target: str) -> None:
        """Take note that a node acknowledged that a target leaves."""
        self.leaving.setdefault(target, self.clock.monotonic())

    def check_in_force(self, node: str, path: str, status: int | None) -> None:
        """Check that a node routes by the newest configuration."""
        if status == 404:
            self.broken.append(f"{node} answers 404 for {path}, which was added a while ago")

    def check_recovery(self, served: int, total: int) -> None:
        """Check that requests are served once all faults are over."""
        if served < SERVED_SHARE_AT_END * total:
            self.broken.append(f"only {served} of {total} requests are served after the faults")
