"""Kinds of new versions and of faults that the benchmark of moves covers."""

from typing import NamedTuple

BASE_ERROR_RATE = 0.001
BASE_LATENCY_MS = 60.0
LATENCY_SIGMA = 0.5
RARE_ROUTE_SHARE = 0.15
ROUTES = ("GET /schedule/*", "GET /faults/*", "POST /push/*")
ROUTE_WEIGHTS = (0.5, 1 - 0.5 - RARE_ROUTE_SHARE, RARE_ROUTE_SHARE)
RARE_ROUTE = ROUTES[-1]


class Version(NamedTuple):
    """Behaviour of the targets of a new version.

    :ivar error_rate: share of requests that fail
    :ivar latency_factor: factor on latency
    :ivar crash_rate: share of requests that crash the target's process
    :ivar from_share: share of the move's duration after which it turns bad; above 1, after the
        move
    :ivar above_load: utilisation of a target above which it is bad
    :ivar route: the only route on which it is bad
    :ivar cold_seconds: time after its start during which a target takes three times as long
    """

    error_rate: float = 0.0
    latency_factor: float = 1.0
    crash_rate: float = 0.0
    from_share: float = 0.0
    above_load: float = 0.0
    route: str = ""
    cold_seconds: float = 5.0

    def is_bad(self) -> bool:
        """Return whether the version should be rolled back."""
        return bool(self.error_rate or self.latency_factor > 1 or self.crash_rate)

    def is_bad_at_start(self) -> bool:
        """Return whether the version is bad from its first request on."""
        return self.is_bad() and not self.from_share and not self.above_load


class Kind(NamedTuple):
    """A kind of new version, and the faults that occur during its move.

    :ivar name: names rows of the table and seeds the random generator of the runs
    """

    name: str
    version: Version
    faults: tuple[str, ...] = ()


GOOD = Version()
AT_ONCE = Version(error_rate=0.3)
LATER = Version(error_rate=0.3, from_share=0.55)
AFTER = Version(error_rate=0.3, from_share=1.15)
UNDER_LOAD = Version(error_rate=0.3, above_load=0.5)
ONE_ROUTE = Version(error_rate=0.5, route=RARE_ROUTE)
SLOW = Version(latency_factor=3.0)

GOOD_KINDS = (
    Kind("good", GOOD),
    Kind("good, cold for 25 s", Version(cold_seconds=25)),
    Kind("good, a fifth of the traffic", GOOD, ("quiet",)),
    Kind("good, overload", GOOD, ("overload",)),
    Kind("good, zone loss", GOOD, ("zone",)),
    Kind("good, platform outage", GOOD, ("outage",)),
    Kind("good, outage over the deadline", GOOD, ("long-outage",)),
    Kind("good, coordinator death", GOOD, ("coordinator",)),
    Kind("good, restart of half the nodes", GOOD, ("restart",)),
    Kind("good, crash request", GOOD, ("crash-request",)),
    Kind("good, targets late", GOOD, ("late",)),
    Kind("good, a target fewer", GOOD, ("fewer",)),
    Kind("good, overload + zone loss", GOOD, ("overload", "zone")),
    Kind("good, outage + coordinator death", GOOD, ("outage", "coordinator")),
    Kind("good, outage + restart", GOOD, ("outage", "restart")),
    Kind("good, coordinator death + crash request", GOOD, ("coordinator", "crash-request")),
)
BAD_KINDS = (
    Kind("bad at once", AT_ONCE),
    Kind("bad at once, a fifth of the traffic", AT_ONCE, ("quiet",)),
    Kind("bad at once, 3% errors", Version(error_rate=0.03)),
    Kind("bad later", LATER),
    Kind("bad after the move", AFTER),
    Kind("bad only under load", UNDER_LOAD),
    Kind("bad on one route", ONE_ROUTE),
    Kind("slow, 3 times", SLOW),
    Kind("slow, 2 times", Version(latency_factor=2.0)),
    Kind("crashes on 1 in 10", Version(crash_rate=0.1)),
    Kind("bad at once, platform outage", AT_ONCE, ("outage",)),
    Kind("bad later, coordinator death", LATER, ("coordinator",)),
    Kind("bad under load, long outage", UNDER_LOAD, ("long-outage",)),
    Kind("bad on one route, zone loss", ONE_ROUTE, ("zone",)),
    Kind("slow, overload", SLOW, ("overload",)),
    Kind("bad after the move, coordinator death", AFTER, ("coordinator",)),
    Kind("bad after the move, long outage", AFTER, ("long-outage",)),
)
