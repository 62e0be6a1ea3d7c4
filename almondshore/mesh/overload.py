"""Targets that recently refused requests of a route as overloaded."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.mesh.model import Target


class _OverloadRefusal(NamedTuple):
    at: timedelta
    retry_after: timedelta
    objective_at: timedelta


class OverloadRefusals:
    """Keeps the last overload refusal by target and route.

    Requests that no target can serve are refused immediately. Without this, each request in an
    overload would be sent to all targets in turn.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.refusals: dict[tuple[str, str], _OverloadRefusal] = {}

    def record(
        self, target: str, route: str, retry_after: timedelta, objective_at: timedelta
    ) -> None:
        """Record that a target refused a request of a route as overloaded.

        :param objective_at: monotonic time up to which the request counted as on time
        """
        self.refusals[target, route] = _OverloadRefusal(
            self.clock.monotonic(), retry_after, objective_at
        )

    def without_recent_refusal(
        self, targets: Iterable[Target], route: str, pause: timedelta, objective_at: timedelta
    ) -> list[Target]:
        """Return the targets that have not refused a request within the last ``pause``.

        A refusal says nothing about a request with an earlier objective that can still be met: a
        target serves it first.

        :param objective_at: monotonic time up to which the request to send counts as on time
        """
        if not self.refusals:
            return list(targets)
        now = self.clock.monotonic()
        since = now - pause
        return [
            target
            for target in targets
            if (refusal := self.refusals.get((target.target, route))) is None
            or refusal.at <= since
            or now < objective_at < refusal.objective_at
        ]

    def retry_after(self, targets: Iterable[Target], route: str) -> timedelta:
        """Return the shortest retry time that the targets stated, zero if none is known."""
        retry_times = [
            refusal.retry_after
            for target in targets
            if (refusal := self.refusals.get((target.target, route))) is not None
        ]
        return min(retry_times, default=timedelta())

    def retain(self, targets: set[str]) -> None:
        """Drop the refusals of all other targets."""
        for key in [key for key in self.refusals if key[0] not in targets]:
            del self.refusals[key]
