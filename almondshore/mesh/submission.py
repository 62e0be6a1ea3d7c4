"""Requests for the local target, from their arrival to their result."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from almondshore.http.client import Call
from almondshore.http.messages import Request
from almondshore.limits.objective import Job, ObjectiveQueue, Refusal, Terms
from almondshore.mesh.hop import MILLISECOND, HopResult, HopTerms, Outcome
from almondshore.placement.cost import Features

if TYPE_CHECKING:
    from almondshore.mesh.inbound import Inbound


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
        self.terms = queue_terms(terms, now, features)
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
        self.inbound.executor.send(self)

    def refuse(self, reason: Refusal, retry_after: timedelta) -> None:
        """Deliver a refusal: the queue will not start the request."""
        self.inbound.finish(self, Outcome.REFUSED, str(reason), retry_after=retry_after)

    def is_receiving(self) -> bool:
        """Return whether the target's response has been received in part."""
        return self.call is not None and self.call.is_receiving()

    def cancel(self) -> None:
        """Cancel the request after its caller has disconnected."""
        self.inbound.cancel(self)


def queue_terms(terms: HopTerms, now: timedelta, features: Features | None = None) -> Terms:
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
