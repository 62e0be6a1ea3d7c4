"""Benchmark of convergence, control traffic, platform calls and processor time by fleet size."""

import gc
import math
from datetime import timedelta
from typing import NamedTuple

from almondshore.relay.control import FAIR_SHARE_MARGIN
from almondshore.relay.election import LIST_ALL_INTERVAL, slots_needed
from bench.fleet import Fleet
from bench.full_scale import FULL_NODES, FULL_ZONES, full_scale_costs, full_scale_rows
from bench.meter import Meter
from bench.rows import BenchRow

FLEET_SIZES = (50, 200, 800)
ZONES = 2
IDLE_SECONDS = 60
CHANGES = 8
CHANGE_INTERVAL = timedelta(seconds=3)
MESSAGE_LOSS = 0.01

# Change rates of the fleet at full scale (docs/design.md, section 1). Replacing a host takes
# three record changes: the old target leaves, then is dead, and the new host's target is added.
CONFIG_CHANGES_PER_SECOND = 10_000 / 86_400
RECORD_CHANGES_PER_SECOND = 3 * 5_400 / 86_400

NODES_IN_FULL_ZONE = 464
LEASE_BYTES = 160

CONVERGENCE_TARGET_S = 18.0
BYTES_PER_S_TARGET = 14_000.0
CPU_TARGET_PERCENT = 1.9
ZONE_WRITES_PER_S_TARGET = 2.0
READS_PER_S_TARGET = 2_000
WRITES_PER_S_TARGET = 400


class ResourceUsage(NamedTuple):
    """Bytes and processor seconds of the busiest relay and the busiest other node.

    They are rates per second, or costs per change.
    """

    relay_bytes: float
    node_bytes: float
    relay_cpu: float
    node_cpu: float


class FleetFigures(NamedTuple):
    """Figures of a fleet of one size.

    :ivar convergence: longest time until all nodes have a new version in effect, in seconds
    :ivar lossy_convergence: the same while 1% of the messages are lost
    :ivar idle: rates without changes
    :ivar config: additional cost of one configuration change
    :ivar record: additional cost of one changed target record
    :ivar zone_writes: platform writes per second of one zone, without changes
    :ivar relay_reads: platform reads per second of one relay, without changes
    :ivar served: nodes that the busiest relay serves
    """

    nodes: int
    convergence: float
    lossy_convergence: float
    idle: ResourceUsage
    config: ResourceUsage
    record: ResourceUsage
    zone_writes: float
    relay_reads: float
    served: int

    def at_full_load(self) -> ResourceUsage:
        """Return the rates at the rate of changes of the full-scale fleet."""
        return ResourceUsage(
            *(
                idle + CONFIG_CHANGES_PER_SECOND * config + RECORD_CHANGES_PER_SECOND * record
                for idle, config, record in zip(self.idle, self.config, self.record, strict=True)
            )
        )


def measure_fleet(nodes: int, *, seed: int = 1) -> FleetFigures:
    """Measure a fleet of one size; the same seed gives the same counts and bytes.

    Garbage collection is disabled during the measurement: it traverses the objects of all nodes,
    and its time would be charged to the node that happens to run.
    """
    gc.collect()
    gc.disable()
    try:
        return _measure_fleet(nodes, seed)
    finally:
        gc.enable()


def _measure_fleet(nodes: int, seed: int) -> FleetFigures:
    meter = Meter(timing=True)
    fleet = Fleet(seed=seed, nodes=nodes, zones=ZONES, meter=meter)
    _run_until_stable(fleet)
    before = dict(fleet.pump.store.counts)
    idle = measure_rates(fleet, meter, lambda: None, IDLE_SECONDS)
    counts = fleet.pump.store.counts
    writes = (counts["write"] - before["write"]) / IDLE_SECONDS / ZONES
    reads = (counts["read"] - before["read"]) / IDLE_SECONDS / len(fleet.relays)
    record = measure_change_cost(fleet, meter, idle, lambda: change_record(fleet))
    times: list[float] = []
    config = measure_change_cost(
        fleet, meter, idle, lambda: times.append(measure_convergence(fleet))
    )
    fleet.pump.drop_rate = MESSAGE_LOSS
    lossy = max(measure_convergence(fleet) for _ in range(CHANGES))
    served = max(len(node.relay.subscribers) for node in fleet.relays)
    return FleetFigures(nodes, max(times), lossy, idle, config, record, writes, reads, served)


def change_record(fleet: Fleet) -> None:
    """Change the number of slots of a random target and announce it."""
    address = fleet.rng.choice(sorted(fleet.pump.nodes))
    node = fleet.pump.nodes[address]
    fleet.slots[address] = 10 + fleet.rng.randint(1, 1000)
    fleet.pump.send(address, node.announce(fleet.announce(address, node)))


def measure_fleet_restart(nodes: int, *, seed: int = 1) -> list[BenchRow]:
    """Measure the recovery after all processes restart at the same time."""
    fleet = Fleet(seed=seed, nodes=nodes, zones=ZONES)
    _run_until_stable(fleet)
    version = fleet.change_service()
    fleet.run(timedelta(seconds=5))
    fleet.restart(list(fleet.pump.nodes))
    peaks = {"read": 0, "write": 0}
    start = fleet.pump.clock.monotonic()
    ready = None
    while not fleet.is_converged(version):
        fleet.step()
        peaks = {kind: max(peak, _recent_calls(fleet, kind)) for kind, peak in peaks.items()}
        served = all(node.config.ready for node in fleet.nodes)
        if ready is None and served and fleet.nodes_at_version(version) == nodes:
            ready = (fleet.pump.clock.monotonic() - start).total_seconds()
        if fleet.pump.clock.monotonic() - start > timedelta(seconds=120):
            break
    total = (fleet.pump.clock.monotonic() - start).total_seconds()
    scale = FULL_NODES / nodes
    name = f"herd's return, {nodes} nodes"
    return [
        at_most(f"{name}: ready", 10.0, ready or 120.0, "s"),
        at_most(f"{name}: all targets known", CONVERGENCE_TARGET_S, total, "s"),
        at_most(
            f"{name}: reads, scaled to {FULL_NODES}",
            READS_PER_S_TARGET,
            peaks["read"] * scale,
            "1/s",
        ),
        at_most(
            f"{name}: writes, scaled to {FULL_NODES}",
            WRITES_PER_S_TARGET,
            peaks["write"] * scale,
            "1/s",
        ),
    ]


def at_most(name: str, target: float, figure: float, unit: str) -> BenchRow:
    """Return a row whose figure must not exceed the target."""
    verdict = "ok" if figure <= target else "missed"
    return BenchRow(name, f"<= {target:g}", f"{figure:.4g}", unit, verdict)


def run(sizes: tuple[int, ...] = FLEET_SIZES) -> list[BenchRow]:
    """Measure all fleet sizes, their growth, one node at full scale and a restart of all nodes."""
    # The full-scale node is measured before any fleet exists, since garbage collection over the
    # fleets' objects would add to its time.
    costs = full_scale_costs()
    measured = [measure_fleet(nodes) for nodes in sizes]
    rows = [item for figures in measured for item in _rows(figures)]
    rows += _slopes(measured[0], measured[-1])
    rows += full_scale_rows(costs, measured[-1].at_full_load())
    return rows + [_scaled_relay(measured[-1])] + measure_fleet_restart(sizes[-1])


def _scaled_relay(figures: FleetFigures) -> BenchRow:
    """Extrapolate the traffic of the busiest relay of a full zone in the full-scale fleet.

    The traffic grows with the nodes that the relay serves, except for the reads of all leases,
    which grow with the number of zones.
    """
    relays = slots_needed(NODES_IN_FULL_ZONE)
    served = math.ceil(FAIR_SHARE_MARGIN * NODES_IN_FULL_ZONE / relays)
    leases = FULL_ZONES * relays * LEASE_BYTES / LIST_ALL_INTERVAL.total_seconds()
    figure = figures.at_full_load().relay_bytes * served / figures.served + leases
    return at_most(f"{FULL_NODES} nodes: busiest relay, scaled", BYTES_PER_S_TARGET, figure, "B/s")


def _run_until_stable(fleet: Fleet) -> None:
    if fleet.run_until(lambda: fleet.is_converged(1), timedelta(seconds=120)) is None:
        raise RuntimeError("fleet did not converge within 120 s of its start")
    fleet.run(timedelta(seconds=70))


def measure_convergence(fleet: Fleet) -> float:
    """Publish a change of one service.

    :return: seconds until all nodes have it in effect, or 60 if some do not by then
    """
    version = fleet.change_service()
    elapsed = fleet.run_until(
        lambda: fleet.nodes_at_version(version) == len(fleet.nodes), timedelta(seconds=60)
    )
    return elapsed.total_seconds() if elapsed is not None else 60.0


def measure_rates(fleet: Fleet, meter: Meter, change, seconds: float) -> ResourceUsage:
    """Call ``change`` and return the mean rates over a period that starts with the call."""
    meter.clear()
    start = fleet.pump.clock.monotonic()
    change()
    fleet.run(start + timedelta(seconds=seconds) - fleet.pump.clock.monotonic())
    relays = {node.identity.control for node in fleet.relays}
    others = fleet.pump.nodes.keys() - relays
    busiest = [
        max(counts[address] for address in group) / seconds
        for counts in (meter.bytes_by_node, meter.cpu_seconds)
        for group in (relays, others)
    ]
    return ResourceUsage(*busiest)


def measure_change_cost(fleet: Fleet, meter: Meter, idle: ResourceUsage, change) -> ResourceUsage:
    """Return the cost of one change in bytes and processor seconds beyond the idle rates."""
    seconds = CHANGE_INTERVAL.total_seconds()

    def make_changes() -> None:
        for _ in range(CHANGES):
            change()
            fleet.run(CHANGE_INTERVAL)

    changed = measure_rates(fleet, meter, make_changes, CHANGES * (seconds + 1))
    return ResourceUsage(
        *(max(0.0, (rate - base) * (seconds + 1)) for rate, base in zip(changed, idle, strict=True))
    )


def _recent_calls(fleet: Fleet, kind: str) -> int:
    """Return the platform calls of a kind in the last second."""
    now = fleet.pump.clock.monotonic().total_seconds()
    return sum(1 for at in fleet.pump.store.recent_calls[kind] if at > now - 1)


def _rows(figures: FleetFigures) -> list[BenchRow]:
    load = figures.at_full_load()
    name = f"{figures.nodes} nodes"
    return [
        at_most(f"{name}: convergence", CONVERGENCE_TARGET_S, figures.convergence, "s"),
        at_most(
            f"{name}: convergence, 1% lost", CONVERGENCE_TARGET_S, figures.lossy_convergence, "s"
        ),
        at_most(f"{name}: busiest relay", BYTES_PER_S_TARGET, load.relay_bytes, "B/s"),
        BenchRow(f"{name}: served by it", "-", str(figures.served), "nodes", "-"),
        at_most(f"{name}: busiest other node", BYTES_PER_S_TARGET, load.node_bytes, "B/s"),
        at_most(f"{name}: busiest relay", CPU_TARGET_PERCENT, load.relay_cpu * 100, "% core"),
        at_most(f"{name}: busiest other node", CPU_TARGET_PERCENT, load.node_cpu * 100, "% core"),
        at_most(f"{name}: writes of a zone", ZONE_WRITES_PER_S_TARGET, figures.zone_writes, "1/s"),
        at_most(f"{name}: reads of a relay", 5, figures.relay_reads, "1/s"),
    ]


def _slopes(small: FleetFigures, large: FleetFigures) -> list[BenchRow]:
    """Return the growth per 1,000 nodes between the smallest and the largest size."""
    thousands = (large.nodes - small.nodes) / 1000
    low, high = small.at_full_load(), large.at_full_load()
    pairs = [
        ("convergence", small.convergence, large.convergence, "s"),
        ("busiest relay", low.relay_bytes, high.relay_bytes, "B/s"),
        ("busiest other node", low.node_bytes, high.node_bytes, "B/s"),
        ("busiest relay", low.relay_cpu * 100, high.relay_cpu * 100, "% core"),
        ("writes of a zone", small.zone_writes, large.zone_writes, "1/s"),
    ]
    return [
        BenchRow(
            f"slope of {name}", "-", f"{(b - a) / thousands:.3g}", f"{unit} per 1,000 nodes", "-"
        )
        for name, a, b, unit in pairs
    ]


def main() -> None:
    """Run the benchmark and print its table."""
    from rich.console import Console
    from rich.table import Table

    table = Table(*BenchRow._fields)
    for item in run():
        table.add_row(*item)
    Console(width=120).print(table)


if __name__ == "__main__":
    main()
