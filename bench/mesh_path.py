"""Benchmark of the request path between hosts: added latency, processor time, cost of logs."""

import os
import time
from datetime import timedelta

from hdrh.histogram import HdrHistogram
from loguru import logger

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from almondshore.http.messages import encode_request
from almondshore.platform import names
from bench.rows import BenchRow, make_row, print_rows
from standins.mesh_deployment import MeshDeployment, stored_config

CALLS = 3000
WARM_UP_CALLS = 300
MAX_ADDED_MS = 1.8
MAX_LATENCY_US = 60_000_000


class CallCosts:
    """Latency and processor time of a series of sequential calls.

    :ivar latency: latencies in microseconds
    :ivar cpu_us: processor time of the whole process per call
    """

    def __init__(self, mesh: MeshDeployment, address: tuple[str, int]):
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        headers = ((b"Host", b"h.example"), (names.REQUEST_ID, b"a1"), (names.TIME_LEFT, b"5000"))
        data = encode_request(b"GET", b"/s/x", headers, b"")
        for _ in range(WARM_UP_CALLS):
            mesh.call(address, data)
        cpu = time.process_time()
        for _ in range(CALLS):
            started = time.perf_counter()
            mesh.call(address, data)
            self.latency.record_value(int((time.perf_counter() - started) * 1e6))
        self.cpu_us = (time.process_time() - cpu) / CALLS * 1e6

    def ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1000


def run() -> list[BenchRow]:
    """Run the benchmark with two nodes, the caller and the target in one process."""
    sink = os.open(os.devnull, os.O_WRONLY)
    mesh = MeshDeployment(log_stream=BoundedStream(descriptor=sink))
    setup_logs(stream=mesh.log_stream)
    try:
        mesh.store.put(names.CONFIG_KIND, names.CONFIG_NAME, stored_config(3, ("s", "other")))
        caller_node = mesh.add_node("n1", service="other")
        target_node = mesh.add_node("n2")
        mesh.target_standins["n2"].processing_time = timedelta()
        mesh.wait_for_targets("n1", 2)
        direct = CallCosts(mesh, target_node.settings.app)
        logged = CallCosts(mesh, caller_node.settings.outbound)
        logger.remove()
        unlogged = CallCosts(mesh, caller_node.settings.outbound)
    finally:
        mesh.close()
        os.close(sink)
    added = [logged.ms(percentile) - direct.ms(percentile) for percentile in (50, 99)]
    hop_us = (logged.cpu_us - direct.cpu_us) / 2
    log_us = (logged.cpu_us - unlogged.cpu_us) / 2
    return [
        make_row("direct call, p99", "-", direct.ms(99), "ms", None),
        make_row("added by two hops, p50", "-", added[0], "ms", None),
        make_row("added by two hops, p99", f"<= {MAX_ADDED_MS}", added[1], "ms", MAX_ADDED_MS),
        make_row("processor time for each hop", "-", hop_us, "us", None),
        make_row("of it logs", "-", log_us, "us", None),
    ]


def main() -> None:
    """Run the benchmark and print its table."""
    print_rows(run())


if __name__ == "__main__":
    main()
