"""Tests that the configuration reaches all nodes and never goes back while processes fail."""

import signal
import threading

from test.process.processtest import ProcessTest, VersionSampler


class ConfigurationTest(ProcessTest):
    def setUp(self):
        super().setUp()
        self.sampler = VersionSampler(self.deployment)
        self.addCleanup(self.sampler.stop)

    def other_nodes(self, name):
        return [node for node in self.zones if node != name]

    def check_versions_never_decrease(self):
        self.sampler.stop()
        self.assertGreater(self.sampler.samples, 0)
        self.assertEqual([], self.sampler.decreases)

    def test_relay_killed_while_rules_are_applied(self):
        """Guards against nodes that keep or return to an older version when their relay dies."""
        relay = self.wait_relay("zone-a")
        killer = threading.Timer(0.2, relay.process.kill)
        killer.start()
        for _ in range(3):
            self.apply()
        killer.join()
        relay.process.wait()
        self.wait_converged(*self.other_nodes(relay.name))
        self.deployment.restart_node(relay.name)
        self.wait_converged()
        self.check_versions_never_decrease()

    def test_lost_responses_of_the_platform(self):
        """Guards against an apply that fails or publishes twice when responses are lost."""
        before = self.version
        self.deployment.set_fault("lose-answers")
        self.addCleanup(self.deployment.set_fault, "none")
        self.apply()
        self.deployment.set_fault("none")
        self.wait_converged()
        versions = {
            self.deployment.status_of(node)["config_version"]
            for node in self.deployment.nodes.values()
        }
        self.assertEqual({before + 1}, versions)
        self.check_versions_never_decrease()

    def test_restart_while_the_platform_is_down(self):
        """Guards against a node that uses an older version if the platform is down at its start."""
        self.apply()
        self.wait_converged()
        node = self.deployment.nodes["node-b2"]
        self.deployment.set_fault("down")
        self.addCleanup(self.deployment.set_fault, "none")
        node.process.kill()
        node.process.wait()
        self.deployment.restart_node(node.name)
        self.wait_converged(node.name)
        status = self.deployment.status_of(self.deployment.nodes[node.name])
        self.assertEqual(self.version, status["config_version"])
        self.deployment.set_fault("none")
        self.check_versions_never_decrease()

    def test_relay_paused_past_its_lease(self):
        """Guards against a relay that resumes after its lease and distributes an older version."""
        relay = self.wait_relay("zone-a")
        relay.process.send_signal(signal.SIGSTOP)
        self.addCleanup(relay.process.send_signal, signal.SIGCONT)
        # The other node of the zone becomes relay only after the lease has expired.
        self.wait_relay("zone-a", without=(relay.name,))
        self.apply()
        self.wait_converged(*self.other_nodes(relay.name))
        relay.process.send_signal(signal.SIGCONT)
        self.wait_converged()
        self.apply()
        self.wait_converged()
        self.check_versions_never_decrease()
