"""Tests of the allocation of loopback addresses for test processes."""

import socket
from pathlib import Path

from testtools import TestCase

from standins.addresses import HOSTS_PER_PROCESS, allocate_address, allocate_addresses

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class AddressesTest(TestCase):
    def test_addresses_are_outside_the_range_of_outgoing_connections(self):
        """Guards against a port that an outgoing connection takes before its listener starts."""
        first, last = map(int, PORT_RANGE.read_text().split())
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            socket.create_connection(server.getsockname()) as outgoing,
        ):
            outgoing_host = outgoing.getsockname()[0]
        for host, port in allocate_addresses(5):
            self.assertFalse(first <= port <= last, port)
            self.assertNotEqual(outgoing_host, host)

    def test_addresses_are_allocated_once(self):
        """Guards against two processes of a test that are given the same address."""
        allocated = [allocate_address() for _ in range(3 * HOSTS_PER_PROCESS)]
        self.assertEqual(len(allocated), len(set(allocated)))
        for address in (allocated[0], allocated[-1]):
            with socket.create_server(address):
                pass
