"""Tests of the datagrams between two nodes on loopback addresses."""

import random
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.core.clock import BootClock
from almondshore.http.stream import socket
from almondshore.mesh.settings import QuotaBound
from almondshore.quotas.client import DistributedQuota
from almondshore.quotas.port import Granted
from almondshore.quotas.transport import UdpNetwork
from almondshore.tenants.table import Tenant

TENANT = Tenant("print", None, 100.0, 100.0)
HOSTS = {"127.0.77.1": "a", "127.0.77.2": "a", "127.0.77.3": "b"}


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.77.1", 0))
        return sock.getsockname()[1]


class UdpNetworkTest(TestCase):
    def setUp(self):
        super().setUp()
        port = free_port()
        self.nodes = [((host, port), zone) for host, zone in HOSTS.items()]
        self.networks = {node: UdpNetwork(address=node) for node, _ in self.nodes}
        for network in self.networks.values():
            self.addCleanup(network.close)
        self.quotas = [
            DistributedQuota(
                clock=BootClock(),
                rng=random.Random(number),
                network=self.networks[node],
                node=node,
                zone=zone,
                bound=QuotaBound(),
            )
            for number, (node, zone) in enumerate(self.nodes)
        ]

    def test_requests_are_granted_over_udp(self):
        # Guards against nodes that do not understand or receive each other's datagrams.
        for quota in self.quotas:
            quota.apply_nodes(self.nodes)
            quota.apply_tenants([TENANT])
        eventlet.sleep(1.0)
        decisions = []
        for quota in self.quotas:
            quota.take(TENANT, decisions.append)
        eventlet.sleep(0.3)
        self.assertEqual([Granted()] * 3, decisions)
        self.assertEqual([0, 0, 0], [quota.malformed for quota in self.quotas])

    def test_no_socket_without_limited_tenants(self):
        # Guards against a changed process where the configuration has no quotas.
        quota, network = self.quotas[0], self.networks[self.nodes[0][0]]
        quota.apply_nodes(self.nodes)
        quota.apply_tenants([Tenant("free")])
        self.assertIsNone(network.sock)
        quota.apply_tenants([TENANT])
        self.assertIsNotNone(network.sock)

    def test_address_in_use_is_tried_again(self):
        # Guards against a node without quotas after it has replaced an earlier process.
        node = self.nodes[0][0]
        earlier = UdpNetwork(address=node)
        self.addCleanup(earlier.close)
        earlier.open()
        network = self.networks[node]
        with mock.patch("almondshore.quotas.transport.OPEN_RETRY_S", 0.02):
            network.open()
            self.assertIsNone(network.sock)
            earlier.close()
            eventlet.sleep(0.1)
        self.assertIsNotNone(network.sock)

    def test_unusable_address_is_ignored(self):
        # Guards against an error through an address that another program has named.
        network = self.networks[self.nodes[0][0]]
        network.open()
        for node in (("", 70_000), ("no such host.invalid", 1), ("127.0.0.1", 0)):
            network.send(node, b"x")
        self.assertGreaterEqual(network.dropped, 2)
