"""Load: targets are overloaded, and clients give up after half the objective."""

from testtools import TestCase

from bench.load_parts import ClientBehaviour
from bench.load_scenarios import CLIENT_TIMEOUT, clients_that_give_up, simulate


class ClientsThatGiveUpTest(TestCase):
    def test_targets_do_not_run_requests_of_clients_that_gave_up(self):
        """Guards against slots held by requests whose clients have given up."""
        system = simulate(clients_that_give_up)
        baseline = simulate(
            lambda model: clients_that_give_up(model)._replace(behaviour=ClientBehaviour())
        )
        answered_in_time = sum(took <= CLIENT_TIMEOUT for took in baseline.response_times)
        # At least as many requests are answered in time as if no client gave up.
        self.assertTrue(system.ends["on time"] >= answered_in_time, (system.ends, answered_in_time))
        for server in system.servers.values():
            self.assertEqual(({}, []), (server.queue.running, server.queue.waiting))

    def test_clients_that_give_up_do_not_raise_the_failure_rate(self):
        """Guards against avoiding targets because their clients gave up early."""
        system = simulate(clients_that_give_up)
        rates = [server.recorder.failure_rate() for server in system.servers.values()]
        self.assertTrue(max(rates) < 0.2, rates)
