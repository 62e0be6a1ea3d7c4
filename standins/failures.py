"""Three kinds of failed request, with the logs of all nodes: ``python -m standins.failures``."""

import sys
from datetime import timedelta

import eventlet

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from almondshore.http.messages import Response
from almondshore.http.server import Exchange
from almondshore.platform import names
from standins.mesh_deployment import MeshDeployment, stored_config

STDOUT = 1


def refused_though_targets_are_free(mesh: MeshDeployment) -> int | None:
    """Send a request whose only target has just said that it leaves."""
    mesh.announce("n2", state="draining")
    eventlet.sleep(0.5)
    return mesh.request_status("n1", request_id="refused-1", path="/s/x")


def failed_by_one_version(mesh: MeshDeployment) -> int | None:
    """Send requests while a bad version is brought in; returns the status of one that failed."""
    mesh.add_node("n3")
    mesh.add_node("n4", version="v2")
    mesh.upstreams["n4"].make_response = _fail
    mesh.wait_for_targets("n1", 4)
    order = {"service": "s", "target_version": "v2", "duration_s": 4}
    mesh.store.put(names.ROLLOUT_KIND, "s", order)
    for number in range(400):
        status = mesh.request_status("n1", request_id=f"version-{number}")
        found = mesh.store.get(names.ROLLOUT_KIND, "s")["status"] or {}
        if found.get("state") == "rolled_back":
            return status
        eventlet.sleep(0.01)
    return None


def cut_while_a_host_left(mesh: MeshDeployment) -> int | None:
    """Send a request to a host that goes silent while it runs."""
    mesh.upstreams["n3"].processing_time = timedelta(seconds=2)
    server = mesh.nodes["n3"].inbound_server
    eventlet.spawn_after(0.1, _silence, server)
    return mesh.request_status("n1", request_id="silent-1")


def _fail(exchange: Exchange) -> Response:
    request_id = exchange.request.header(names.REQUEST_ID.lower())
    return Response(500, ((names.REQUEST_ID, request_id), (names.SIGNATURE, b"x")))


def _silence(server) -> None:
    """Stop a node from accepting connections and from reading those that it has."""
    server.close_listener()
    for connection in server.connections:
        connection.stream.pause_reading()


def main() -> None:
    """Play the three failures one after the other."""
    stream = BoundedStream(descriptor=STDOUT)
    setup_logs(stream=stream)
    mesh = MeshDeployment(log_stream=stream)
    mesh.store.put(names.CONFIG_KIND, names.CONFIG_NAME, stored_config(3, ("s", "other")))
    mesh.add_node("n1", service="other")
    mesh.add_node("n2")
    mesh.wait_for_targets("n1", 2)
    for play in (refused_though_targets_are_free, failed_by_one_version, cut_while_a_host_left):
        status = play(mesh)
        stream.write(f"caller saw {status} in {play.__name__}\n")
    mesh.close()
    stream.drain()


if __name__ == "__main__":
    sys.exit(main())
