"""Claims of idempotency keys in the platform, within a budget of their own."""

from datetime import datetime, timedelta
from enum import Enum
from typing import TypedDict

import msgspec
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.retries.ownership import RETENTION
from almondshore.storage.port import (
    BudgetExceeded,
    Conflict,
    NotFound,
    Platform,
    PlatformError,
    RateLimited,
    StoredObject,
)

CLAIM_PREFIX = "once/"
MARKER_PREFIX = "once-unclaimed/"
# A run without a claim makes the keys of its owner doubtful if the owner dies, so the budget is
# ample; it is halved on each rate refusal, which keeps a whole fleet within the platform's limit.
CLAIMS_PER_SECOND = 10.0
CLAIM_BURST = 50.0
MIN_RATE = 1 / 64
# Claims without a rate refusal after which the rate is raised by a tenth.
RAISE_AFTER = 10
# Markers have a bucket of their own, since a used-up claim budget is what they report.
MARKERS_PER_SECOND = 0.5
# A claim whose answer was lost is repeated once: with the same write id it succeeds if it was won.
CLAIM_ATTEMPTS = 2


class ClaimResult(Enum):
    """Result of a claim."""

    WON = "won"
    LOST = "lost"
    OVER_BUDGET = "over-budget"
    UNAVAILABLE = "unavailable"


class ClaimValue(TypedDict):
    """Content of a claim; ``at`` in ISO 8601, UTC."""

    holder: str
    at: str


class MarkerValue(TypedDict):
    """Whether a node may hold runs whose key it has not claimed."""

    unclaimed: bool


_encode = msgspec.msgpack.Encoder().encode
_claim_decoder = msgspec.msgpack.Decoder(ClaimValue)
_marker_decoder = msgspec.msgpack.Decoder(MarkerValue)


class ClaimBudget:
    """Token bucket for claims; its rate is halved on a refusal and raised slowly."""

    def __init__(
        self, *, clock: Clock, rate: float = CLAIMS_PER_SECOND, burst: float = CLAIM_BURST
    ):
        """Create a full bucket.

        :param rate: claims a second at most
        """
        self.clock = clock
        self.max_rate = rate
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_s = clock.monotonic().total_seconds()
        self.accepted = 0

    def take(self) -> bool:
        """Take a token if there is one."""
        now_s = self.clock.monotonic().total_seconds()
        self.tokens = min(self.burst, self.tokens + (now_s - self.updated_s) * self.rate)
        self.updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def on_refused(self) -> None:
        """Halve the rate after the platform refused a call because of its rate limit."""
        self.rate = max(MIN_RATE, self.rate / 2)
        self.tokens = min(self.tokens, 1.0)
        self.accepted = 0

    def on_accepted(self) -> None:
        """Raise the rate by a tenth of the maximum after several calls without a refusal."""
        self.accepted += 1
        if self.accepted >= RAISE_AFTER:
            self.accepted = 0
            self.rate = min(self.max_rate, self.rate + self.max_rate / 10)


class ClaimStore:
    """Claims and markers of one process.

    :ivar instance: identity of the process, new at each start; names the write, so that a repeated
        claim of the same process is recognised and one of an earlier process is not
    """

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        node: str,
        instance: str,
        budget: ClaimBudget,
        retention: timedelta = RETENTION,
    ):
        self.platform = platform
        self.clock = clock
        self.node = node
        self.instance = instance
        self.budget = budget
        self.retention = retention
        self.markers = ClaimBudget(clock=clock, rate=MARKERS_PER_SECOND)
        self.writes = 0

    def claim(self, key: str) -> ClaimResult:
        """Claim a key for this process; repeating a claim that was won wins again."""
        if not self.budget.take():
            return ClaimResult.OVER_BUDGET
        name = CLAIM_PREFIX + key
        write_id = f"{self.instance}/{key}"
        outcome = ClaimResult.UNAVAILABLE
        for _ in range(CLAIM_ATTEMPTS):
            result = self.platform.create(name, self._claim_value(), write_id)
            outcome = self._judge(result, key)
            if outcome is not ClaimResult.UNAVAILABLE:
                break
        return outcome

    def mark(self, unclaimed: bool) -> ClaimResult:
        """Record for later owners whether this node may hold runs without a claim."""
        if not self.markers.take():
            return ClaimResult.OVER_BUDGET
        name = MARKER_PREFIX + self.node
        self.writes += 1
        value = _encode(MarkerValue(unclaimed=unclaimed))
        write_id = f"{self.instance}/{self.writes}"
        result = self.platform.create(name, value, write_id)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, Conflict) and error.current is not None:
                result = self.platform.update(name, value, error.current.revision, write_id)
        return self._account(result)

    def marked_nodes(self) -> list[str] | None:
        """Return the nodes whose marker is set, or None if the platform does not tell."""
        result = self.platform.list(MARKER_PREFIX)
        if not isinstance(result, Success):
            return None
        return [
            stored.key.removeprefix(MARKER_PREFIX)
            for stored in result.unwrap()
            if _marker_decoder.decode(stored.value)["unclaimed"]
        ]

    def is_marked(self, node: str) -> bool | None:
        """Tell whether a node's marker is set, or None if the platform does not tell."""
        if not self.markers.take():
            return None
        result = self.platform.get(MARKER_PREFIX + node)
        if isinstance(result, Success):
            return _marker_decoder.decode(result.unwrap().value)["unclaimed"]
        return False if isinstance(result.failure(), NotFound) else None

    def _judge(self, result: Result[StoredObject, PlatformError], key: str) -> ClaimResult:
        """Tell whether a claim was won; one whose retention has passed is taken over."""
        if isinstance(result, Success):
            current = result.unwrap()
        else:
            error = result.failure()
            if not isinstance(error, Conflict):
                return self._account(result)
            if error.current is None:
                return ClaimResult.LOST
            current = error.current
        at = datetime.fromisoformat(_claim_decoder.decode(current.value)["at"])
        if self.clock.now() - at >= self.retention:
            return self._account(self._take_over(current, key))
        own = current.write_id.startswith(f"{self.instance}/{key}")
        return self._account(Success(current)) if own else ClaimResult.LOST

    def _take_over(self, current: StoredObject, key: str) -> Result[StoredObject, PlatformError]:
        # The write id differs from that of the expired claim, which may be this process's own.
        self.writes += 1
        write_id = f"{self.instance}/{key}/{self.writes}"
        return self.platform.update(current.key, self._claim_value(), current.revision, write_id)

    def _claim_value(self) -> bytes:
        return _encode(ClaimValue(holder=self.node, at=self.clock.now().isoformat()))

    def _account(self, result: Result[StoredObject, PlatformError]) -> ClaimResult:
        if isinstance(result, Success):
            self.budget.on_accepted()
            return ClaimResult.WON
        error = result.failure()
        if isinstance(error, RateLimited):
            self.budget.on_refused()
            return ClaimResult.OVER_BUDGET
        if isinstance(error, BudgetExceeded):
            return ClaimResult.OVER_BUDGET
        return ClaimResult.LOST if isinstance(error, Conflict) else ClaimResult.UNAVAILABLE
