"""Stand-in for the clients on a machine."""

import asyncio
import itertools

from common.deployment import HOST, Machine
from common.http import ClosedError, Connection, Message, encode_request
from common.record import Record

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
CLOSED = "closed"
TIMED_OUT = "timed-out"


class Sent:
    """A request of a client.

    :ivar outcome: status of the answer, or how the request ended without one
    :ivar reused: whether its connection had carried an earlier request
    """

    def __init__(self, *, request_id: str, machine: str, path: str, at: float):
        self.request_id = request_id
        self.machine = machine
        self.path = path
        self.at = at
        self.outcome: int | str = ""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ended = 0.0
        self.reused = False


class Clients:
    """Sends requests to the outbound address of the clients' own machine.

    :ivar sent: all requests by id
    """

    def __init__(self, *, record: Record):
        self.record = record
        self.sent: dict[str, Sent] = {}
        self.numbers = itertools.count(1)
        self.idle: dict[str, list[Connection]] = {}

    async def send(
        self,
        machine: Machine,
        method: str,
        path: str,
        *,
        deadline_ms: int,
        body: bytes = b"",
        kind: str = "r",
    ) -> Sent:
        """Send a request on a kept connection, or on a new one, and wait for its end."""
        request_id = f"{kind}{next(self.numbers)}"
        sent = Sent(request_id=request_id, machine=machine.name, path=path, at=self.record.now())
        self.sent[request_id] = sent
        self.record.add(
            "request_sent",
            request=request_id,
            machine=machine.name,
            method=method,
            path=path,
            bytes=len(body),
        )
        headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        data = encode_request(method, path, headers, body)
        connection = None
        try:
            idle = self.idle.setdefault(machine.name, [])
            sent.reused = bool(idle)
            connection = idle.pop() if idle else await Connection.open(machine.address("outbound"))
            response = await asyncio.wait_for(connection.exchange(data), deadline_ms / 1000)
            self._note(sent, response)
            if response.headers.get("connection", "").lower() != "close":
                idle.append(connection)
                connection = None
        except TimeoutError:
            sent.outcome = TIMED_OUT
        except (OSError, ClosedError):
            sent.outcome = CLOSED
        finally:
            if connection is not None:
                connection.close()
        sent.ended = self.record.add("request_ended", request=request_id, outcome=sent.outcome)
        return sent

    @staticmethod
    def _note(sent: Sent, response: Message) -> None:
        sent.outcome, sent.headers, sent.body = response.status, response.headers, response.body

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def count(self, prefix: str) -> dict[int | str, int]:
        """Return how many requests ended in each way, for ids that begin with a prefix."""
        counts: dict[int | str, int] = {}
        for sent in self.sent.values():
            if sent.request_id.startswith(prefix):
                counts[sent.outcome] = counts.get(sent.outcome, 0) + 1
        return counts
