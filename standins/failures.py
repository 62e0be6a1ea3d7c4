"""Three kinds of failed requests with the nodes' logs: ``python -m standins.failures``."""

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


def request_to_draining_target(mesh: MeshDeployment) -> int | None:
    """Send a request to a service whose only target announced its drain 0.5 s before.

    :return: status of the response, None if there was none
    """
    mesh.announce("n2", state="draining")
    eventlet.sleep(0.5)
    return mesh.request_status("n1", request_id="refused-1", path="/s/x")


def requests_during_bad_rollout(mesh: MeshDeployment) -> int | None:
    """Send requests during a rollout of a version that answers every request with 500.

    :return: status of the last request before the rollout was seen to be rolled back, None if it
        was not rolled back within 400 requests
    """
    mesh.add_node("n3")
    mesh.add_node("n4", version="v2")
    mesh.target_standins["n4"].make_response = _respond_with_500
    mesh.wait_for_targets("n1", 4)
    rollout = {"service": "s", "target_version": "v2", "duration_s": 4}
    mesh.store.put(names.ROLLOUT_KIND, "s", rollout)
    for number in range(400):
        status = mesh.request_status("n1", request_id=f"version-{number}")
        rollout_status = mesh.store.get(names.ROLLOUT_KIND, "s")["status"] or {}
        if rollout_status.get("state") == "rolled_back":
            return status
        eventlet.sleep(0.01)
    return None


def request_to_unresponsive_host(mesh: MeshDeployment) -> int | None:
    """Send a request whose target's host stops reading its connections while the request runs.

    :return: status of the response, None if there was none
    """
    mesh.target_standins["n3"].processing_time = timedelta(seconds=2)
    server = mesh.nodes["n3"].inbound_server
    eventlet.spawn_after(0.1, _stop_reading, server)
    return mesh.request_status("n1", request_id="silent-1")


def _respond_with_500(exchange: Exchange) -> Response:
    request_id = exchange.request.header(names.REQUEST_ID.lower())
    return Response(500, ((names.REQUEST_ID, request_id), (names.SIGNATURE, b"x")))


def _stop_reading(server) -> None:
    """Close the listener of a node's server and stop reading its open connections."""
    server.close_listener()
    for connection in server.connections:
        connection.stream.pause_reading()


def main() -> None:
    """Run the three scenarios in turn; node logs and the callers' statuses go to stdout."""
    stream = BoundedStream(descriptor=STDOUT)
    setup_logs(stream=stream)
    mesh = MeshDeployment(log_stream=stream)
    mesh.store.put(names.CONFIG_KIND, names.CONFIG_NAME, stored_config(3, ("s", "other")))
    mesh.add_node("n1", service="other")
    mesh.add_node("n2")
    mesh.wait_for_targets("n1", 2)
    for scenario in (
        request_to_draining_target,
        requests_during_bad_rollout,
        request_to_unresponsive_host,
    ):
        status = scenario(mesh)
        stream.write(f"caller got status {status} in {scenario.__name__}\n")
    mesh.close()
    stream.drain()


if __name__ == "__main__":
    sys.exit(main())
