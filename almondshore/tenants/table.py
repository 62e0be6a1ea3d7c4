"""Tenants of a configuration, by the digests of their keys."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

# Half of a SHA-256 digest: keys are random, so that collisions are out of reach.
DIGEST_BYTES = 16


class Tenant(NamedTuple):
    """A tenant of the configuration.

    :ivar priority: replaces the priority of the route, None to keep it
    :ivar rate_per_s: requests per second that all nodes together admit, 0 for no limit
    :ivar burst: requests that are admitted beyond that rate at once
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


def digest_key(key: bytes) -> bytes:
    """Return the digest that stands for a key; keys themselves are not kept."""
    return hashlib.sha256(key).digest()[:DIGEST_BYTES]


class TenantTable:
    """Finds the tenant that holds a key.

    :param holders: each tenant with the digests of its keys; a digest belongs to its first holder
    :ivar by_name: tenants by name
    """

    def __init__(self, *, holders: Iterable[tuple[Tenant, Iterable[bytes]]] = ()):
        self.by_name: dict[str, Tenant] = {}
        self.by_digest: dict[bytes, Tenant] = {}
        for tenant, digests in holders:
            self.by_name[tenant.name] = tenant
            for digest in digests:
                self.by_digest.setdefault(digest, tenant)

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds a key, None if no tenant does."""
        return self.by_digest.get(digest_key(key))
