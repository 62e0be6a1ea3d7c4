"""Decides whether a request may be served, by the key that it carries."""

from collections.abc import Collection
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from almondshore.tenants.table import Tenant, TenantTable

# A configuration that was confirmed longer ago may lack a key that was added since. Changes take
# effect within 2.5 s, and nodes in touch confirm their state every 1.3 s.
MAX_CONFIG_AGE = timedelta(seconds=1.5)


class DenialReason(StrEnum):
    """Why a request is denied."""

    AMBIGUOUS_KEY = "ambiguous-key"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_KEY_OUTDATED = "unknown-key-outdated"


class Allowed(NamedTuple):
    """The request may be served.

    :ivar tenant: tenant of its key, None if it needs no key and has no known one
    """

    tenant: Tenant | None


class Denied(NamedTuple):
    """The request may not be served.

    :ivar status: HTTP status of the response
    """

    status: int
    reason: DenialReason


def decide_access(
    table: TenantTable, keys: Collection[bytes], *, public: bool, config_age: timedelta
) -> Allowed | Denied:
    """Return whether a request may be served.

    :param keys: distinct keys that the request carries
    :param public: whether its route needs no key
    :param config_age: time since the configuration was last known to be the newest
    """
    if len(keys) > 1:
        return Denied(400, DenialReason.AMBIGUOUS_KEY)
    tenant = next((table.find(key) for key in keys), None)
    if tenant is not None or public:
        return Allowed(tenant)
    if keys and config_age > MAX_CONFIG_AGE:
        return Denied(503, DenialReason.UNKNOWN_KEY_OUTDATED)
    return Denied(401, DenialReason.UNKNOWN_KEY)
