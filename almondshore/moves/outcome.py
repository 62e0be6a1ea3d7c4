"""Publishes the outcome of a move as a new configuration version."""

from abc import ABC, abstractmethod

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.rules.compile import SERVICE_PREFIX, decode_service, encode_part
from almondshore.rules.model import MoveState, ServicePart
from almondshore.storage.port import NotFound, PlatformError
from almondshore.versions.config import apply_changes
from almondshore.versions.publish import Publisher


class OutcomePublisher(ABC):
    """Publishes that a move is done or reverted."""

    @abstractmethod
    def publish(
        self, service: str, move_id: str, state: MoveState, reason: str
    ) -> Result[int, PlatformError]:
        """Publish a configuration version that records the outcome; the call is idempotent.

        :return: the version in which the outcome is recorded, which may be an earlier one;
            ``NotFound`` if the configuration no longer contains the move
        """


class ConfigOutcomePublisher(OutcomePublisher):
    """Publishes outcomes as changes of the newest configuration version."""

    def __init__(self, *, publisher: Publisher, clock: Clock, author: str):
        self.publisher = publisher
        self.clock = clock
        self.author = author

    def publish(
        self, service: str, move_id: str, state: MoveState, reason: str
    ) -> Result[int, PlatformError]:
        """Publish the outcome; return ``Conflict`` if the configuration changed concurrently."""
        current = self.publisher.current()
        if not is_successful(current):
            return current
        base = current.unwrap()
        parts = self.publisher.parts(base.head.version)
        rules = self.publisher.rules_text(base.head.version)
        for result in (parts, rules):
            if not is_successful(result):
                return result
        name = SERVICE_PREFIX + service
        old_parts = parts.unwrap()
        part = decode_service(old_parts[name]) if name in old_parts else None
        if part is None or part["move"] is None or part["move"]["move_id"] != move_id:
            return Failure(NotFound(name))
        if part["move"]["state"] == state.value:
            return Success(base.head.version)
        changed = {name: encode_part(with_outcome(part, state, reason))}
        return self.publisher.publish(
            base=base,
            base_parts=old_parts,
            parts=apply_changes(old_parts, changed),
            rules=rules.unwrap(),
            author=self.author,
            reason=f"move of {service} {state.value}: {reason}",
            at=self.clock.now(),
        ).map(lambda published: published.version)


def with_outcome(part: ServicePart, state: MoveState, reason: str) -> ServicePart:
    """Return a service part whose move has ended.

    :param state: ``DONE`` makes the new version the serving one, ``REVERTED`` the old one
    """
    move = part["move"]
    serving = move["to_version"] if state is MoveState.DONE else move["from_version"]
    return ServicePart(
        **{**part, "version": serving, "move": {**move, "state": state.value, "reason": reason}}
    )
