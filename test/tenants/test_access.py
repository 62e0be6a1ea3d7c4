"""Tests of the decision whether a request may be served."""

from datetime import timedelta

from testtools import TestCase

from almondshore.tenants.access import Allowed, DenialReason, Denied, decide_access
from almondshore.tenants.table import Tenant, TenantTable, digest_key

ALICE = Tenant("alice", 1, 10.0, 5.0)
TABLE = TenantTable(holders=[(ALICE, [digest_key(b"k1"), digest_key(b"k2")])])
NOW = timedelta()
OUTDATED = timedelta(seconds=3)


def decide(*keys, public=False, age=NOW):
    return decide_access(TABLE, frozenset(keys), public=public, config_age=age)


class DecideAccessTest(TestCase):
    def test_each_key_of_a_tenant_is_accepted(self):
        """Guards against a tenant that keeps only one of its keys."""
        self.assertEqual(Allowed(ALICE), decide(b"k1"))
        self.assertEqual(Allowed(ALICE), decide(b"k2"))

    def test_unknown_and_missing_keys_are_denied(self):
        """Guards against requests that run with a key that no configuration held."""
        self.assertEqual(Denied(401, DenialReason.UNKNOWN_KEY), decide(b"k3"))
        self.assertEqual(Denied(401, DenialReason.UNKNOWN_KEY), decide())

    def test_unknown_key_is_not_final_while_the_configuration_may_be_outdated(self):
        """Guards against 401, which callers do not retry, for a key that was just added."""
        self.assertEqual(503, decide(b"k3", age=OUTDATED).status)
        self.assertEqual(401, decide(age=OUTDATED).status)

    def test_two_different_keys_are_rejected(self):
        """Guards against a choice between two tenants that the caller did not make."""
        self.assertEqual(Denied(400, DenialReason.AMBIGUOUS_KEY), decide(b"k1", b"k2"))

    def test_public_route_needs_no_key_but_recognises_one(self):
        """Guards against calls of targets, which carry no key, being denied."""
        self.assertEqual(Allowed(None), decide(public=True))
        self.assertEqual(Allowed(None), decide(b"k3", public=True))
        self.assertEqual(Allowed(ALICE), decide(b"k1", public=True))

    def test_the_table_does_not_keep_keys(self):
        """Guards against keys in a memory dump or in the output of a debugger."""
        self.assertNotIn(b"k1", TABLE.by_digest)
        self.assertNotIn("k1", repr(vars(TABLE)))
