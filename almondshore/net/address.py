"""Parsing of ``ip:port`` addresses; host names are never resolved."""

import ipaddress
import re
from typing import NamedTuple

MAX_PORT = 65535
_PORT = re.compile(r"[1-9][0-9]{0,4}")


class Address(NamedTuple):
    """An IP address and port; an IPv6 address is written in brackets."""

    ip: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port``, or return None if the text is anything else."""
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT or "%" in host:
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    return Address(ip, int(port)) if bracketed == (ip.version == 6) else None
