"""Loopback addresses for the processes of demos, tests and the soak."""

import itertools
import os

from almondshore.http.client import Address

# Below the range from which the kernel takes the local ports of outgoing connections.
FIRST_PORT = 7001
HOSTS_PER_PROCESS = 250

_host_numbers = itertools.count()


def allocate_addresses(count: int) -> list[Address]:
    """Return unused addresses on one loopback host.

    A free port of 127.0.0.1 may be taken by an outgoing connection before its listener starts.
    Outgoing connections do not use the hosts and ports returned here. The host is derived from the
    process id, so that concurrent runs use different hosts.
    """
    pid, (port_block, host_index) = os.getpid(), divmod(next(_host_numbers), HOSTS_PER_PROCESS)
    host = f"127.{1 + pid // 250 % 250}.{pid % 250}.{1 + host_index}"
    first = FIRST_PORT + port_block * count
    return [(host, first + index) for index in range(count)]


def allocate_address() -> Address:
    """Return one unused loopback address."""
    return allocate_addresses(1)[0]


def format_address(address: Address) -> str:
    """Return an address as ``ip:port``."""
    return f"{address[0]}:{address[1]}"
