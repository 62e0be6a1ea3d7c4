"""Targets that refused a route a moment ago for lack of room."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from almondshore.core.clock import Clock
from almondshore.mesh.model import Target


class _OverloadRefusal(NamedTuple):
    at: timedelta
    retry_after: timedelta


class OverloadRefusals:
    """Remembers refusals, so that a request which cannot be served is refused at once.

    Without it, each request in an overload would be sent to all targets in turn.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.refusals: dict[tuple[str, str], _OverloadRefusal] = {}

    def record(self, target: str, route: str, retry_after: timedelta) -> None:
        """Take note that a target had no room for a route."""
        self.refusals[target, route] = _OverloadRefusal(self.clock.monotonic(), retry_after)

    def without_recent_refusal(
        self, targets: Iterable[Target], route: str, pause: timedelta
    ) -> list[Target]:
        """Return the targets that did not refuse the route within the pause."""
        if not self.refusals:
            return list(targets)
        since = self.clock.monotonic() - pause
        return [
            target
            for target in targets
            if (found := self.refusals.get((target.target, route))) is None or found.at <= since
        ]

    def retry_after(self, targets: Iterable[Target], route: str) -> timedelta:
        """Return when the first of the targets expected to have room again."""
        known = [
            found.retry_after
            for target in targets
            if (found := self.refusals.get((target.target, route))) is not None
        ]
        return min(known, default=timedelta())

    def retain(self, targets: set[str]) -> None:
        """Drop what is known of other targets."""
        for key in [key for key in self.refusals if key[0] not in targets]:
            del self.refusals[key]
