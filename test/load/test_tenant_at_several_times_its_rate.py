"""Load: one tenant of many sends several times its usual rate to a target that is full."""

from testtools import TestCase

from test.load.slots import SlotsSimulation

OTHERS = [f"t{number}" for number in range(12)]
SECONDS = 20


class BusyTenantTest(TestCase):
    """12 tenants use 60% of the capacity of 41 requests/s; one more sends 50 requests/s."""

    def simulate(self):
        simulation = SlotsSimulation(slots=9)
        simulation.queue.shares.set_weights(dict.fromkeys([*OTHERS, "busy"], 10.0))
        terms = {"work": 220, "objective": 650, "deadline": 2000, "urgency": 1}
        for tenant in OTHERS:
            simulation.schedule_arrivals("read", 2, SECONDS, tenant=tenant, **terms)
        simulation.schedule_arrivals("read", 50, SECONDS, tenant="busy", **terms)
        simulation.run()
        return simulation

    def test_other_tenants_keep_their_share(self):
        """Guards against tenants that are refused because another one sends too much."""
        simulation = self.simulate()
        on_time = [simulation.share(f"read {tenant}", "on time") for tenant in OTHERS]
        self.assertTrue(sum(on_time) / len(on_time) > 0.9, on_time)
        self.assertTrue(min(on_time) > 0.75, on_time)

    def test_capacity_is_used(self):
        """Guards against slots that stay free while the busy tenant has requests."""
        simulation = self.simulate()
        served = sum(count for (_, end), count in simulation.ends.items() if end == "on time")
        self.assertTrue(served > 0.75 * 41 * SECONDS, simulation.ends)


class UrgentOverloadTest(TestCase):
    """Urgent requests alone exceed the capacity of 41 requests/s; routine ones come beside them."""

    def simulate(self, tenant):
        simulation = SlotsSimulation(slots=9)
        terms = {"work": 220, "objective": 650, "deadline": 2000, "tenant": tenant}
        simulation.schedule_arrivals("urgent", 80, SECONDS, urgency=0, **terms)
        simulation.schedule_arrivals("routine", 12, SECONDS, urgency=2, **terms)
        simulation.run()
        return simulation

    def test_routine_requests_are_not_starved(self):
        """Guards against a kind of request that gets no slot while more urgent ones are waiting."""
        simulation = self.simulate("t1")
        ends = ("on time", "late")
        mean = sum(count for (_, end), count in simulation.ends.items() if end in ends) / sum(
            simulation.ends.values()
        )
        served = simulation.share("routine t1", *ends)
        self.assertTrue(served > 0.8 * 0.25 * mean, (served, mean, simulation.ends))
        self.assertTrue(served < mean, (served, mean, simulation.ends))
