"""Waiting until a version is in effect in every zone."""

from collections.abc import Callable
from datetime import timedelta

from almondshore.core.errors import UserError
from almondshore.ui.context import Context
from almondshore.ui.zones import read_zones, zones_with_relays
from almondshore.versions.status import ZoneStatus

# A zone writes its status at most every 5 s.
POLL_INTERVAL = timedelta(seconds=1)


class Waiter:
    """Polls the status of the zones.

    :ivar show: prints a line of progress
    """

    def __init__(self, *, context: Context, show: Callable[[str], None]):
        self.clock = context.clock
        self.wait = context.wait
        self.platform = context.platform()
        self.show = show
        self.shown = ""

    def wait_for(self, version: int, *, timeout: timedelta) -> bool:
        """Wait until each node has the version, or a newer one, in effect.

        An outage of the platform does not end the wait.

        :returns: whether that was so before the timeout
        """
        deadline = self.clock.monotonic() + timeout
        while True:
            late = self._poll(version)
            if late == []:
                return True
            left = deadline - self.clock.monotonic()
            if left <= timedelta():
                break
            self.wait(min(left, POLL_INTERVAL))
        self._show(f"version {version} is not in effect in time")
        for line in late or ():
            self._show(f"  {line}")
        return False

    def _poll(self, version: int) -> list[str] | None:
        """Return a description of each zone without the version; None if no zone is known."""
        try:
            zones = read_zones(self.platform)
            silent = zones_with_relays(self.platform) - {zone["zone"] for zone in zones}
        except UserError as error:
            self._show(str(error))
            return None
        late = [
            f"{zone['zone']}: {describe_versions(zone)} (reported {zone['at']})"
            for zone in zones
            if not reached(zone, version)
        ]
        late += [f"{zone}: no status reported" for zone in sorted(silent)]
        count = len(zones) + len(silent)
        self._show(f"version {version} is in effect in {count - len(late)} of {count} zones")
        return late if count else None

    def _show(self, line: str) -> None:
        if line != self.shown:
            self.show(line)
            self.shown = line


def reached(zone: ZoneStatus, version: int) -> bool:
    """Return whether every node of the zone has the version or a newer one in effect."""
    return bool(zone["versions"]) and all(int(held) >= version for held in zone["versions"])


def describe_versions(zone: ZoneStatus) -> str:
    """Return the versions in effect in a zone with their node counts, newest first."""
    versions = sorted(zone["versions"].items(), key=lambda item: -int(item[0]))
    return ", ".join(f"{version} on {count} nodes" for version, count in versions) or "none"
