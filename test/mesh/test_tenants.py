"""Tests of tenants on the request path: what targets and callers see of a key."""

from datetime import timedelta

from testtools import TestCase

from almondshore.quotas.port import Granted, Limited, QuotaClient
from almondshore.tenants.table import Tenant, TenantTable, digest_key
from test.mesh.fakes import RequestPathHarness
from test.mesh.samples import announcement, route, target

KEY = b"secretkey1"
FORMS = {
    "plain": ((b"Authorization", b"Token secretkey1"),),
    "other case": ((b"AUTHORIZATION", b"tOKEN secretkey1"),),
    "more blanks": ((b"authorization", b"  Token \t secretkey1 "),),
    "twice": ((b"Authorization", b"Token secretkey1"), (b"authorization", b"Token  secretkey1")),
    "beside another scheme": (
        (b"Authorization", b"Token secretkey1"),
        (b"Authorization", b"Bearer app"),
    ),
    "caller names a tenant": (
        (b"Authorization", b"Token secretkey1"),
        (b"Tenant", b"mallory"),
        (b"tenant", b"mallory"),
    ),
}


class RecordingQuota(QuotaClient):
    """Decides as told, and counts returned tokens."""

    def __init__(self):
        self.decision = None
        self.waiting = []
        self.returned = 0

    def take(self, tenant, on_decision):
        if self.decision is None:
            self.waiting.append(on_decision)
        else:
            on_decision(self.decision)

    def give_back(self, tenant, taken_at=None):
        self.returned += 1


class TenantsTest(TestCase):
    def setUp(self):
        super().setUp()
        routes = [route(), route("open", prefix="/open/", public=True)]
        self.harness = RequestPathHarness(routes=routes)
        self.set_tenant(Tenant("alice", priority=0))

    def set_tenant(self, tenant):
        table = TenantTable(holders=[(tenant, [digest_key(KEY)])])
        self.harness.outbound.config = self.harness.outbound.config._replace(tenants=table)

    def put_remote_target(self):
        self.harness.directory.put(target())

    def put_local_target(self):
        self.harness.local.announce(announcement())
        self.harness.directory.put(target(node=self.harness.local.node))

    def test_target_gets_the_tenant_and_never_the_key(self):
        """Guards against a key that reaches a target in any form in which callers send it."""
        self.put_local_target()
        for form, headers in FORMS.items():
            self.harness.request(headers=headers)
            call = self.harness.pool.calls[-1]
            tenants = [value for name, value in call.request.headers if name.lower() == b"tenant"]
            self.assertEqual([b"alice"], tenants, form)
            self.assertNotIn(KEY, repr(call.request.headers).encode(), form)

    def test_key_does_not_leave_the_first_node(self):
        """Guards against keys in the requests between nodes."""
        self.put_remote_target()
        for form, headers in FORMS.items():
            self.harness.request(headers=headers)
            call = self.harness.pool.calls[-1]
            self.assertEqual("alice", call.terms.tenant, form)
            self.assertNotIn(KEY, repr(call.request.headers).encode(), form)

    def test_tenant_named_by_the_caller_is_removed_on_public_routes(self):
        """Guards against a caller that passes for a tenant where no key is needed."""
        self.put_local_target()
        self.harness.request(path=b"/open/x", headers=((b"Tenant", b"alice"),))
        self.assertIsNone(self.harness.pool.calls[-1].header(b"tenant"))

    def test_without_tenants_headers_pass_unchanged(self):
        """Guards against a change for deployments whose configuration has no tenants."""
        self.put_local_target()
        self.harness.outbound.config = self.harness.outbound.config._replace(tenants=None)
        headers = ((b"Authorization", b"Token app"), (b"Tenant", b"app"))
        self.harness.request(headers=headers)
        call = self.harness.pool.calls[-1]
        self.assertEqual(b"Token app", call.header(b"authorization"))
        self.assertEqual(b"app", call.header(b"tenant"))

    def test_unknown_key_gets_401_and_is_not_logged(self):
        """Guards against requests that run without a known key."""
        self.put_local_target()
        exchange = self.harness.request(headers=((b"Authorization", b"Token other"),))
        self.assertEqual(401, exchange.response.status)
        self.assertEqual([], self.harness.pool.calls)

    def test_priority_of_the_tenant_goes_before_that_of_the_route(self):
        """Guards against a tenant that is served by the priority of its route."""
        routes = [route(), route("low", prefix="/low/", priority=3, public=True)]
        self.harness = RequestPathHarness(routes=routes)
        self.put_remote_target()

        def urgency(tenant, path):
            self.set_tenant(tenant)
            self.harness.request(path=path, headers=FORMS["plain"])
            return self.harness.pool.calls[-1].terms.urgency

        urgent, routine = Tenant("u", priority=0), Tenant("r", priority=2)
        ranks = [
            urgency(urgent, b"/a/x"),
            urgency(urgent, b"/low/x"),
            urgency(Tenant("n"), b"/a/x"),
            urgency(routine, b"/a/x"),
            urgency(routine, b"/low/x"),
            urgency(Tenant("n"), b"/low/x"),
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertEqual(len(ranks), len(set(ranks)))

    def test_request_over_the_quota_is_answered_with_429(self):
        """Guards against requests beyond the quota that reach a target."""
        self.set_tenant(Tenant("alice", rate_per_s=5.0))
        quota = self.harness.outbound.quota = RecordingQuota()
        quota.decision = Limited(timedelta(milliseconds=400))
        exchange = self.harness.request(headers=FORMS["plain"])
        self.assertEqual(429, exchange.response.status)
        self.assertEqual(b"0.400", exchange.response.header(b"retry-after"))

    def test_token_of_a_request_that_is_refused_is_returned(self):
        """Guards against a quota that is used up by requests which never run."""
        self.set_tenant(Tenant("alice", rate_per_s=5.0))
        quota = self.harness.outbound.quota = RecordingQuota()
        exchange = self.harness.request(headers=FORMS["plain"])
        quota.waiting.pop()(Granted())
        self.assertEqual(503, exchange.response.status)
        self.assertEqual(1, quota.returned)
