"""Lookup of the route of a request by method and path."""

from collections.abc import Iterable
from typing import NamedTuple

from almondshore.rules.model import RoutePart, ServicePart

WILDCARD = "*"


class Match(NamedTuple):
    """The service and route that a request belongs to."""

    service: str
    route: RoutePart


class RouteTable:
    """Routes of all services, indexed by method and path.

    An exact path takes precedence over a prefix, and a longer prefix over a shorter one. If two
    services define a route for the same method and path, the service whose name sorts first gets
    it, so that all nodes agree.

    A lookup costs at most one dictionary access for the exact path and one for each distinct
    prefix length in use, regardless of the number of routes.
    """

    def __init__(self, services: Iterable[ServicePart]):
        self.exact: dict[tuple[str, str], Match] = {}
        self.prefixes: dict[tuple[str, str], Match] = {}
        for service in sorted(services, key=lambda part: part["name"]):
            for route in service["routes"]:
                self._add(Match(service["name"], route))
        lengths = {len(prefix) for _, prefix in self.prefixes}
        self.prefix_lengths = sorted(lengths, reverse=True)

    def _add(self, match: Match) -> None:
        path = match.route["path"]
        index, key = self.exact, path
        if path.endswith(WILDCARD):
            index, key = self.prefixes, path[: -len(WILDCARD)]
        for method in match.route["methods"]:
            index.setdefault((method, key), match)

    def match(self, method: str, path: str) -> Match | None:
        """Return the route of a request, or None if no route matches.

        :param path: decoded path without the query
        """
        found = self.exact.get((method, path))
        if found is not None:
            return found
        size = len(path)
        prefixes = self.prefixes
        for length in self.prefix_lengths:
            if length > size:
                continue
            found = prefixes.get((method, path[:length]))
            if found is not None:
                return found
        return None
