"""Ejection of failing targets, limited to a share of each group."""

from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import Clock

MAX_EJECTED_SHARE = 0.5
CONSECUTIVE_FAILURES = 5
MIN_ERROR_RATE = 0.5
MIN_WINDOW_REQUESTS = 20
WINDOW = timedelta(seconds=10)
BASE_EJECTION = timedelta(seconds=5)
MAX_EJECTION = timedelta(seconds=60)


class _Health:
    """Recent request results of one target, and its ejections; times in seconds.

    ``requests`` and ``failures`` are halved whenever a new window starts.
    """

    __slots__ = (
        "group",
        "consecutive_failures",
        "requests",
        "failures",
        "window_end",
        "ejected_until",
        "ejections",
    )

    def __init__(self, group: str):
        self.group = group
        self.consecutive_failures = 0
        self.requests = 0.0
        self.failures = 0.0
        self.window_end = 0.0
        self.ejected_until = 0.0
        self.ejections = 0


class OutlierEjector:
    """Ejects targets by consecutive failures and by error rate.

    Targets belong to groups, one for each version of a service. At most ``max_share`` of a group,
    hence of a service, is ejected at a time: if most targets fail, the cause is probably not in
    the targets, and sending all requests to the remaining ones would overload them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_share: float = MAX_EJECTED_SHARE,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        error_rate: float = MIN_ERROR_RATE,
        min_requests: int = MIN_WINDOW_REQUESTS,
        base_ejection: timedelta = BASE_EJECTION,
        max_ejection: timedelta = MAX_EJECTION,
    ):
        self.clock = clock
        self.max_share = max_share
        self.consecutive_failures = consecutive_failures
        self.error_rate = error_rate
        self.min_requests = min_requests
        self.base_ejection_s = base_ejection.total_seconds()
        self.max_ejection_s = max_ejection.total_seconds()
        self.health: dict[str, _Health] = {}
        self.groups: dict[str, frozenset[str]] = {}
        self.ejected: dict[str, float] = {}

    def set_group(self, group: str, targets: Iterable[str]) -> None:
        """Set the targets of a group and discard the results of removed targets."""
        members = frozenset(targets)
        for target in self.groups.get(group, frozenset()) - members:
            if self.health[target].group == group:
                del self.health[target]
                self.ejected.pop(target, None)
        for target in members:
            self.health.setdefault(target, _Health(group)).group = group
        if members:
            self.groups[group] = members
        else:
            self.groups.pop(group, None)
        self._enforce_max_share(group)

    def is_ejected(self, target: str, now_s: float) -> bool:
        """Return whether a target is ejected; an ejection that has run out is ended.

        :param now_s: monotonic time in seconds, which the caller reads once for each decision
        """
        until = self.ejected.get(target)
        if until is None:
            return False
        if now_s < until:
            return True
        self._readmit(target)
        return False

    def record(self, target: str, ok: bool) -> bool:
        """Record the result of a request.

        :return: whether the target was ejected because of this result
        """
        health = self.health.get(target)
        if health is None:
            return False
        now_s = self.clock.monotonic().total_seconds()
        self._roll_window(health, now_s)
        health.requests += 1
        if ok:
            health.consecutive_failures = 0
            if health.ejections and now_s > health.ejected_until + self.max_ejection_s:
                health.ejections = 0
            return False
        health.consecutive_failures += 1
        health.failures += 1
        return self._is_outlier(health) and self._eject(target, health, now_s)

    def _is_outlier(self, health: _Health) -> bool:
        if health.consecutive_failures >= self.consecutive_failures:
            return True
        return (
            health.requests >= self.min_requests
            and health.failures >= self.error_rate * health.requests
        )

    @staticmethod
    def _roll_window(health: _Health, now_s: float) -> None:
        if now_s < health.window_end:
            return
        health.requests /= 2
        health.failures /= 2
        health.window_end = now_s + WINDOW.total_seconds()

    def _eject(self, target: str, health: _Health, now_s: float) -> bool:
        if self.is_ejected(target, now_s):
            return False
        if len(self._ejected_in(health.group, now_s)) + 1 > self._max_ejected(health.group):
            return False
        health.ejections += 1
        duration_s = min(
            self.max_ejection_s, self.base_ejection_s * 2 ** min(health.ejections - 1, 10)
        )
        health.ejected_until = now_s + duration_s
        self.ejected[target] = health.ejected_until
        return True

    def _readmit(self, target: str) -> None:
        """End an ejection; if the next request fails, the target is ejected again, for longer."""
        del self.ejected[target]
        health = self.health[target]
        health.requests = health.failures = 0.0
        health.consecutive_failures = self.consecutive_failures - 1

    def _max_ejected(self, group: str) -> int:
        return int(len(self.groups.get(group, ())) * self.max_share)

    def _ejected_in(self, group: str, now_s: float) -> list[str]:
        members = self.groups.get(group, frozenset())
        return [name for name in members if self.is_ejected(name, now_s)]

    def _enforce_max_share(self, group: str) -> None:
        """End the ejections that expire first if more than the allowed share is ejected.

        This happens when the group has shrunk.
        """
        now_s = self.clock.monotonic().total_seconds()
        ejected = self._ejected_in(group, now_s)
        ejected.sort(key=lambda name: (self.ejected[name], name))
        for target in ejected[: max(0, len(ejected) - self._max_ejected(group))]:
            self._readmit(target)
