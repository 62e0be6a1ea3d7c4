"""Small mesh in one process on loopback: nodes, a stand-in store and stand-in targets."""

import random
from datetime import timedelta
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.clock import BootClock
from almondshore.http.client import Address, CallResult, ConnectionPool
from almondshore.http.messages import encode_request
from almondshore.http.server import HttpServer
from almondshore.mesh.node import MeshNode
from almondshore.mesh.settings import Bounds, MeshSettings
from almondshore.platform import names
from almondshore.platform.announcements import AnnouncementHandler
from almondshore.platform.dialect import PlatformDialect
from almondshore.platform.objects import ObjectClient, PlatformStore
from standins.addresses import allocate_addresses
from standins.mesh_platform import HEALTH_PATH, StoreStandIn, TargetStandIn, serve

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}
# Short, so that a drain or a stop takes only seconds in demonstrations and tests.
BOUNDS = Bounds(timedelta(seconds=1), timedelta(seconds=4), 0.2, timedelta(seconds=10), 56)
CALL_TIMEOUT = timedelta(seconds=4)
LISTENERS = ("outbound", "inbound", "ready", "control", "metrics", "quotas")


def stored_config(version: int, services: tuple[str, ...] = ("s",), **changes: Any) -> dict:
    """Return a configuration with an idempotent route ``/SERVICE/`` for each service.

    :param changes: fields that replace the defaults in all routes
    """
    route = {
        "hostname": "h.example",
        "route_type": "idempotent",
        "timeout_s": 1.0,
        "target_latency_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
    }
    routes = {
        f"r-{name}": {**route, "path_prefix": f"/{name}/", "service": name, **changes}
        for name in services
    }
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {name: {"health_path": HEALTH_PATH.decode()} for name in services},
        "limits": LIMITS,
    }


class MeshDeployment:
    """Starts nodes, each with a target of its own, and the store that they share.

    :ivar nodes: running nodes by name
    :ivar target_standins: targets by the name of their node
    :ivar target_servers: servers of the targets by the name of their node
    :ivar sequence: number of the last heartbeat
    """

    def __init__(self, *, log_stream: BoundedStream):
        self.clock = BootClock()
        self.log_stream = log_stream
        self.store = StoreStandIn()
        self.store_server = serve(self.clock, self.store)
        self.nodes: dict[str, MeshNode] = {}
        self.target_standins: dict[str, TargetStandIn] = {}
        self.target_servers: dict[str, HttpServer] = {}
        self.servers = [self.store_server]
        self.pool = ConnectionPool(clock=self.clock)
        self.sequence = 0

    def close(self) -> None:
        """Close the nodes, the targets and the store."""
        for node in self.nodes.values():
            node.close()
        for server in self.servers:
            server.close()

    def add_node(
        self, name: str, service: str = "s", version: str = "v1", announce: bool = True
    ) -> MeshNode:
        """Start a node and its target.

        :param announce: whether to send a heartbeat of the target to the node
        """
        target_standin = TargetStandIn(target=f"i-{name}")
        server = serve(self.clock, target_standin)
        self.servers.append(server)
        self.target_standins[name] = target_standin
        self.target_servers[name] = server
        node = self.start_node(
            MeshSettings(
                **listen_addresses(),
                node=name,
                zone="a",
                service=service,
                app=server.address(),
                store=self.store_server.address(),
                bounds=BOUNDS,
            )
        )
        if announce:
            eventlet.sleep(0.1)
            self.announce(name, version=version)
        return node

    def start_node(self, settings: MeshSettings) -> MeshNode:
        """Start a node, or restart a closed one with its settings."""
        pool = ConnectionPool(clock=self.clock)
        node = MeshNode(
            settings=settings,
            clock=self.clock,
            rng=random.Random(1),
            dialect=PlatformDialect(),
            store=PlatformStore(client=ObjectClient(pool=pool, address=settings.store)),
            pool=pool,
            config_name=names.CONFIG_NAME,
            log_stream=self.log_stream,
        )
        handler = AnnouncementHandler(
            on_announcement=node.on_announcement, on_deregistration=node.on_deregistration
        )
        node.start(handler)
        self.nodes[settings.node] = node
        return node

    def announce(
        self, name: str, state: str = "ready", version: str = "v1", born: int = 1000
    ) -> int | None:
        """Send a heartbeat of a node's target to the node.

        :return: status of the response, None if there was none
        """
        self.sequence += 1
        settings = self.nodes[name].settings
        info = {"service": settings.service, "version": version, "zone": "a", "slots": 3}
        status = {"state": state, "sequence": self.sequence, "warmup_left_s": 0}
        app = f"{settings.app[0]}:{settings.app[1]}"
        body = {"address": app, "info": info, "status": status, "born": born}
        return self._post(settings.control, f"{names.HEARTBEAT_PATH}i-{name}", body)

    def deregister(self, name: str, born: int = 1000) -> int | None:
        """Deregister a node's target at the node.

        :return: status of the response, None if there was none
        """
        control = self.nodes[name].settings.control
        return self._post(control, f"{names.DEREGISTER_PATH}i-{name}", {"born": born})

    def request(
        self, node: str, path: str = "/s/x", request_id: str = "a1", deadline_ms: int = 1500
    ) -> CallResult:
        """Send a request to the outbound listener of a node.

        :param deadline_ms: time left for the request, sent as a header
        """
        headers = (
            (b"Host", b"h.example"),
            (names.REQUEST_ID, request_id.encode()),
            (names.TIME_LEFT, b"%d" % deadline_ms),
        )
        data = encode_request(b"GET", path.encode(), headers, b"")
        return self.call(self.nodes[node].settings.outbound, data)

    def request_status(self, node: str, **fields: Any) -> int | None:
        """Send a request as :meth:`request` does.

        :return: status of the response, None if there was none
        """
        response = self.request(node, **fields).response
        return response.status if response is not None else None

    def readiness_status(self, node: str) -> int | None:
        """Send a readiness check to a node.

        :return: status of the response, None if there was none
        """
        data = encode_request(b"GET", b"/readiness", ((b"Host", b"h"),), b"")
        response = self.call(self.nodes[node].settings.ready, data).response
        return response.status if response is not None else None

    def call(self, address: Address, data: bytes) -> CallResult:
        """Send an encoded request and wait for its result, at most ``CALL_TIMEOUT``."""
        done: Event = Event()
        self.pool.call(address, data, timeout=CALL_TIMEOUT, on_done=done.send)
        return done.wait()

    def wait_for_targets(self, node: str, count: int) -> None:
        """Wait until a node knows at least ``count`` targets.

        :raises eventlet.Timeout: if it does not within ``CALL_TIMEOUT``
        """
        with eventlet.Timeout(CALL_TIMEOUT.total_seconds()):
            while len(self.nodes[node].directory.targets) < count:
                eventlet.sleep(0.02)

    def _post(self, address: Address, path: str, body: dict) -> int | None:
        data = encode_request(b"POST", path.encode(), ((b"Host", b"h"),), msgspec.json.encode(body))
        response = self.call(address, data).response
        return response.status if response is not None else None


def listen_addresses() -> dict[str, Address]:
    """Return unused addresses on one loopback host for the listeners of a node."""
    return dict(zip(LISTENERS, allocate_addresses(len(LISTENERS)), strict=True))
