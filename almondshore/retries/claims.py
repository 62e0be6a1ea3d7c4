"""Claims of idempotency keys, stored in the platform within a separate rate budget."""

from datetime import datetime, timedelta
from enum import Enum
from typing import TypedDict

import msgspec
from returns.result import Failure, Result, Success

from almondshore.core.clock import Clock
from almondshore.core.token_bucket import TokenBucket
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
# If a node that ran a request without a claim dies, it is uncertain which of its keys have run, so
# the budget is generous. The rate is halved each time the platform refuses a call because of its
# rate limit, which keeps all nodes together within that limit.
CLAIMS_PER_SECOND = 10.0
CLAIM_BURST = 50.0
MIN_CALLS_PER_SECOND = 1 / 64
# Number of accepted calls after which the rate is raised by a tenth of the maximum.
ACCEPTED_BEFORE_RAISE = 10
# Markers have a separate budget, since they are written when the claim budget is used up.
MARKERS_PER_SECOND = 0.5
# A claim whose response was lost is repeated once. With the same write id, the repeated call
# succeeds if the first one did.
CLAIM_ATTEMPTS = 2


class ClaimResult(Enum):
    """Result of a claim."""

    WON = "won"
    LOST = "lost"
    OVER_BUDGET = "over-budget"
    UNAVAILABLE = "unavailable"


class ClaimValue(TypedDict):
    """Stored content of a claim; ``at`` is its time in ISO 8601, UTC."""

    holder: str
    at: str


class MarkerValue(TypedDict):
    """Stored content of a marker: whether a node may have run keys that it has not claimed."""

    unclaimed: bool


_encode = msgspec.msgpack.Encoder().encode
_claim_decoder = msgspec.msgpack.Decoder(ClaimValue)
_marker_decoder = msgspec.msgpack.Decoder(MarkerValue)


class ClaimBudget:
    """Token bucket whose rate is halved on a refusal by the platform and then raised slowly."""

    def __init__(
        self, *, clock: Clock, rate: float = CLAIMS_PER_SECOND, burst: float = CLAIM_BURST
    ):
        """Create a full bucket.

        :param rate: maximum number of calls per second
        :param burst: calls that may be made at once
        """
        self.clock = clock
        self.max_rate = rate
        self.bucket = TokenBucket(rate=rate, burst=burst, now_s=clock.monotonic().total_seconds())
        self.accepted = 0

    def take(self) -> bool:
        """Take a token; return whether one was available."""
        return not self.bucket.take(self.clock.monotonic().total_seconds())

    def on_refused(self) -> None:
        """Halve the rate after the platform refused a call because of its rate limit.

        At most one saved token is kept.
        """
        self.bucket.rate = max(MIN_CALLS_PER_SECOND, self.bucket.rate / 2)
        self.bucket.tokens = min(self.bucket.tokens, 1.0)
        self.accepted = 0

    def on_accepted(self) -> None:
        """Raise the rate by a tenth of the maximum after several calls without a refusal."""
        self.accepted += 1
        if self.accepted >= ACCEPTED_BEFORE_RAISE:
            self.accepted = 0
            self.bucket.rate = min(self.max_rate, self.bucket.rate + self.max_rate / 10)


class ClaimStore:
    """Writes and reads the claims and markers of one process.

    :ivar instance: identity of the process, new at each start. It is part of the write id, so that
        a repeated claim of the same process is recognised as its own and one of an earlier process
        is not
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
        self.marker_budget = ClaimBudget(clock=clock, rate=MARKERS_PER_SECOND)
        self.write_count = 0

    def claim(self, key: str) -> ClaimResult:
        """Claim a key for this process; a repeated claim of the same process succeeds again."""
        if not self.budget.take():
            return ClaimResult.OVER_BUDGET
        name = CLAIM_PREFIX + key
        write_id = f"{self.instance}/{key}"
        outcome = ClaimResult.UNAVAILABLE
        for _ in range(CLAIM_ATTEMPTS):
            result = self.platform.create(name, self._claim_value(), write_id)
            outcome = self._claim_result(result, key)
            if outcome is not ClaimResult.UNAVAILABLE:
                break
        return outcome

    def write_marker(self, unclaimed: bool) -> ClaimResult:
        """Write this node's marker, which tells later owners whether it may have unclaimed runs."""
        if not self.marker_budget.take():
            return ClaimResult.OVER_BUDGET
        name = MARKER_PREFIX + self.node
        self.write_count += 1
        value = _encode(MarkerValue(unclaimed=unclaimed))
        write_id = f"{self.instance}/{self.write_count}"
        result = self.platform.create(name, value, write_id)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, Conflict) and error.current is not None:
                result = self.platform.update(name, value, error.current.revision, write_id)
        return self._record_result(result)

    def marked_nodes(self) -> list[str] | None:
        """Return the nodes whose marker is set, or None if the platform could not be read."""
        result = self.platform.list(MARKER_PREFIX)
        if not isinstance(result, Success):
            return None
        return [
            stored.key.removeprefix(MARKER_PREFIX)
            for stored in result.unwrap()
            if _marker_decoder.decode(stored.value)["unclaimed"]
        ]

    def is_marker_set(self, node: str) -> bool | None:
        """Return whether a node's marker is set, or None if it could not be read."""
        if not self.marker_budget.take():
            return None
        result = self.platform.get(MARKER_PREFIX + node)
        if isinstance(result, Success):
            return _marker_decoder.decode(result.unwrap().value)["unclaimed"]
        return False if isinstance(result.failure(), NotFound) else None

    def _claim_result(self, result: Result[StoredObject, PlatformError], key: str) -> ClaimResult:
        """Return the result of a claim; a stored claim past its retention is taken over."""
        if isinstance(result, Success):
            current = result.unwrap()
        else:
            error = result.failure()
            if not isinstance(error, Conflict):
                return self._record_result(result)
            if error.current is None:
                return ClaimResult.LOST
            current = error.current
        at = datetime.fromisoformat(_claim_decoder.decode(current.value)["at"])
        if self.clock.now() - at >= self.retention:
            return self._record_result(self._take_over(current, key))
        claimed_by_self = current.write_id.startswith(f"{self.instance}/{key}")
        return self._record_result(Success(current)) if claimed_by_self else ClaimResult.LOST

    def _take_over(self, current: StoredObject, key: str) -> Result[StoredObject, PlatformError]:
        # The write id must differ from that of the expired claim, which this process may have made.
        self.write_count += 1
        write_id = f"{self.instance}/{key}/{self.write_count}"
        return self.platform.update(current.key, self._claim_value(), current.revision, write_id)

    def _claim_value(self) -> bytes:
        return _encode(ClaimValue(holder=self.node, at=self.clock.now().isoformat()))

    def _record_result(self, result: Result[StoredObject, PlatformError]) -> ClaimResult:
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
