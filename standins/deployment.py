"""A small deployment of real processes on loopback, for the demo and for process tests."""

import json
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import urllib3
import yaml

from standins.addresses import allocate_address, allocate_addresses, format_address

STOP_TIMEOUT = timedelta(seconds=10)
POLL_INTERVAL_SECONDS = 0.05
REPORTED_LOG_LINES = 20
PYTHON = [sys.executable, "-W", "ignore"]


class NodeAddresses(NamedTuple):
    """Listening addresses of a node, ``ip:port`` each."""

    caller: str
    internal: str
    peer: str
    control: str
    admin: str


class NodeProcess(NamedTuple):
    """A running node."""

    name: str
    zone: str
    addresses: NodeAddresses
    process: subprocess.Popen


class TargetProcess(NamedTuple):
    """A running target."""

    name: str
    address: str
    process: subprocess.Popen


class Deployment:
    """Starts and stops the platform stand-in, nodes and targets.

    Used as a context manager: all processes it started are ended on exit.
    """

    def __init__(self, *, settings: dict | None = None):
        self.extra_settings = settings or {}
        self.folder = tempfile.TemporaryDirectory(prefix="almondshore-")
        self.path = Path(self.folder.name)
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.platform_address = format_address(allocate_address())
        self.http = urllib3.PoolManager(retries=False, timeout=5)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc_info) -> None:
        # The platform ends last, so that nodes can give their leases back.
        for process in self.processes[1:]:
            ask_to_end(process)
        for process in reversed(self.processes):
            self.stop(process)
        self.http.clear()
        self.folder.cleanup()

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{self.platform_address}"

    def start_platform(self) -> subprocess.Popen:
        """Start the platform stand-in and wait until it answers."""
        process = self._start(
            "platform", "-m", "standins.platform_server", "--listen", self.platform_address
        )
        wait_for(lambda: self._answers(f"{self.platform_url}/v1/counts"), "the platform")
        return process

    def set_fault(self, fault: str) -> None:
        """Switch a fault of the platform on, or all off with ``none``."""
        body = json.dumps({"fault": fault}).encode()
        self.http.request("POST", f"{self.platform_url}/v1/fault", body=body)

    def start_node(self, name: str, zone: str) -> NodeProcess:
        """Start a node; it knows the control addresses of the nodes started before it."""
        addresses = NodeAddresses(
            *map(format_address, allocate_addresses(len(NodeAddresses._fields)))
        )
        settings = {
            **self.extra_settings,
            "node": name,
            "zone": zone,
            "listen": addresses._asdict(),
            "platform": {"url": self.platform_url},
            "peers": [node.addresses.control for node in self.nodes.values()],
        }
        return self._start_node(name, zone, addresses, settings)

    def restart_node(self, name: str) -> NodeProcess:
        """Start a node that has ended again, with the settings that it had."""
        node = self.nodes[name]
        settings = yaml.safe_load((self.path / f"{name}.yaml").read_text())
        return self._start_node(name, node.zone, node.addresses, settings)

    def _start_node(
        self, name: str, zone: str, addresses: NodeAddresses, settings: dict
    ) -> NodeProcess:
        file = self.path / f"{name}.yaml"
        file.write_text(yaml.safe_dump(settings))
        process = self._start(name, "-m", "almondshore.daemon.main", "--settings", str(file))
        node = NodeProcess(name, zone, addresses, process)
        self.nodes[name] = node
        wait_for(lambda: self._answers(f"http://{addresses.admin}/almondshore/v1/health"), name)
        return node

    def start_target(
        self, node: NodeProcess, service: str, version: str, *options: str
    ) -> TargetProcess:
        """Start a target on the host of a node."""
        address = format_address(allocate_address())
        name = f"{service}-{version}-{len(self.processes)}"
        process = self._start(
            name,
            *("-m", "standins.target_server", "--listen", address),
            *("--announce", f"http://{node.addresses.admin}", "--name", name),
            *("--service", service, "--version", version, *options),
        )
        return TargetProcess(name, address, process)

    def command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command-line tool and return its result."""
        return subprocess.run(
            [
                *PYTHON,
                *("-m", "almondshore.ui.main", "--platform", self.platform_url),
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def runs_of(self, target: TargetProcess) -> dict:
        """Read how many requests a target has run, in all and by idempotency key."""
        return json.loads(self.http.request("GET", f"http://{target.address}/runs").data)

    def status_of(self, node: NodeProcess) -> dict:
        """Read the status of a node from its admin address; empty if it does not answer."""
        try:
            response = self.http.request(
                "GET", f"http://{node.addresses.admin}/almondshore/v1/status"
            )
        except urllib3.exceptions.HTTPError:
            return {}
        return json.loads(response.data)

    def log_of(self, name: str) -> str:
        """Return what a process has written so far."""
        return (self.path / f"{name}.log").read_text()

    def diagnostics(self) -> str:
        """Return what a failure is traced by: ended processes, and state and logs of the nodes."""
        ended = [process for process in self.processes if process.poll() is not None]
        lines = [f"ended with {process.returncode}: {process.args}" for process in ended]
        for name, node in self.nodes.items():
            lines.append(f"{name}: {self.status_of(node)}")
            lines += self.log_of(name).splitlines()[-REPORTED_LOG_LINES:]
        return "\n".join(lines)

    def stop(self, process: subprocess.Popen) -> int:
        """Ask a process to end, and kill it if it does not.

        :returns: its exit code
        """
        if ask_to_end(process):
            try:
                process.wait(STOP_TIMEOUT.total_seconds())
            except subprocess.TimeoutExpired:
                process.kill()
        return process.wait()

    def _start(self, name: str, *arguments: str) -> subprocess.Popen:
        with (self.path / f"{name}.log").open("a") as log:
            process = subprocess.Popen([*PYTHON, *arguments], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def _answers(self, url: str) -> bool:
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def ask_to_end(process: subprocess.Popen) -> bool:
    """Send SIGTERM to a process, also if it is stopped; False if it has ended.

    A process gets it once only, since a second one ends a node at once.
    """
    if process.poll() is not None:
        return False
    if not getattr(process, "asked_to_end", False):
        process.send_signal(signal.SIGCONT)
        process.terminate()
        process.asked_to_end = True
    return True


def wait_for(
    condition: Callable[[], bool], what: str, timeout: timedelta = timedelta(seconds=30)
) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold within the timeout
    """
    give_up_at = time.monotonic() + timeout.total_seconds()
    while not condition():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"{what} was not ready within {timeout}")
        time.sleep(POLL_INTERVAL_SECONDS)
