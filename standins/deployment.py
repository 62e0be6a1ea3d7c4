"""Small deployment of real processes on loopback, for the demo and the process tests."""

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
    """A node process."""

    name: str
    zone: str
    addresses: NodeAddresses
    process: subprocess.Popen


class TargetProcess(NamedTuple):
    """A target process."""

    name: str
    address: str
    process: subprocess.Popen


class Deployment:
    """Starts and stops the platform stand-in, nodes and targets.

    As a context manager, it ends all processes that it started on exit.

    :param settings: settings that all nodes have in addition to their own
    :ivar path: folder for the settings and logs of the processes
    :ivar processes: all processes in the order of their start, the platform first
    :ivar nodes: the last process of each node, by name
    """

    def __init__(self, *, settings: dict | None = None):
        self.common_settings = settings or {}
        self.folder = tempfile.TemporaryDirectory(prefix="almondshore-")
        self.path = Path(self.folder.name)
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.platform_address = format_address(allocate_address())
        self.http = urllib3.PoolManager(retries=False, timeout=5)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc_info) -> None:
        # The platform is stopped last, so that nodes can release their leases.
        for process in self.processes[1:]:
            send_sigterm(process)
        for process in reversed(self.processes):
            self.stop(process)
        self.http.clear()
        self.folder.cleanup()

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{self.platform_address}"

    def start_platform(self) -> subprocess.Popen:
        """Start the platform stand-in and wait until it responds."""
        process = self._start(
            "platform", "-m", "standins.platform_server", "--listen", self.platform_address
        )
        wait_for(lambda: self._responds_ok(f"{self.platform_url}/v1/counts"), "the platform")
        return process

    def set_fault(self, fault: str) -> None:
        """Set the fault of the platform stand-in; ``none`` clears it."""
        body = json.dumps({"fault": fault}).encode()
        self.http.request("POST", f"{self.platform_url}/v1/fault", body=body)

    def start_node(self, name: str, zone: str) -> NodeProcess:
        """Start a node whose peers are the nodes started before it, and wait until it responds."""
        addresses = NodeAddresses(
            *map(format_address, allocate_addresses(len(NodeAddresses._fields)))
        )
        settings = {
            **self.common_settings,
            "node": name,
            "zone": zone,
            "listen": addresses._asdict(),
            "platform": {"url": self.platform_url},
            "peers": [node.addresses.control for node in self.nodes.values()],
        }
        return self._start_node(name, zone, addresses, settings)

    def restart_node(self, name: str) -> NodeProcess:
        """Start a node that has ended again, with its former settings."""
        node = self.nodes[name]
        settings = yaml.safe_load((self.path / f"{name}.yaml").read_text())
        return self._start_node(name, node.zone, node.addresses, settings)

    def _start_node(
        self, name: str, zone: str, addresses: NodeAddresses, settings: dict
    ) -> NodeProcess:
        settings_file = self.path / f"{name}.yaml"
        settings_file.write_text(yaml.safe_dump(settings))
        process = self._start(
            name, "-m", "almondshore.daemon.main", "--settings", str(settings_file)
        )
        node = NodeProcess(name, zone, addresses, process)
        self.nodes[name] = node
        wait_for(lambda: self._responds_ok(f"http://{addresses.admin}/almondshore/v1/health"), name)
        return node

    def start_target(
        self, node: NodeProcess, service: str, version: str, *options: str
    ) -> TargetProcess:
        """Start a target that announces itself to a node; does not wait for it."""
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
        """Run the command-line tool against the platform stand-in, for 60 s at most."""
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
        """Read how many requests a target has run: in total, by idempotency key and by path."""
        return json.loads(self.http.request("GET", f"http://{target.address}/runs").data)

    def status_of(self, node: NodeProcess) -> dict:
        """Read the status of a node from its admin address; empty if it does not respond."""
        try:
            response = self.http.request(
                "GET", f"http://{node.addresses.admin}/almondshore/v1/status"
            )
        except urllib3.exceptions.HTTPError:
            return {}
        return json.loads(response.data)

    def log_of(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.path / f"{name}.log").read_text()

    def diagnostics(self) -> str:
        """Return exit codes of ended processes, and the status and last log lines of each node."""
        ended = [process for process in self.processes if process.poll() is not None]
        lines = [f"exited with code {process.returncode}: {process.args}" for process in ended]
        for name, node in self.nodes.items():
            lines.append(f"{name}: {self.status_of(node)}")
            lines += self.log_of(name).splitlines()[-REPORTED_LOG_LINES:]
        return "\n".join(lines)

    def stop(self, process: subprocess.Popen) -> int:
        """Send SIGTERM to a process, and kill it if it does not end within ``STOP_TIMEOUT``.

        :return: its exit code
        """
        if send_sigterm(process):
            try:
                process.wait(STOP_TIMEOUT.total_seconds())
            except subprocess.TimeoutExpired:
                process.kill()
        return process.wait()

    def _start(self, name: str, *arguments: str) -> subprocess.Popen:
        with (self.path / f"{name}.log").open("a") as log:
            # In a session of its own, a paused process does not get SIGHUP when the shell that
            # started this one ends.
            process = subprocess.Popen(
                [*PYTHON, *arguments], stdout=log, stderr=log, start_new_session=True
            )
        self.processes.append(process)
        return process

    def _responds_ok(self, url: str) -> bool:
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def send_sigterm(process: subprocess.Popen) -> bool:
    """Send SIGTERM to a process unless it has ended; a suspended process is resumed first.

    Each process gets only one SIGTERM, since a second one ends a node at once.

    :return: False if the process has ended
    """
    if process.poll() is not None:
        return False
    if not getattr(process, "asked_to_end", False):
        process.send_signal(signal.SIGCONT)
        process.terminate()
        process.asked_to_end = True
    return True


def wait_for(
    condition: Callable[[], bool], awaited: str, timeout: timedelta = timedelta(seconds=30)
) -> None:
    """Poll until a condition holds.

    :param awaited: what is waited for, as the error message names it
    :raises TimeoutError: if it does not hold within the timeout
    """
    deadline = time.monotonic() + timeout.total_seconds()
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout} waiting for {awaited}")
        time.sleep(POLL_INTERVAL_SECONDS)
