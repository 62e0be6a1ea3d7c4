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
# Time during which a leaving target still serves, so that requests on their way find it.
LEAVE_GRACE = timedelta(seconds=1)
DRAIN_TIMEOUT = timedelta(seconds=30)
MAX_PATHS = 100_000
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
STATUS_LINES = {
    200: "200 OK",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}


class Behaviour(NamedTuple):
    """How a target answers.

    :ivar error_rate: share of requests answered with 500
    :ivar crash_on: path whose request ends the process; empty for none
    :ivar cold_start: time after the start in which requests take ten times the latency
    """

    error_rate: float = 0.0
    latency: timedelta = timedelta()
    crash_on: str = ""
    cold_start: timedelta = timedelta()


class TargetApp:
    """WSGI application of a target; counts the runs of each idempotency key and of each path.

    :ivar runs_by_path: for the newest paths only
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
        """Answer one request."""
        self.active += 1
        try:
            status, document = self._document(environ)
        except BaseException:
            self.active -= 1
            raise
        body = msgspec.json.encode(document)
        headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
        start_response(STATUS_LINES[status], headers)
        return self._finish(body)

    def _document(self, environ) -> tuple[int, dict]:
        """Return the status and document for a request."""
        if environ["PATH_INFO"] == "/runs":
            return 200, {
                "runs": self.runs,
                "by_key": dict(self.runs_by_key),
                "by_path": dict(self.runs_by_path),
                "last_headers": self.last_headers,
            }
        return self._run(environ)

    def _finish(self, body: bytes) -> Iterator[bytes]:
        """Yield the body; the request is active until the server has sent it."""
        try:
            yield body
        finally:
            self.active -= 1

    def _run(self, environ) -> tuple[int, dict]:
        """Run one request."""
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
        key = environ.get(KEY_HEADER)
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
        if len(self.runs_by_path) > MAX_PATHS:
            del self.runs_by_path[next(iter(self.runs_by_path))]

    def _latency(self) -> timedelta:
        cold = self.clock.monotonic() - self.started_at < self.behaviour.cold_start
        return self.behaviour.latency * (10 if cold else 1)


class Announcer:
    """Posts the target's record to the node beside it."""

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
        """Announce until killed."""
        while True:
            self.announce()
            eventlet.sleep(ANNOUNCE_INTERVAL.total_seconds())


def drain(app: TargetApp, announcer: Announcer, clock: Clock) -> None:
    """Announce that the target leaves, finish the requests and end the process."""
    announcer.state = "leaving"
    announcer.announce()
    started_at = clock.monotonic()
    while clock.monotonic() - started_at < DRAIN_TIMEOUT:
        eventlet.sleep(0.05)
        if app.active == 0 and clock.monotonic() - started_at >= LEAVE_GRACE:
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
    """Serve a target stand-in.

    :param listen: address ``ip:port`` to serve on
    :param announce: admin address of the node beside it, ``http://ip:port``
    :param name: identity of the target; the address by default
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
