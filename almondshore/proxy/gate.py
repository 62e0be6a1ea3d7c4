"""Lets green threads wait for a slot of a target."""

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
    """Joins a slot queue with the green threads whose requests wait in it."""

    def __init__(self, *, queue: SlotQueue):
        self.queue = queue
        self.waiting: dict[str, Event] = {}

    def enter(self, request: SlotRequest) -> Refused | None:
        """Wait for a slot.

        :returns: None once the request has a slot, which :meth:`leave` must free; or the refusal
        """
        verdict = self.queue.offer(request)
        if isinstance(verdict, Admitted):
            return None
        if isinstance(verdict, Refused):
            return verdict
        event = Event()
        self.waiting[request.request_id] = event
        self._tell_shed(verdict)
        return event.wait()

    def leave(self, request_id: str) -> None:
        """Free the slot of a request and wake those that come next."""
        self._tell(self.queue.release(request_id))

    def expire(self) -> None:
        """Wake requests whose deadline has passed; call this regularly."""
        self._tell(self.queue.expire())

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self.queue.drain()

    def load(self) -> Load:
        """Return the present load of the target."""
        return Load(self.queue.limit(), len(self.queue.running), self.queue.queued)

    def _tell(self, result: DispatchResult) -> None:
        for request in result.started:
            self.waiting.pop(request.request_id).send(None)
        self._tell_shed(result)

    def _tell_shed(self, source: DispatchResult | Queued) -> None:
        item: Shed
        for item in source.shed:
            self.waiting.pop(item.request.request_id).send(item.refused)
