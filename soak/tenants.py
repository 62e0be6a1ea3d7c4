"""Tenants of the soak: the configuration, the requests that callers draw, and the checks."""

import random
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from almondshore.core.clock import Clock
from soak.config_history import ConfigHistory, ConfigVersion, QuotaLimit
from soak.contact import ContactTracker

# Tenants of all versions: without a quota, far below its quota, and beyond its quota.
STEADY, ROOMY, TIGHT = "steady", "roomy", "tight"
# Its keys are added and removed.
GUEST = "guest"
PERMANENT_KEYS = {f"{name}-key": name for name in (STEADY, ROOMY, TIGHT)}
STEADY_KEY, ROOMY_KEY, TIGHT_KEY = PERMANENT_KEYS
GUEST_KEYS = tuple(f"guest-key-{number}" for number in range(6))
UNKNOWN_KEY, NO_KEY = "unknown-key", ""
ROOMY_RATE_PER_S, ROOMY_BURST = 200.0, 50.0
# Callers send about 20 requests per second with the key of the tenant.
TIGHT_RATES_PER_S = (4.0, 8.0, 12.0)
TIGHT_BURST = 5.0
TENANT_HEADER_SHARE = 0.3
DENIAL_STATUSES = frozenset((401, 403, 404))


class RouteAccess(StrEnum):
    """Access to a route: with a key, without one, or with a key in some versions only."""

    KEYED = "keyed"
    PUBLIC = "public"
    EXTRA = "extra"


class TenantRequest(NamedTuple):
    """A request as far as the checks of tenants need it.

    :ivar node: node that the request was sent to
    :ivar key: key that it carries, empty for none
    """

    node: str
    key: str
    access: RouteAccess
    sent_at: timedelta


class DrawnAccess(NamedTuple):
    """Key, route and `Tenant` header that a caller has drawn; an empty header is not sent."""

    key: str
    access: RouteAccess
    tenant_header: str


def draw_access(rng: random.Random) -> DrawnAccess:
    """Draw what a caller sends."""
    keys = (TIGHT_KEY, ROOMY_KEY, rng.choice(GUEST_KEYS), UNKNOWN_KEY, NO_KEY, STEADY_KEY)
    (key,) = rng.choices(keys, (30, 15, 25, 10, 10, 10))
    (access,) = rng.choices(list(RouteAccess), (6, 2, 2))
    named = rng.choice((STEADY, GUEST, "mallory")) if rng.random() < TENANT_HEADER_SHARE else ""
    return DrawnAccess(key, access, named)


def draw_version(rng: random.Random, number: int) -> ConfigVersion:
    """Draw the keys, the quota and the routes of a version."""
    guest_keys = rng.sample(GUEST_KEYS, rng.randrange(1, len(GUEST_KEYS)))
    holders = {**PERMANENT_KEYS, **dict.fromkeys(sorted(guest_keys), GUEST)}
    quota = QuotaLimit(rng.choice(TIGHT_RATES_PER_S), TIGHT_BURST)
    return ConfigVersion(number, holders, rng.random() < 0.5, quota)


def tenant_documents(version: ConfigVersion) -> dict[str, dict[str, Any]]:
    """Return the tenants of a version as the operator writes them."""
    documents: dict[str, dict[str, Any]] = {}
    for key, name in version.holders.items():
        documents.setdefault(name, {"api_keys": []})["api_keys"].append(key)
    documents[ROOMY] |= {"rate_per_s": ROOMY_RATE_PER_S, "burst": ROOMY_BURST}
    documents[TIGHT] |= version.quota._asdict()
    return documents


class TenantChecker:
    """Checks the rules UNASKED, ROUTE, CONFIG and DENIED.

    :param violations: receives one line for each violation
    :ivar requests: requests by id; a request is added before it is sent
    :ivar counts: number of observations that the rule CONFIG decides, by kind
    """

    def __init__(
        self,
        *,
        clock: Clock,
        history: ConfigHistory,
        contact: ContactTracker,
        violations: list[str],
    ):
        self.clock = clock
        self.history = history
        self.contact = contact
        self.violations = violations
        self.requests: dict[str, TenantRequest] = {}
        self.counts: Counter[str] = Counter()

    def on_run(
        self, target: str, request_id: str, tenants: Sequence[str], keys: Sequence[str]
    ) -> None:
        """Check a request that a target runs.

        :param tenants: values of its `Tenant` headers
        :param keys: values of its `Authorization` headers
        """
        request = self.requests.get(request_id)
        if request is None:
            # Reported as a request that no caller sent.
            return
        where = f"{request_id} from {request.node} at {target}"
        if keys:
            self.violations.append(f"UNASKED: {where} carries a key")
        permitted = self._versions_at(request)
        self._count("run", request, permitted)
        allowing = [version for version in permitted if _allows(version, request)]
        if not allowing:
            what = f"{where} ran with key {request.key!r} on a {request.access} route"
            if not any(request.key in version.holders for version in self.history.all_versions()):
                self.violations.append(f"ROUTE: {what}")
            elif self.contact.in_contact_since(request.node, request.sent_at):
                self.violations.append(f"CONFIG: {what}")
            return
        expected = {version.holders.get(request.key, "") for version in allowing}
        if len(tenants) > 1 or "".join(tenants) not in expected:
            self.violations.append(
                f"UNASKED: {where} with key {request.key!r} names the tenants {list(tenants)}"
            )

    def on_result(self, request_id: str, status: int) -> None:
        """Check a response that a caller got."""
        request = self.requests[request_id]
        if status not in DENIAL_STATUSES:
            return
        what = (
            f"{request.node} answers {status} to {request_id} with key {request.key!r} on a "
            f"{request.access} route"
        )
        if _is_always_allowed(request):
            self.violations.append(f"DENIED: {what}")
            return
        if self.contact.in_contact_since(request.node, request.sent_at):
            permitted = self._versions_at(request)
            self._count("denial", request, permitted)
            if all(_allows(version, request) for version in permitted):
                self.violations.append(f"CONFIG: {what}")

    def _versions_at(self, request: TenantRequest) -> list[ConfigVersion]:
        """Return the versions by which the request may have been handled until now."""
        if self.contact.in_contact_since(request.node, request.sent_at):
            return self.history.permitted_since(request.sent_at)
        return self.history.all_versions()

    def _count(self, kind: str, request: TenantRequest, permitted: Sequence[ConfigVersion]) -> None:
        """Count an observation if the permitted versions agree and other versions differ."""
        decisions = {_allows(version, request) for version in permitted}
        everywhere = {_allows(version, request) for version in self.history.all_versions()}
        if len(decisions) == 1 and len(everywhere) == 2:
            self.counts[kind] += 1


def _allows(version: ConfigVersion, request: TenantRequest) -> bool:
    if request.access is RouteAccess.EXTRA and not version.has_extra_route:
        return False
    return request.access is RouteAccess.PUBLIC or request.key in version.holders


def _is_always_allowed(request: TenantRequest) -> bool:
    if request.access is RouteAccess.EXTRA:
        return False
    return request.access is RouteAccess.PUBLIC or request.key in PERMANENT_KEYS
