"""Tests that keys of tenants appear in nothing that a node writes, shows, stores or passes on."""

import io
import json

from testtools import TestCase

from almondshore.core.logs import setup_logs
from almondshore.http.messages import encode_request
from almondshore.mesh.changes import decode_response, decompress_config
from standins.mesh_deployment import stored_config
from test.http.loopback import wait_until
from test.mesh.test_node import new_mesh

KEY, OTHER_KEY, UNKNOWN_KEY = "keyofalice0001", "keyofalice0002", "keyofnobody000"
KEYS = (KEY, OTHER_KEY, UNKNOWN_KEY)
REQUESTS = (
    ((b"Authorization", b"Token " + KEY.encode()),),
    ((b"authorization", b"token  " + OTHER_KEY.encode()), (b"Tenant", b"mallory")),
    ((b"Authorization", b"Token " + UNKNOWN_KEY.encode()),),
    ((b"Authorization", b"Token " + KEY.encode()), (b"Authorization", b"Token x")),
    ((b"Authorization", b"Bearer " + KEY.encode()),),
    (),
)


class KeySecrecyTest(TestCase):
    def setUp(self):
        super().setUp()
        self.logs = io.StringIO()
        setup_logs(level="DEBUG", stream=self.logs)
        self.addCleanup(setup_logs)
        self.mesh = new_mesh(self)
        tenants = {"alice": {"api_keys": [KEY, OTHER_KEY], "rate_per_s": 500.0, "burst": 500.0}}
        self.mesh.store.put("config", "main", {**stored_config(3), "tenants": tenants})
        self.node = self.mesh.add_node("n1")
        self.mesh.add_node("n2")
        wait_until(lambda: len(self.node.directory.targets) == 2)
        # A node grants no tokens for its first half second.
        wait_until(lambda: self.send(REQUESTS[0]).status == 200)

    def send(self, headers, listener="outbound", path=b"/s/x"):
        fixed = ((b"Host", b"h.example"), (b"Attempt-Id", b"a1"), (b"Deadline-Ms", b"1500"))
        data = encode_request(b"GET", path, (*fixed, *headers), b"")
        return self.mesh.call(getattr(self.node.settings, listener), data).response

    def test_keys_appear_in_no_output(self):
        """Guards against a key that leaves the node through a log, a view, the store or a peer."""
        statuses = [self.send(headers).status for headers in REQUESTS]
        self.assertEqual([200, 200, 401, 400, 401, 401], statuses)
        outputs = {"logs": self.logs.getvalue(), "store": repr(self.stored())}
        for path in (b"/metrics", b"/status", b"/targets"):
            response = self.send((), listener="metrics", path=path)
            outputs[path.decode()] = response.body.decode("latin-1")
        for path in (b"/evidence", b"/alive", b"/changes?epoch=&after=0&config=0"):
            response = self.send((), listener="inbound", path=path)
            outputs[path.decode()] = response.body.decode("latin-1")
        passed_on = decode_response(self.send((), listener="inbound", path=path).body)
        outputs["configuration"] = decompress_config(passed_on.config).decode()
        outputs["answers"] = repr([self.send(headers) for headers in REQUESTS])
        for name, output in outputs.items():
            for key in KEYS:
                self.assertNotIn(key, output, name)
        digests = json.loads(outputs["configuration"])["tenants"]["alice"]["key_digests"]
        self.assertEqual(2, len(digests))

    def stored(self):
        """Return all stored objects but the operator's configuration."""
        return {kind: items for kind, items in self.mesh.store.objects.items() if kind != "config"}
