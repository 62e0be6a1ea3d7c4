"""Check that a tenant's quota holds over all nodes."""

from collections import deque
from collections.abc import Collection
from datetime import timedelta

from almondshore.core.clock import Clock
from soak.config_history import CONFIG_APPLY_TIME, QuotaLimit
from soak.contact import OBSERVATION_MARGIN, ContactTracker

# The bounds `quota_window_s`, `quota_overage` and `quota_slack`.
WINDOW = timedelta(seconds=5)
OVERAGE = 0.1
SLACK = 20.0


def allowance(limit: QuotaLimit) -> float:
    """Return the number of requests that may run in a window."""
    quota = limit.rate_per_s * WINDOW.total_seconds() + limit.burst
    return quota * (1 + OVERAGE) + SLACK


class _StoredLimit:
    """A limit that the store holds or held.

    :ivar acked_at: monotonic time at which the store acknowledged it
    :ivar waiting: nodes that have not been in contact since it had to be applied
    :ivar may_bind: whether it replaces earlier limits once no node is waiting
    :ivar binding_at: time from which earlier limits do not count, None while it is not known
    """

    def __init__(
        self, limit: QuotaLimit, acked_at: timedelta, waiting: set[str], *, may_bind: bool = True
    ):
        self.limit = limit
        self.acked_at = acked_at
        self.waiting = waiting
        self.may_bind = may_bind
        self.binding_at: timedelta | None = None


class QuotaChecker:
    """Checks the rule QUOTA for one tenant, from the times at which its requests run.

    The count of a sliding window grows only when a request runs, so that a check at each run covers
    all windows.

    :param nodes: names of all nodes
    :ivar limits: limits that the tenant may still use, in the order of their acknowledgement
    :ivar recent: times at which a request was sent and ran first, for those of the last window
    :ivar used_share: largest share of the allowance that was used in a window
    """

    def __init__(
        self,
        *,
        clock: Clock,
        contact: ContactTracker,
        nodes: Collection[str],
        violations: list[str],
    ):
        self.clock = clock
        self.contact = contact
        self.nodes = nodes
        self.violations = violations
        self.limits: list[_StoredLimit] = []
        self.recent: deque[tuple[timedelta, timedelta]] = deque()
        self.seen: set[str] = set()
        self.used_share = 0.0

    def on_written(self, limit: QuotaLimit) -> None:
        """Record that the store acknowledged a limit."""
        self.limits.append(_StoredLimit(limit, self.clock.monotonic(), set(self.nodes)))

    def on_restored(self, limit: QuotaLimit | None) -> None:
        """Record a restore of the store.

        Its limit counts from then on, but does not replace earlier ones: nodes keep a newer
        version. Nor do the limits that still wait for nodes, since the store may have lost them.

        :param limit: limit that the store holds now, None if it has no configuration
        """
        for stored in self.limits:
            stored.may_bind = False
        if limit is not None:
            now = self.clock.monotonic()
            self.limits.append(_StoredLimit(limit, now, set(self.nodes), may_bind=False))

    def sample(self) -> None:
        """Find the limits that all nodes apply; to be called regularly."""
        now = self.clock.monotonic()
        for index, stored in enumerate(self.limits):
            if now < stored.acked_at + CONFIG_APPLY_TIME + OBSERVATION_MARGIN:
                break
            stored.waiting -= {node for node in stored.waiting if self.contact.in_contact(node)}
            if not stored.waiting and stored.may_bind and stored.binding_at is None:
                stored.binding_at = now + WINDOW
            if stored.binding_at is not None and now >= stored.binding_at and index:
                del self.limits[:index]
                break

    def on_run(self, request_id: str, sent_at: timedelta) -> None:
        """Record and check a run of a request of the tenant; only its first run counts."""
        if request_id in self.seen:
            return
        self.seen.add(request_id)
        now = self.clock.monotonic()
        self.recent.append((sent_at, now))
        while self.recent and self.recent[0][1] <= now - WINDOW:
            self.recent.popleft()
        count = sum(sent > now - WINDOW for sent, _ in self.recent)
        allowed = max(allowance(stored.limit) for stored in self.limits)
        self.used_share = max(self.used_share, count / allowed)
        if count > allowed:
            self.violations.append(
                f"QUOTA: {request_id} is the {count}th request within {WINDOW} where {allowed:.0f} "
                "are allowed"
            )

    def check_below_quota(self, node: str, status: int | None) -> None:
        """Check that a node does not refuse a tenant far below its quota in the quiet phase."""
        if status == 429:
            self.violations.append(f"{node} answers 429 to a tenant far below its quota")
