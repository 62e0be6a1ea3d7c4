"""Node processes, with a store, upstreams, proxies and callers around them."""

import os
import random
import signal
import subprocess
import sys
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
from soak.promises import Promises, Sent
from soak.proxy import FaultProxy
from standins.addresses import format_address
from standins.mesh_deployment import listen_addresses, stored_config
from standins.mesh_platform import StoreStandIn, UpstreamStandIn, serve

DRAIN = timedelta(seconds=2)
BOUNDS = "drain_s=2,grace_s=4,retry_budget_ratio=0.2,budget_window_s=10,budget_min_retries=56"
HEARTBEAT_S = 0.5
CALL_TIMEOUT = timedelta(seconds=3)
SERVICES = ("alpha", "beta")
REQUEST_PAUSE_S = 0.04
RESTART_S = 0.3


class Host:
    """A node process and the upstream beside it.

    :ivar born: start of the upstream, in milliseconds
    :ivar exits: times that the node process ended by itself
    :ivar state: what its heartbeats say; empty once it has gone
    """

    def __init__(self, *, world: "World", name: str, service: str):
        self.world = world
        self.name = name
        self.service = service
        self.generation = 0
        self.sequence = 0
        self.born = 1000
        self.state = "ready"
        self.upstream = UpstreamStandIn(target=self.target())
        self.upstream.make_response = self._answer
        self.server = serve(world.clock, self.upstream)
        self.app_proxy = FaultProxy(target=self.server.address())
        self.store_proxy = FaultProxy(target=world.store_server.address())
        self.addresses = listen_addresses()
        self.process: subprocess.Popen | None = None
        self.restarting = False
        self.exits = 0
        self.greenlet = eventlet.spawn(self._announce)

    def target(self) -> str:
        """Return the identity of the present upstream."""
        return f"i-{self.name}-{self.generation}"

    def start(self) -> None:
        """Start the node process."""
        path = self.world.folder / f"{self.name}.yaml"
        listen = "".join(
            f"  {key}: {format_address(value)}\n" for key, value in self.addresses.items()
        )
        path.write_text(
            f"node: {self.name}\nzone: a\nservice: {self.service}\n"
            f"app: {format_address(self.app_proxy.address)}\nlisten:\n{listen}"
            f"store: {format_address(self.store_proxy.address)}\n"
            f'link_mbps: 100.0\nbounds: "{BOUNDS}"\n'
        )
        log = (self.world.folder / f"{self.name}.log").open("a")
        self.process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", "almondshore.platform.main"],
            env={**os.environ, "ALMONDSHORE_SETTINGS": str(path), "EVENTLET_NO_GREENDNS": "yes"},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number: int) -> None:
        """Send a signal to the node process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def restart(self, number: int) -> None:
        """End the node process by a signal and start it again."""
        self.restarting = True
        self.signal(number)
        while self.process is not None and self.process.poll() is None:
            eventlet.sleep(0.05)
        eventlet.sleep(RESTART_S)
        self.start()
        self.restarting = False

    def supervise(self) -> None:
        """Start a process again that has ended by itself, as the platform does."""
        if self.process is not None and self.process.poll() is not None and not self.restarting:
            self.exits += 1
            self.start()

    def leave(self, *, notice: bool) -> None:
        """Let the upstream leave, and another one take its place later.

        :param notice: whether it says that it drains before it deregisters
        """
        name, born = self.target(), self.born
        if notice:
            self.state = "draining"
            if self._send_heartbeat() == 200:
                self.world.promises.on_acknowledged(name)
        else:
            self.state = ""
            path = f"{names.DEREGISTER_PATH}{name}"
            if self._post(path, {"born": born}) == 200:
                self.world.promises.on_acknowledged(name)
        eventlet.sleep(DRAIN.total_seconds() * 2)
        self.generation += 1
        self.born += 1_000_000
        self.upstream.target = self.target()
        self.sequence = 0
        self.state = "ready"

    def stop(self) -> None:
        """End everything."""
        self.greenlet.kill()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        for part in (self.app_proxy, self.store_proxy, self.server):
            part.close()

    def _announce(self) -> None:
        while True:
            eventlet.sleep(HEARTBEAT_S)
            self.supervise()
            if self.state:
                self._send_heartbeat()

    def _send_heartbeat(self) -> int | None:
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": "a", "slots": 4}
        status = {"state": self.state, "sequence": self.sequence, "warmup_left_s": 0}
        body = {"address": format_address(self.app_proxy.address), "info": info, "status": status}
        return self._post(f"{names.HEARTBEAT_PATH}{self.target()}", {**body, "born": self.born})

    def _post(self, path: str, body: dict) -> int | None:
        headers = ((b"Host", b"h"),)
        data = encode_request(b"POST", path.encode(), headers, msgspec.json.encode(body))
        response = self.world.call(self.addresses["control"], data).response
        return response.status if response is not None else None

    def _answer(self, exchange: Exchange) -> Response:
        request_id = exchange.request.header(names.REQUEST_ID.lower()) or b""
        headers = ((names.REQUEST_ID, request_id), (names.SIGNATURE, b"s"))
        return Response(200, headers, request_id * 50)


class World:
    """All parts of one run."""

    def __init__(self, *, folder: Path, hosts: int, seed: int):
        self.folder = folder
        self.rng = random.Random(seed)
        self.clock = BootClock()
        self.pool = ConnectionPool(clock=self.clock)
        self.promises = Promises(clock=self.clock, drain=DRAIN)
        self.store = StoreStandIn()
        self.store_server = serve(self.clock, self.store)
        self.version = 1
        self.change_config()
        self.hosts = [
            Host(world=self, name=f"n{number}", service=SERVICES[number % len(SERVICES)])
            for number in range(hosts)
        ]
        self.count = 0
        self.callers: list = []
        for host in self.hosts:
            host.upstream.on_run = self._run_hook(host)
            host.start()

    def add_route(self) -> str:
        """Write a configuration with a further route; returns a path of it."""
        path = f"/added-{self.version}/"
        self.change_config(added=path)
        return f"{path}x"

    def change_config(self, added: str = "") -> None:
        """Write a new version of the configuration.

        :param added: prefix of a further route, empty for none
        """
        self.version += self.rng.randrange(1, 4)
        config = stored_config(self.version, SERVICES)
        if added:
            config["routes"]["added"] = {
                **config["routes"][f"r-{SERVICES[0]}"],
                "path_prefix": added,
            }
        for name in SERVICES:
            once = {**config["routes"][f"r-{name}"], "route_type": "non_idempotent"}
            config["routes"][f"once-{name}"] = {**once, "path_prefix": f"/once/{name}/"}
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, config)

    def call(self, address: Address, data: bytes) -> CallResult:
        """Make a call and wait for its result."""
        done: Event = Event()
        self.pool.call(address, data, timeout=CALL_TIMEOUT, on_done=done.send)
        return done.wait()

    def send(self, host: Host) -> int | None:
        """Send a caller's request; returns the status."""
        self.count += 1
        service = self.rng.choice(SERVICES)
        idempotent = self.rng.random() < 0.5
        sent = Sent(f"q{self.count}", host.name, host.service, service, idempotent)
        self.promises.sent[sent.request_id] = sent
        path = f"/{service}/x" if idempotent else f"/once/{service}/x"
        method = b"GET" if idempotent else b"POST"
        result = self._send_request(host, method, path, sent.request_id)
        self.promises.on_result(sent, result)
        return result.response.status if result.response is not None else None

    def request(self, host: Host, path: str) -> int | None:
        """Send an idempotent request for the first service; returns the status."""
        self.count += 1
        sent = Sent(f"q{self.count}", host.name, host.service, SERVICES[0], True)
        self.promises.sent[sent.request_id] = sent
        response = self._send_request(host, b"GET", path, sent.request_id).response
        return response.status if response is not None else None

    def _send_request(self, host: Host, method: bytes, path: str, request_id: str) -> CallResult:
        headers = (
            (b"Host", b"h.example"),
            (names.REQUEST_ID, request_id.encode()),
            (names.TIME_LEFT, b"1500"),
        )
        data = encode_request(method, path.encode(), headers, b"")
        return self.call(host.addresses["outbound"], data)

    def start_callers(self) -> None:
        """Let callers send requests to all hosts until they are stopped."""
        self.callers = [eventlet.spawn(self._keep_sending, host) for host in self.hosts]

    def stop_callers(self) -> None:
        """Stop the callers; requests under way are cancelled."""
        for caller in self.callers:
            caller.kill()

    def close(self) -> None:
        """End all parts."""
        self.stop_callers()
        for host in self.hosts:
            host.stop()
        self.store_server.close()

    def _keep_sending(self, host: Host) -> None:
        pile = eventlet.GreenPool(50)
        while True:
            eventlet.sleep(REQUEST_PAUSE_S)
            pile.spawn_n(self.send, host)

    def _run_hook(self, host: Host):
        def on_run(exchange: Exchange) -> None:
            request = exchange.request
            request_id = (request.header(names.REQUEST_ID.lower()) or b"").decode()
            caller = (request.header(names.CALLER.lower()) or b"").decode()
            self.promises.on_run(host.target(), host.service, request_id, caller)

        return on_run
