"""Nodes, a store and upstreams in one process on loopback."""

import os
import random
from datetime import timedelta

import eventlet
import msgspec

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.clock import BootClock
from almondshore.http.client import ConnectionPool
from almondshore.http.messages import encode_request
from almondshore.mesh.node import MeshNode
from almondshore.mesh.settings import Bounds, MeshSettings
from almondshore.platform import names
from almondshore.platform.announcements import AnnouncementHandler
from almondshore.platform.dialect import PlatformDialect
from almondshore.platform.objects import ObjectClient, PlatformStore
from standins.mesh_platform import StoreStandIn, UpstreamStandIn, serve
from test.http.loopback import call, free_address

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}
BOUNDS = Bounds(timedelta(seconds=1), timedelta(seconds=4), 0.2, timedelta(seconds=10), 56)


def stored_config(version, services=("s",), **changes):
    """Return a configuration with the route ``/SERVICE/`` for each service."""
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
        "services": {name: {} for name in services},
        "limits": LIMITS,
    }


class MeshBed:
    """A small mesh.

    :ivar log: what the nodes logged cannot be told apart here and goes nowhere
    """

    def __init__(self):
        self.clock = BootClock()
        self.store = StoreStandIn()
        self.store_server = serve(self.clock, self.store)
        self.nodes = {}
        self.upstreams = {}
        self.servers = [self.store_server]
        self.pool = ConnectionPool(clock=self.clock)
        self.sequence = 0
        self.sink = os.open(os.devnull, os.O_WRONLY)

    def close(self):
        for node in self.nodes.values():
            node.close()
        for server in self.servers:
            server.close()
        os.close(self.sink)

    def add_node(self, name, service="s", version="v1", zone="a", announce=True):
        """Start a node with an upstream."""
        upstream = UpstreamStandIn(target=f"i-{name}")
        server = serve(self.clock, upstream)
        self.servers.append(server)
        settings = MeshSettings(
            node=name,
            zone=zone,
            service=service,
            app=server.address(),
            outbound=free_address(),
            inbound=free_address(),
            ready=free_address(),
            control=free_address(),
            metrics=free_address(),
            store=self.store_server.address(),
            bounds=BOUNDS,
        )
        self.upstreams[name] = upstream
        node = self.start(settings)
        if announce:
            eventlet.sleep(0.1)
            self.announce(name, version=version)
        return node

    def start(self, settings):
        pool = ConnectionPool(clock=self.clock)
        node = MeshNode(
            settings=settings,
            clock=self.clock,
            rng=random.Random(1),
            dialect=PlatformDialect(),
            store=PlatformStore(client=ObjectClient(pool=pool, address=settings.store)),
            pool=pool,
            config_name=names.CONFIG_NAME,
            log_stream=BoundedStream(descriptor=self.sink),
        )
        handler = AnnouncementHandler(
            on_announcement=node.on_announcement, on_departure=node.on_departure
        )
        node.start(handler)
        self.nodes[settings.node] = node
        return node

    def announce(self, name, state="ready", version="v1", born=1000):
        """Send a heartbeat of a node's upstream; returns the status."""
        self.sequence += 1
        settings = self.nodes[name].settings
        app = f"{settings.app[0]}:{settings.app[1]}"
        info = {"service": settings.service, "version": version, "zone": "a", "slots": 3}
        status = {"state": state, "sequence": self.sequence, "warmup_left_s": 0}
        body = {"address": app, "info": info, "status": status, "born": born}
        path = f"/Instances.Heartbeat/i-{name}"
        return self.post(settings.control, path, msgspec.json.encode(body))

    def depart(self, name, born=1000):
        path = f"/Instances.Deregister/i-{name}"
        return self.post(
            self.nodes[name].settings.control, path, msgspec.json.encode({"born": born})
        )

    def post(self, address, path, body):
        data = encode_request(b"POST", path.encode(), ((b"Host", b"h"),), body)
        return call(self.pool, address, data).response.status

    def request(self, node, path="/s/x", request_id="a1", deadline_ms=1500, method=b"GET"):
        """Send a caller's request to a node; returns the result of the call."""
        headers = (
            (b"Host", b"h.example"),
            (b"Attempt-Id", request_id.encode()),
            (b"Deadline-Ms", b"%d" % deadline_ms),
        )
        data = encode_request(method, path.encode(), headers, b"")
        return call(self.pool, self.nodes[node].settings.outbound, data, timeout=4)

    def status(self, node, **fields):
        """Return the status that a caller gets, None for a connection without an answer."""
        response = self.request(node, **fields).response
        return response.status if response is not None else None

    def ready(self, node):
        data = encode_request(b"GET", b"/readiness", ((b"Host", b"h"),), b"")
        return call(self.pool, self.nodes[node].settings.ready, data).response.status

    def wait_until(self, condition, seconds=3.0):
        with eventlet.Timeout(seconds):
            while not condition():
                eventlet.sleep(0.02)
