"""Progress of rollouts that a store which was restored from a copy may have lost."""

from collections.abc import Mapping

from almondshore.mesh.model import Rollout, RolloutState

# States in the order in which a rollout passes them; a rollback is final.
_STATES = (
    RolloutState.ORDERED,
    RolloutState.RUNNING,
    RolloutState.COMPLETED,
    RolloutState.ROLLED_BACK,
)
_FINISHED = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class RestoredRollouts:
    """Decides between the progress that was known as an era began and that of the new era.

    The copy may have an earlier state of an order, an earlier order, or none. What the operator
    ordered is written again, but not what almondshore had stored as its progress. For a grace time
    a stored state therefore replaces the known one only if it is a later state of the same order,
    or an order that is not finished.

    :ivar known: progress as the era began, by service, updated with later states
    :ivar held_back: stored rollouts, None for a missing one, that are applied after the grace time
    :ivar confirmed: services whose known progress the store has
    :ivar unsaved: services whose known progress the store lacks, and has to be written again
    """

    def __init__(self) -> None:
        self.active = False
        self.known: dict[str, Rollout] = {}
        self.held_back: dict[str, Rollout | None] = {}
        self.confirmed: set[str] = set()
        self.unsaved: set[str] = set()

    def begin(self, rollouts: Mapping[str, Rollout]) -> None:
        """Keep the known rollouts; those that are kept from an era before have precedence."""
        self.known = {**rollouts, **self.known}
        self.active = True
        self.held_back.clear()
        self.confirmed.clear()
        self.unsaved.clear()

    def end(self) -> dict[str, Rollout | None]:
        """End the grace time; returns what was held back, to be applied.

        Progress that is still to be written is kept until it is.
        """
        self.active = False
        self.known = {
            service: rollout for service, rollout in self.known.items() if service in self.unsaved
        }
        held_back, self.held_back = self.held_back, {}
        return held_back

    def withhold_removal(self, service: str) -> bool:
        """Return whether a rollout that the store lacks stays in effect for now."""
        if not self.active or service not in self.known:
            return False
        self.held_back[service] = None
        return True

    def forget(self, service: str) -> None:
        """Forget a rollout that the operator removed."""
        self.known.pop(service, None)
        self.held_back.pop(service, None)
        self.unsaved.discard(service)

    def confirm(self, service: str) -> None:
        """Note that the store has the known progress of a service."""
        self.unsaved.discard(service)
        self.confirmed.add(service)
        if not self.active:
            self.known.pop(service, None)

    def merge(self, rollout: Rollout) -> Rollout | None:
        """Return the rollout to apply in place of one of the new era, None to keep the known."""
        service = rollout.service
        known = self.known.get(service)
        if known is None:
            return rollout
        if known.version != rollout.version:
            if self.active and rollout.state in _FINISHED:
                self.held_back[service] = rollout
                return None
            if not self.active:
                self.forget(service)
            return rollout
        self.held_back.pop(service, None)
        if _progress(rollout, service in self.confirmed) < _progress(
            known, service in self.confirmed
        ):
            self.unsaved.add(service)
            return known._replace(revision=rollout.revision, duration=rollout.duration)
        self.known[service] = rollout
        self.confirm(service)
        return rollout


def _progress(rollout: Rollout, confirmed: bool) -> tuple[int, float]:
    """Return the sort key of the states of an order.

    :param confirmed: whether a smaller share is a later state, not one of the copy
    """
    return _STATES.index(rollout.state), 0.0 if confirmed else rollout.share
