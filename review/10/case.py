"""A departure that was acknowledged while the store was down is forgotten by a restart."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from mesh import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    Mesh,
    attempt_id,
    run_case,
    send,
    trouble,
)

OUTAGE_S = 4.5
DEREGISTER_AFTER_S = 1.0
KILL_AFTER_S = 1.3
RESTART_AFTER_S = 2.0
# The heartbeat was sent just before the departure.
LATE_HEARTBEAT_AFTER_S = 3.5
CONTACT_S = 3.0
# The service is called again once all machines are in touch.
CALLS_AFTER_S = OUTAGE_S + CONTACT_S + 0.3
# The upstream serves on for many seconds, as the pages say that some do.
EXIT_AFTER_S = 8.4
WORK_S = 0.4
REQUEST_INTERVAL_S = 0.03
ROUTES = {
    "push": {"path_prefix": "/puka111/", "route_type": "non_idempotent", "service": "wuno96b"},
}


class Caller:
    """Sends requests at one node until it is stopped.

    :ivar sent: time and answer's status of each attempt, 0 without an answer
    """

    def __init__(self, record, address: str):
        self.record = record
        self.address = address
        self.sent: dict[str, tuple[float, int]] = {}
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send requests at a steady rate."""
        while True:
            task = asyncio.create_task(self._request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _request(self) -> None:
        attempt, began = attempt_id(), time.monotonic()
        headers = {"Host": "hulo84.example", "Attempt-Id": attempt, "Deadline-Ms": "2000"}
        self.sent[attempt] = began, 0
        self.record.note("sent", attempt=attempt)
        answer = await send(
            self.address, "POST", "/puka111/1", headers, b"ack", timeout_s=3.0
        )  # fmt: skip
        self.sent[attempt] = began, answer.status
        self.record.note("answered", attempt=attempt, status=answer.status)


async def case(record) -> int:
    """Let an upstream leave while the store is down and its node restarts."""
    mesh = Mesh(record, {"n1": "wuno96b", "n2": "wuno96b", "n3": "huvo11a"})
    try:
        leaving, node = mesh.upstreams["n1"], mesh.nodes["n1"]
        for upstream in mesh.upstreams.values():
            upstream.work_s = WORK_S
        await mesh.start(ROUTES)
        began = time.monotonic()

        async def wait_until(after_s: float) -> None:
            await asyncio.sleep(max(0.0, began + after_s - time.monotonic()))

        mesh.store.refusing = trouble()
        record.note("store", down=mesh.store.refusing)
        await wait_until(DEREGISTER_AFTER_S)
        late = leaving.beat_body("ready")
        leaving.state, leaving.leaving = "", True
        status = await leaving.post("Deregister", b'{"born":%d}' % leaving.born)
        left_at = time.monotonic()
        record.note("deregistered", id=leaving.name, status=status)
        if status != 200:
            raise RuntimeError(f"the departure was answered with {status}")
        if trouble():
            await wait_until(KILL_AFTER_S)
            node.signal(signal.SIGKILL)
            await node.wait_exit()
            await wait_until(RESTART_AFTER_S)
            node.write_settings(
                store=mesh.store_addresses["n1"], app=leaving.address, first_start=False
            )
            node.start()
        await wait_until(LATE_HEARTBEAT_AFTER_S)
        status = await leaving.post("Heartbeat", late)
        record.note("late_heartbeat", id=leaving.name, status=status)
        await wait_until(OUTAGE_S)
        mesh.store.refusing = False
        record.note("store", down=False)
        await wait_until(CALLS_AFTER_S)
        caller = Caller(record, mesh.nodes["n3"].listen["outbound"])
        calling = asyncio.create_task(caller.run())
        await wait_until(EXIT_AFTER_S)
        await leaving.stop()
        record.note("upstream_exits", id=leaving.name)
        await asyncio.sleep(3.0)
        calling.cancel()
        await asyncio.sleep(2.5)
        # The store is stable and all processes have run undisturbed for contact_s.
        in_touch_at = max(left_at + DRAIN_S, began + OUTAGE_S + CONTACT_S)
        late_runs = [
            attempt
            for at, attempt, *_ in leaving.runs
            if attempt in caller.sent and caller.sent[attempt][0] > in_touch_at
        ]
        lost = [item for item in late_runs if not 200 <= caller.sent[item][1] < 300]
        others = len(mesh.upstreams["n2"].runs)
        record.note("result", runs_after_drain=len(late_runs), of_these_lost=len(lost), n2=others)
        if not others:
            raise RuntimeError("the other upstream got no requests")
        return BROKEN if late_runs else HELD
    finally:
        await mesh.close()


run_case(case, str(FOLDER))
