"""Quarantine of requests that crash the targets that run them."""

from collections import OrderedDict, deque
from datetime import timedelta
from typing import NamedTuple

import xxhash

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath

DEATHS = 2
DEATH_WINDOW = timedelta(seconds=60)
QUARANTINE = timedelta(seconds=60)
# After its quarantine a fingerprint is on probation: one more death quarantines it again.
PROBATION = timedelta(minutes=10)
CAPACITY = 1024
# Bounds what a mass failure, in which many targets die with the same requests, can refuse.
MAX_QUARANTINED = 64
REMEMBERED_DEATHS = 16


class CrashSuspected(NamedTuple):
    """The request is refused, since it is suspected of crashing targets."""

    retry_after: timedelta


class _Suspect:
    """Deaths that a fingerprint is suspected of; times in seconds."""

    __slots__ = ("count", "seen", "last_ended_ms", "until", "forget")

    def __init__(self) -> None:
        self.count = 0
        self.seen: deque[tuple[str, int]] = deque(maxlen=REMEMBERED_DEATHS)
        self.last_ended_ms = 0
        self.until = 0.0
        self.forget = 0.0


def fingerprint(method: str, path: str, tenant: str, body_digest: bytes) -> int:
    """Return the identity of a request for the purpose of quarantine.

    :param body_digest: digest of the whole body
    """
    text = f"{method}\0{path}\0{tenant}\0".encode(errors="replace")
    return xxhash.xxh3_64_intdigest(text + body_digest)


class CrashGuard:
    """Counts deaths of targets by the fingerprint of what they ran.

    Two deaths within a minute quarantine a fingerprint. A run that completes clears its deaths:
    requests that merely ran beside the one at fault complete elsewhere. A run counts only if it
    started after the death before it, since a rack that fails ends many runs of a common request
    at the same time. A death counts once, however many nodes report it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        deaths: int = DEATHS,
        window: timedelta = DEATH_WINDOW,
        quarantine: timedelta = QUARANTINE,
        probation: timedelta = PROBATION,
        capacity: int = CAPACITY,
        max_quarantined: int = MAX_QUARANTINED,
    ):
        self.clock = clock
        self.deaths = deaths
        self.window_s = window.total_seconds()
        self.quarantine_s = quarantine.total_seconds()
        self.probation_s = probation.total_seconds()
        self.capacity = capacity
        self.max_quarantined = max_quarantined
        self.suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def check(self, request: int) -> CrashSuspected | None:
        """Return a refusal if the fingerprint is in quarantine."""
        suspect = self.suspects.get(request)
        if suspect is None:
            return None
        now_s = self._now_s()
        if now_s < suspect.until:
            return CrashSuspected(timedelta(seconds=suspect.until - now_s))
        if now_s >= suspect.forget:
            del self.suspects[request]
        return None

    def record_completion(self, request: int) -> None:
        """Clear a fingerprint whose run ended with a response."""
        suspect = self.suspects.get(request)
        if suspect is not None and self._now_s() >= suspect.until:
            del self.suspects[request]

    def record_death(self, death: CrashDeath) -> bool:
        """Count a death that this node saw or was told of.

        :returns: whether it was new, so that it is to be passed on
        """
        now_s = self._now_s()
        suspect = self.suspects.get(death.fingerprint)
        if suspect is not None and now_s >= suspect.forget:
            del self.suspects[death.fingerprint]
            suspect = None
        if suspect is None:
            suspect = self._add(death.fingerprint, now_s)
            if suspect is None:
                return False
        identity = (death.target, death.incarnation)
        if identity in suspect.seen:
            return False
        suspect.seen.append(identity)
        if death.started_ms >= suspect.last_ended_ms:
            suspect.count += 1
        suspect.last_ended_ms = max(suspect.last_ended_ms, death.ended_ms)
        suspect.forget = max(suspect.forget, now_s + self.window_s)
        if suspect.count >= self.deaths:
            self._quarantine(suspect, now_s)
        return True

    def was_quarantined(self, request: int) -> bool:
        """Tell whether a death is the request's fault, and not evidence against a version."""
        suspect = self.suspects.get(request)
        return suspect is not None and suspect.until > 0.0

    def _quarantine(self, suspect: _Suspect, now_s: float) -> None:
        if now_s < suspect.until:
            return
        if sum(now_s < other.until for other in self.suspects.values()) >= self.max_quarantined:
            return
        suspect.until = now_s + self.quarantine_s
        suspect.forget = suspect.until + self.probation_s
        suspect.count = self.deaths - 1

    def _add(self, request: int, now_s: float) -> _Suspect | None:
        """Add a fingerprint; a full table evicts the oldest one that is not in quarantine."""
        if len(self.suspects) >= self.capacity:
            free = (key for key, item in self.suspects.items() if now_s >= item.until)
            oldest = next(free, None)
            if oldest is None:
                return None
            del self.suspects[oldest]
        suspect = self.suspects[request] = _Suspect()
        return suspect

    def _now_s(self) -> float:
        return self.clock.monotonic().total_seconds()
