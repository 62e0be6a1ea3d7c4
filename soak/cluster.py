"""Node processes on loopback, with a stand-in store and targets, fault proxies and callers."""

import contextlib
import os
import random
import signal
import subprocess
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import eventlet
import msgspec
from eventlet.event import Event

from almondshore.core.clock import BootClock
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import Response, encode_request
from almondshore.http.server import Exchange
from almondshore.platform import names
from soak.faulty_target import FaultyTarget
from soak.guarantees import GuaranteeChecker, SentRequest
from soak.log_reader import LogReader
from soak.proxy import FaultProxy, ProxyMode
from standins.addresses import format_address
from standins.mesh_deployment import listen_addresses, stored_config
from standins.mesh_platform import StoreStandIn, serve

DRAIN = timedelta(seconds=2)
BOUNDS = "drain_s=2,grace_s=4,retry_budget_ratio=0.2,budget_window_s=10,budget_min_retries=56"
HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT = timedelta(seconds=3)
SERVICES = ("alpha", "beta")
REQUEST_INTERVAL_S = 0.04
RESTART_DELAY_S = 0.3
MAX_BODY_BYTES = 64 * 1024 * 1024
# A request with this in its path crashes each target that runs it.
CRASH_PATH_PART = "crash"
CRASH_DOWN_S = 1.5


class Host:
    """A node process and its local target, each reached through a fault proxy.

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

    def __init__(self, *, cluster: "Cluster", name: str, service: str):
        self.cluster = cluster
        self.name = name
        self.service = service
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
        path = self.cluster.folder / f"{self.name}.yaml"
        listen = "".join(
            f"  {key}: {format_address(value)}\n" for key, value in self.addresses.items()
        )
        path.write_text(
            f"node: {self.name}\nzone: a\nservice: {self.service}\n"
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

    def signal(self, number: int) -> None:
        """Send a signal to the node process if it is still running."""
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.paused = number == signal.SIGSTOP
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def restart(self, number: int, *, held: Address | None = None, held_s: float = 0.0) -> None:
        """Send a signal that ends the node process, wait for its exit and start it again.

        :param held: address that another socket listens on while the process starts
        :param held_s: for how long
        """
        self.restarting = True
        self.signal(number)
        while self.process is not None and self.process.poll() is None:
            eventlet.sleep(0.05)
        eventlet.sleep(RESTART_DELAY_S)
        if held is None:
            self.start()
        else:
            with contextlib.closing(eventlet.listen(held)):
                self.start()
                eventlet.sleep(held_s)
        self.restarting = False

    def is_undisturbed(self) -> bool:
        """Return whether the node process runs, reaches the store and has a target that stays."""
        return (
            self.process is not None
            and self.process.poll() is None
            and not self.restarting
            and not self.paused
            and self.store_proxy.mode is ProxyMode.PASS
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
        info = {"service": self.service, "version": "v1", "zone": "a", "slots": 4}
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


class Cluster:
    """Store, hosts, callers and the checks of one run.

    :param folder: folder for the settings and logs of the nodes
    :ivar store_faults: number of faults of the store in progress
    :ivar first_revision: revision of the store before any node wrote to it
    :ivar restored_entries: number of entries that were checked after a restore of the store
    :ivar version: version of the last configuration that was written
    """

    def __init__(self, *, folder: Path, hosts: int, seed: int):
        self.folder = folder
        self.rng = random.Random(seed)
        self.clock = BootClock()
        self.pool = ConnectionPool(clock=self.clock)
        self.checker = GuaranteeChecker(clock=self.clock, drain=DRAIN)
        self.store = StoreStandIn()
        self.store_server = serve(self.clock, self.store)
        self.store_faults = 0
        self.restored_entries = 0
        self.version = 1
        self.change_config()
        self.first_revision = self.store.revision
        self.hosts = [
            Host(cluster=self, name=f"n{number}", service=SERVICES[number % len(SERVICES)])
            for number in range(hosts)
        ]
        self.request_count = 0
        self.callers: list = []
        for host in self.hosts:
            host.target_standin.on_run = self._make_run_observer(host)
            host.start()

    def add_route(self) -> str:
        """Write a configuration with an additional route.

        :return: a path on the additional route
        """
        path = f"/added-{self.version}/"
        self.change_config(route_prefix=path)
        return f"{path}x"

    def change_config(self, route_prefix: str = "") -> None:
        """Write a new version of the configuration.

        :param route_prefix: path prefix of an additional route, empty for none
        """
        self.version += self.rng.randrange(1, 4)
        config = stored_config(self.version, SERVICES)
        config["limits"] = {**config["limits"], "max_body_bytes": MAX_BODY_BYTES}
        if route_prefix:
            config["routes"]["added"] = {
                **config["routes"][f"r-{SERVICES[0]}"],
                "path_prefix": route_prefix,
            }
        for name in SERVICES:
            once = {**config["routes"][f"r-{name}"], "route_type": "non_idempotent"}
            config["routes"][f"once-{name}"] = {**once, "path_prefix": f"/once/{name}/"}
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, config)

    def call(self, address: Address, data: bytes) -> CallResult:
        """Send an encoded request and wait for its result, at most ``CALL_TIMEOUT``."""
        done: Event = Event()
        self.pool.call(address, data, timeout=CALL_TIMEOUT, on_done=done.send)
        return done.wait()

    def send_random_request(self, host: Host, body: bytes = b"") -> int | None:
        """Send an idempotent or non-idempotent request to a random service and check its result.

        :param body: body of the request
        :return: status of the response, None if there was none
        """
        self.request_count += 1
        service = self.rng.choice(SERVICES)
        idempotent = self.rng.random() < 0.5
        sent = SentRequest(f"q{self.request_count}", host.name, host.service, service, idempotent)
        self.checker.sent[sent.request_id] = sent
        path = f"/{service}/x" if idempotent else f"/once/{service}/x"
        method = b"GET" if idempotent else b"POST"
        result = self._send_request(host, method, path, sent.request_id, body)
        self.checker.on_result(sent, result)
        return result.response.status if result.response is not None else None

    def probe_route(self, host: Host, path: str, service: str = SERVICES[0]) -> int | None:
        """Send an idempotent request for a path of a service, without checking its result.

        :return: status of the response, None if there was none
        """
        self.request_count += 1
        sent = SentRequest(f"q{self.request_count}", host.name, host.service, service, True)
        self.checker.sent[sent.request_id] = sent
        response = self._send_request(host, b"GET", path, sent.request_id).response
        return response.status if response is not None else None

    def _send_request(
        self, host: Host, method: bytes, path: str, request_id: str, body: bytes = b""
    ) -> CallResult:
        headers = (
            (b"Host", b"h.example"),
            (names.REQUEST_ID, request_id.encode()),
            (names.TIME_LEFT, b"1500"),
        )
        data = encode_request(method, path.encode(), headers, body)
        return self.call(host.addresses["outbound"], data)

    def start_callers(self) -> None:
        """Start one caller for each host; they send requests until they are stopped."""
        self.callers = [eventlet.spawn(self._run_caller, host) for host in self.hosts]

    def stop_callers(self) -> None:
        """Stop the callers from sending further requests."""
        for caller in self.callers:
            caller.kill()

    def close(self) -> None:
        """Stop the callers and hosts, and close the store."""
        self.stop_callers()
        for host in self.hosts:
            host.stop()
        self.store_server.close()

    def _run_caller(self, host: Host) -> None:
        pool = eventlet.GreenPool(50)
        while True:
            eventlet.sleep(REQUEST_INTERVAL_S)
            pool.spawn_n(self.send_random_request, host)

    def _make_run_observer(self, host: Host):
        def on_run(exchange: Exchange) -> None:
            request = exchange.request
            request_id = (request.header(names.REQUEST_ID.lower()) or b"").decode()
            caller = (request.header(names.CALLER.lower()) or b"").decode()
            self.checker.on_run(host.target_id(), host.service, request_id, caller)
            if CRASH_PATH_PART.encode() in request.target:
                eventlet.spawn(host.crash_target)

        return on_run
