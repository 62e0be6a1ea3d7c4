"""Hosts with node processes, the stand-in store that they share, and callers."""

import random
from datetime import timedelta
from pathlib import Path

import eventlet
from eventlet.event import Event

from almondshore.core.clock import BootClock
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import Request, encode_request
from almondshore.http.server import Exchange
from almondshore.platform import names
from soak import tenants
from soak.config_history import NO_CONFIG, ConfigHistory
from soak.contact import SAMPLE_INTERVAL, ContactTracker
from soak.evacuations import Evacuations
from soak.guarantees import GuaranteeChecker, SentRequest
from soak.host import DRAIN, Host
from soak.quotas import QuotaChecker
from soak.tenants import DrawnAccess, RouteAccess, TenantChecker, TenantRequest
from standins.mesh_deployment import stored_config
from standins.mesh_platform import StoreStandIn, serve

CALL_TIMEOUT = timedelta(seconds=3)
SERVICES = ("alpha", "beta")
REQUEST_INTERVAL_S = 0.04
# Share of the requests whose key, route and `Tenant` header are drawn.
TENANT_REQUEST_SHARE = 0.4
# Hosts in the second zone, if any. In the first zone, some nodes get changes from other nodes where
# it has more than four.
SECOND_ZONE_SIZES = (0, 2, 3)
MAX_BODY_BYTES = 64 * 1024 * 1024
# What a request carries that every version of the configuration allows.
STEADY_ACCESS = DrawnAccess(tenants.STEADY_KEY, RouteAccess.KEYED, "")
# A request with this in its path crashes each target that runs it.
CRASH_PATH_PART = "crash"


class Cluster:
    """Store, hosts, callers and the checks of one run.

    :param folder: folder for the settings and logs of the nodes
    :ivar store_faults: number of faults of the store in progress
    :ivar first_revision: revision of the store before any node wrote to it
    :ivar restored_entries: number of entries that were checked after a restore of the store
    :ivar version: version of the last configuration that was written
    :ivar contact: tells which nodes the rules for nodes in contact apply to
    :ivar history: versions of the configuration that the store has held
    :ivar tenants: checks of keys and tenants
    :ivar quota: check of the tenant that exceeds its quota
    :ivar evacuations: evacuations of zones and their check
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
        self._make_checkers([f"n{number}" for number in range(hosts)])
        self.change_config()
        self.first_revision = self.store.revision
        second_zone = self.rng.choice(SECOND_ZONE_SIZES)
        self.hosts = [
            Host(
                cluster=self,
                name=f"n{number}",
                service=SERVICES[number % len(SERVICES)],
                zone="a" if number < hosts - second_zone else "b",
            )
            for number in range(hosts)
        ]
        self.request_count = 0
        self.callers: list = []
        for host in self.hosts:
            host.target_standin.on_run = self._make_run_observer(host)
            host.start()
        self.sampler = eventlet.spawn(self._run_sampler)

    def _make_checkers(self, nodes: list[str]) -> None:
        violations = self.checker.violations
        self.contact = ContactTracker(clock=self.clock)
        self.history = ConfigHistory(clock=self.clock)
        self.tenants = TenantChecker(
            clock=self.clock, history=self.history, contact=self.contact, violations=violations
        )
        self.quota = QuotaChecker(
            clock=self.clock, contact=self.contact, nodes=nodes, violations=violations
        )
        self.evacuations = Evacuations(
            clock=self.clock, store=self.store, contact=self.contact, violations=violations
        )

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
        version = tenants.draw_version(self.rng, self.version)
        config = stored_config(self.version, SERVICES)
        config["tenants"] = tenants.tenant_documents(version)
        config["limits"] = {**config["limits"], "max_body_bytes": MAX_BODY_BYTES}
        if route_prefix:
            config["routes"]["added"] = {
                **config["routes"][f"r-{SERVICES[0]}"],
                "path_prefix": route_prefix,
            }
        for name in SERVICES:
            route = config["routes"][f"r-{name}"]
            once = {"route_type": "non_idempotent", "path_prefix": f"/once/{name}/"}
            config["routes"][f"once-{name}"] = {**route, **once}
            public = {"public": True, "path_prefix": f"/public/{name}/"}
            config["routes"][f"public-{name}"] = {**route, **public}
            if version.has_extra_route:
                config["routes"][f"extra-{name}"] = {**route, "path_prefix": f"/extra/{name}/"}
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, config)
        self.history.on_written(version)
        self.quota.on_written(version.quota)

    def write_again(self) -> None:
        """Write what the operator wrote once more, after the store was restored."""
        self.change_config()
        self.evacuations.write_again()

    def on_store_restored(self) -> None:
        """Tell the checks what the store holds after a restore."""
        config = self.store.get(names.CONFIG_KIND, names.CONFIG_NAME)
        number = int(config["spec"]["version"], 16) if config is not None else NO_CONFIG
        version = self.history.versions.get(number)
        self.history.on_restored(number)
        self.quota.on_restored(version.quota if version is not None else None)
        self.evacuations.on_restored()

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
        access = STEADY_ACCESS
        return self.send_request(host, access, body)

    def send_request(self, host: Host, access: DrawnAccess, body: bytes = b"") -> int | None:
        """Send a request to a random service, non-idempotent only on a keyed route, and check it.

        :param access: key, kind of route and `Tenant` header
        :param body: body of the request
        :return: status of the response, None if there was none
        """
        self.request_count += 1
        service = self.rng.choice(SERVICES)
        idempotent = access.access is not RouteAccess.KEYED or self.rng.random() < 0.5
        sent = SentRequest(
            f"q{self.request_count}",
            host.name,
            host.service,
            service,
            idempotent,
            is_denial_checked=access.access is RouteAccess.EXTRA,
        )
        self.checker.sent[sent.request_id] = sent
        prefix = "" if access.access is RouteAccess.KEYED else f"/{access.access}"
        path = f"{prefix}/{service}/x" if idempotent else f"/once/{service}/x"
        method = b"GET" if idempotent else b"POST"
        result = self.send(host, method, path, sent.request_id, access, body)
        self.checker.on_result(sent, result)
        if result.response is None:
            return None
        self.tenants.on_result(sent.request_id, result.response.status)
        return result.response.status

    def probe_route(self, host: Host, path: str, service: str = SERVICES[0]) -> int | None:
        """Send an idempotent request for a path of a service, without checking its result.

        :return: status of the response, None if there was none
        """
        self.request_count += 1
        sent = SentRequest(f"q{self.request_count}", host.name, host.service, service, True)
        self.checker.sent[sent.request_id] = sent
        response = self.send(host, b"GET", path, sent.request_id).response
        return response.status if response is not None else None

    def send(
        self,
        host: Host,
        method: bytes,
        path: str,
        request_id: str,
        access: DrawnAccess = STEADY_ACCESS,
        body: bytes = b"",
    ) -> CallResult:
        """Send a request through a host's node, without checking its result."""
        headers = [
            (b"Host", b"h.example"),
            (names.REQUEST_ID, request_id.encode()),
            (names.TIME_LEFT, b"1500"),
        ]
        if access.key:
            headers.append((names.KEY, b"Token " + access.key.encode()))
        if access.tenant_header:
            headers.append((names.TENANT, access.tenant_header.encode()))
        self.tenants.requests[request_id] = TenantRequest(
            host.name, access.key, access.access, self.clock.monotonic()
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
        self.sampler.kill()
        self.stop_callers()
        for host in self.hosts:
            host.stop()
        self.store_server.close()

    def _run_caller(self, host: Host) -> None:
        pool = eventlet.GreenPool(50)
        while True:
            eventlet.sleep(REQUEST_INTERVAL_S)
            if self.rng.random() < TENANT_REQUEST_SHARE:
                pool.spawn_n(self.send_request, host, tenants.draw_access(self.rng))
            else:
                pool.spawn_n(self.send_random_request, host)

    def _run_sampler(self) -> None:
        while True:
            self.contact.sample(self.hosts, store_reachable=self.store.is_reachable())
            self.quota.sample()
            self.evacuations.sample(self.hosts)
            eventlet.sleep(SAMPLE_INTERVAL.total_seconds())

    def _make_run_observer(self, host: Host):
        def on_run(exchange: Exchange) -> None:
            request = exchange.request
            request_id = (request.header(names.REQUEST_ID.lower()) or b"").decode()
            caller = (request.header(names.CALLER.lower()) or b"").decode()
            target = host.target_id()
            self.checker.on_run(target, host.service, request_id, caller)
            self._check_run(host, target, request_id, request)
            if CRASH_PATH_PART.encode() in request.target:
                eventlet.spawn(host.crash_target)

        return on_run

    def _check_run(self, host: Host, target: str, request_id: str, request: Request) -> None:
        def values(name: bytes) -> list[str]:
            return [value.decode() for key, value in request.headers if key.lower() == name.lower()]

        self.tenants.on_run(target, request_id, values(names.TENANT), values(names.KEY))
        self.evacuations.on_run(host.name, host.zone, target, request_id)
        sent = self.tenants.requests.get(request_id)
        if sent is not None and sent.key == tenants.TIGHT_KEY:
            self.quota.on_run(request_id, sent.sent_at)
