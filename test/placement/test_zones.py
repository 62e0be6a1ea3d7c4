"""Tests of load on hosts in four zones, one of which is evacuated and returns with cold targets."""

from testtools import TestCase

from test.placement.zones import LIMIT, LONGEST_DELAY_S, SECOND, Zones

# The targets of three zones of four serve 450 requests per second.
RATE = 400
# Requests that a cold target bears in a second.
BOUND = LIMIT.rate_per_s * 1.5 + 8


class ZoneReturnTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = Zones()
        self.world.play(3, RATE)
        self.hosts = self.world.in_zone("a")

    def assert_within_bound(self):
        most = max(host.most_cold_per_second() for host in self.hosts)
        self.assertTrue(0 < most <= 0.8 * BOUND, (most, BOUND))

    def evacuate(self):
        """Evacuate the zone for some seconds; returns the share served on time."""
        self.world.set_evacuated("a")
        on_time = self.world.play(5, RATE)
        known_at = self.world.clock.monotonic() - (5 - LONGEST_DELAY_S) * SECOND
        late = [at for host in self.hosts for at, _ in host.arrived_at if at > known_at]
        self.assertEqual([], late)
        return on_time

    def test_other_zones_take_the_load(self):
        """Guards against requests that fail because their zone is evacuated, or reach it later."""
        self.assertTrue(self.evacuate() > 0.98)

    def test_zone_returns_with_cold_targets(self):
        """Guards against cold targets that crash, or refuse most of what they are sent."""
        self.evacuate()
        for host in self.hosts:
            host.cold_until = self.world.clock.monotonic() + LIMIT.time
        self.world.set_evacuated()
        self.assertTrue(self.world.play(8, RATE) > 0.98)
        self.assert_within_bound()
        refused = sum(len(host.refusals) for host in self.hosts) / len(self.hosts)
        self.assertTrue(refused < 10 * 8, refused)
        before = sum(len(host.arrived_at) for host in self.hosts)
        self.world.play(3, RATE)
        served = (sum(len(host.arrived_at) for host in self.hosts) - before) / 3
        self.assertTrue(served / len(self.hosts) > 2 * LIMIT.rate_per_s, served)

    def test_targets_that_become_cold_when_the_evacuation_ends(self):
        """Guards against full load between the end of an evacuation and the next heartbeat."""
        self.evacuate()
        self.world.set_evacuated()
        for _ in range(10):
            # Each target becomes cold at the moment at which its node learns of the end.
            for host in self.hosts:
                if not host.evacuations.own_evacuated and host.warmup_left() == 0 * SECOND:
                    host.cold_until = self.world.clock.monotonic() + LIMIT.time
            self.world.play(0.4, RATE)
        self.world.play(3, RATE)
        self.assert_within_bound()

    def test_target_that_restarts_under_load(self):
        """Guards against full load on a target that starts anew under its name, unannounced."""
        for host in self.hosts:
            host.restart_target()
        # Without a limit each of them would get 22 requests per second.
        self.assertTrue(self.world.play(6, 1.3 * RATE) > 0.8)
        self.assert_within_bound()
