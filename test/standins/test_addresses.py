"""Tests of the loopback addresses that processes of tests listen on."""

import socket
from pathlib import Path

from testtools import TestCase

from standins.addresses import HOSTS_PER_PROCESS, allocate_address, allocate_addresses

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class AddressesTest(TestCase):
    def test_no_outgoing_connection_takes_an_address(self):
        """Guards against a listener whose port an outgoing connection took before it started."""
        first, last = map(int, PORT_RANGE.read_text().split())
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            socket.create_connection(server.getsockname()) as outgoing,
        ):
            outgoing_host = outgoing.getsockname()[0]
        for host, port in allocate_addresses(5):
            self.assertFalse(first <= port <= last, port)
            self.assertNotEqual(outgoing_host, host)

    def test_addresses_are_given_once(self):
        """Guards against two processes of a test that share a port."""
        given = [allocate_address() for _ in range(3 * HOSTS_PER_PROCESS)]
        self.assertEqual(len(given), len(set(given)))
        for address in (given[0], given[-1]):
            with socket.create_server(address):
                pass
