"""Benchmark of the two proxy hops in real processes: latency, memory and processor time."""

import os
import time
from datetime import timedelta
from pathlib import Path

import urllib3
from hdrh.histogram import HdrHistogram

from bench.rows import BenchRow, make_row, print_rows
from standins.deployment import Deployment, NodeProcess, wait_for

CALLS = 3000
WARM_UP_CALLS = 300
IDLE_SECONDS = 20
MAX_ADDED_MS = 1.8
MAX_MEMORY_MB = 128
MAX_IDLE_CORE_PERCENT = 1.9
MAX_LATENCY_US = 60_000_000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
RULES = """\
service bench version v1                                  # bench: target
route GET /bench/* to bench class urgent timeout 5s       # bench: calls
tenant bench limit 100000/s burst 100000                  # bench: no limit
"""


def run() -> list[BenchRow]:
    """Run two nodes and a target as processes, and measure calls directly and through the nodes."""
    with Deployment() as deployment:
        deployment.start_platform()
        file = deployment.path / "rules.txt"
        file.write_text(RULES)
        deployment.command("apply", str(file), "--author", "bench")
        nodes = [deployment.start_node(f"node-{n}", f"zone-{n}") for n in range(2)]
        target = deployment.start_target(nodes[1], "bench", "v1", "--latency-ms", "0")
        wait_for(lambda: _is_ready(deployment, nodes), "the nodes")
        idle = _core_percent(nodes[0], IDLE_SECONDS)
        idle_mb = _memory_mb(nodes[0])
        direct = _measure(f"http://{target.address}/bench/x")
        started, cpu = time.monotonic(), _cpu_seconds(nodes[0]) + _cpu_seconds(nodes[1])
        via_hops = _measure(f"http://{nodes[0].addresses.caller}/bench/x")
        elapsed = time.monotonic() - started
        cpu = _cpu_seconds(nodes[0]) + _cpu_seconds(nodes[1]) - cpu
        loaded_mb = max(_memory_mb(node) for node in nodes)
    calls = CALLS + WARM_UP_CALLS
    added = [_ms(via_hops, percentile) - _ms(direct, percentile) for percentile in (50, 99)]
    return [
        make_row("direct call, p99", "-", _ms(direct, 99), "ms", None),
        make_row("call through two hops, p99", "-", _ms(via_hops, 99), "ms", None),
        make_row("added by two hops, p50", "-", added[0], "ms", None),
        make_row("added by two hops, p99", f"<= {MAX_ADDED_MS}", added[1], "ms", MAX_ADDED_MS),
        make_row("calls one after another", "-", calls / elapsed, "calls/s", None),
        make_row("processor time for each hop", "-", cpu / calls / 2 * 1e6, "us", None),
        make_row(
            "idle relay, processor",
            f"<= {MAX_IDLE_CORE_PERCENT}",
            idle,
            "% of a core",
            MAX_IDLE_CORE_PERCENT,
        ),
        make_row("idle node, memory", f"<= {MAX_MEMORY_MB}", idle_mb, "MB", MAX_MEMORY_MB),
        make_row("loaded node, memory", f"<= {MAX_MEMORY_MB}", loaded_mb, "MB", MAX_MEMORY_MB),
    ]


def _is_ready(deployment: Deployment, nodes: list[NodeProcess]) -> bool:
    statuses = [deployment.status_of(node) for node in nodes]
    return all(s.get("ready") and s["directory_targets"] == 1 for s in statuses)


def _measure(url: str) -> HdrHistogram:
    """Return the latencies in microseconds of sequential calls over one connection.

    :raises RuntimeError: if a response is not 200
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    pool = urllib3.PoolManager(retries=False, timeout=5)
    for number in range(WARM_UP_CALLS + CALLS):
        started = time.perf_counter()
        response = pool.request("GET", url, headers={"x-tenant": "bench"})
        if response.status != 200:
            raise RuntimeError(f"GET {url} returned status {response.status}: {response.data!r}")
        if number >= WARM_UP_CALLS:
            histogram.record_value(int((time.perf_counter() - started) * 1e6))
    return histogram


def _ms(histogram: HdrHistogram, percentile: float) -> float:
    micros = timedelta(microseconds=histogram.get_value_at_percentile(percentile))
    return micros / timedelta(milliseconds=1)


def _memory_mb(node: NodeProcess) -> float:
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def _cpu_seconds(node: NodeProcess) -> float:
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _core_percent(node: NodeProcess, seconds: float) -> float:
    before = _cpu_seconds(node)
    time.sleep(seconds)
    return (_cpu_seconds(node) - before) / seconds * 100


def main() -> None:
    """Run the benchmark and print its table."""
    print_rows(run())


if __name__ == "__main__":
    main()
