"""Choice of the target that runs a request."""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from almondshore.core.clock import Clock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.routing.load import ResultKind, TargetLoad, TargetResult, Tier
from almondshore.routing.outlier import OutlierEjector
from almondshore.routing.weights import pick_weighted

SPILLOVER_UTILISATION = 0.8
# Time over which a new target's share of requests rises from RAMP_INITIAL_SHARE to its full value.
RAMP_TIME = timedelta(seconds=10)
RAMP_INITIAL_SHARE = 0.1
# Random draws of an eligible target before all targets of the tier are searched.
SAMPLE_ATTEMPTS = 4

__all__ = ["ResultKind", "TargetChooser", "TargetResult"]


class TargetChooser:
    """Chooses targets by power of two random choices, nearest availability zone first.

    The version is picked first, by weight, and then a target of that version, so that the share of
    requests in a move does not depend on the number or the load of the version's targets.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        zone: str,
        ejector: OutlierEjector,
        distance: Callable[[str], int] | None = None,
        spillover: float = SPILLOVER_UTILISATION,
        ramp: timedelta = RAMP_TIME,
    ):
        """Create a chooser without targets.

        :param zone: availability zone of this node
        :param distance: returns the distance of a zone, 0 for this node's zone; by default all
            other zones are equally far
        :param spillover: utilisation of a tier from which farther tiers are used too
        :param ramp: time until a new target gets its full share of requests
        """
        self.clock = clock
        self.rng = rng
        self.zone = zone
        self.ejector = ejector
        self.distance = distance or (lambda other_zone: int(other_zone != zone))
        self.spillover = spillover
        self.ramp_s = ramp.total_seconds()
        self.loads: dict[str, TargetLoad] = {}
        self.services: dict[str, dict[str, list[Tier]]] = {}
        self.members: dict[str, set[str]] = {}

    def update(self, service: str, records: Iterable[TargetRecord]) -> None:
        """Set the targets of a service; only those in state ``UP`` can be chosen."""
        now_s = self.clock.monotonic().total_seconds()
        up = [record for record in records if record.state is TargetState.UP]
        is_first_update = service not in self.services
        for target in self.members.get(service, set()) - {record.target for record in up}:
            self._unlist(target)
        versions: dict[str, dict[int, Tier]] = {}
        for record in up:
            # Targets in the first update may have been up for long and are not ramped up.
            load = self._load(record, float("-inf") if is_first_update else now_s)
            distance = self.distance(record.zone)
            tiers = versions.setdefault(record.version, {})
            tiers.setdefault(distance, Tier(distance)).loads.append(load)
        self._update_ejection_groups(service, versions)
        if not up:
            self.services.pop(service, None)
            self.members.pop(service, None)
            return
        self.members[service] = {record.target for record in up}
        self.services[service] = {
            version: [tiers[distance] for distance in sorted(tiers)]
            for version, tiers in versions.items()
        }

    def choose(
        self, service: str, weights: Mapping[str, float], exclude: Collection[str] = ()
    ) -> TargetRecord | None:
        """Return a target for a request, or None if no target is eligible.

        :param weights: share of each version; versions without targets are ignored
        :param exclude: targets that the request has already been sent to
        """
        versions = self.services.get(service)
        if versions is None:
            return None
        candidates = [(name, weight) for name, weight in weights.items() if weight > 0]
        candidates = [(name, weight) for name, weight in candidates if name in versions]
        if not candidates:
            return None
        now_s = self.clock.monotonic().total_seconds()
        picked_version = pick_weighted(self.rng, candidates)
        load = self._pick_target(versions[picked_version], exclude, now_s)
        if load is None:
            load = self._pick_fallback(picked_version, candidates, versions, exclude, now_s)
        return load.record if load is not None else None

    def started(self, target: str) -> None:
        """Count a request that is being sent to a target."""
        load = self.loads.get(target)
        if load is not None:
            load.own_requests += 1

    def finished(self, target: str, result: TargetResult) -> None:
        """Count the end of a request and update the target's load and health from its result."""
        load = self.loads.get(target)
        if load is None:
            return
        load.own_requests = max(0, load.own_requests - 1)
        load.update(result, self.clock.monotonic().total_seconds())
        if result.kind in (ResultKind.OK, ResultKind.FAILED):
            self.ejector.record(target, result.kind is ResultKind.OK)
        if not load.listed and load.own_requests == 0:
            del self.loads[target]

    def _load(self, record: TargetRecord, cold_since_s: float) -> TargetLoad:
        load = self.loads.get(record.target)
        if load is None:
            load = self.loads[record.target] = TargetLoad(record, cold_since_s)
        elif not load.listed:
            load.listed = True
            load.cold_since_s = cold_since_s
        load.record = record
        return load

    def _unlist(self, target: str) -> None:
        load = self.loads[target]
        load.listed = False
        if load.own_requests == 0:
            del self.loads[target]

    def _update_ejection_groups(
        self, service: str, versions: Mapping[str, Mapping[int, Tier]]
    ) -> None:
        for version in self.services.get(service, {}).keys() - versions.keys():
            self.ejector.set_group(f"{service}\0{version}", ())
        for version, tiers in versions.items():
            names = (load.record.target for tier in tiers.values() for load in tier.loads)
            self.ejector.set_group(f"{service}\0{version}", names)

    def _pick_fallback(
        self,
        picked_version: str,
        candidates: list[tuple[str, float]],
        versions: Mapping[str, list[Tier]],
        exclude: Collection[str],
        now_s: float,
    ) -> TargetLoad | None:
        """Pick a target of another version that has at least the weight of the picked one.

        A version with a smaller share is never used as a fallback, so that the loss of the old
        version's targets does not send all requests to a version that is still being tested.
        """
        weight = dict(candidates)[picked_version]
        fallbacks = [pair for pair in candidates if pair[0] != picked_version and pair[1] >= weight]
        for name, _ in sorted(fallbacks, key=lambda pair: -pair[1]):
            load = self._pick_target(versions[name], exclude, now_s)
            if load is not None:
                return load
        return None

    def _pick_target(
        self, tiers: list[Tier], exclude: Collection[str], now_s: float
    ) -> TargetLoad | None:
        best: TargetLoad | None = None
        best_utilisation = 0.0
        for tier in tiers:
            tier.refresh(now_s)
            load = self._pick_in_tier(tier, exclude, now_s)
            if load is None:
                continue
            utilisation = load.utilisation(now_s, tier.mean_load)
            if best is None or utilisation < best_utilisation:
                best, best_utilisation = load, utilisation
            if tier.mean_utilisation < self.spillover:
                break
        return best

    def _pick_in_tier(
        self, tier: Tier, exclude: Collection[str], now_s: float
    ) -> TargetLoad | None:
        first = self._sample(tier, exclude, now_s, None)
        if first is None or len(tier.loads) == 1:
            return first
        second = self._sample(tier, exclude, now_s, first)
        if second is None:
            return first
        return self._less_loaded(first, second, tier, now_s)

    def _sample(
        self, tier: Tier, exclude: Collection[str], now_s: float, other: TargetLoad | None
    ) -> TargetLoad | None:
        """Return a random eligible target other than ``other``, or None if there is none."""
        loads = tier.loads
        size = len(loads)
        for _ in range(SAMPLE_ATTEMPTS):
            load = loads[int(self.rng.random() * size)]
            if load is not other and self._eligible(load, exclude, now_s):
                return load
        eligible = [
            load for load in loads if load is not other and self._eligible(load, exclude, now_s)
        ]
        return self.rng.choice(eligible) if eligible else None

    def _eligible(self, load: TargetLoad, exclude: Collection[str], now_s: float) -> bool:
        target = load.record.target
        return target not in exclude and not self.ejector.is_ejected(target, now_s)

    def _less_loaded(
        self, first: TargetLoad, second: TargetLoad, tier: Tier, now_s: float
    ) -> TargetLoad:
        """Return the target with the lower utilisation.

        If one of them is further in its ramp, the other is considered only with the probability of
        its own ramp.
        """
        first_ramp, second_ramp = self._ramp(first, now_s), self._ramp(second, now_s)
        first_load = first.utilisation(now_s, tier.mean_load)
        second_load = second.utilisation(now_s, tier.mean_load)
        if first_ramp == second_ramp:
            return second if second_load < first_load else first
        if first_ramp < second_ramp:
            cold, warm, cold_load, warm_load = first, second, first_load, second_load
        else:
            cold, warm, cold_load, warm_load = second, first, second_load, first_load
        if self.rng.random() >= self._ramp(cold, now_s):
            return warm
        # A cold target looks idle, so it counts as having at least the mean load.
        cold_load = max(cold_load, tier.mean_load)
        if cold_load == warm_load:
            return self.rng.choice((cold, warm))
        return cold if cold_load < warm_load else warm

    def _ramp(self, load: TargetLoad, now_s: float) -> float:
        age = now_s - load.cold_since_s
        if age >= self.ramp_s:
            return 1.0
        return RAMP_INITIAL_SHARE + (1.0 - RAMP_INITIAL_SHARE) * age / self.ramp_s
