"""Checks of routes."""

from collections.abc import Collection, Iterator, Mapping, Sequence
from datetime import timedelta

from almondshore.mesh.model import Route
from almondshore.preflight.findings import ConfigFinding, Path, error, warning

ZERO = timedelta()


def check_routes(
    routes: Sequence[tuple[Path, Route]], services: Collection[str]
) -> Iterator[ConfigFinding]:
    """Check all routes of a configuration, each with its path in the document.

    :param services: names of the services of the configuration
    """
    first: dict[tuple[str, str], Route] = {}
    for path, route in routes:
        yield from _check_prefix(path, route)
        yield from _check_shares(path, route, services)
        yield from _check_times(path, route)
        same = first.setdefault((route.host.lower(), route.prefix), route)
        if same is not route:
            yield error(
                path,
                "duplicate-prefix",
                f"never matches, since route {same.name} has the same host and prefix",
            )


def unused_services(routes: Sequence[Route], services: Mapping[str, Path]) -> list[ConfigFinding]:
    """Find services that no route leads to.

    :param services: path of each service of the configuration
    """
    used = {share.service for route in routes for share in route.shares if share.weight > 0}
    return [
        warning(path, "unused-service", "no route leads to this service")
        for name, path in services.items()
        if name not in used
    ]


def _check_prefix(path: Path, route: Route) -> Iterator[ConfigFinding]:
    if not route.host:
        yield error(path, "empty-host", "never matches, since its host is empty")
    if not route.prefix.startswith("/") or any(char in " \t\r\n#" for char in route.prefix):
        yield error(
            path,
            "impossible-prefix",
            f"never matches, since no request has a path that begins with {route.prefix!r}",
        )


def _check_shares(path: Path, route: Route, services: Collection[str]) -> Iterator[ConfigFinding]:
    if any(share.weight < 0 for share in route.shares):
        yield error(path, "negative-weight", "a weight is negative")
    elif not any(share.weight > 0 for share in route.shares):
        yield error(path, "zero-weights", "all weights are 0, so that no service gets requests")
    for service in dict.fromkeys(share.service for share in route.shares):
        if service not in services:
            yield error(path, "unknown-service", f"service {service!r} is not in the configuration")


def _check_times(path: Path, route: Route) -> Iterator[ConfigFinding]:
    if route.timeout <= ZERO:
        yield error(path, "zero-timeout", "the timeout is not above 0")
    if route.objective <= ZERO:
        yield error(path, "zero-objective", "the latency objective is not above 0")
    elif ZERO < route.timeout < route.objective:
        yield warning(
            path,
            "timeout-below-objective",
            f"the timeout of {route.timeout.total_seconds():g} s is below the latency objective of"
            f" {route.objective.total_seconds():g} s",
        )
