"""Stand-in for an application upstream, which announces itself to the node beside it."""

import asyncio
import json
import time
from collections.abc import Callable

from common.http import (
    Address,
    Message,
    Server,
    call,
    encode_request,
    encode_response,
    read_message,
)
from common.record import Record

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
HEALTH_PATH = "/health"
# The example of a refusal on the users' pages has no other header.
REFUSAL_HEADERS = {"Not-Executed": "1"}


class Run:
    """A request that an upstream has begun to run.

    :ivar ended: how the run ended, empty while it lasts
    """

    def __init__(self, *, request_id: str, upstream: str, path: str, began: float):
        self.request_id = request_id
        self.upstream = upstream
        self.path = path
        self.began = began
        self.ended = ""


class Upstream:
    """Runs requests in its slots and sends heartbeats to its node.

    :param work_s: returns the seconds that a request takes
    :ivar state: state in the heartbeats; none are sent while it is empty
    :ivar leaving: whether it has announced that it leaves, so that health checks fail
    :ivar runs: all runs, of earlier incarnations too
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: Address,
        control: Address,
        record: Record,
        work_s: Callable[[Message], float],
        slots: int = 9,
        queue: int = 36,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.server = Server(address=address, handler=self._serve)
        self.generation = 0
        self.sequence = 0
        self.born_ms = 0
        self.state = ""
        self.leaving = False
        self.runs: list[Run] = []
        self.running = 0
        self.waiting = 0
        self.free_slot = asyncio.Condition()
        self.heartbeats: asyncio.Task | None = None

    @property
    def id(self) -> str:
        """Return the id of the present incarnation."""
        return f"i-{self.name}-{self.generation}"

    async def start(self) -> None:
        """Start a new incarnation: listen and send heartbeats."""
        self.generation += 1
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.running = self.waiting = 0
        self.free_slot = asyncio.Condition()
        self.leaving = False
        self.state = "ready"
        await self.server.start()
        self.heartbeats = asyncio.create_task(self._send_heartbeats())
        self.record.add("upstream_started", id=self.id)

    def stop(self, reason: str) -> None:
        """End the process of the upstream: its connections and its listener close."""
        self.record.add("upstream_ended", id=self.id, reason=reason, running=self.running)
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        self.server.stop()

    def heartbeat(self, state: str) -> bytes:
        """Return the next heartbeat, encoded as a request."""
        self.sequence += 1
        document = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": self.sequence, "warmup_left_s": 0},
        }
        return self._encode_call("Heartbeat", document)

    async def send_call(self, name: str, data: bytes) -> bool:
        """Send a heartbeat or a deregistration to the node; returns whether it acknowledged."""
        response = await call(self.control, data, ACK_TIMEOUT_S)
        acked = response is not None and 200 <= response.status < 300
        self.record.add(name, id=self.id, acknowledged=acked)
        return acked

    async def deregister(self) -> bool:
        """Deregister without a draining heartbeat before; returns whether that is acknowledged.

        The upstream goes on serving, and sends no more heartbeats.
        """
        self.leaving = True
        self.state = ""
        return await self.send_call(
            "deregistration", self._encode_call("Deregister", {"born": self.born_ms})
        )

    def _encode_call(self, verb: str, document: dict) -> bytes:
        headers = {"Host": self.address[0], "Content-Type": "application/json"}
        body = json.dumps(document).encode()
        return encode_request("POST", f"/Instances.{verb}/{self.id}", headers, body)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.state:
                await self.send_call("heartbeat", self.heartbeat(self.state))
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_message(reader)
            await self.respond(request, reader, writer)

    async def respond(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request: run it, or reject it."""
        request_id = request.headers.get("attempt-id", "")
        path = request.start[1]
        expected = request.headers.get("expected-instance")
        if expected not in (None, self.id):
            writer.write(encode_response(421, {"Instance-Id": self.id}))
        elif self.waiting >= self.queue:
            writer.write(encode_response(503, REFUSAL_HEADERS))
        elif path == HEALTH_PATH:
            status = 503 if self.leaving else 200
            writer.write(encode_response(status, {"Instance-Id": self.id}))
        else:
            body = await self.run(request, reader, writer)
            writer.write(encode_response(200, self.answer_headers(request_id), body))
        await writer.drain()

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer."""
        return {"Attempt-Id": request_id, "Response-Signature": f"sig-{request_id}"}

    async def run(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Run a request once a slot is free, and return the body of the answer.

        A run ends early if its connection closes.
        """
        self.waiting += 1
        try:
            async with self.free_slot:
                await self.free_slot.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        run = Run(
            request_id=request.headers.get("attempt-id", ""),
            upstream=self.id,
            path=request.start[1],
            began=self.record.now(),
        )
        self.runs.append(run)
        self.record.add(
            "run_began",
            request=run.request_id,
            path=run.path,
            upstream=self.id,
            caller=request.headers.get("caller-service"),
        )
        run.ended = "cut"
        try:
            await self.work(request, reader)
            run.ended = "complete"
        finally:
            self.running -= 1
            self.record.add("run_ended", request=run.request_id, upstream=self.id, how=run.ended)
            async with self.free_slot:
                self.free_slot.notify_all()
        return f"{run.request_id} by {self.id}".encode()

    async def work(self, request: Message, reader: asyncio.StreamReader) -> None:
        """Take the time that the request needs."""
        ends_at = time.monotonic() + self.work_s(request)
        while (left := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof():
                raise ConnectionResetError("the sender closed the connection")
