"""Load: more than the targets can do, and clients leave after half the objective."""

from testtools import TestCase

from bench.load_model import Habits
from bench.load_scenarios import PATIENCE, clients_that_give_up, play


class ClientsThatGiveUpTest(TestCase):
    def test_targets_do_not_work_for_clients_that_left(self):
        """Guards against slots that are held by requests whose clients have gone."""
        system = play(clients_that_give_up)
        staying = play(lambda model: clients_that_give_up(model)._replace(habits=Habits()))
        soon = sum(took <= PATIENCE for took in staying.response_times)
        # At least as many are answered in time as if those that leave had stayed.
        self.assertTrue(system.ends["on time"] >= soon, (system.ends, soon))
        for server in system.servers.values():
            self.assertEqual(({}, []), (server.queue.running, server.queue.waiting))

    def test_impatient_clients_do_not_make_targets_look_bad(self):
        """Guards against targets that are passed over since clients left early."""
        system = play(clients_that_give_up)
        rates = [server.recorder.failure_rate() for server in system.servers.values()]
        self.assertTrue(max(rates) < 0.2, rates)
