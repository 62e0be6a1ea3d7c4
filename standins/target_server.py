"""A target stand-in that announces itself: ``python -m standins.target_server``."""

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import os  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
from collections import Counter  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from datetime import timedelta  # noqa: E402
from typing import NamedTuple  # noqa: E402

import cyclopts  # noqa: E402
import eventlet.wsgi  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402

from almondshore.core.clock import Clock, SystemClock  # noqa: E402
from standins.platform_server import print_address, split_address  # noqa: E402

ANNOUNCE_INTERVAL = timedelta(seconds=2)
ANNOUNCE_TIMEOUT = timedelta(seconds=1)
# A draining target serves at least this long, so that requests on their way to it are answered.
MIN_DRAIN_TIME = timedelta(seconds=1)
DRAIN_TIMEOUT = timedelta(seconds=30)
MAX_COUNTED_PATHS = 100_000
IDEMPOTENCY_KEY_VARIABLE = "HTTP_IDEMPOTENCY_KEY"
STATUS_LINES = {
    200: "200 OK",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}


class Behaviour(NamedTuple):
    """Latency and failures of a target.

    :ivar error_rate: share of requests answered with 500
    :ivar latency: time that each request takes
    :ivar crash_on: path whose requests end the process with exit code 70; empty for none
    :ivar cold_start: time after the start during which requests take ten times the latency
    """

    error_rate: float = 0.0
    latency: timedelta = timedelta()
    crash_on: str = ""
    cold_start: timedelta = timedelta()


class TargetApp:
    """WSGI application of a target; counts runs by idempotency key and by path.

    :ivar runs_by_path: runs of at most the last ``MAX_COUNTED_PATHS`` distinct paths
    :ivar active: requests whose response has not been sent completely
    :ivar last_headers: headers of the last request that was run
    """

    def __init__(
        self, *, target: str, version: str, behaviour: Behaviour, clock: Clock, rng: random.Random
    ):
        self.target = target
        self.version = version
        self.behaviour = behaviour
        self.clock = clock
        self.rng = rng
        self.started_at = clock.monotonic()
        self.runs = 0
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_path: Counter[str] = Counter()
        self.active = 0
        self.last_headers: dict[str, str] = {}

    def __call__(self, environ, start_response):
        """Handle a request."""
        self.active += 1
        try:
            status, document = self._handle_request(environ)
        except BaseException:
            self.active -= 1
            raise
        body = msgspec.json.encode(document)
        headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
        start_response(STATUS_LINES[status], headers)
        return self._send_body(body)

    def _handle_request(self, environ) -> tuple[int, dict]:
        """Run a request, or return the run counts if it asks for ``/runs``."""
        if environ["PATH_INFO"] == "/runs":
            return 200, {
                "runs": self.runs,
                "by_key": dict(self.runs_by_key),
                "by_path": dict(self.runs_by_path),
                "last_headers": self.last_headers,
            }
        return self._process(environ)

    def _send_body(self, body: bytes) -> Iterator[bytes]:
        """Yield the body; the request counts as active until the server has sent it."""
        try:
            yield body
        finally:
            self.active -= 1

    def _process(self, environ) -> tuple[int, dict]:
        """Run a request with the latency and the failures of the target's behaviour."""
        if self.behaviour.crash_on and environ["PATH_INFO"] == self.behaviour.crash_on:
            os._exit(70)
        body = environ["wsgi.input"].read()
        self.runs += 1
        self._count_path(environ["PATH_INFO"])
        self.last_headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        key = environ.get(IDEMPOTENCY_KEY_VARIABLE)
        if key is not None:
            self.runs_by_key[key] += 1
        eventlet.sleep(self._latency().total_seconds())
        status = 500 if self.rng.random() < self.behaviour.error_rate else 200
        return status, {
            "target": self.target,
            "version": self.version,
            "path": environ["PATH_INFO"],
            "run": self.runs,
            "key_runs": self.runs_by_key[key] if key is not None else 0,
            "body_bytes": len(body),
        }

    def _count_path(self, path: str) -> None:
        self.runs_by_path[path] += 1
        if len(self.runs_by_path) > MAX_COUNTED_PATHS:
            del self.runs_by_path[next(iter(self.runs_by_path))]

    def _latency(self) -> timedelta:
        is_cold = self.clock.monotonic() - self.started_at < self.behaviour.cold_start
        return self.behaviour.latency * (10 if is_cold else 1)


class Announcer:
    """Posts the target's record to its local node.

    :ivar state: state that is sent with the record, ``up`` or ``leaving``
    """

    def __init__(self, *, url: str, record: dict):
        self.url = f"{url.rstrip('/')}/almondshore/v1/announce"
        self.record = record
        self.state = "up"
        self.pool = urllib3.PoolManager(retries=False)

    def announce(self) -> bool:
        """Post the record once; False if the node did not accept it."""
        try:
            response = self.pool.request(
                "POST",
                self.url,
                body=msgspec.json.encode({**self.record, "state": self.state}),
                headers={"content-type": "application/json"},
                timeout=ANNOUNCE_TIMEOUT.total_seconds(),
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status < 300

    def run(self) -> None:
        """Announce the target at intervals; does not return."""
        while True:
            self.announce()
            eventlet.sleep(ANNOUNCE_INTERVAL.total_seconds())


def drain(app: TargetApp, announcer: Announcer, clock: Clock) -> None:
    """Announce that the target leaves, finish active requests and end the process.

    Requests that are still active after ``DRAIN_TIMEOUT`` are cut off.
    """
    announcer.state = "leaving"
    announcer.announce()
    started_at = clock.monotonic()
    while clock.monotonic() - started_at < DRAIN_TIMEOUT:
        eventlet.sleep(0.05)
        if app.active == 0 and clock.monotonic() - started_at >= MIN_DRAIN_TIME:
            break
    os._exit(0)


def main(
    *,
    listen: str,
    announce: str,
    service: str,
    version: str,
    slots: int = 10,
    name: str = "",
    error_rate: float = 0.0,
    latency_ms: float = 5.0,
    crash_on: str = "",
    cold_start_ms: float = 0.0,
    seed: int = 1,
) -> None:
    """Serve a target stand-in until SIGTERM, which drains it.

    :param listen: address ``ip:port`` to serve on
    :param announce: admin address of the local node, ``http://ip:port``
    :param name: identity of the target, ``service@ip:port`` by default
    """
    clock = SystemClock()
    target = name or f"{service}@{listen}"
    behaviour = Behaviour(
        error_rate,
        timedelta(milliseconds=latency_ms),
        crash_on,
        timedelta(milliseconds=cold_start_ms),
    )
    app = TargetApp(
        target=target, version=version, behaviour=behaviour, clock=clock, rng=random.Random(seed)
    )
    record = {
        "target": target,
        "service": service,
        "version": version,
        "address": listen,
        "slots": slots,
    }
    announcer = Announcer(url=announce, record=record)
    listener = eventlet.listen(split_address(listen))
    signal.signal(signal.SIGTERM, lambda *_: eventlet.spawn(drain, app, announcer, clock))
    eventlet.spawn(announcer.run)
    print_address("target_listening", listener)
    eventlet.wsgi.server(listener, app, log_output=False)


if __name__ == "__main__":
    cyclopts.run(main)
