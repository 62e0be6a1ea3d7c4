"""Sample routes, targets and announcements."""

from datetime import timedelta

from almondshore.http.parsing import RequestLimits
from almondshore.http.server import ServerLimits
from almondshore.mesh.changes import compress_config
from almondshore.mesh.model import (
    Announcement,
    MeshConfig,
    Route,
    RouteKind,
    RouteTable,
    Share,
    Target,
    TargetState,
)

ALL_TO_S = (Share("s", 1.0),)


def route(name="r", host="h.example", prefix="/a/", shares=ALL_TO_S, **fields):
    values = {
        "kind": RouteKind.IDEMPOTENT,
        "timeout": timedelta(seconds=1.2),
        "objective": timedelta(seconds=0.6),
        "priority": 1,
        "max_attempts": 2,
    }
    return Route(name=name, host=host, prefix=prefix, shares=shares, **(values | fields))


def config(version=1, routes=(), raw=b"{}"):
    limits = ServerLimits(RequestLimits(16384, 65536), timedelta(seconds=3), timedelta(seconds=15))
    return MeshConfig(
        version, RouteTable(routes=routes), {"s": "/health"}, limits, compress_config(raw)
    )


def target(name="t1", version="v1", node=("10.0.0.1", 1), **fields):
    values = {
        "service": "s",
        "zone": "a",
        "slots": 4,
        "state": TargetState.READY,
        "born_ms": 1000,
        "sequence": 1,
    }
    return Target(target=name, version=version, node=node, **(values | fields))


def announcement(name="t1", sequence=1, state=TargetState.READY, born_ms=1000, **fields):
    values = {
        "service": "s",
        "version": "v1",
        "zone": "a",
        "slots": 4,
        "address": ("10.0.0.1", 9),
        "warmup": timedelta(),
    }
    return Announcement(
        target=name, sequence=sequence, state=state, born_ms=born_ms, **(values | fields)
    )
