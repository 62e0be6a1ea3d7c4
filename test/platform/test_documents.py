"""Tests of the decoding of stored documents."""

from datetime import timedelta

import msgspec
from testtools import TestCase

from almondshore.mesh.model import RolloutState, RouteKind, Share
from almondshore.platform import documents
from almondshore.platform.announcements import decode_heartbeat
from almondshore.platform.bounds import decode_bounds
from almondshore.tenants.table import Tenant
from test.mesh.samples import target

ROUTE = {
    "hostname": "H.example",
    "path_prefix": "/a/",
    "route_type": "non_idempotent",
    "timeout_s": 1.2,
    "target_latency_s": 0.6,
    "priority": 2,
    "max_attempts": 2,
}
CONFIG = {
    "version": "0000000c",
    "routes": {
        "r1": {**ROUTE, "service": "s1"},
        "r2": {
            **ROUTE,
            "path_prefix": "/a/b/",
            "route_type": "idempotent",
            "weighted_clusters": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        },
    },
    "services": {"s1": {"health_path": "/health"}, "s2": {}},
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "base_version": "0000000a",
}
HEARTBEAT = {
    "address": "10.0.0.1:9",
    "born": 7000,
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "warmup_left_s": 1.5},
}


class ConfigTest(TestCase):
    def test_routes_and_limits_are_decoded(self):
        """Guards against units and route types that are decoded wrongly."""
        decoded = documents.decode_config(msgspec.json.encode(CONFIG))
        self.assertEqual(12, decoded.version)
        longest = decoded.routes.match("h.EXAMPLE", "/a/b/c")
        self.assertEqual(("r2", True), (longest.name, longest.idempotent))
        self.assertEqual((Share("s1", 90.0), Share("s2", 10.0)), longest.shares)
        plain = decoded.routes.match("h.example", "/a/x")
        self.assertEqual(("r1", False), (plain.name, plain.idempotent))
        self.assertEqual(timedelta(seconds=1.2), plain.timeout)
        self.assertIs(None, decoded.routes.match("h.example", "/b/"))
        self.assertEqual(timedelta(seconds=15), decoded.limits.idle_timeout)

    def test_kinds_of_routes_are_decoded(self):
        """Guards against downloads that are not retried, and unknown kinds that are."""
        kinds = {
            "idempotent": (RouteKind.IDEMPOTENT, True),
            "non_idempotent": (RouteKind.ONCE, False),
            "download": (RouteKind.DOWNLOAD, True),
            "upload": (RouteKind.UPLOAD, False),
            "unheard-of": (RouteKind.ONCE, False),
        }
        for name, expected in kinds.items():
            routes = {"r": {**ROUTE, "route_type": name, "service": "s1"}}
            raw = msgspec.json.encode({**CONFIG, "routes": routes})
            route = documents.decode_config(raw).routes.match("h.example", "/a/")
            self.assertEqual(expected, (route.kind, route.idempotent))

    def test_keys_of_tenants_are_replaced_by_digests(self):
        """Guards against keys in the configuration that nodes keep and pass on."""
        tenant = {"api_keys": ["key-1", "key-2"], "priority": 2, "rate_per_s": 3, "burst": 4}
        raw = msgspec.json.encode({**CONFIG, "tenants": {"alice": tenant, "bob": {}}})
        replaced = documents.replace_keys(raw)
        self.assertNotIn(b"key-1", replaced)
        decoded = documents.decode_config(replaced)
        self.assertEqual(Tenant("alice", 2, 3.0, 4.0), decoded.tenants.find(b"key-2"))
        self.assertEqual(Tenant("bob"), decoded.tenants.by_name["bob"])
        self.assertIsNone(decoded.tenants.find(b"key-3"))

    def test_configuration_without_tenants_is_unchanged(self):
        """Guards against a cost for deployments that have no tenants."""
        raw = msgspec.json.encode(CONFIG)
        self.assertIs(raw, documents.replace_keys(raw))
        self.assertIsNone(documents.decode_config(raw).tenants)

    def test_equal_values_and_unchanged_routes_are_shared(self):
        """Guards against memory that grows by a copy of all routes with each new version.

        A configuration of 2,000 routes took 6.7 MB more, on hosts of 128 MB.
        """
        routes = {
            f"r{number}": {**ROUTE, "path_prefix": f"/{number}/", "service": "s1"}
            for number in range(3)
        }
        first = documents.decode_config(msgspec.json.encode({**CONFIG, "routes": routes}))
        known = {route.name: route for route in first.routes.hosts["h.example"].values()}
        self.assertIs(known["r0"].shares, known["r1"].shares)
        self.assertIs(known["r0"].timeout, known["r1"].timeout)
        routes["r1"] = {**routes["r1"], "service": "s2"}
        raw = msgspec.json.encode({**CONFIG, "routes": routes})
        second = documents.decode_config(raw, known).routes
        self.assertIs(known["r0"], second.match("h.example", "/0/x"))
        self.assertEqual((Share("s2", 1.0),), second.match("h.example", "/1/x").shares)

    def test_malformed_configuration_is_refused_entirely(self):
        """Guards against a configuration that is applied in part."""
        for change in ({"version": "xyz"}, {"routes": {"r1": {"hostname": "h"}}}, {"limits": 5}):
            raw = msgspec.json.encode({**CONFIG, **change})
            self.assertRaises((ValueError, msgspec.MsgspecError), documents.decode_config, raw)

    def test_durations_out_of_range_are_malformed(self):
        """Guards against an uncaught error that ends a worker or a connection of the node."""
        route = {**ROUTE, "service": "s1", "timeout_s": 1e300}
        raw = msgspec.json.encode({**CONFIG, "routes": {"r": route}})
        self.assertRaises(ValueError, documents.decode_config, raw)
        order = {"service": "s", "target_version": "v2", "duration_s": 1e300}
        self.assertRaises(ValueError, documents.decode_rollout, order, None, 1)
        status = {**HEARTBEAT["status"], "warmup_left_s": 1e300}
        heartbeat = msgspec.json.encode({**HEARTBEAT, "status": status})
        self.assertRaises(ValueError, decode_heartbeat, "t1", heartbeat)
        bounds = "drain_s=inf,grace_s=3,retry_budget_ratio=0,budget_window_s=1,budget_min_retries=1"
        self.assertRaises(ValueError, decode_bounds, bounds)


class RolloutTest(TestCase):
    order = {"service": "s", "target_version": "v2", "duration_s": 12}

    def test_status_of_an_earlier_order_is_ignored(self):
        """Guards against a new order that is treated as completed."""
        old = {"state": "completed", "target_version": "v1"}
        rollout = documents.decode_rollout(self.order, old, 5)
        self.assertEqual((RolloutState.ORDERED, 0.0), (rollout.state, rollout.share))

    def test_encoded_progress_decodes_to_the_same_rollout(self):
        """Guards against a restarted node that starts a rollout again from the beginning."""
        running = documents.decode_rollout(self.order, None, 5)._replace(
            state=RolloutState.RUNNING, share=0.25
        )
        status = msgspec.to_builtins(documents.encode_progress(running))
        self.assertEqual(running, documents.decode_rollout(self.order, status, 5))
        for state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK):
            status = msgspec.to_builtins(documents.encode_progress(running._replace(state=state)))
            self.assertEqual(state, documents.decode_rollout(self.order, status, 5).state)


class TargetTest(TestCase):
    def test_encoded_entry_decodes_to_the_same_target(self):
        """Guards against an entry by which other nodes cannot reach the target's node."""
        spec = msgspec.to_builtins(documents.encode_target(target()))
        self.assertEqual(target(), documents.decode_target("t1", spec))

    def test_malformed_entries_are_refused(self):
        """Guards against malformed entries stored by other writers."""
        good = msgspec.to_builtins(documents.encode_target(target()))
        for change in (
            {"state": "asleep"},
            {"slots": "many"},
            {"slots": 10**30},
            {"slots": 0},
            {"port": None},
            {"port": 70_000},
            {"port": -1},
            {"host": "no address"},
            {"host": "::1"},
            {"born_ms": 10**30},
            {"sequence": -1},
            {"link_mbps": 1e300},
            {"zone": "a\n"},
        ):
            self.assertRaises(
                (ValueError, msgspec.MsgspecError),
                documents.decode_target,
                "t1",
                {**good, **change},
            )


class HeartbeatTest(TestCase):
    def test_heartbeat_is_decoded(self):
        """Guards against a target that is recorded with a wrong address or start time."""
        announcement = decode_heartbeat("i-1", msgspec.json.encode(HEARTBEAT))
        self.assertEqual(("i-1", ("10.0.0.1", 9)), (announcement.target, announcement.address))
        self.assertEqual((7000, 4), (announcement.born_ms, announcement.sequence))
        self.assertEqual(timedelta(seconds=1.5), announcement.warmup)

    def test_malformed_heartbeats_are_refused(self):
        """Guards against a target that is recorded because of a malformed heartbeat."""
        info, status = HEARTBEAT["info"], HEARTBEAT["status"]
        cases = (
            b"\xff\x00",
            msgspec.json.encode({**HEARTBEAT, "info": {**info, "slots": "9"}}),
            msgspec.json.encode({**HEARTBEAT, "info": {**info, "slots": 0}}),
            msgspec.json.encode({**HEARTBEAT, "status": {**status, "state": "asleep"}}),
            msgspec.json.encode({**HEARTBEAT, "status": {**status, "state": "gone"}}),
            msgspec.json.encode({**HEARTBEAT, "address": "nowhere"}),
            msgspec.json.encode({"address": "10.0.0.1:9"}),
            msgspec.json.encode({**HEARTBEAT, "info": {**info, "service": "s\r\nX: y"}}),
        )
        for body in cases:
            self.assertRaises((ValueError, msgspec.MsgspecError), decode_heartbeat, "i-1", body)
        body = msgspec.json.encode(HEARTBEAT)
        self.assertRaises(ValueError, decode_heartbeat, "i-1\r\nX: y", body)


class BoundsTest(TestCase):
    def test_missing_and_malformed_bounds_are_named(self):
        """Guards against a node that runs with a bound of zero."""
        text = "drain_s=2,grace_s=6,retry_budget_ratio=0.2,budget_window_s=10,budget_min_retries=56"
        self.assertEqual(56, decode_bounds(text + ",other=true").retry_floor)
        error = self.assertRaises(ValueError, decode_bounds, text.replace("grace_s=6,", ""))
        self.assertIn("grace_s", str(error))
        self.assertRaises(ValueError, decode_bounds, text.replace("=6", "=soon"))
