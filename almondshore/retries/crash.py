"""Quarantine of requests that crash the targets that run them."""

from collections import OrderedDict, deque
from datetime import timedelta
from typing import NamedTuple

import xxhash

from almondshore.core.clock import Clock
from almondshore.core.messages import CrashDeath

# Counted deaths of targets that quarantine a fingerprint.
QUARANTINE_DEATHS = 2
DEATH_WINDOW = timedelta(seconds=60)
QUARANTINE = timedelta(seconds=60)
# During this time after a quarantine, a single further death quarantines the fingerprint again.
PROBATION_TIME = timedelta(minutes=10)
MAX_SUSPECTS = 1024
# Bounds the number of refused fingerprints after a mass failure, in which many targets die while
# they run the same requests.
MAX_QUARANTINED = 64
MAX_RECENT_DEATHS = 16
MAX_COMPLETIONS = 1024


class CrashSuspected(NamedTuple):
    """The request must be refused because it is suspected of crashing targets."""

    retry_after: timedelta


class _Suspect:
    """Deaths of targets that ran requests with one fingerprint; monotonic times in seconds.

    :ivar recent_deaths: the last deaths, as target and incarnation, to recognise repeated reports
    :ivar last_ended_ms: wall clock time of the latest death
    """

    __slots__ = ("death_count", "recent_deaths", "last_ended_ms", "quarantined_until", "expires")

    def __init__(self) -> None:
        self.death_count = 0
        self.recent_deaths: deque[tuple[str, int]] = deque(maxlen=MAX_RECENT_DEATHS)
        self.last_ended_ms = 0
        self.quarantined_until = 0.0
        self.expires = 0.0


def fingerprint(method: str, path: str, tenant: str, body_digest: bytes) -> int:
    """Return a hash that is equal for requests that quarantine treats as the same.

    :param body_digest: digest of the complete body
    """
    request_bytes = f"{method}\0{path}\0{tenant}\0".encode(errors="replace")
    return xxhash.xxh3_64_intdigest(request_bytes + body_digest)


class CrashGuard:
    """Counts deaths of targets by the fingerprint of the requests that they were running.

    Two deaths within a minute quarantine a fingerprint. A completed run clears the deaths before
    it, also those that are reported later, because requests that only ran at the same time as the
    crashing one complete on other targets. A death counts only if the run started after the
    previous death, since the failure of a rack ends many runs of a common request at the same
    time. A death counts once, however many nodes report it.

    :ivar completions: wall clock time in milliseconds of the last completed run of the fingerprints
        completed most recently
    """

    def __init__(
        self,
        *,
        clock: Clock,
        quarantine_deaths: int = QUARANTINE_DEATHS,
        window: timedelta = DEATH_WINDOW,
        quarantine: timedelta = QUARANTINE,
        probation: timedelta = PROBATION_TIME,
        capacity: int = MAX_SUSPECTS,
        max_quarantined: int = MAX_QUARANTINED,
    ):
        self.clock = clock
        self.quarantine_deaths = quarantine_deaths
        self.window_s = window.total_seconds()
        self.quarantine_s = quarantine.total_seconds()
        self.probation_s = probation.total_seconds()
        self.capacity = capacity
        self.max_quarantined = max_quarantined
        self.suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self.completions: OrderedDict[int, int] = OrderedDict()

    def check(self, request_fingerprint: int) -> CrashSuspected | None:
        """Return a refusal if the fingerprint is in quarantine."""
        suspect = self.suspects.get(request_fingerprint)
        if suspect is None:
            return None
        now_s = self._now_s()
        if now_s < suspect.quarantined_until:
            return CrashSuspected(timedelta(seconds=suspect.quarantined_until - now_s))
        if now_s >= suspect.expires:
            del self.suspects[request_fingerprint]
        return None

    def record_completion(self, request_fingerprint: int) -> None:
        """Clear the deaths of a fingerprint after a run ended with a response.

        A fingerprint in quarantine is not cleared.
        """
        self.completions[request_fingerprint] = int(self.clock.now().timestamp() * 1000)
        self.completions.move_to_end(request_fingerprint)
        if len(self.completions) > MAX_COMPLETIONS:
            self.completions.popitem(last=False)
        suspect = self.suspects.get(request_fingerprint)
        if suspect is not None and self._now_s() >= suspect.quarantined_until:
            del self.suspects[request_fingerprint]

    def record_death(self, death: CrashDeath) -> bool:
        """Count a death that this node observed or that another node reported.

        :return: whether the death was new to this node and should be forwarded to others
        """
        now_s = self._now_s()
        suspect = self.suspects.get(death.fingerprint)
        if suspect is not None and now_s >= suspect.expires:
            del self.suspects[death.fingerprint]
            suspect = None
        if suspect is None:
            suspect = self._add(death.fingerprint, now_s)
            if suspect is None:
                return False
        identity = (death.target, death.incarnation)
        if identity in suspect.recent_deaths:
            return False
        suspect.recent_deaths.append(identity)
        completed_ms = self.completions.get(death.fingerprint, 0)
        if completed_ms > suspect.last_ended_ms and now_s >= suspect.quarantined_until:
            suspect.death_count = 0
        if completed_ms > death.ended_ms:
            return True
        if death.started_ms >= suspect.last_ended_ms:
            suspect.death_count += 1
        suspect.last_ended_ms = max(suspect.last_ended_ms, death.ended_ms)
        suspect.expires = max(suspect.expires, now_s + self.window_s)
        if suspect.death_count >= self.quarantine_deaths:
            self._quarantine(suspect, now_s)
        return True

    def was_quarantined(self, request_fingerprint: int) -> bool:
        """Return whether a request is or was in quarantine.

        A death while it ran is then no evidence against the target's version.
        """
        suspect = self.suspects.get(request_fingerprint)
        return suspect is not None and suspect.quarantined_until > 0.0

    def _quarantine(self, suspect: _Suspect, now_s: float) -> None:
        if now_s < suspect.quarantined_until:
            return
        if (
            sum(now_s < other.quarantined_until for other in self.suspects.values())
            >= self.max_quarantined
        ):
            return
        suspect.quarantined_until = now_s + self.quarantine_s
        suspect.expires = suspect.quarantined_until + self.probation_s
        suspect.death_count = self.quarantine_deaths - 1

    def _add(self, request_fingerprint: int, now_s: float) -> _Suspect | None:
        """Add a fingerprint, or return None if the table is full of fingerprints in quarantine.

        A full table evicts the oldest fingerprint that is not in quarantine.
        """
        if len(self.suspects) >= self.capacity:
            evictable = (
                key for key, item in self.suspects.items() if now_s >= item.quarantined_until
            )
            oldest = next(evictable, None)
            if oldest is None:
                return None
            del self.suspects[oldest]
        suspect = self.suspects[request_fingerprint] = _Suspect()
        return suspect

    def _now_s(self) -> float:
        return self.clock.monotonic().total_seconds()
