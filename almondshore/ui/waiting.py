"""Waits until a version is in effect in every zone."""

from collections.abc import Callable
from datetime import timedelta

from almondshore.core.errors import UserError
from almondshore.ui.context import Context
from almondshore.ui.zones import read_zones, zones_with_relays
from almondshore.versions.status import ZoneStatus

# A zone writes its status at most every 5 s.
POLL_INTERVAL = timedelta(seconds=1)


class Waiter:
    """Polls the status of the zones and prints the progress.

    :ivar show: prints a line of progress
    :ivar last_shown: line printed last; a repeated line is not printed
    """

    def __init__(self, *, context: Context, show: Callable[[str], None]):
        self.clock = context.clock
        self.wait = context.wait
        self.platform = context.platform()
        self.show = show
        self.last_shown = ""

    def wait_for(self, version: int, *, timeout: timedelta) -> bool:
        """Wait until each node has the version, or a newer one, in effect.

        The wait continues during an outage of the platform.

        :return: False if the timeout passed first
        """
        deadline = self.clock.monotonic() + timeout
        while True:
            pending = self._poll(version)
            if pending == []:
                return True
            remaining = deadline - self.clock.monotonic()
            if remaining <= timedelta():
                break
            self.wait(min(remaining, POLL_INTERVAL))
        self._show(f"version {version} did not take effect in all zones before the timeout")
        for line in pending or ():
            self._show(f"  {line}")
        return False

    def _poll(self, version: int) -> list[str] | None:
        """Return a description of each zone that lacks the version.

        :return: None if no zone is known or the platform fails
        """
        try:
            zones = read_zones(self.platform)
            unreported = zones_with_relays(self.platform) - {zone["zone"] for zone in zones}
        except UserError as error:
            self._show(str(error))
            return None
        pending = [
            f"{zone['zone']}: {describe_versions(zone)} (reported {zone['at']})"
            for zone in zones
            if not zone_has_version(zone, version)
        ]
        pending += [f"{zone}: no status reported" for zone in sorted(unreported)]
        count = len(zones) + len(unreported)
        self._show(f"version {version} is in effect in {count - len(pending)} of {count} zones")
        return pending if count else None

    def _show(self, line: str) -> None:
        if line != self.last_shown:
            self.show(line)
            self.last_shown = line


def zone_has_version(zone: ZoneStatus, version: int) -> bool:
    """Return whether every node of the zone has the version or a newer one in effect."""
    return bool(zone["versions"]) and all(
        int(node_version) >= version for node_version in zone["versions"]
    )


def describe_versions(zone: ZoneStatus) -> str:
    """Return the versions in effect in a zone with their node counts, newest first."""
    versions = sorted(zone["versions"].items(), key=lambda item: -int(item[0]))
    return ", ".join(f"{version} on {count} nodes" for version, count in versions) or "none"
