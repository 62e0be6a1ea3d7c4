"""Load patterns of the two larger deployments, and of requests whose costs differ."""

import random
from datetime import timedelta

from bench.load_model import SimulatedSystem
from bench.load_parts import ZONES, Draw, Load
from bench.load_scenarios import Scenario, many_senders

SLOW_FACTOR = 12.0
SLOWED_AT_S = 3.0
SECONDS = 10.0
# Range of the speeds of targets of one service.
SPEEDS = (0.7, 1.6)
# Share of the expensive requests, and their work relative to the others'.
EXPENSIVE_SHARE = 0.1
EXPENSIVE_COST = 10.0
TENANTS = 40
# Mean and maximum size of the bodies of uploads.
UPLOAD_BYTES = 60_000
MAX_UPLOAD_BYTES = 360_000
# Bandwidths of the hosts' links.
LINKS_MBPS = (5.0, 100.0)


def target_12_times_slower(system: SimulatedSystem) -> Load:
    """One of twelve targets becomes 12 times slower; the others have enough capacity."""
    _add_targets(system, 12, slots=5)
    slow = system.servers["t0"]
    delay = timedelta(seconds=SLOWED_AT_S)
    system.schedule(delay, lambda: setattr(slow, "speed", 1.0 / SLOW_FACTOR))
    return Load(200, SECONDS)


def speeds_of_74_targets(system: SimulatedSystem) -> tuple[Load, ...]:
    """90 nodes send reads, orders and uploads to 74 targets of 5 slots, in a burst of 1.4 times."""
    system.set_nodes(30)
    for number in range(74):
        speed = system.rng.uniform(*SPEEDS)
        system.add(f"t{number}", ZONES[number % 3], speed=speed, slots=5)
    return (
        Load(846, SECONDS, 0.211, 0.647, 4.548, route="read"),
        Load(442, SECONDS, 0.267, 0.967, 6.531, route="order"),
        Load(113, SECONDS, 0.244, 2.283, 6.580, route="upload"),
    )


def hidden_costs_by_path(system: SimulatedSystem) -> Load:
    """One request of ten has a path that costs 10 times as much; 18 nodes, 24 targets."""
    return _hidden_costs(system, _draw_path)


def hidden_costs_by_tenant(system: SimulatedSystem) -> Load:
    """The requests of a tenth of the tenants cost 10 times as much; 18 nodes, 24 targets."""
    return _hidden_costs(system, _draw_tenant)


def waves_by_zone(system: SimulatedSystem) -> Load:
    """66 nodes and 33 targets of 3 slots; the load of each zone rises and falls by 55%."""
    system.set_nodes(22)
    _add_targets(system, 33, slots=3)
    return Load(940, SECONDS, 0.077, 0.482, 1.204, wave=0.55)


def uploads_on_narrow_links(system: SimulatedSystem) -> tuple[Load, ...]:
    """24 hosts with a node and a target each, links of 5 to 100 Mbit/s, reads and uploads."""
    for number in range(24):
        low, high = LINKS_MBPS
        link_mbps = low * (high / low) ** system.rng.random()
        system.add(f"t{number}", ZONES[number % 3], slots=5, link_mbps=link_mbps)
    system.set_hosts()
    return (
        Load(240, SECONDS, 0.211, 0.647, 4.548, route="read"),
        Load(80, SECONDS, 0.244, 2.283, 6.580, route="upload", draw=_draw_upload),
    )


PATTERNS: tuple[Scenario, ...] = (
    target_12_times_slower,
    speeds_of_74_targets,
    hidden_costs_by_path,
    hidden_costs_by_tenant,
    waves_by_zone,
    uploads_on_narrow_links,
    many_senders,
)


def _add_targets(system: SimulatedSystem, count: int, **fields: float) -> None:
    for number in range(count):
        system.add(f"t{number}", ZONES[number % 3], **fields)


def _hidden_costs(system: SimulatedSystem, draw) -> Load:
    system.set_nodes(6)
    _add_targets(system, 24, slots=5)
    return Load(790, SECONDS, 0.06, 1.0, 4.0, work_sigma=0.4, draw=draw)


def _draw_path(rng: random.Random) -> Draw:
    expensive = rng.random() < EXPENSIVE_SHARE
    name = b"reports" if expensive else b"items"
    path = b"/%s/%d" % (name, rng.randrange(1_000_000))
    return _draw(expensive, path=path, tenant=f"t{rng.randrange(TENANTS)}")


def _draw_tenant(rng: random.Random) -> Draw:
    number = rng.randrange(TENANTS)
    expensive = number < TENANTS * EXPENSIVE_SHARE
    return _draw(expensive, path=b"/items/%d" % rng.randrange(1_000_000), tenant=f"t{number}")


def _draw(expensive: bool, *, path: bytes, tenant: str) -> Draw:
    kind = "expensive" if expensive else "cheap"
    return Draw(kind, path, tenant, 0, EXPENSIVE_COST if expensive else 1.0)


def _draw_upload(rng: random.Random) -> Draw:
    size = min(MAX_UPLOAD_BYTES, int(rng.expovariate(1 / UPLOAD_BYTES)))
    return Draw("upload", b"/uploads", "", size)
