"""Benchmarks of the codec, the transport, processes, metrics and the platform client."""

import subprocess
import sys
from collections.abc import Callable
from datetime import timedelta
from itertools import pairwise

import eventlet
import pynng

from almondshore.core.clock import Clock, SystemClock
from almondshore.core.codec import decode, encode
from almondshore.core.logs import setup_logs
from almondshore.core.messages import Busy, ConfigSnapshot, Envelope, Heartbeat, Message, Send
from almondshore.daemon.metrics import Metrics
from almondshore.net.nng import NngTransport
from almondshore.storage.http import HttpPlatform
from bench.rows import BenchRow
from standins.addresses import allocate_address, format_address
from standins.deployment import Deployment, wait_for

ROUND_TRIPS = 2000
MESSAGES = 20_000
CALLS = 1000
WRITES = 200
METRIC_TENANTS = 1000
RELAY_PEERS = 250
WAIT_SECONDS = 60
# A relay of 250 nodes receives 125 heartbeats a second and sends as many acks; the transport must
# handle ten times that in both directions.
MIN_MESSAGES_PER_SECOND = 2500
MAX_ROUND_TRIP_US = 1800
MAX_THREADS = 8
MAX_MEMORY_MB = 128
MAX_CALL_MS = 10
MAX_RENDER_MS = 60
# Rendering blocks the event loop, and with it requests, until it yields; the mesh may add at most
# 1.8 ms to a request.
MAX_UNINTERRUPTED_MS = 1.8
MAX_OBSERVE_US = 100
HEARTBEAT = Heartbeat("node-1", 1, 7, bytes(16), {f"zone-{n}": n for n in range(41)}, 5, True)


def run() -> list[BenchRow]:
    """Run all benchmarks of this module and return their rows."""
    setup_logs(level="ERROR")
    clock = SystemClock()
    rows = [*codec_rows(clock), *transport_rows(clock), *process_rows()]
    return [*rows, *metrics_rows(clock), *platform_rows(clock)]


def at_most(name: str, limit: float, figure: float, unit: str) -> BenchRow:
    """Return a row whose figure must not exceed a limit."""
    return _row(name, f"<= {limit:g}", figure, unit, figure <= limit)


def at_least(name: str, limit: float, figure: float, unit: str) -> BenchRow:
    """Return a row whose figure must reach a limit."""
    return _row(name, f">= {limit:g}", figure, unit, figure >= limit)


def codec_rows(clock: Clock) -> list[BenchRow]:
    """Measure the encoding and decoding of a heartbeat with 41 zone digests."""
    envelope = Envelope("127.0.0.1:7402", "zone-1", HEARTBEAT)
    data = encode(envelope)
    encoding = (
        _elapsed_seconds(clock, lambda: [encode(envelope) for _ in range(MESSAGES)]) / MESSAGES
    )
    decoding = _elapsed_seconds(clock, lambda: [decode(data) for _ in range(MESSAGES)]) / MESSAGES
    return [
        at_most("heartbeat encode", 50, encoding * 1e6, "us"),
        at_most("heartbeat decode", 50, decoding * 1e6, "us"),
        at_most("heartbeat size", 1000, len(data), "bytes"),
    ]


def transport_rows(clock: Clock) -> list[BenchRow]:
    """Measure round trips and one-way throughput between two transports in one process."""
    pair = TransportPair(clock=clock)
    try:
        pair.exchange(Busy(0.0), count=10)
        round_trip = (
            _elapsed_seconds(clock, lambda: pair.exchange(Busy(0.0), ROUND_TRIPS)) / ROUND_TRIPS
        )
        heartbeats = MESSAGES / _elapsed_seconds(clock, lambda: pair.stream(HEARTBEAT, MESSAGES))
        snapshot = ConfigSnapshot(1, bytes(16), {"service/a": bytes(1024 * 1024)})
        megabytes = 100 / _elapsed_seconds(clock, lambda: pair.stream(snapshot, 100))
    finally:
        pair.close()
    return [
        at_most("transport round trip", MAX_ROUND_TRIP_US, round_trip * 1e6, "us"),
        at_least("transport heartbeats", MIN_MESSAGES_PER_SECOND, heartbeats, "messages/s"),
        at_least("transport 1 MB snapshots", 50, megabytes, "MB/s"),
    ]


class TransportPair:
    """Two transports in one process; the second one echoes each ``Busy`` message.

    :ivar received: echoes and one-way messages received so far
    """

    def __init__(self, *, clock: Clock):
        self.received = 0
        self.first = NngTransport(listen=format_address(allocate_address()), zone="z", clock=clock)
        self.second = NngTransport(listen=format_address(allocate_address()), zone="z", clock=clock)
        eventlet.spawn(self.first.receive_forever, self._count)
        eventlet.spawn(self.second.receive_forever, self._echo)

    def exchange(self, message: Message, count: int) -> None:
        """Send a message ``count`` times, each time waiting for its echo."""
        for _ in range(count):
            expected_count = self.received + 1
            self.first.send(Send(self.second.address, message))
            self._wait_for(expected_count)

    def stream(self, message: Message, count: int) -> None:
        """Send messages as fast as the buffers accept them and wait until all have arrived."""
        expected_count = self.received + count
        for _ in range(count):
            while not self.first.send(Send(self.second.address, message)):
                eventlet.sleep(0)
        self._wait_for(expected_count)

    def close(self) -> None:
        """Close both transports."""
        self.first.close()
        self.second.close()

    def _wait_for(self, expected_count: int) -> None:
        with eventlet.Timeout(WAIT_SECONDS):
            while self.received < expected_count:
                eventlet.sleep(0)

    def _count(self, _: Envelope) -> None:
        self.received += 1

    def _echo(self, envelope: Envelope) -> None:
        if isinstance(envelope.message, Busy):
            self.second.send(Send(envelope.sender, envelope.message))
        else:
            self.received += 1


PROCESS_SCRIPT = """
import sys
import {imports}
from almondshore.core.clock import SystemClock
from almondshore.core.messages import Busy, Send
from almondshore.net import nng

if not {limited}:
    nng.limit_threads = lambda: None
transport = nng.NngTransport(listen="{listen}", zone="z", clock=SystemClock())
for peer in {peers}:
    transport.send(Send(peer, Busy(0.0)))
sys.stdin.readline()
status = dict(line.split(":", 1) for line in open("/proc/self/status"))
print(status["VmRSS"].split()[0], status["Threads"])
"""
MINIMAL_IMPORT = "almondshore.core.codec"
DAEMON_IMPORT = "almondshore.daemon.main"


def process_rows() -> list[BenchRow]:
    """Measure memory and threads of processes with a transport but without a configuration."""
    _, unlimited = _measure_process(MINIMAL_IMPORT, limited=False)
    transport_mb, limited = _measure_process(MINIMAL_IMPORT, limited=True)
    daemon_mb, _ = _measure_process(DAEMON_IMPORT, limited=True)
    relay_mb, relay_threads = _measure_process(DAEMON_IMPORT, limited=True, peers=RELAY_PEERS)
    return [
        BenchRow("threads, nng defaults", "", f"{unlimited}", "threads", "baseline"),
        at_most("threads, nng limited", MAX_THREADS, limited, "threads"),
        at_most("memory, transport only", MAX_MEMORY_MB, transport_mb, "MB"),
        at_most("memory, all imports", MAX_MEMORY_MB, daemon_mb, "MB"),
        at_most(f"memory, all imports, {RELAY_PEERS} peers", MAX_MEMORY_MB, relay_mb, "MB"),
        at_most(f"threads, {RELAY_PEERS} peers", MAX_THREADS, relay_threads, "threads"),
    ]


def _measure_process(imports: str, *, limited: bool, peers: int = 0) -> tuple[float, int]:
    """Measure a process whose transport is connected to peers.

    :param imports: module that the process imports besides the transport
    :param limited: whether the thread pool of nng is limited, as in the daemon
    :return: resident memory in MB and number of threads
    """
    port = allocate_address()[1]
    addresses = [f"127.0.{number // 250}.{1 + number % 250}:{port}" for number in range(peers)]
    script = PROCESS_SCRIPT.format(
        imports=imports, limited=limited, listen=format_address(allocate_address()), peers=addresses
    )
    with pynng.Pull0() as listener:
        for address in addresses:
            listener.listen(f"tcp://{address}")
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-c", script],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        wait_for(lambda: len(listener.pipes) >= peers, "the connections")
        output, _ = process.communicate("\n", timeout=WAIT_SECONDS)
    kilobytes, threads = output.split()
    return int(kilobytes) / 1024, int(threads)


def metrics_rows(clock: Clock) -> list[BenchRow]:
    """Measure recording a request and rendering a scrape with the maximum number of tenants."""
    metrics = Metrics(max_tenants=METRIC_TENANTS)

    def observe() -> None:
        for number in range(MESSAGES):
            metrics.observe_request(
                tenant=f"tenant-{number % METRIC_TENANTS}",
                request_class="urgent",
                outcome="run",
                latency=timedelta(milliseconds=3),
            )

    observed = _elapsed_seconds(clock, observe) / MESSAGES
    yielded_at = [clock.monotonic()]
    metrics.latency_by_tenant.pause = lambda: yielded_at.append(clock.monotonic())
    size = len(metrics.render()[0])
    yielded_at.append(clock.monotonic())
    longest = max(after - before for before, after in pairwise(yielded_at)).total_seconds()
    rendered = (yielded_at[-1] - yielded_at[0]).total_seconds()
    return [
        at_most("metrics, longest turn of the scrape", MAX_UNINTERRUPTED_MS, longest * 1e3, "ms"),
        at_most("metrics, one request", MAX_OBSERVE_US, observed * 1e6, "us"),
        at_most(
            f"metrics, scrape of {METRIC_TENANTS} tenants", MAX_RENDER_MS, rendered * 1e3, "ms"
        ),
        at_most(f"metrics, size for {METRIC_TENANTS} tenants", 1024, size / 1024, "KB"),
    ]


def platform_rows(clock: Clock) -> list[BenchRow]:
    """Measure sequential platform calls to the stand-in of the platform."""
    with Deployment() as deployment:
        deployment.start_platform()
        platform = HttpPlatform(
            url=deployment.platform_url, clock=clock, timeout=timedelta(seconds=10)
        )
        platform.create("k", bytes(1024), "w").unwrap()
        small = _elapsed_seconds(clock, lambda: [platform.get("k").unwrap() for _ in range(CALLS)])
        writes = _elapsed_seconds(clock, lambda: _write(platform, WRITES))
        platform.create("large", bytes(1024 * 1024), "w").unwrap()
        large = _elapsed_seconds(clock, lambda: [platform.get("large").unwrap() for _ in range(20)])
        platform.close()
    return [
        at_most("platform read of 1 KB", MAX_CALL_MS, small / CALLS * 1e3, "ms"),
        at_most("platform write of 1 KB", MAX_CALL_MS, writes / WRITES * 1e3, "ms"),
        at_most("platform read of 1 MB", 10 * MAX_CALL_MS, large / 20 * 1e3, "ms"),
    ]


def _write(platform: HttpPlatform, count: int) -> None:
    for number in range(count):
        platform.create(f"key/{number}", bytes(1024), "w").unwrap()


def _elapsed_seconds(clock: Clock, action: Callable[[], object]) -> float:
    started_at = clock.monotonic()
    action()
    return (clock.monotonic() - started_at).total_seconds()


def _row(name: str, target: str, figure: float, unit: str, met: bool) -> BenchRow:
    shown = f"{figure:.0f}" if figure >= 100 or figure == int(figure) else f"{figure:.2f}"
    return BenchRow(name, target, shown, unit, "met" if met else "missed")


def main() -> None:
    """Run the benchmarks and print their table; the exit code is 1 if a target is missed."""
    rows = run()
    for row in rows:
        sys.stdout.write(
            f"{row.name:40} {row.figure:>10} {row.unit:12} {row.target:>10}  {row.verdict}\n"
        )
    sys.exit(1 if any(row.verdict == "missed" for row in rows) else 0)


if __name__ == "__main__":
    main()
