"""Limits on control traffic and platform calls, from the design targets."""

from datetime import timedelta

from testtools import TestCase

from bench import convergence
from bench.fleet import Fleet
from bench.meter import Meter

NODES = 140
ZONES = 2
SECONDS = 40
# A zone of 463 nodes has 7 relays, the busiest of which serves 83 nodes.
BUSIEST_RELAY_NODES = 83
ZONE_RELAYS = 7
STATUS_WRITES_PER_S = 0.2


class BudgetTest(TestCase):
    def test_bytes_and_calls_stay_within_the_targets(self):
        """Guards against control traffic or platform calls above the design targets.

        The traffic of a relay is scaled from the nodes it serves here to the busiest share.
        """
        meter = Meter()
        fleet = Fleet(seed=1, nodes=NODES, zones=ZONES, meter=meter)
        self.assertIsNotNone(fleet.run_until(lambda: fleet.is_converged(1), timedelta(seconds=60)))
        fleet.run(timedelta(seconds=45))
        before = dict(fleet.pump.store.counts)
        idle = convergence.measure_rates(fleet, meter, lambda: None, SECONDS)
        counts = fleet.pump.store.counts
        writes = (counts["write"] - before["write"]) / SECONDS / len(fleet.relays)
        reads = (counts["read"] - before["read"]) / SECONDS / len(fleet.relays)
        self.assertLessEqual(
            writes * ZONE_RELAYS + STATUS_WRITES_PER_S, convergence.ZONE_WRITES_PER_S_TARGET
        )
        self.assertLessEqual(reads, 0.5)
        times = []
        config = convergence.measure_change_cost(
            fleet, meter, idle, lambda: times.append(convergence.measure_convergence(fleet))
        )
        record = convergence.measure_change_cost(
            fleet, meter, idle, lambda: convergence.change_record(fleet)
        )
        self.assertLessEqual(max(times), 1)
        served = max(len(node.relay.subscribers) for node in fleet.relays)
        figures = convergence.FleetFigures(NODES, 0, 0, idle, config, record, 0, 0, served)
        load = figures.at_full_load()
        self.assertLessEqual(
            load.relay_bytes * BUSIEST_RELAY_NODES / served, convergence.BYTES_PER_S_TARGET
        )
        self.assertLessEqual(load.node_bytes, 500)
        self.assertEqual(0, counts["refused"])
