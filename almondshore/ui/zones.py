"""Reads the status objects of all zones."""

import msgspec

from almondshore.core.errors import UserError
from almondshore.relay.lease import RELAY_LEASE_PREFIX
from almondshore.storage.port import Platform
from almondshore.ui.platform_errors import require
from almondshore.versions.status import STATUS_PREFIX, ZoneStatus, decode_status


def read_zones(platform: Platform) -> list[ZoneStatus]:
    """Read the status of all zones, ordered by zone.

    :raises UserError: if the platform fails or a status object is malformed
    """
    zones = []
    for stored in require(platform.list(STATUS_PREFIX)):
        try:
            zones.append(decode_status(stored.value))
        except msgspec.MsgspecError as error:
            raise UserError(f"the object '{stored.key}' is malformed: {error}") from error
    return zones


def zones_with_relays(platform: Platform) -> set[str]:
    """Return the zones with a relay lease, whether or not they have reported a status.

    :raises UserError: if the platform fails
    """
    leases = require(platform.list(RELAY_LEASE_PREFIX))
    return {stored.key.removeprefix(RELAY_LEASE_PREFIX).partition("/")[0] for stored in leases}
