"""Hosts with node processes, the stand-in store that they share, and callers."""

import random
from datetime import timedelta
from pathlib import Path

import eventlet
from eventlet.event import Event

from almondshore.core.clock import BootClock
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import encode_request
from almondshore.http.server import Exchange
from almondshore.platform import names
from soak.guarantees import GuaranteeChecker, SentRequest
from soak.host import DRAIN, Host
from standins.mesh_deployment import stored_config
from standins.mesh_platform import StoreStandIn, serve

CALL_TIMEOUT = timedelta(seconds=3)
SERVICES = ("alpha", "beta")
REQUEST_INTERVAL_S = 0.04
MAX_BODY_BYTES = 64 * 1024 * 1024
# A request with this in its path crashes each target that runs it.
CRASH_PATH_PART = "crash"


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
