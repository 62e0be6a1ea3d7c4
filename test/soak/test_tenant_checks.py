"""Tests of the checks of tenants that the soak makes."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from soak.config_history import NO_CONFIG, ConfigHistory, ConfigVersion, QuotaLimit
from soak.contact import ContactTracker
from soak.tenants import (
    NO_KEY,
    PERMANENT_KEYS,
    STEADY_KEY,
    UNKNOWN_KEY,
    RouteAccess,
    TenantChecker,
    TenantRequest,
)

GUEST_KEY = "guest-key-0"
APPLIED_S = 3.1


def version(number, *, guest=False, extra=False):
    holders = {**PERMANENT_KEYS, **({GUEST_KEY: "guest"} if guest else {})}
    return ConfigVersion(number, holders, extra, QuotaLimit(8.0, 5.0))


class TenantCheckerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        self.clock = ManualClock()
        self.history = ConfigHistory(clock=self.clock)
        self.contact = ContactTracker(clock=self.clock)
        self.violations = []
        self.checker = TenantChecker(
            clock=self.clock,
            history=self.history,
            contact=self.contact,
            violations=self.violations,
        )
        self.contact.disturb("n1")
        self.history.on_written(version(1))
        self.advance(60)

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def send(self, key=STEADY_KEY, access=RouteAccess.KEYED):
        self.checker.requests["q1"] = TenantRequest("n1", key, access, self.clock.monotonic())

    def run_request(self, *tenants, key=STEADY_KEY, access=RouteAccess.KEYED, keys=()):
        self.send(key, access)
        self.checker.on_run("t1", "q1", tenants, keys)

    def answer(self, status, key=STEADY_KEY, access=RouteAccess.KEYED):
        self.send(key, access)
        self.checker.on_result("q1", status)

    def assert_rules(self, *rules):
        self.assertEqual(list(rules), [line.partition(":")[0] for line in self.violations])

    def test_allowed_runs_and_denials_are_not_reported(self):
        """Guards against checks that report what the rules allow."""
        self.run_request("steady")
        self.run_request("steady", access=RouteAccess.PUBLIC)
        self.run_request(key=NO_KEY, access=RouteAccess.PUBLIC)
        self.run_request(key=UNKNOWN_KEY, access=RouteAccess.PUBLIC)
        self.answer(401, key=UNKNOWN_KEY)
        self.answer(401, key=NO_KEY)
        self.answer(401, key=GUEST_KEY)
        self.answer(404, access=RouteAccess.EXTRA)
        self.answer(503)
        self.assert_rules()

    def test_wrong_tenant_and_forwarded_key_are_reported(self):
        """Guards against overlooking a request that runs for another tenant, or with its key."""
        cases = (
            lambda: self.run_request("mallory"),
            lambda: self.run_request(),
            lambda: self.run_request("steady", "mallory"),
            lambda: self.run_request("steady", keys=["Token steady-key"]),
            lambda: self.run_request("steady", key=NO_KEY, access=RouteAccess.PUBLIC),
            lambda: self.run_request("guest", key=UNKNOWN_KEY, access=RouteAccess.PUBLIC),
            lambda: self.run_request(access=RouteAccess.PUBLIC),
        )
        for case in cases:
            self.reset()
            case()
            self.assert_rules("UNASKED")

    def test_run_without_a_known_key_is_reported(self):
        """Guards against overlooking a request that no configuration allows."""
        self.contact.disturb("n1")
        for key in (UNKNOWN_KEY, NO_KEY, GUEST_KEY):
            self.run_request(key=key)
        self.run_request(key=UNKNOWN_KEY, access=RouteAccess.EXTRA)
        self.assert_rules("ROUTE", "ROUTE", "ROUTE", "ROUTE")

    def test_key_and_route_of_different_versions_do_not_allow_a_request(self):
        """Guards against taking a known key for an unknown one, or allowing it on any route."""
        self.history.on_written(version(2, guest=True))
        self.history.on_written(version(3, extra=True))
        self.advance(APPLIED_S)
        self.run_request("guest", key=GUEST_KEY, access=RouteAccess.EXTRA)
        self.assert_rules("CONFIG")
        self.contact.disturb("n1")
        self.run_request("guest", key=GUEST_KEY, access=RouteAccess.EXTRA)
        self.assert_rules("CONFIG")

    def test_denial_of_what_all_versions_allow_is_reported(self):
        """Guards against overlooking denials, also by nodes that are not in contact."""
        self.contact.disturb("n1")
        self.answer(401)
        self.answer(404, key=NO_KEY, access=RouteAccess.PUBLIC)
        self.answer(403)
        self.assert_rules("DENIED", "DENIED", "DENIED")

    def test_removed_key_or_route_must_not_be_used_any_more(self):
        """Guards against overlooking a node that keeps an outdated version."""
        self.history.on_written(version(2, guest=True, extra=True))
        self.history.on_written(version(3))
        self.advance(APPLIED_S - 0.2)
        self.run_request("guest", key=GUEST_KEY)
        self.assert_rules()
        self.advance(0.2)
        self.run_request("guest", key=GUEST_KEY)
        self.run_request("steady", access=RouteAccess.EXTRA)
        self.assert_rules("CONFIG", "CONFIG")
        self.assertEqual(2, self.checker.counts["run"])

    def test_added_key_or_route_must_be_used(self):
        """Guards against overlooking a node that denies what a newer version allows."""
        self.history.on_written(version(2, guest=True, extra=True))
        self.advance(APPLIED_S - 0.2)
        self.answer(401, key=GUEST_KEY)
        self.assert_rules()
        self.advance(0.2)
        self.answer(401, key=GUEST_KEY)
        self.answer(404, access=RouteAccess.EXTRA)
        self.assert_rules("CONFIG", "CONFIG")

    def test_time_from_sending_to_the_run_counts(self):
        """Guards against reporting a request that was sent before its key was removed."""
        self.history.on_written(version(2, guest=True))
        self.advance(APPLIED_S)
        self.send(GUEST_KEY)
        self.history.on_written(version(3))
        self.advance(APPLIED_S)
        self.checker.on_run("t1", "q1", ["guest"], [])
        self.assert_rules()

    def test_nodes_out_of_contact_may_be_outdated(self):
        """Guards against reporting nodes that were paused, started or cut off from the store."""
        self.history.on_written(version(2, guest=True))
        self.history.on_written(version(3))
        self.advance(60)
        self.contact.disturb("n1")
        self.advance(2.9)
        self.run_request("guest", key=GUEST_KEY)
        self.assert_rules()
        self.advance(0.1)
        self.run_request("guest", key=GUEST_KEY)
        self.assert_rules("CONFIG")

    def test_restored_store_permits_lost_and_older_versions_until_the_next(self):
        """Guards against reporting nodes that apply what a restored store holds or has lost."""
        self.history.on_written(version(2, guest=True))
        self.advance(APPLIED_S)
        self.history.on_restored(1)
        self.advance(60)
        self.run_request("guest", key=GUEST_KEY)
        self.answer(401, key=GUEST_KEY)
        self.history.on_restored(NO_CONFIG)
        self.answer(401, key=GUEST_KEY)
        self.assert_rules()
        self.history.on_written(version(4))
        self.advance(APPLIED_S)
        self.run_request("guest", key=GUEST_KEY)
        self.assert_rules("CONFIG")
