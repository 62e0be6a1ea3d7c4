"""Targets that recently refused requests as overloaded or over their rate limit."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.limits.objective import Refusal
from almondshore.mesh.model import Target


class _OverloadRefusal(NamedTuple):
    at: timedelta
    retry_after: timedelta
    objective_at: timedelta


class OverloadRefusals:
    """Keeps the last overload refusal by target and route, and targets at their rate limit.

    Requests that no target can serve are refused immediately. Without this, each request in an
    overload would be sent to all targets in turn.

    :ivar limited_until: monotonic time until which the rate limit of a target allows no request
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.refusals: dict[tuple[str, str], _OverloadRefusal] = {}
        self.limited_until: dict[str, timedelta] = {}

    def record(
        self, target: str, route: str, retry_after: timedelta, objective_at: timedelta
    ) -> None:
        """Record that a target refused a request of a route as overloaded.

        :param objective_at: monotonic time up to which the request counted as on time
        """
        self.refusals[target, route] = _OverloadRefusal(
            self.clock.monotonic(), retry_after, objective_at
        )

    def record_rate_limit(self, target: str, retry_after: timedelta) -> None:
        """Record that a target's rate limit allows no request for a time."""
        self.limited_until[target] = self.clock.monotonic() + retry_after

    def reason(self, targets: Iterable[Target]) -> Refusal:
        """Return why all of the targets are left out."""
        now = self.clock.monotonic()
        if all(self._is_limited(target, now) for target in targets):
            return Refusal.RATE_LIMITED
        return Refusal.OVERLOADED

    def without_recent_refusal(
        self, targets: Iterable[Target], route: str, pause: timedelta, objective_at: timedelta
    ) -> list[Target]:
        """Return the targets that have not refused a request within the last ``pause``.

        A refusal says nothing about a request with an earlier objective that can still be met: a
        target serves it first.

        :param objective_at: monotonic time up to which the request to send counts as on time
        """
        now = self.clock.monotonic()
        targets = [target for target in targets if not self._is_limited(target, now)]
        if not self.refusals:
            return targets
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
        now = self.clock.monotonic()
        retry_times = [
            (
                self.limited_until[target.target] - now
                if self._is_limited(target, now)
                else refusal.retry_after
            )
            for target in targets
            if (refusal := self.refusals.get((target.target, route))) is not None
            or self._is_limited(target, now)
        ]
        return min(retry_times, default=timedelta())

    def _is_limited(self, target: Target, now: timedelta) -> bool:
        return self.limited_until.get(target.target, now) > now

    def retain(self, targets: set[str]) -> None:
        """Drop the refusals of all other targets."""
        for key in [key for key in self.refusals if key[0] not in targets]:
            del self.refusals[key]
        for name in self.limited_until.keys() - targets:
            del self.limited_until[name]
