"""Load patterns of the model: targets, what happens to them, and the clients."""

from collections.abc import Callable
from datetime import timedelta

from bench.load_model import ClientBehaviour, Load, SimulatedSystem

Scenario = Callable[[SimulatedSystem], Load]

DURATION_S = 20.0
TARGETS_LOST_AT_S = 8.0
TARGETS_ADDED_AT_S = 6.0
# Half of the objective, after which impatient clients leave.
CLIENT_TIMEOUT = timedelta(seconds=0.3)


def uneven_speeds(system: SimulatedSystem) -> Load:
    """Targets differ in speed by three times, at two thirds of the capacity."""
    for name, zone, speed in (("t1", "a", 0.5), ("t2", "b", 1.0), ("t3", "c", 1.5)):
        system.add(name, zone, speed=speed)
    return Load(90, DURATION_S)


def one_slow_target(system: SimulatedSystem) -> Load:
    """One of four targets takes five times as long."""
    _add_four_targets(system, speed=0.2)
    return Load(60, DURATION_S)


def grey_target(system: SimulatedSystem) -> Load:
    """One of four targets fails half of its requests at once, and so looks idle."""
    _add_four_targets(system, failure_rate=0.5, speed=5.0)
    return Load(60, DURATION_S)


def target_that_never_answers(system: SimulatedSystem) -> Load:
    """One of four targets takes two of five requests and never answers them."""
    _add_four_targets(system, unanswered_rate=0.4)
    return Load(60, DURATION_S)


def clients_moved(system: SimulatedSystem, per_s: float = 100) -> Load:
    """All clients are in one zone; their work fills 20 slots, the zone has 9, all have 27."""
    _add_one_per_zone(system)
    return Load(per_s, DURATION_S, zones=("a",))


def capacity_lost(system: SimulatedSystem) -> Load:
    """Two of six targets go; 36 slots are left for work that fills 27 of them."""
    for number, zone in enumerate("abcabc"):
        system.add(f"t{number}", zone)
    for name in ("t0", "t4"):
        system.schedule(timedelta(seconds=TARGETS_LOST_AT_S), lambda name=name: system.remove(name))
    return Load(135, DURATION_S)


def targets_added(system: SimulatedSystem, seconds: float = DURATION_S) -> Load:
    """Work for 34 slots; there are 27, and 45 later."""
    _add_one_per_zone(system)
    for number, zone in enumerate("ab"):
        system.schedule(
            timedelta(seconds=TARGETS_ADDED_AT_S),
            lambda number=number, zone=zone: system.add(f"new{number}", zone),
        )
    return Load(170, seconds)


def retry_storm(system: SimulatedSystem) -> Load:
    """One and a half times the capacity; refused clients come back at once, three times."""
    _add_one_per_zone(system)
    return Load(
        200, DURATION_S, behaviour=ClientBehaviour(max_retries=3, honours_retry_after=False)
    )


def clients_that_give_up(system: SimulatedSystem) -> Load:
    """One and a half times the capacity; clients leave after half the objective."""
    _add_one_per_zone(system)
    return Load(200, DURATION_S, behaviour=ClientBehaviour(timeout=CLIENT_TIMEOUT))


SCENARIOS: tuple[Scenario, ...] = (
    uneven_speeds,
    one_slow_target,
    grey_target,
    target_that_never_answers,
    clients_moved,
    capacity_lost,
    targets_added,
    retry_storm,
    clients_that_give_up,
)


def simulate(scenario: Scenario, seed: int = 1, **options) -> SimulatedSystem:
    """Play a scenario; ``options`` are those of ``SimulatedSystem``."""
    system = SimulatedSystem(seed=seed, **options)
    system.run(scenario(system))
    return system


def _add_four_targets(system: SimulatedSystem, **first: float) -> None:
    """Add four targets in three zones, of which the first one is special."""
    system.add("t1", "a", **first)
    for name, zone in (("t2", "b"), ("t3", "c"), ("t4", "a")):
        system.add(name, zone)


def _add_one_per_zone(system: SimulatedSystem) -> None:
    for number, zone in enumerate("abc"):
        system.add(f"t{number}", zone)
