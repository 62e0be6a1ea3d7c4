"""Load patterns of the simulation: targets, changes of targets, and client load."""

from collections.abc import Callable
from datetime import timedelta

from bench.load_model import SimulatedSystem
from bench.load_parts import ZONES, ClientBehaviour, Load

Scenario = Callable[[SimulatedSystem], Load | tuple[Load, ...]]

DURATION_S = 20.0
TARGETS_LOST_AT_S = 8.0
TARGETS_ADDED_AT_S = 6.0
# Nodes and targets in each zone of a large service: each node sends few of a target's requests, so
# its reports are old.
MANY_NODES_PER_ZONE = 67
MANY_TARGETS_PER_ZONE = 20
# Time after which clients abandon a request: half of the objective.
CLIENT_TIMEOUT = timedelta(seconds=0.3)


def uneven_speeds(system: SimulatedSystem) -> Load:
    """Targets whose speeds differ by up to three times, at two thirds of their capacity."""
    for name, zone, speed in (("t1", "a", 0.5), ("t2", "b", 1.0), ("t3", "c", 1.5)):
        system.add(name, zone, speed=speed)
    return Load(90, DURATION_S)


def one_slow_target(system: SimulatedSystem) -> Load:
    """One of four targets takes five times as long."""
    _add_four_targets(system, speed=0.2)
    return Load(60, DURATION_S)


def grey_target(system: SimulatedSystem) -> Load:
    """One of four targets fails half of its requests quickly, and so appears to be idle."""
    _add_four_targets(system, failure_rate=0.5, speed=5.0)
    return Load(60, DURATION_S)


def target_that_never_answers(system: SimulatedSystem) -> Load:
    """One of four targets accepts all requests and never answers two of five."""
    _add_four_targets(system, unanswered_rate=0.4)
    return Load(60, DURATION_S)


def clients_moved(system: SimulatedSystem, per_s: float = 100) -> Load:
    """All clients are in one zone and need 20 slots; their zone has 9, all zones have 27."""
    _add_one_per_zone(system)
    return Load(per_s, DURATION_S, zones=("a",))


def capacity_lost(system: SimulatedSystem) -> Load:
    """Two of six targets are removed; the load needs 27 of the remaining 36 slots."""
    for number, zone in enumerate("abcabc"):
        system.add(f"t{number}", zone)
    for name in ("t0", "t4"):
        system.schedule(timedelta(seconds=TARGETS_LOST_AT_S), lambda name=name: system.remove(name))
    return Load(135, DURATION_S)


def targets_added(system: SimulatedSystem, seconds: float = DURATION_S) -> Load:
    """The load needs 34 slots; there are 27 at first, and 45 once two targets are added."""
    _add_one_per_zone(system)
    for number, zone in enumerate("ab"):
        system.schedule(
            timedelta(seconds=TARGETS_ADDED_AT_S),
            lambda number=number, zone=zone: system.add(f"new{number}", zone),
        )
    return Load(170, seconds)


def retry_storm(system: SimulatedSystem) -> Load:
    """One and a half times the capacity; refused clients retry immediately, up to three times."""
    _add_one_per_zone(system)
    return Load(
        200, DURATION_S, behaviour=ClientBehaviour(max_retries=3, honours_retry_after=False)
    )


def one_target_left(system: SimulatedSystem) -> Load:
    """One target of three is left, at twice its capacity; refused clients return once when told."""
    system.add("t0", "a")
    return Load(
        94,
        DURATION_S,
        work=0.19,
        objective=0.5,
        work_sigma=0.7,
        behaviour=ClientBehaviour(max_retries=1),
    )


def clients_that_give_up(system: SimulatedSystem) -> Load:
    """One and a half times the capacity; clients abandon requests after half the objective."""
    _add_one_per_zone(system)
    return Load(200, DURATION_S, behaviour=ClientBehaviour(timeout=CLIENT_TIMEOUT))


def many_senders(system: SimulatedSystem) -> Load:
    """201 nodes send to 60 equal targets of 3 slots, at four fifths of their capacity."""
    system.set_nodes(MANY_NODES_PER_ZONE)
    for zone in ZONES:
        for number in range(MANY_TARGETS_PER_ZONE):
            system.add(f"{zone}{number}", zone, slots=3)
    return Load(720, 6.0)


SCENARIOS: tuple[Scenario, ...] = (
    uneven_speeds,
    one_slow_target,
    grey_target,
    target_that_never_answers,
    clients_moved,
    capacity_lost,
    targets_added,
    retry_storm,
    one_target_left,
    clients_that_give_up,
    many_senders,
)


def simulate(scenario: Scenario, seed: int = 1, **options) -> SimulatedSystem:
    """Simulate a scenario; ``options`` are passed to ``SimulatedSystem``."""
    system = SimulatedSystem(seed=seed, **options)
    loads = scenario(system)
    system.run(*((loads,) if isinstance(loads, Load) else loads))
    return system


def _add_four_targets(system: SimulatedSystem, **first: float) -> None:
    """Add four targets in three zones; ``first`` are the properties of the first target."""
    system.add("t1", "a", **first)
    for name, zone in (("t2", "b"), ("t3", "c"), ("t4", "a")):
        system.add(name, zone)


def _add_one_per_zone(system: SimulatedSystem) -> None:
    for number, zone in enumerate("abc"):
        system.add(f"t{number}", zone)
