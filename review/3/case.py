"""An answer without an end, in small chunks, ends the node process."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.case import main  # noqa: E402
from common.client import CLOSED, Clients  # noqa: E402
from common.deployment import Deployment, Machine, configuration, route  # noqa: E402
from common.http import Message  # noqa: E402
from common.record import Record  # noqa: E402
from common.upstream import Run, Upstream  # noqa: E402

# Zone and service of each machine; the upstream of the first one is in trouble.
MACHINES = (
    ("kosice-a", "alarms"),
    ("kosice-b", "alarms"),
    ("kosice-a", "trends"),
    ("kosice-b", "trends"),
)
SERVICES = ("alarms", "trends")
PATH, ENDLESS_PATH = "/trends/hall", "/acks/note"
ENDLESS_REQUESTS = 3
# Memory of a machine of the site, beyond which the platform kills a process.
MEMORY_MB = 150
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\nxx\r\n" * 8192
BODY = b"x" * 1200
SEND_INTERVAL_S = 0.08
WORK_S = 0.29
DEADLINE_MS = 3000
PAUSE_S = 8.0
MAX_LOST = 3


class EndlessUpstream(Upstream):
    """An upstream whose answers to some requests have no end.

    :ivar endless: whether they have none
    """

    endless = True

    async def respond(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or send bytes until the caller closes."""
        if not self.endless or request.start[1] != ENDLESS_PATH:
            await super().respond(request, reader, writer)
            return
        self.record.add("endless_answer_began", upstream=self.id)
        writer.write(HEAD)
        sent = 0
        try:
            while not reader.at_eof():
                writer.write(CHUNKS)
                await writer.drain()
                sent += len(CHUNKS)
        finally:
            self.record.add("endless_answer_ended", upstream=self.id, bytes=sent)


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Send requests to sound upstreams, and a few to one whose answers have no end."""
    await deployment.store.start()
    routes = {
        "r-acks": route("alarms", "/acks/", idempotent=False, timeout_s=3.0),
        "r-trends": route("trends", "/trends/", idempotent=False, timeout_s=1.5),
    }
    await deployment.store.put("config", "main", configuration(routes, SERVICES))
    machines = [
        deployment.add_machine(f"m{number}", zone, service)
        for number, (zone, service) in enumerate(MACHINES)
    ]
    upstreams = []
    for machine in machines:
        deployment.start_node(machine, first=True)
        upstream = EndlessUpstream(
            name=machine.name,
            service=machine.service,
            zone=machine.zone,
            address=machine.address("app"),
            control=machine.address("control"),
            record=record,
            work_s=lambda _request: WORK_S,
        )
        upstream.endless = trouble and machine is machines[0]
        upstreams.append(upstream)
        await upstream.start()
    await deployment.wait_ready(machines)
    await asyncio.sleep(6)
    clients = Clients(record=record)
    tasks = [asyncio.create_task(_send_work(clients, machine)) for machine in machines]
    tasks += [asyncio.create_task(deployment.enforce_memory(item, MEMORY_MB)) for item in machines]
    await asyncio.sleep(3)
    for _ in range(ENDLESS_REQUESTS):
        send = clients.send(
            machines[0], "POST", ENDLESS_PATH, deadline_ms=DEADLINE_MS, kind="endless"
        )
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(PAUSE_S)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(DEADLINE_MS / 1000)
    clients.close()
    sound = [run for upstream in upstreams[1:] for run in upstream.runs]
    return judge(clients, sound, record)


async def _send_work(clients: Clients, machine: Machine) -> None:
    pending: set[asyncio.Task] = set()
    while True:
        send = clients.send(machine, "POST", PATH, deadline_ms=DEADLINE_MS, body=BODY)
        pending.add(asyncio.create_task(send))
        pending = {task for task in pending if not task.done()}
        await asyncio.sleep(SEND_INTERVAL_S)


def judge(clients: Clients, runs: list[Run], record: Record) -> list[str]:
    """Check the rule LOST for requests from kept connections.

    :param runs: runs at sound upstreams
    """
    ran = {run.request_id for run in runs}
    lost = [
        sent
        for sent in clients.sent.values()
        if sent.reused and sent.outcome == CLOSED and sent.request_id in ran
    ]
    record.add(
        "summary",
        lost=len(lost),
        requests=clients.count("r"),
        endless=clients.count("endless"),
    )
    if len(lost) <= MAX_LOST:
        return []
    return [
        f"LOST: {len(lost)} requests from kept connections were passed on to a sound upstream, and"
        " their connection closed without an answer"
    ]


if __name__ == "__main__":
    main(play, FOLDER)
