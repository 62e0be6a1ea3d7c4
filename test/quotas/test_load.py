"""Tests of the quotas under load patterns over 90 nodes, in virtual time without a network."""

import gc
import random
import tracemalloc

from testtools import TestCase

from almondshore.mesh.settings import QuotaBound
from almondshore.tenants.table import Tenant
from test.quotas.world import (
    HEADER_BYTES,
    World,
    allowed,
    max_in_window,
    nodes_in_zones,
    zipf_tenants,
)

NODES = 90
ZONES = 3
SETTLE_S = 4.0
BOUND = QuotaBound()


def started_world(tenants, **kwargs):
    world = World(zones=nodes_in_zones(NODES, ZONES), **kwargs)
    for node in world.zones:
        world.start(node, tenants)
    world.run(SETTLE_S)
    return world


def zipf_picker(world, exponent):
    nodes = list(world.zones)
    weights = [1 / (rank + 1) ** exponent for rank in range(len(nodes))]
    rng = random.Random(5)
    rng.shuffle(weights)
    return lambda: rng.choices(nodes, weights)[0]


class OverQuotaTest(TestCase):
    """Guards against a quota that is exceeded or not used up, whatever nodes the callers use."""

    def check(self, tenant, pick, *, seconds=30.0, factor=2.0, least=0.97):
        world = started_world([tenant], seed=3)
        load_s = seconds + 10
        world.load(tenant, factor * tenant.rate_per_s, pick(world), load_s)
        # The first seconds use up the burst.
        world.run(10)
        first = len(world.used[tenant.name])
        world.run(seconds)
        used = len(world.used[tenant.name]) - first
        share = used / (tenant.rate_per_s * seconds)
        largest, _ = max_in_window(world.used[tenant.name], BOUND.window.total_seconds())
        per_node = world.datagrams / NODES / (load_s + SETTLE_S)
        print(
            f"\n{tenant.rate_per_s:g}/s, burst {tenant.burst:g}: used {share:.4f} of the rate; "
            f"largest window {largest} of {allowed(tenant, BOUND):.0f} allowed; "
            f"{per_node:.1f} datagrams/s per node"
        )
        self.assertGreaterEqual(share, least)
        self.assertLessEqual(largest, allowed(tenant, BOUND))

    def test_demand_is_even(self):
        nodes = list(nodes_in_zones(NODES, ZONES))
        self.check(
            Tenant("even", None, 560.0, 560.0), lambda world: lambda: world.rng.choice(nodes)
        )

    def test_demand_is_skewed(self):
        self.check(Tenant("skewed", None, 200.0, 100.0), lambda world: zipf_picker(world, 1.5))

    def test_demand_is_at_one_node(self):
        node = next(iter(nodes_in_zones(NODES, ZONES)))
        self.check(Tenant("one", None, 200.0, 50.0), lambda _world: lambda: node)

    def test_demand_is_in_one_zone(self):
        nodes = [node for node, zone in nodes_in_zones(NODES, ZONES).items() if zone == "z1"]
        self.check(Tenant("zone", None, 60.0, 0.0), lambda world: lambda: world.rng.choice(nodes))

    def test_tenant_is_small(self):
        self.check(
            Tenant("small", None, 3.0, 3.0),
            lambda world: zipf_picker(world, 1.2),
            seconds=120.0,
        )

    def test_demand_is_seven_times_the_quota(self):
        self.check(
            Tenant("peak", None, 100.0, 20.0), lambda world: zipf_picker(world, 1.0), factor=7.5
        )


class UnderQuotaTest(TestCase):
    """Guards against refusals of tenants that keep to their quotas."""

    def check(self, tenant, rate, pick, *, regular, seconds=30.0):
        world = started_world([tenant], seed=7)
        world.run(10)
        world.load(tenant, rate, pick(world), seconds, regular=regular)
        world.run(seconds + 1)
        waits = sorted(world.waits)
        print(
            f"\n{rate:g}/s of {tenant.rate_per_s:g}/s: {len(world.used[tenant.name])} used, "
            f"{world.refused[tenant.name]} refused; {sum(wait == 0 for wait in waits)} without "
            f"wait, median {waits[len(waits) // 2] * 1000:.1f} ms, "
            f"at most {waits[-1] * 1000:.1f} ms"
        )
        self.assertEqual(0, world.refused[tenant.name])

    def test_large_tenant(self):
        for regular in (True, False):
            self.check(
                Tenant("large", None, 560.0, 560.0),
                0.89 * 560,
                lambda world: zipf_picker(world, 1.0),
                regular=regular,
            )

    def test_small_tenant(self):
        self.check(
            Tenant("small", None, 3.0, 3.0),
            0.89 * 3,
            lambda world: zipf_picker(world, 0.0),
            regular=True,
            seconds=200.0,
        )

    def test_small_tenant_at_one_node(self):
        self.check(
            Tenant("small", None, 3.0, 6.0),
            0.7 * 3,
            lambda world: lambda: next(iter(world.zones)),
            regular=False,
            seconds=200.0,
        )


class TrafficTest(TestCase):
    """Guards against control traffic and memory that grow with nodes and tenants."""

    def test_traffic_and_wait_at_2000_requests_per_second(self):
        tenants = zipf_tenants(87, 1.2, 2000 / 0.85)
        world = started_world(tenants, seed=11)
        world.run(5)
        world.datagrams = world.sent_bytes = 0
        seconds = 10.0
        for tenant in tenants:
            pick = zipf_picker(world, 0.0)
            world.load(tenant, 0.85 * tenant.rate_per_s, pick, seconds)
        world.run(seconds)
        requests = len(world.waits)
        payload = world.sent_bytes / NODES / seconds
        datagrams = world.datagrams / NODES / seconds
        print(
            f"\n{requests / seconds:.0f} requests/s, {sum(world.refused.values())} refused; "
            f"per node {datagrams:.1f} datagrams/s, {payload:.0f} B/s, with headers "
            f"{payload + datagrams * HEADER_BYTES:.0f} B/s; "
            f"{sum(wait == 0 for wait in world.waits) / requests:.2f} of requests without wait, "
            f"mean wait {sum(world.waits) / requests * 1000:.2f} ms"
        )
        self.assertLess(payload, 1000)
        self.assertLess(sum(world.refused.values()), 0.001 * requests)

    def test_memory(self):
        tenants = zipf_tenants(87, 1.2, 2000)
        world = World(zones=nodes_in_zones(NODES, ZONES))
        gc.collect()
        tracemalloc.start()
        quota = world.start(next(iter(world.zones)), tenants)
        world.run(SETTLE_S)
        for tenant in tenants:
            for _ in range(20):
                quota.take(tenant, lambda _decision: None)
        world.run(1)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"\n{size / 1e6:.2f} MB")
        self.assertLess(size, 2e6)
