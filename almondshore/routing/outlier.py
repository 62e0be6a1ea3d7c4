"""Ejection of targets that fail, with a floor on the targets that remain."""

from collections.abc import Iterable
from datetime import timedelta

from almondshore.core.clock import Clock

MAX_EJECTED_SHARE = 0.5
CONSECUTIVE_FAILURES = 5
ERROR_RATE = 0.5
MIN_WINDOW_REQUESTS = 20
WINDOW = timedelta(seconds=10)
BASE_EJECTION = timedelta(seconds=5)
MAX_EJECTION = timedelta(seconds=60)


class _Health:
    """Passive evidence about one target; times in seconds."""

    __slots__ = ("group", "consecutive", "requests", "failures", "window_end", "until", "times")

    def __init__(self, group: str):
        self.group = group
        self.consecutive = 0
        self.requests = 0.0
        self.failures = 0.0
        self.window_end = 0.0
        self.until = 0.0
        self.times = 0


class OutlierEjector:
    """Ejects targets by consecutive failures and by error rate.

    Targets belong to groups (a service's version). At most ``max_share`` of a group is ejected at
    a time, hence at most that share of a service: if most targets fail, the fault is likely
    elsewhere, and sending everything to the rest would overload it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_share: float = MAX_EJECTED_SHARE,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        error_rate: float = ERROR_RATE,
        min_requests: int = MIN_WINDOW_REQUESTS,
        base_ejection: timedelta = BASE_EJECTION,
        max_ejection: timedelta = MAX_EJECTION,
    ):
        self.clock = clock
        self.max_share = max_share
        self.consecutive_failures = consecutive_failures
        self.error_rate = error_rate
        self.min_requests = min_requests
        self.base = base_ejection.total_seconds()
        self.max = max_ejection.total_seconds()
        self.health: dict[str, _Health] = {}
        self.groups: dict[str, frozenset[str]] = {}
        self.ejected: dict[str, float] = {}

    def set_group(self, group: str, targets: Iterable[str]) -> None:
        """Set the targets of a group; evidence about removed targets is dropped."""
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
        self._restore_floor(group)

    def is_ejected(self, target: str, now_s: float) -> bool:
        """Tell whether a target is ejected.

        :param now_s: monotonic time in seconds, read once by the caller for a whole decision
        """
        until = self.ejected.get(target)
        if until is None:
            return False
        if now_s < until:
            return True
        self._return(target)
        return False

    def record(self, target: str, ok: bool) -> bool:
        """Add the result of a request.

        :returns: whether the target was ejected because of it
        """
        health = self.health.get(target)
        if health is None:
            return False
        now_s = self.clock.monotonic().total_seconds()
        self._roll_window(health, now_s)
        health.requests += 1
        if ok:
            health.consecutive = 0
            if health.times and now_s > health.until + self.max:
                health.times = 0
            return False
        health.consecutive += 1
        health.failures += 1
        return self._is_outlier(health) and self._eject(target, health, now_s)

    def _is_outlier(self, health: _Health) -> bool:
        if health.consecutive >= self.consecutive_failures:
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
        if len(self._ejected_of(health.group, now_s)) + 1 > self._allowed(health.group):
            return False
        health.times += 1
        duration = min(self.max, self.base * 2 ** min(health.times - 1, 10))
        health.until = now_s + duration
        self.ejected[target] = health.until
        return True

    def _return(self, target: str) -> None:
        """End an ejection; the next failure ejects the target again, for longer."""
        del self.ejected[target]
        health = self.health[target]
        health.requests = health.failures = 0.0
        health.consecutive = self.consecutive_failures - 1

    def _allowed(self, group: str) -> int:
        return int(len(self.groups.get(group, ())) * self.max_share)

    def _ejected_of(self, group: str, now_s: float) -> list[str]:
        members = self.groups.get(group, frozenset())
        return [name for name in members if self.is_ejected(name, now_s)]

    def _restore_floor(self, group: str) -> None:
        """Return the targets that were ejected longest ago if the group has shrunk."""
        now_s = self.clock.monotonic().total_seconds()
        ejected = self._ejected_of(group, now_s)
        ejected.sort(key=lambda name: (self.ejected[name], name))
        for target in ejected[: max(0, len(ejected) - self._allowed(group))]:
            self._return(target)
