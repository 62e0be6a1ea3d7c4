"""A node process on loopback and its target, each behind a fault proxy."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

import eventlet
import msgspec

from almondshore.http.client import Address
from almondshore.http.messages import Response, encode_request
from almondshore.http.server import Exchange
from almondshore.platform import names
from soak.faulty_target import FaultyTarget
from soak.log_reader import LogReader
from soak.proxy import FaultProxy, ProxyMode
from standins.addresses import format_address
from standins.mesh_deployment import listen_addresses
from standins.mesh_platform import serve

if TYPE_CHECKING:
    from soak.cluster import Cluster

DRAIN = timedelta(seconds=2)
BOUNDS = (
    "drain_s=2,grace_s=4,retry_budget_ratio=0.2,budget_window_s=10,budget_min_retries=56,"
    "config_apply_s=2.5,contact_s=3,evacuate_s=5,quota_window_s=5,quota_overage=0.1,quota_slack=20"
)
HEARTBEAT_INTERVAL_S = 0.5
RESTART_DELAY_S = 0.3
CRASH_DOWN_S = 1.5


class Host:
    """A node process and its local target, each reached through a fault proxy.

    :param zone: availability zone of the node and the target
    :ivar generation: number of targets that this host had before the present one
    :ivar sequence: number of the last heartbeat of the present target
    :ivar born: start time of the present target in milliseconds, as sent in its heartbeats
    :ivar state: state in the heartbeats; no heartbeats are sent while it is empty
    :ivar log_reader: reads the output of the process
    :ivar peak_mb: largest resident memory of its processes so far
    :ivar restarting: whether the soak itself is restarting the process
    :ivar paused: whether the process is suspended
    :ivar unexpected_exits: status of each exit of the node process that no signal from the soak
        caused (SIGHUP ends a process that has not installed its handlers yet)
    """

    def __init__(self, *, cluster: "Cluster", name: str, service: str, zone: str):
        self.cluster = cluster
        self.name = name
        self.service = service
        self.zone = zone
        self.generation = 0
        self.sequence = 0
        self.born = 1000
        self.state = "ready"
        self.target_standin = FaultyTarget(target=self.target_id(), rng=cluster.rng)
        self.target_standin.make_response = self._make_response
        self.server = serve(cluster.clock, self.target_standin)
        self.target_proxy = FaultProxy(destination=self.server.address(), rng=cluster.rng)
        self.store_proxy = FaultProxy(destination=cluster.store_server.address(), rng=cluster.rng)
        self.addresses = listen_addresses()
        self.process: subprocess.Popen | None = None
        self.log_reader: LogReader | None = None
        self.peak_mb = 0.0
        self.restarting = False
        self.paused = False
        self.unexpected_exits: list[int] = []
        self.heartbeat_task = eventlet.spawn(self._heartbeat_loop)

    def target_id(self) -> str:
        """Return the identity of the present target; each replacement has a new one."""
        return f"i-{self.name}-{self.generation}"

    def start(self) -> None:
        """Write the settings and start the node process; its output is appended to a log file."""
        self.cluster.contact.disturb(self.name)
        path = self.cluster.folder / f"{self.name}.yaml"
        listen = "".join(
            f"  {key}: {format_address(value)}\n" for key, value in self.addresses.items()
        )
        path.write_text(
            f"node: {self.name}\nzone: {self.zone}\nservice: {self.service}\n"
            f"app: {format_address(self.target_proxy.address)}\nlisten:\n{listen}"
            f"store: {format_address(self.store_proxy.address)}\n"
            f'link_mbps: 100.0\nfirst_start: false\nbounds: "{BOUNDS}"\n'
        )
        self.log_reader = LogReader(path=self.cluster.folder / f"{self.name}.log")
        self.process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "almondshore.platform.main"],
            env={**os.environ, "ALMONDSHORE_SETTINGS": str(path)},
            stdout=self.log_reader.write_end,
            stderr=subprocess.STDOUT,
            # A process that is paused ends by SIGHUP if the shell that started the soak ends.
            start_new_session=True,
        )
        self.log_reader.start()

    def output(self) -> str:
        """Return what the processes of this host wrote so far."""
        path = self.log_reader.path
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: int) -> None:
        """Send a signal to the node process if it is still running."""
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.paused = number == signal.SIGSTOP
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def restart(self, number: int, *, held_port: str = "", held_s: float = 0.0) -> None:
        """Send a signal that ends the node process, wait for its exit and start it again.

        :param held_port: listener whose address another socket holds while the process starts,
            empty for none
        :param held_s: for how long
        """
        self.restarting = True
        self.signal(number)
        while self.process is not None and self.process.poll() is None:
            eventlet.sleep(0.05)
        eventlet.sleep(RESTART_DELAY_S)
        if not held_port:
            self.start()
        else:
            with contextlib.closing(_bind(held_port, self.addresses[held_port])):
                self.start()
                eventlet.sleep(held_s)
        self.restarting = False

    def has_contact(self) -> bool:
        """Return whether the node process runs with undisturbed links to the store and target."""
        return (
            self.process is not None
            and self.process.poll() is None
            and not self.restarting
            and not self.paused
            and self.store_proxy.is_undisturbed()
            and self.target_proxy.is_undisturbed()
        )

    def is_undisturbed(self) -> bool:
        """Return whether the node process runs, reaches the store and has a target that stays."""
        return (
            self.process is not None
            and self.process.poll() is None
            and not self.restarting
            and not self.paused
            and self.store_proxy.is_undisturbed()
            and self.target_proxy.mode is not ProxyMode.CRASHED
            and self.state == "ready"
        )

    def supervise(self) -> None:
        """Restart the node process if it exited by itself, as the platform does."""
        self.peak_memory_mb()
        if self.process is None or self.process.poll() is None or self.restarting:
            return
        if self.process.returncode != -signal.SIGHUP:
            self.unexpected_exits.append(self.process.returncode)
        self.start()

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory that a node process of this host has had."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            # The process has ended.
            return self.peak_mb
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)
        return self.peak_mb

    def crash_target(self) -> None:
        """End the target without notice, and start it again after a while."""
        if self.target_proxy.mode is ProxyMode.CRASHED:
            return
        self.target_proxy.set_mode(ProxyMode.CRASHED)
        eventlet.sleep(CRASH_DOWN_S)
        self.target_proxy.set_mode(ProxyMode.PASS)
        self.born += 1
        self.sequence = 0

    def replace_target(
        self, *, drain_first: bool, during: Callable[[], None] | None = None
    ) -> None:
        """Drain or deregister the target, and start its replacement after two drain periods.

        :param drain_first: announce a drain; otherwise deregister without one
        :param during: called once the departure was announced; a late heartbeat follows it
        """
        target_id, born = self.target_id(), self.born
        if drain_first:
            self.state = "draining"
            if self._send_heartbeat() == 200:
                self.cluster.checker.on_departure_acknowledged(target_id)
        else:
            self.state = ""
            path = f"{names.DEREGISTER_PATH}{target_id}"
            if self._post(path, {"born": born}) == 200:
                self.cluster.checker.on_departure_acknowledged(target_id)
        if during is not None:
            during()
            self.state = "ready"
            self._send_heartbeat(late=True)
            self.state = ""
        eventlet.sleep(DRAIN.total_seconds() * 2)
        self.generation += 1
        self.born += 1_000_000
        self.target_standin.target = self.target_id()
        self.sequence = 0
        self.state = "ready"

    def stop(self) -> None:
        """Kill the node process and close the target and the proxies."""
        self.heartbeat_task.kill()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
            self.log_reader.close()
        for component in (self.target_proxy, self.store_proxy, self.server):
            component.close()

    def _heartbeat_loop(self) -> None:
        while True:
            eventlet.sleep(HEARTBEAT_INTERVAL_S)
            self.supervise()
            if self.state:
                self._send_heartbeat()

    def _send_heartbeat(self, *, late: bool = False) -> int | None:
        """Send the next heartbeat, or the last one once more as if it were late."""
        if not late:
            self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": 4}
        status = {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0}
        body = {
            "address": format_address(self.target_proxy.address),
            "info": info,
            "status": status,
        }
        return self._post(f"{names.HEARTBEAT_PATH}{self.target_id()}", {**body, "born": self.born})

    def _post(self, path: str, body: dict) -> int | None:
        headers = ((b"Host", b"h"),)
        data = encode_request(b"POST", path.encode(), headers, msgspec.json.encode(body))
        response = self.cluster.call(self.addresses["control"], data).response
        return response.status if response is not None else None

    def _make_response(self, exchange: Exchange) -> Response:
        request_id = exchange.request.header(names.REQUEST_ID.lower()) or b""
        headers = ((names.REQUEST_ID, request_id), (names.SIGNATURE, b"s"))
        return Response(200, headers, request_id * 50)


def _bind(listener: str, address: Address) -> socket.socket:
    """Return a socket that holds the address of a listener of a node."""
    if listener != "quotas":
        return eventlet.listen(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    return sock
