"""Local replica of the target records of all nodes."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import ALL_ZONES, TargetRecord, TargetState
from almondshore.membership.record import declared_dead, is_newer, record_hash

MAX_RECORDS = 65_536
# Longer than a network partition of an hour, so that an old record from the other side does not
# restore a target that was declared dead on this side.
TOMBSTONE_RETENTION = timedelta(hours=2)


class Directory:
    """Target records, merged by incarnation and state.

    Dead records are kept as tombstones and excluded from the digests. At ``max_records`` a record
    of an unknown target is refused.

    :ivar dead_since: monotonic time at which each tombstone was stored
    :ivar revision: increases with each change of a record
    :ivar refused: number of refused records
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_records: int = MAX_RECORDS,
        tombstone_retention: timedelta = TOMBSTONE_RETENTION,
    ):
        self.clock = clock
        self.max_records = max_records
        self.tombstone_retention = tombstone_retention
        self.records: dict[str, TargetRecord] = {}
        self.dead_since: dict[str, timedelta] = {}
        self.zones: defaultdict[str, set[str]] = defaultdict(set)
        self.nodes: defaultdict[str, set[str]] = defaultdict(set)
        self.services: defaultdict[str, defaultdict[str, set[str]]] = defaultdict(
            lambda: defaultdict(set)
        )
        self.zone_digests: defaultdict[str, int] = defaultdict(int)
        self.cached: dict[tuple[str, str], tuple[TargetRecord, ...]] = {}
        self.revision = 0
        self.refused = 0

    def merge(self, records: Iterable[TargetRecord]) -> list[TargetRecord]:
        """Store the records that are newer than the known ones.

        :return: the records stored, to be forwarded
        """
        return [record for record in records if self._store_if_newer(record)]

    def digests(self) -> dict[str, int]:
        """Return the digest of each zone that has live records."""
        return {zone: digest for zone, digest in self.zone_digests.items() if digest}

    def digest(self) -> dict[str, int]:
        """Return the digest of the whole directory under ``ALL_ZONES``, as sent in heartbeats."""
        total = 0
        for digest in self.zone_digests.values():
            total ^= digest
        return {ALL_ZONES: total}

    def differing_zones(self, digests: Mapping[str, int]) -> list[str]:
        """Return the zones whose digest differs from the given ones."""
        own = self.digests()
        return sorted(
            zone for zone in own.keys() | digests.keys() if own.get(zone) != digests.get(zone)
        )

    def of_zone(self, zone: str) -> list[TargetRecord]:
        """Return all records of a zone, tombstones included."""
        return [self.records[target] for target in sorted(self.zones.get(zone, ()))]

    def of_node(self, node: str) -> list[TargetRecord]:
        """Return the records that a node owns, tombstones included."""
        return [self.records[target] for target in sorted(self.nodes.get(node, ()))]

    def of_service(self, service: str) -> list[TargetRecord]:
        """Return the records of a service's targets that take new work."""
        targets_by_version = self.services.get(service, {}).values()
        return [
            self.records[target] for targets in targets_by_version for target in sorted(targets)
        ]

    def services_of(self, node: str) -> set[str]:
        """Return the services for which a node has live targets."""
        records = self.of_node(node)
        return {r.service for r in records if r.state is not TargetState.DEAD}

    def lookup(self, service: str, version: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service's version that take new work, ordered by name."""
        records = self.cached.get((service, version))
        if records is None:
            targets = self.services.get(service, {}).get(version, ())
            records = tuple(self.records[target] for target in sorted(targets))
            self.cached[service, version] = records
        return records

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service with at least one target that takes new work."""
        return set(self.services.get(service, ()))

    def declare_dead(self, node: str) -> list[TargetRecord]:
        """Mark all records of a node as dead.

        :return: the changed records
        """
        return self.merge([declared_dead(record) for record in self.of_node(node)])

    def expire(self) -> None:
        """Remove the tombstones whose retention has passed, and bound the look-up cache."""
        limit = self.clock.monotonic() - self.tombstone_retention
        if len(self.cached) > MAX_RECORDS:
            self.cached.clear()
        for target in [t for t, since in self.dead_since.items() if since <= limit]:
            self._remove(target)

    def _store_if_newer(self, record: TargetRecord) -> bool:
        known = self.records.get(record.target)
        if not is_newer(record, known):
            return False
        if known is None and len(self.records) >= self.max_records:
            self.refused += 1
            return False
        if known is not None:
            self._remove(record.target)
        self._insert(record)
        self.revision += 1
        return True

    def _insert(self, record: TargetRecord) -> None:
        target = record.target
        self.records[target] = record
        self.zones[record.zone].add(target)
        self.nodes[record.node].add(target)
        if record.state is TargetState.DEAD:
            self.dead_since[target] = self.clock.monotonic()
            return
        self.zone_digests[record.zone] ^= record_hash(record)
        if record.state is TargetState.UP:
            self.services[record.service][record.version].add(target)
            self.cached.pop((record.service, record.version), None)

    def _remove(self, target: str) -> None:
        record = self.records.pop(target)
        _discard(self.zones, record.zone, target)
        _discard(self.nodes, record.node, target)
        if self.dead_since.pop(target, None) is not None:
            return
        self.zone_digests[record.zone] ^= record_hash(record)
        if record.state is TargetState.UP:
            _discard(self.services[record.service], record.version, target)
            if not self.services[record.service]:
                del self.services[record.service]
            self.cached.pop((record.service, record.version), None)


def _discard(index: dict[str, set[str]], key: str, target: str) -> None:
    index[key].discard(target)
    if not index[key]:
        del index[key]
