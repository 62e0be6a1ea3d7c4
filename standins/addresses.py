"""Loopback addresses for the processes of demos, tests and the soak."""

import itertools
import os

from almondshore.http.client import Address

# Below the range from which the kernel takes ports of outgoing connections.
FIRST_PORT = 7001
HOSTS_PER_PROCESS = 250

_hosts = itertools.count()


def allocate_addresses(count: int) -> list[Address]:
    """Return addresses on a loopback host of their own, on which nobody listens.

    A port of 127.0.0.1 that was free a moment ago may be taken by an outgoing connection before
    its listener starts; outgoing connections never come from these hosts and ports. The host is
    derived from the process, so that concurrent runs have different ones.
    """
    process, (round_, host) = os.getpid(), divmod(next(_hosts), HOSTS_PER_PROCESS)
    name = f"127.{1 + process // 250 % 250}.{process % 250}.{1 + host}"
    first = FIRST_PORT + round_ * count
    return [(name, first + index) for index in range(count)]


def allocate_address() -> Address:
    """Return one address on a loopback host of its own, on which nobody listens."""
    return allocate_addresses(1)[0]


def format_address(address: Address) -> str:
    """Return an address as ``ip:port``."""
    return f"{address[0]}:{address[1]}"
