"""Waiting until a version is in effect in every zone."""

from datetime import timedelta

from almondshore.ui.context import Context
from almondshore.ui.zones import read_zones
from almondshore.versions.status import ZoneStatus

POLL_INTERVAL = timedelta(milliseconds=500)


def wait_until_in_effect(version: int, *, timeout: timedelta, context: Context) -> bool:
    """Poll the status of all zones until each node has the version, or a newer one, in effect.

    :returns: whether that was so before the timeout
    """
    platform = context.platform()
    deadline = context.clock.monotonic() + timeout
    shown = ""
    while True:
        zones = read_zones(platform)
        waiting = [zone["zone"] for zone in zones if not reached(zone, version)]
        progress = (
            f"version {version} is in effect in {len(zones) - len(waiting)}/{len(zones)} zones"
        )
        if progress != shown:
            context.line(progress)
            shown = progress
        if zones and not waiting:
            return True
        if context.clock.monotonic() >= deadline:
            context.line(f"not in effect in time in: {', '.join(waiting) or 'any zone'}")
            return False
        context.wait(POLL_INTERVAL)


def reached(zone: ZoneStatus, version: int) -> bool:
    """Return whether every node of the zone has the version or a newer one in effect."""
    return bool(zone["versions"]) and all(int(held) >= version for held in zone["versions"])
