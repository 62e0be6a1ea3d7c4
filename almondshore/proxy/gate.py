"""Blocking acquisition of a target's slots by green threads."""

from eventlet.event import Event

from almondshore.limits.admission import (
    Admitted,
    DispatchResult,
    Queued,
    Refused,
    Shed,
    SlotQueue,
    SlotRequest,
)
from almondshore.proxy.headers import Load


class SlotGate:
    """Blocks green threads until a slot queue admits or refuses their requests.

    :ivar waiting: events of the queued requests, by request id
    """

    def __init__(self, *, queue: SlotQueue):
        self.queue = queue
        self.waiting: dict[str, Event] = {}

    def acquire(self, request: SlotRequest) -> Refused | None:
        """Acquire a slot, waiting for it if necessary.

        :return: None if the request has a slot, which the caller must :meth:`release`, or the
            refusal
        """
        result = self.queue.offer(request)
        if isinstance(result, Admitted):
            return None
        if isinstance(result, Refused):
            return result
        event = Event()
        self.waiting[request.request_id] = event
        self._notify_shed(result)
        return event.wait()

    def release(self, request_id: str) -> None:
        """Release the slot of a request and wake the requests that start or are shed."""
        self._notify(self.queue.release(request_id))

    def expire(self) -> None:
        """Refuse queued requests whose deadline or drain grace has passed.

        Must be called periodically.
        """
        self._notify(self.queue.expire())

    def drain(self) -> None:
        """Refuse new requests from now on; queued ones may start within the grace period."""
        self.queue.drain()

    def load(self) -> Load:
        """Return the current load of the target."""
        return Load(self.queue.limit(), len(self.queue.running), self.queue.queued)

    def _notify(self, dispatched: DispatchResult) -> None:
        for request in dispatched.started:
            self.waiting.pop(request.request_id).send(None)
        self._notify_shed(dispatched)

    def _notify_shed(self, result: DispatchResult | Queued) -> None:
        item: Shed
        for item in result.shed:
            self.waiting.pop(item.request.request_id).send(item.refused)
