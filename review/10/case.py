"""The connection of a client that stops reading an answer for two seconds is reset."""

import asyncio
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from mesh import (  # noqa: E402
    BROKEN,
    HELD,
    Mesh,
    attempt_id,
    encode_request,
    read_answer,
    run_case,
    trouble,
)

CLIENTS = 8
ANSWER_BYTES = 1_000_000
PAUSE_S = 2.5
DEADLINE_S = 6.0
# Links have small windows.
WINDOW_BYTES = 64 * 1024
# The rule allows three.
ALLOWED = 3
ROUTES = {
    "export": {
        "path_prefix": "/leny950/", "route_type": "idempotent", "service": "huvo11a",
        "timeout_s": DEADLINE_S, "target_latency_s": 5.0,
    },
}  # fmt: skip


def request(record, path: str) -> bytes:
    """Return an encoded request with an id of its own."""
    attempt = attempt_id()
    record.note("sent", attempt=attempt, path=path)
    headers = {
        "Host": "hulo84.example", "Attempt-Id": attempt, "Deadline-Ms": f"{DEADLINE_S * 1000:.0f}"
    }  # fmt: skip
    return encode_request("GET", path, headers)


async def use_connection(record, address: str, number: int) -> bool:
    """Send a small and a large request on one connection; return whether the answer was cut."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)
    writer.write(request(record, "/leny950/small"))
    if (await read_answer(reader)).status != 200:
        raise RuntimeError("the first request of the connection failed")
    writer.write(request(record, "/leny950/large"))
    if trouble():
        # The client is busy; its kernel receives what its buffer holds, and answers probes.
        await asyncio.sleep(PAUSE_S)
    answer = await asyncio.wait_for(read_answer(reader), DEADLINE_S)
    record.note(
        "answered", connection=number, status=answer.status, bytes=len(answer.body),
        failure=answer.failure.replace(" ", "_"),
    )  # fmt: skip
    writer.transport.abort()
    return answer.status == 0


async def case(record) -> int:
    """Let clients pause in the middle of an answer."""
    mesh = Mesh(record, {"n1": "huvo11a", "n2": "wuno96b"})
    try:
        mesh.upstreams["n1"].make_body = lambda request: (
            bytes(ANSWER_BYTES) if "large" in request.start else b"small"
        )
        await mesh.start(ROUTES)
        address = mesh.nodes["n2"].listen["outbound"]
        uses = (use_connection(record, address, number) for number in range(CLIENTS))
        cut = sum(await asyncio.gather(*uses))
        runs = len(mesh.upstreams["n1"].runs)
        record.note("result", connections=CLIENTS, runs=runs, cut=cut)
        if runs < 2 * CLIENTS or (cut and not trouble()):
            raise RuntimeError(f"{runs} runs, {cut} connections cut")
        return BROKEN if cut > ALLOWED else HELD
    finally:
        await mesh.close()


run_case(case, str(FOLDER))
