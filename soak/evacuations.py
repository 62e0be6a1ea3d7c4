"""Evacuations of zones as the operator writes them, and the check that they hold."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.platform import names
from soak.contact import OBSERVATION_MARGIN, ContactTracker
from soak.host import Host
from standins.mesh_platform import StoreStandIn

# The bound `evacuate_s`.
EVACUATE_TIME = timedelta(seconds=5)


class Evacuations:
    """Writes and removes evacuations, and checks the rule EVAC.

    :ivar ordered: zones that the operator wants evacuated
    :ivar since: time from which the store holds each present evacuation
    :ivar ended: zones whose evacuation the operator has ended
    :ivar runs: number of requests that ran in each zone since the last :meth:`reset_runs`
    :ivar checked_s: seconds, summed over the nodes in contact, in which evacuations had to hold
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: StoreStandIn,
        contact: ContactTracker,
        violations: list[str],
    ):
        self.clock = clock
        self.store = store
        self.contact = contact
        self.violations = violations
        self.ordered: set[str] = set()
        self.since: dict[str, timedelta] = {}
        self.ended: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.checked_s = 0.0
        self.sampled_at = clock.monotonic()

    def begin(self, zone: str) -> None:
        """Evacuate a zone."""
        self.ordered.add(zone)
        self.ended.discard(zone)
        self._write()

    def end(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.ordered.discard(zone)
        self.ended.add(zone)
        self._write()

    def write_again(self) -> None:
        """Write the evacuations that a restored store lacks, and remove the ones it has back."""
        self._write()

    def on_restored(self) -> None:
        """Record which evacuations the store holds after a restore."""
        self._note_stored()

    def on_run(self, node: str, zone: str, target: str, request_id: str) -> None:
        """Check a request that a target runs.

        :param node: node beside the target, from which the target gets all requests
        """
        self.runs[zone] += 1
        if self._must_hold(node, zone):
            delay = self.clock.monotonic() - self.since[zone]
            self.violations.append(
                f"EVAC: {request_id} reached {target} in zone {zone} {delay} after its evacuation"
            )

    def sample(self, hosts: Iterable[Host]) -> None:
        """Measure for how long evacuations had to hold; to be called regularly."""
        now = self.clock.monotonic()
        count = sum(self._must_hold(host.name, host.zone) for host in hosts)
        self.checked_s += count * (now - self.sampled_at).total_seconds()
        self.sampled_at = now

    def reset_runs(self) -> None:
        """Count runs from now on."""
        self.runs.clear()

    def check_returned(self) -> None:
        """Check that zones which returned have run requests since :meth:`reset_runs`."""
        for zone in sorted(self.ended - self.ordered):
            if not self.runs[zone]:
                self.violations.append(f"zone {zone} serves no requests after its evacuation")

    def _must_hold(self, node: str, zone: str) -> bool:
        since = self.since.get(zone)
        if since is None or not self.contact.in_contact(node):
            return False
        return self.clock.monotonic() - since > EVACUATE_TIME + OBSERVATION_MARGIN

    def _write(self) -> None:
        stored = set(self.store.objects.get(names.EVACUATION_KIND, {}))
        for zone in sorted(self.ordered - stored):
            self.store.put(names.EVACUATION_KIND, zone, {})
        for zone in sorted(stored - self.ordered):
            self.store.remove(names.EVACUATION_KIND, zone)
        self._note_stored()

    def _note_stored(self) -> None:
        now = self.clock.monotonic()
        stored = self.store.objects.get(names.EVACUATION_KIND, {})
        self.since = {zone: self.since.get(zone, now) for zone in stored}
