"""Open-loop load generator: ``python -m standins.load``.

Arrivals follow a seeded Poisson process that does not wait for responses, and latency counts from
the planned arrival. A stalled system therefore cannot hide its delay by slowing the generator.
"""

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import random  # noqa: E402
import sys  # noqa: E402
from collections import Counter  # noqa: E402
from datetime import timedelta  # noqa: E402
from typing import Annotated, NamedTuple  # noqa: E402

import cyclopts  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from almondshore.core.clock import Clock, SystemClock  # noqa: E402

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
OUTCOME_HEADER = "x-almondshore-outcome"


class RequestKind(NamedTuple):
    """A kind of request in the load.

    :ivar name: class under which its results are reported
    :ivar weight: relative frequency among the kinds
    """

    name: str
    method: str
    path: str
    weight: float


class Arrival(NamedTuple):
    """A planned request.

    :ivar offset: planned time of sending since the start of the run
    :ivar url: base address that the path of the kind is appended to
    :ivar number: position in the plan; part of the idempotency key
    """

    offset: timedelta
    kind: RequestKind
    url: str
    tenant: str
    number: int


class Tally:
    """Result counts of one class, and the latencies of its good responses."""

    def __init__(self):
        self.results: Counter[str] = Counter()
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, result: str, latency: timedelta) -> None:
        """Record the result of an arrival; only good ones count in the latencies."""
        self.results[result] += 1
        if result == "good":
            latency_us = round(latency / timedelta(microseconds=1))
            self.latencies.record_value(min(max(1, latency_us), MAX_LATENCY_US))

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the good responses in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


def plan_arrivals(
    *,
    kinds: list[RequestKind],
    urls: list[str],
    tenants: int,
    rate: float,
    count: int,
    duration: timedelta,
    rng: random.Random,
) -> list[Arrival]:
    """Plan the arrivals of a run, bounded by count and by duration.

    :param tenants: number of tenants that the requests are spread over
    :param rate: mean number of arrivals per second
    """
    arrivals: list[Arrival] = []
    offset_s = 0.0
    weights = [kind.weight for kind in kinds]
    while len(arrivals) < count:
        offset_s += rng.expovariate(rate)
        if offset_s >= duration.total_seconds():
            break
        kind = rng.choices(kinds, weights)[0]
        tenant = f"tenant-{rng.randrange(tenants)}"
        number = len(arrivals)
        arrivals.append(
            Arrival(timedelta(seconds=offset_s), kind, rng.choice(urls), tenant, number)
        )
    return arrivals


class LoadRun:
    """Sends the planned requests and counts their results by class.

    :param max_in_flight: limit of concurrent requests; an arrival beyond it is not sent and counts
        as ``overrun``
    :param run_id: prefix of the idempotency keys
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: urllib3.PoolManager,
        timeout: timedelta,
        max_in_flight: int,
        run_id: str,
    ):
        self.clock = clock
        self.pool = pool
        self.timeout = timeout
        self.max_in_flight = max_in_flight
        self.run_id = run_id
        self.in_flight = 0
        self.tallies: dict[str, Tally] = {}

    def run(self, arrivals: list[Arrival]) -> timedelta:
        """Send all requests at their planned times and return the duration of the run."""
        started_at = self.clock.monotonic()
        tasks = []
        for arrival in arrivals:
            wait = started_at + arrival.offset - self.clock.monotonic()
            eventlet.sleep(max(0.0, wait.total_seconds()))
            if self.in_flight >= self.max_in_flight:
                self._tally(arrival).add("overrun", timedelta())
                continue
            self.in_flight += 1
            tasks.append(eventlet.spawn(self._send, arrival, started_at + arrival.offset))
        for task in tasks:
            task.wait()
        return self.clock.monotonic() - started_at

    def _send(self, arrival: Arrival, planned_at: timedelta) -> None:
        try:
            result = self._request(arrival)
        finally:
            self.in_flight -= 1
        self._tally(arrival).add(result, self.clock.monotonic() - planned_at)

    def _request(self, arrival: Arrival) -> str:
        """Send one request and return its result: ``failed``, or what :func:`classify` returns."""
        headers = {"x-tenant": arrival.tenant}
        if arrival.kind.method != "GET":
            headers["idempotency-key"] = f"{self.run_id}-{arrival.number}"
        try:
            response = self.pool.request(
                arrival.kind.method,
                arrival.url + arrival.kind.path,
                headers=headers,
                timeout=self.timeout.total_seconds(),
            )
        except urllib3.exceptions.HTTPError:
            return "failed"
        return classify(
            response.status, response.headers.get(OUTCOME_HEADER), response.data, arrival
        )

    def _tally(self, arrival: Arrival) -> Tally:
        return self.tallies.setdefault(arrival.kind.name, Tally())


def classify(status: int, outcome: str | None, body: bytes, arrival: Arrival) -> str:
    """Return the result of a response: ``good``, ``mixed-up``, an outcome or ``error``.

    A response is good if it is complete and states the path of its request, ``mixed-up`` if it
    states another path; targets respond with the path that they ran. Other statuses than 200 give
    the value of the outcome header, or ``error`` without one.
    """
    if status != 200:
        return outcome or "error"
    try:
        path = msgspec.json.decode(body, type=dict)["path"]
    except (msgspec.MsgspecError, KeyError):
        return "error"
    return "good" if path == arrival.kind.path else "mixed-up"


def format_report(tallies: dict[str, Tally], elapsed: timedelta) -> str:
    """Return a table of the results with one line for each class."""
    seconds = max(elapsed.total_seconds(), 0.001)
    lines = [
        f"{'class':12} {'sent':>8} {'good':>8} {'good/s':>9} {'p50 ms':>9} {'p99 ms':>9}  other"
    ]
    for name, tally in sorted(tallies.items()):
        good = tally.results["good"]
        other_counts = {key: value for key, value in sorted(tally.results.items()) if key != "good"}
        others = " ".join(f"{key}={value}" for key, value in other_counts.items())
        lines.append(
            f"{name:12} {tally.results.total():8} {good:8} {good / seconds:9.1f}"
            f" {tally.percentile_ms(50):9.2f} {tally.percentile_ms(99):9.2f}  {others}".rstrip()
        )
    return "\n".join(lines) + "\n"


def parse_kind(text: str) -> RequestKind:
    """Parse ``class:METHOD:/path:weight``.

    :raises ValueError: if the number of fields is not four or the weight is not a number
    """
    name, method, path, weight = text.split(":")
    return RequestKind(name, method, path, float(weight))


def main(
    *,
    url: list[str],
    kind: Annotated[list[str], cyclopts.Parameter(help="class:METHOD:/path:weight")],
    rate: float = 100.0,
    requests: int = 10_000,
    seconds: float = 10.0,
    tenants: int = 10,
    timeout_ms: float = 5000.0,
    max_in_flight: int = 1000,
    seed: int = 1,
) -> None:
    """Send requests at a given rate and print the good responses by class.

    :param url: base addresses that the requests are spread over
    """
    arrivals = plan_arrivals(
        kinds=[parse_kind(text) for text in kind],
        urls=[item.rstrip("/") for item in url],
        tenants=tenants,
        rate=rate,
        count=requests,
        duration=timedelta(seconds=seconds),
        rng=random.Random(seed),
    )
    clock = SystemClock()
    run = LoadRun(
        clock=clock,
        pool=urllib3.PoolManager(
            num_pools=len(url), maxsize=max_in_flight, block=False, retries=False
        ),
        timeout=timedelta(milliseconds=timeout_ms),
        max_in_flight=max_in_flight,
        run_id=f"load-{seed}-{clock.now():%Y%m%dT%H%M%S}",
    )
    sys.stdout.write(format_report(run.tallies, run.run(arrivals)))


if __name__ == "__main__":
    cyclopts.run(main)
