"""A request that crashes its upstream as soon as it runs is not kept from the upstreams."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.case import main  # noqa: E402
from common.client import Clients  # noqa: E402
from common.deployment import BOUNDS, Deployment, Machine, configuration, route  # noqa: E402
from common.http import Message  # noqa: E402
from common.record import Record  # noqa: E402
from common.upstream import Upstream  # noqa: E402

SERVICE = "history"
ZONES = ("kosice-a", "kosice-b", "presov")
READ_PREFIX, ACK_PREFIX = "/history/read/", "/acks/note/"
CRASH_PATH = "/history/crash"
# Reads come in groups, as clients send them.
READ_GROUP, READ_INTERVAL_S, ACK_INTERVAL_S = 6, 0.3, 0.1
READ_WORK_S, ACK_WORK_S = 0.05, 0.2
CRASH_INTERVAL_S = 2.0
# How long a crashed upstream is away.
CRASH_DOWN_S = 3.0
PLAY_S = 45.0
DEADLINE_MS, ACK_DEADLINE_MS = 2500, 3000
# Retries that the rule allows after the third crash, and the crashes that it counts from.
MAX_RETRIES, COUNTED_CRASHES = 3, 3


class CrashingUpstream(Upstream):
    """An upstream that a request to ``CRASH_PATH`` crashes as soon as it begins to run.

    :ivar crashes: whether such a request crashes it
    """

    crashes = True

    async def work(self, request: Message, reader: asyncio.StreamReader) -> None:
        """Crash, or take the time that the request needs."""
        if self.crashes and request.start[1] == CRASH_PATH:
            self.stop("crash")
            asyncio.get_running_loop().create_task(self._restart())
            raise ConnectionResetError("crashed")
        await super().work(request, reader)

    async def _restart(self) -> None:
        await asyncio.sleep(CRASH_DOWN_S)
        await self.start()


def work_s(request: Message) -> float:
    """Return the time that a request takes."""
    return ACK_WORK_S if request.start[1].startswith(ACK_PREFIX) else READ_WORK_S


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Send reads, acknowledgements and, now and then, the request that crashes upstreams."""
    await deployment.store.start()
    routes = {
        "r-history": route(SERVICE, "/history/", idempotent=True, timeout_s=1.2),
        "r-acks": route(SERVICE, "/acks/", idempotent=False, timeout_s=1.5),
    }
    await deployment.store.put("config", "main", configuration(routes, (SERVICE,)))
    machines = [deployment.add_machine(f"m{i}", zone, SERVICE) for i, zone in enumerate(ZONES)]
    upstreams = []
    for machine in machines:
        deployment.start_node(machine, first=True)
        upstream = CrashingUpstream(
            name=machine.name,
            service=SERVICE,
            zone=machine.zone,
            address=machine.address("app"),
            control=machine.address("control"),
            record=record,
            work_s=work_s,
        )
        upstream.crashes = trouble
        upstreams.append(upstream)
        await upstream.start()
    await deployment.wait_ready(machines)
    await asyncio.sleep(6)
    clients = Clients(record=record)
    tasks = [asyncio.create_task(_send_reads(clients, machine)) for machine in machines]
    tasks += [asyncio.create_task(_send_acks(clients, machine)) for machine in machines]
    await asyncio.sleep(3)
    ends_at = record.now() + PLAY_S
    turn = 0
    while record.now() < ends_at:
        machine = machines[turn % len(machines)]
        turn += 1
        await clients.send(machine, "GET", CRASH_PATH, deadline_ms=DEADLINE_MS, kind="crash")
        await asyncio.sleep(CRASH_INTERVAL_S)
    for task in tasks:
        task.cancel()
    clients.close()
    return judge(clients, upstreams, record)


async def _send_reads(clients: Clients, machine: Machine) -> None:
    pending: set[asyncio.Task] = set()
    for count in itertools.count():
        for number in range(READ_GROUP):
            path = f"{READ_PREFIX}{machine.name}/{count}/{number}"
            send = clients.send(machine, "GET", path, deadline_ms=DEADLINE_MS, kind="read")
            pending.add(asyncio.create_task(send))
        pending = {task for task in pending if not task.done()}
        await asyncio.sleep(READ_INTERVAL_S)


async def _send_acks(clients: Clients, machine: Machine) -> None:
    pending: set[asyncio.Task] = set()
    for count in itertools.count():
        path = f"{ACK_PREFIX}{machine.name}/{count}"
        send = clients.send(machine, "POST", path, deadline_ms=ACK_DEADLINE_MS, kind="ack")
        pending.add(asyncio.create_task(send))
        pending = {task for task in pending if not task.done()}
        await asyncio.sleep(ACK_INTERVAL_S)


def judge(clients: Clients, upstreams: list[Upstream], record: Record) -> list[str]:
    """Check the rule BUDGET for requests that crash upstreams."""
    runs = [run for upstream in upstreams for run in upstream.runs]
    crashes = sorted(run.began for run in runs if run.path == CRASH_PATH and run.ended == "cut")
    lost = [run for run in runs if run.path.startswith(ACK_PREFIX) and run.ended == "cut"]
    record.add(
        "summary",
        crashes=len(crashes),
        acks_cut=len(lost),
        reads=clients.count("read"),
        acks=clients.count("ack"),
        crash_requests=clients.count("crash"),
    )
    if len(crashes) < COUNTED_CRASHES:
        return []
    bound_from = crashes[COUNTED_CRASHES - 1] + BOUNDS["contact_s"]
    ran = {run.request_id for run in runs if run.path == CRASH_PATH}
    late = [
        sent
        for sent in clients.sent.values()
        if sent.path == CRASH_PATH and sent.at > bound_from and sent.request_id in ran
    ]
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: {len(late)} retries of the crashing request reached upstreams later than"
        f" {BOUNDS['contact_s']} s after its third crash; {len(crashes)} crashes in all,"
        f" {len(lost)} acknowledgements cut off"
    ]


if __name__ == "__main__":
    main(play, FOLDER)
