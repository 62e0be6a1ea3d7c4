"""Sequential calls over the request path, to count the instructions that each takes.

The difference of two runs leaves out the start of the process::

    perf stat -e instructions:u python -m bench.path_calls --calls 500
    perf stat -e instructions:u python -m bench.path_calls --calls 3500

With ``--direct`` the calls go to the target, which gives the part of caller and target.
"""

import argparse
import os
from datetime import timedelta

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from almondshore.http.messages import encode_request
from almondshore.platform import names
from standins.mesh_deployment import MeshDeployment, stored_config

WARM_UP_CALLS = 300
TENANTS = 87
# High enough that no call is refused.
TENANT_RATE_PER_S = 100_000.0


def run(*, calls: int, direct: bool, tenants: bool) -> None:
    """Send calls through two nodes in this process, or to the target alone.

    :raises RuntimeError: if a call after the warm-up does not get 200
    """
    sink = os.open(os.devnull, os.O_WRONLY)
    mesh = MeshDeployment(log_stream=BoundedStream(descriptor=sink))
    setup_logs(stream=mesh.log_stream)
    config = stored_config(3, ("s", "other"))
    headers = [(b"Host", b"h.example"), (names.REQUEST_ID, b"a1"), (names.TIME_LEFT, b"5000")]
    if tenants:
        config["tenants"] = {
            f"t{number}": {
                "api_keys": [f"key-{number}"],
                "priority": 1,
                "rate_per_s": TENANT_RATE_PER_S,
                "burst": TENANT_RATE_PER_S,
            }
            for number in range(TENANTS)
        }
        headers.append((b"Authorization", b"Token key-3"))
    try:
        mesh.store.put(names.CONFIG_KIND, names.CONFIG_NAME, config)
        caller_node = mesh.add_node("n1", service="other")
        target_node = mesh.add_node("n2")
        mesh.target_standins["n2"].processing_time = timedelta()
        mesh.wait_for_targets("n1", 2)
        data = encode_request(b"GET", b"/s/x", tuple(headers), b"")
        address = target_node.settings.app if direct else caller_node.settings.outbound
        # Owners of quotas grant nothing for 0.5 s after their start.
        served = 0
        while served < WARM_UP_CALLS:
            served += mesh.call(address, data).response.status == 200
        for _ in range(calls):
            response = mesh.call(address, data).response
            if response.status != 200:
                raise RuntimeError(f"a call got {response}")
    finally:
        mesh.close()
        os.close(sink)


def main() -> None:
    """Send the calls; the result is what ``perf stat`` prints."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--calls", type=int, default=500)
    parser.add_argument("--direct", action="store_true", help="call the target, not a node")
    parser.add_argument("--tenants", action="store_true", help="use 87 tenants with quotas")
    options = parser.parse_args()
    run(calls=options.calls, direct=options.direct, tenants=options.tenants)


if __name__ == "__main__":
    main()
