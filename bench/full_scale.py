"""Memory and processor time of one node at full scale: 19,000 targets in 2,600 services."""

import random
import time
import tracemalloc
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import ManualClock
from almondshore.core.messages import ConfigDelta, ConfigSnapshot, TargetRecord, TargetState
from almondshore.membership.directory import Directory
from almondshore.versions.config import apply_changes, diff_parts, make_configuration
from almondshore.versions.sync import ConfigSync
from almondshore.versions.view import ViewBuilder
from bench.fleet import make_part
from bench.rows import BenchRow

FULL_NODES = 19_000
FULL_SERVICES = 2_600
FULL_ZONES = 41
REPETITIONS = 20
MEMORY_TARGET_MB = 128.0
CPU_TARGET_PERCENT = 1.9


class FullScaleNode:
    """The configuration, the directory and the routing view of one node at full scale."""

    def __init__(self):
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.config = ConfigSync(clock=self.clock, rng=self.rng)
        parts = {f"service/s{n:04d}": make_part(f"s{n:04d}") for n in range(FULL_SERVICES)}
        first = make_configuration(1, parts)
        self.config.offer(ConfigSnapshot(1, first.digest, dict(parts)))
        self.directory = Directory(clock=self.clock)
        self.directory.merge(self.record(number, 1) for number in range(FULL_NODES))
        self.views = ViewBuilder(state=self.config.state, directory=self.directory)
        self.views.view()

    def record(self, number: int, incarnation: int) -> TargetRecord:
        """Return the record of a target; like a decoded one, it shares no strings with others."""
        address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}"
        return TargetRecord(
            target=f"target-{number:05d}",
            node=f"node-{number:05d}",
            service=f"s{number % FULL_SERVICES:04d}",
            version=f"v{1}",
            address=f"{address}:7401",
            zone=f"zone-{number % FULL_ZONES:02d}",
            slots=10,
            incarnation=incarnation,
            state=TargetState.UP,
            control=f"{address}:7400",
        )

    def change_config(self, number: int) -> None:
        """Apply a change of one service and rebuild the view."""
        old = self.config.state.current
        name = f"s{number:04d}"
        changes = {f"service/{name}": make_part(name, salt=str(old.version))}
        new = make_configuration(old.version + 1, apply_changes(old.parts, changes))
        delta = ConfigDelta(
            new.version, new.digest, old.version, old.digest, diff_parts(old.parts, new.parts)
        )
        started = time.process_time()
        self.config.offer(delta)
        self.views.view()
        self.cpu_seconds += time.process_time() - started

    def change_record(self, number: int) -> None:
        """Apply a changed target record and rebuild the view."""
        record = self.record(number, 2)
        started = time.process_time()
        self.directory.merge([record])
        self.views.view()
        self.cpu_seconds += time.process_time() - started

    def measure_cost(self, change) -> float:
        """Return the mean processor seconds of one change."""
        self.cpu_seconds = 0.0
        for number in range(REPETITIONS):
            change(number)
            self.clock.advance(timedelta(seconds=1))
        return self.cpu_seconds / REPETITIONS


class NodeCosts(NamedTuple):
    """Memory of one node in MB, and processor seconds of one change of each kind."""

    megabytes: float
    config: float
    record: float


def full_scale_costs() -> NodeCosts:
    """Measure the memory and the cost of changes of one node at full scale."""
    tracemalloc.start()
    node = FullScaleNode()
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return NodeCosts(
        megabytes, node.measure_cost(node.change_config), node.measure_cost(node.change_record)
    )


def full_scale_rows(costs: NodeCosts, load) -> list[BenchRow]:
    """Return memory and processor time of a node at full scale.

    :param load: ``ResourceUsage`` of the largest measured fleet at the full-scale change rates
    """
    from bench.convergence import CONFIG_CHANGES_PER_SECOND, RECORD_CHANGES_PER_SECOND, at_most

    megabytes, config, record = costs
    changes = CONFIG_CHANGES_PER_SECOND * config + RECORD_CHANGES_PER_SECOND * record
    name = f"{FULL_NODES} targets, {FULL_SERVICES} services"
    return [
        at_most(f"{name}: state of a node", MEMORY_TARGET_MB, megabytes, "MB"),
        BenchRow(f"{name}: one version taken", "-", f"{config * 1e3:.3g}", "ms", "-"),
        BenchRow(f"{name}: one record taken", "-", f"{record * 1e3:.3g}", "ms", "-"),
        at_most(
            f"{name}: relay with view", CPU_TARGET_PERCENT, (load.relay_cpu + changes) * 100, "%"
        ),
        at_most(
            f"{name}: node with view", CPU_TARGET_PERCENT, (load.node_cpu + changes) * 100, "%"
        ),
    ]
